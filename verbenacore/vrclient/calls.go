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

// ReadResult is how a read ended.
type ReadResult struct {
	// Outcome is OutcomeOK, OutcomeNotFound or OutcomeUnavailable.
	Outcome vrplatform.Outcome
	Version vrid.ObjectVersion
	Value   []byte
	Err     error
}

// WriteResult is how a write ended.
type WriteResult struct {
	// Outcome is OutcomeUnavailable only when the write is known to have no effect.
	Outcome vrplatform.Outcome
	// Version is the new version after OutcomeOK and the standing one after
	// OutcomeConflict.
	Version vrid.ObjectVersion
	Err     error
}

// ResolvedResult is how a write ended after the object was read again.
type ResolvedResult struct {
	WriteResult
	// Resolved is set when the first outcome was unknown and the object was read.
	Resolved bool
	// Standing is what that read found.
	Standing ReadResult
}

// ListResult is how a list ended.
type ListResult struct {
	Outcome vrplatform.Outcome
	Items   []vrplatform.Item
	Err     error
}

// WatchResult is how a watch ended; no items came in time when Items is empty.
type WatchResult struct {
	Outcome  vrplatform.Outcome
	Revision vrid.ObjectVersion
	Items    []vrplatform.Item
	Err      error
}

// VMsResult is how a read of the list of VMs ended.
type VMsResult struct {
	Outcome vrplatform.Outcome
	VMs     []vrplatform.VM
	Err     error
}

// Read returns an object.
func (p *Platform) Read(ctx context.Context, key string) ReadResult {
	answer := p.read(ctx, platformCall{
		kind: CallRead, method: fasthttp.MethodGet, uri: objectURI(key),
		timeout: p.options.Timeout, limit: vrplatform.MaxValueBytes,
	})
	return ReadResult{Outcome: answer.outcome, Version: answer.version, Value: answer.body, Err: answer.err}
}

// Write writes an object if its version is still ifVersion; 0 means that it must not
// exist. It is never repeated.
func (p *Platform) Write(ctx context.Context, key string, ifVersion vrid.ObjectVersion, value []byte) WriteResult {
	if len(value) > vrplatform.MaxValueBytes {
		err := &ProtocolError{What: key, Problem: fmt.Sprintf("the value has %d bytes, allowed are %d", len(value), vrplatform.MaxValueBytes)}
		return WriteResult{Outcome: vrplatform.OutcomeUnavailable, Err: err}
	}
	answer := p.write(ctx, platformCall{
		kind: CallWrite, method: fasthttp.MethodPut, uri: objectURI(key), body: value, version: &ifVersion,
		timeout: p.options.Timeout, limit: vrplatform.MaxValueBytes,
	})
	return WriteResult{Outcome: answer.outcome, Version: answer.version, Err: answer.err}
}

// WriteResolved writes an object and, if the outcome is unknown, reads it again to see
// whether these bytes stand there. The value has to name its writer if two writers
// could write equal bytes.
//
// It returns OutcomeOK when they do. It returns OutcomeConflict when something else
// stands there with a newer version: the write can't take effect any more, but it may
// have been overwritten, so the caller looks at Standing. It returns OutcomeUnknown
// when the version is still ifVersion, because the write may be under way, and when
// the read failed; writing the same bytes at the same version again is then safe.
func (p *Platform) WriteResolved(ctx context.Context, key string, ifVersion vrid.ObjectVersion, value []byte) ResolvedResult {
	result := ResolvedResult{WriteResult: p.Write(ctx, key, ifVersion, value)}
	if result.Outcome != vrplatform.OutcomeUnknown {
		return result
	}
	result.Standing = p.Read(ctx, key)
	result.Resolved = result.Standing.Outcome != vrplatform.OutcomeUnavailable
	standing := result.Standing
	// Versions only grow, so a lower one is an answer from the past.
	isGone := standing.Outcome == vrplatform.OutcomeNotFound && ifVersion > 0
	switch {
	case !result.Resolved, !isGone && standing.Version <= ifVersion:
		return result
	case bytes.Equal(standing.Value, value) && standing.Outcome == vrplatform.OutcomeOK:
		result.Outcome, result.Version = vrplatform.OutcomeOK, standing.Version
	default:
		result.Outcome, result.Version = vrplatform.OutcomeConflict, standing.Version
	}
	result.Err = nil
	return result
}

