package vrclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
)

// ReadResult is the result of Read.
type ReadResult struct {
	// Outcome is OutcomeOK, OutcomeNotFound or OutcomeUnavailable.
	Outcome vrplatform.Outcome
	Version vrid.ObjectVersion
	Value   []byte
	Err     error
}

// WriteResult is the result of Write.
type WriteResult struct {
	// Outcome is OutcomeUnavailable only when the write is known to have had no effect.
	Outcome vrplatform.Outcome
	// Version is the new version after OutcomeOK, and after OutcomeConflict the current
	// version of the object or 0 if it doesn't exist.
	Version vrid.ObjectVersion
	Err     error
}

// ResolvedResult is the result of WriteResolved.
type ResolvedResult struct {
	WriteResult
	// Resolved is set when the outcome of the write was unknown and the object could be
	// read again.
	Resolved bool
	// Current is the result of that read.
	Current ReadResult
}

// ListResult is the result of List.
type ListResult struct {
	Outcome vrplatform.Outcome
	Items   []vrplatform.Item
	Err     error
}

// WatchResult is the result of Watch. Items is empty when nothing changed in time.
type WatchResult struct {
	Outcome vrplatform.Outcome
	// Revision is the afterRevision of the next watch.
	Revision vrid.ObjectVersion
	Items    []vrplatform.Item
	Err      error
}

// VMsResult is the result of VMs.
type VMsResult struct {
	Outcome vrplatform.Outcome
	VMs     []vrplatform.VM
	Err     error
}

// Read returns the value and the version of the object with a key. It is retried while the
// platform is busy; see PlatformOptions.MaxTries.
func (p *Platform) Read(ctx context.Context, key string) ReadResult {
	result := p.doWithRetry(ctx, platformCall{
		kind: CallRead, method: fasthttp.MethodGet, uri: objectURI(key),
		timeout: p.options.Timeout, maxBytes: vrplatform.MaxValueBytes,
	})
	return ReadResult{Outcome: result.outcome, Version: result.version, Value: result.body, Err: result.err}
}

// Write writes an object if its version is still ifVersion; 0 means that the object must
// not exist. A write is never retried, because an earlier attempt may have taken effect.
func (p *Platform) Write(ctx context.Context, key string, ifVersion vrid.ObjectVersion, value []byte) WriteResult {
	if len(value) > vrplatform.MaxValueBytes {
		err := &ProtocolError{Part: key, Problem: fmt.Sprintf("the value has %d bytes, the maximum is %d", len(value), vrplatform.MaxValueBytes)}
		return WriteResult{Outcome: vrplatform.OutcomeUnavailable, Err: err}
	}
	result := p.doOnce(ctx, platformCall{
		kind: CallWrite, method: fasthttp.MethodPut, uri: objectURI(key), body: value, ifVersion: &ifVersion,
		timeout: p.options.Timeout, maxBytes: vrplatform.MaxValueBytes,
	})
	return WriteResult{Outcome: result.outcome, Version: result.version, Err: result.err}
}

// WriteResolved writes an object and, if the outcome is unknown, reads the object to see
// whether it holds these bytes. If two writers could write equal bytes, the value has to
// identify its writer.
//
// It returns OutcomeOK when the object holds the bytes. It returns OutcomeConflict when the
// object holds something else at a newer version, or was deleted: the write can't take effect
// any more, but it may have taken effect and been overwritten, so the caller has to inspect
// Current. It returns OutcomeUnknown when the version is still ifVersion, because the write
// may be in flight, and when the read failed; writing the same bytes at the same version again
// is then safe.
func (p *Platform) WriteResolved(ctx context.Context, key string, ifVersion vrid.ObjectVersion, value []byte) ResolvedResult {
	result := ResolvedResult{WriteResult: p.Write(ctx, key, ifVersion, value)}
	if result.Outcome != vrplatform.OutcomeUnknown {
		return result
	}
	result.Current = p.Read(ctx, key)
	result.Resolved = result.Current.Outcome != vrplatform.OutcomeUnavailable
	current := result.Current
	// Versions only increase, so a lower one comes from a stale read.
	isDeleted := current.Outcome == vrplatform.OutcomeNotFound && ifVersion > 0
	switch {
	case !result.Resolved, !isDeleted && current.Version <= ifVersion:
		return result
	case bytes.Equal(current.Value, value) && current.Outcome == vrplatform.OutcomeOK:
		result.Outcome, result.Version = vrplatform.OutcomeOK, current.Version
	default:
		result.Outcome, result.Version = vrplatform.OutcomeConflict, current.Version
	}
	result.Err = nil
	return result
}

// List returns the objects whose keys have a prefix, and their values if withValues is set.
func (p *Platform) List(ctx context.Context, prefix string, withValues bool) ListResult {
	query := url.Values{"prefix": {prefix}}
	if withValues {
		query.Set("values", "true")
	}
	result := p.doWithRetry(ctx, p.newGetCall(CallList, vrplatform.PathList, query))
	list, err := decodeItems[vrplatform.List](result, prefix)
	if err != nil {
		return ListResult{Outcome: failedOutcome(result), Err: err}
	}
	return ListResult{Outcome: result.outcome, Items: list.Items}
}

// Watch waits at most maxWait until an object whose key has the prefix has a version above
// afterRevision, and returns the objects that changed. It occupies one of the concurrent
// call slots while it waits.
func (p *Platform) Watch(ctx context.Context, prefix string, afterRevision vrid.ObjectVersion, maxWait time.Duration) WatchResult {
	query := url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatUint(uint64(afterRevision), 10)},
		"waitMs": {strconv.FormatInt(maxWait.Milliseconds(), 10)},
	}
	call := p.newGetCall(CallWatch, vrplatform.PathWatch, query)
	call.timeout += maxWait
	result := p.doWithRetry(ctx, call)
	watch, err := decodeItems[vrplatform.Watch](result, prefix)
	if err != nil {
		return WatchResult{Outcome: failedOutcome(result), Err: err}
	}
	return WatchResult{Outcome: result.outcome, Revision: watch.Revision, Items: watch.Items}
}

// VMs returns the platform's list of VMs.
func (p *Platform) VMs(ctx context.Context) VMsResult {
	result := p.doWithRetry(ctx, p.newGetCall(CallVMs, vrplatform.PathVMs, nil))
	list, err := decodeResult[vrplatform.VMList](result)
	if err != nil {
		return VMsResult{Outcome: failedOutcome(result), Err: err}
	}
	return VMsResult{Outcome: result.outcome, VMs: list.VMs}
}

// newGetCall returns a GET call with a query string.
func (p *Platform) newGetCall(kind CallKind, path string, query url.Values) platformCall {
	uri := path
	if len(query) > 0 {
		uri += "?" + query.Encode()
	}
	return platformCall{kind: kind, method: fasthttp.MethodGet, uri: uri, timeout: p.options.Timeout, maxBytes: _maxListBytes}
}

func objectURI(key string) string {
	return (&url.URL{Path: vrplatform.PathObjects + key}).EscapedPath()
}

// failedOutcome returns the outcome of a failed call, and OutcomeUnavailable for a successful
// response that can't be decoded.
func failedOutcome(result platformResult) vrplatform.Outcome {
	if result.outcome == vrplatform.OutcomeOK {
		return vrplatform.OutcomeUnavailable
	}
	return result.outcome
}

// decodeResult decodes the body of a successful call. Unknown fields are accepted, because
// the platform may add some.
func decodeResult[T any, P interface {
	*T
	Validate() error
}](result platformResult,
) (*T, error) {
	if result.outcome != vrplatform.OutcomeOK {
		return nil, result.err
	}
	return decodeBody[T, P](result.body)
}

func decodeBody[T any, P interface {
	*T
	Validate() error
}](body []byte,
) (*T, error) {
	value := new(T)
	if err := json.Unmarshal(body, value); err != nil {
		return nil, &ProtocolError{Part: fmt.Sprintf("%T", *value), Problem: err.Error()}
	}
	if err := P(value).Validate(); err != nil {
		return nil, err
	}
	return value, nil
}

// decodeItems is decodeResult for items; it also rejects items outside the requested prefix.
func decodeItems[T vrplatform.List | vrplatform.Watch, P interface {
	*T
	Validate() error
}](result platformResult, prefix string,
) (*T, error) {
	value, err := decodeResult[T, P](result)
	if err != nil {
		return nil, err
	}
	for _, item := range itemsOf(value) {
		if !strings.HasPrefix(item.Key, prefix) {
			return nil, &ProtocolError{Part: item.Key, Problem: fmt.Sprintf("does not have the prefix %q", prefix)}
		}
	}
	return value, nil
}

func itemsOf(value any) []vrplatform.Item {
	switch list := value.(type) {
	case *vrplatform.List:
		return list.Items
	case *vrplatform.Watch:
		return list.Items
	}
	return nil
}