// List returns the keys with a prefix, and their values if asked.
func (p *Platform) List(ctx context.Context, prefix string, values bool) ListResult {
	query := url.Values{"prefix": {prefix}}
	if values {
		query.Set("values", "true")
	}
	answer := p.read(ctx, p.query(CallList, vrplatform.PathList, query))
	list, err := decodeItems[vrplatform.List](answer, prefix)
	if err != nil {
		return ListResult{Outcome: failedOutcome(answer), Err: err}
	}
	return ListResult{Outcome: answer.outcome, Items: list.Items}
}

// Watch waits until an object with the prefix changes above a revision. It holds one
// slot of the limit on concurrent calls while it waits.
func (p *Platform) Watch(ctx context.Context, prefix string, after vrid.ObjectVersion, wait time.Duration) WatchResult {
	query := url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatUint(uint64(after), 10)},
		"waitMs": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	call := p.query(CallWatch, vrplatform.PathWatch, query)
	call.timeout += wait
	answer := p.read(ctx, call)
	watch, err := decodeItems[vrplatform.Watch](answer, prefix)
	if err != nil {
		return WatchResult{Outcome: failedOutcome(answer), Err: err}
	}
	return WatchResult{Outcome: answer.outcome, Revision: watch.Revision, Items: watch.Items}
}

// VMs returns the platform's list of VMs.
func (p *Platform) VMs(ctx context.Context) VMsResult {
	answer := p.read(ctx, p.query(CallVMs, vrplatform.PathVMs, nil))
	list, err := decodeAnswer[vrplatform.VMList](answer)
	if err != nil {
		return VMsResult{Outcome: failedOutcome(answer), Err: err}
	}
	return VMsResult{Outcome: answer.outcome, VMs: list.VMs}
}

func (p *Platform) query(kind CallKind, path string, query url.Values) platformCall {
	uri := path
	if len(query) > 0 {
		uri += "?" + query.Encode()
	}
	return platformCall{kind: kind, method: fasthttp.MethodGet, uri: uri, timeout: p.options.Timeout, limit: _maxList}
}

func objectURI(key string) string {
	return (&url.URL{Path: vrplatform.PathObjects + key}).EscapedPath()
}

// failedOutcome is OutcomeUnavailable for an answer that can't be used.
func failedOutcome(answer platformAnswer) vrplatform.Outcome {
	if answer.outcome == vrplatform.OutcomeOK {
		return vrplatform.OutcomeUnavailable
	}
	return answer.outcome
}

// decodeAnswer reads a body. Unknown fields are accepted: the platform may add some.
func decodeAnswer[T any, P interface {
	*T
	Validate() error
}](answer platformAnswer,
) (*T, error) {
	if answer.outcome != vrplatform.OutcomeOK {
		return nil, answer.err
	}
	return decodeBody[T, P](answer.body)
}

func decodeBody[T any, P interface {
	*T
	Validate() error
}](body []byte,
) (*T, error) {
	value := new(T)
	if err := json.Unmarshal(body, value); err != nil {
		return nil, &ProtocolError{What: fmt.Sprintf("%T", *value), Problem: err.Error()}
	}
	if err := P(value).Validate(); err != nil {
		return nil, err
	}
	return value, nil
}

// decodeItems also refuses items that were not asked for.
func decodeItems[T vrplatform.List | vrplatform.Watch, P interface {
	*T
	Validate() error
}](answer platformAnswer, prefix string,
) (*T, error) {
	value, err := decodeAnswer[T, P](answer)
	if err != nil {
		return nil, err
	}
	for _, item := range itemsOf(value) {
		if !strings.HasPrefix(item.Key, prefix) {
			return nil, &ProtocolError{What: item.Key, Problem: fmt.Sprintf("is not under %q", prefix)}
		}
	}
	return value, nil
}

func itemsOf(value any) []vrplatform.Item {
	switch answer := value.(type) {
	case *vrplatform.List:
		return answer.Items
	case *vrplatform.Watch:
		return answer.Items
	}
	return nil
}
