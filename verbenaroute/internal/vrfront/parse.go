package vrfront

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// _maxKeyBytes is the maximum length of an idempotency key.
	_maxKeyBytes = 255
	// _initialBodyCapacity is the size of the first buffer for a body. The buffer grows as
	// data arrives, so that a declared length alone does not allocate memory.
	_initialBodyCapacity = 4 << 10
	// _shortRetryAfter is the Retry-After of rejections whose cause is expected to pass soon.
	_shortRetryAfter       = time.Second
	_bearerPrefix          = "Bearer "
	_maxAuthorizationBytes = 512
)

// incomingRequest is a request that is being admitted: the state that all handlers share
// before they parse the body.
type incomingRequest struct {
	request vrevent.Request
	index   *vrconfig.Index
	body    []byte
	// release returns the memory reserved for the body.
	release func()
}

// admit checks that the daemon accepts requests, authorizes the caller and reads the body.
func (f *Front) admit(ctx *fasthttp.RequestCtx, in *incomingRequest) *RejectError {
	in.request = newUnparsedRequest()
	in.release = func() {}
	ctx.Response.Header.Set(vrwire.HeaderRequestID, string(in.request.ID))
	rejection := f.checkAdmission(ctx, in)
	if rejection == nil {
		rejection = f.readBody(ctx, in)
	}
	if rejection != nil {
		// The rest of the body is not read, so the connection can't be reused.
		ctx.SetConnectionClose()
	}
	return rejection
}

func (f *Front) checkAdmission(ctx *fasthttp.RequestCtx, in *incomingRequest) *RejectError {
	if f.draining.Load() {
		return &RejectError{Reason: vrwire.ReasonShuttingDown, Detail: "the daemon takes no new requests", RetryAfter: _shortRetryAfter}
	}
	in.index = f.options.Configs.Current()
	if in.index == nil {
		return &RejectError{Reason: vrwire.ReasonNoConfiguration, Detail: "the daemon waits for its first configuration", RetryAfter: _shortRetryAfter}
	}
	caller, rejection := authorize(ctx, in.index)
	in.request.Caller = caller
	return rejection
}

// authorize identifies the caller by the SHA-256 hash of its bearer token. If no callers
// are declared, every request is accepted.
func authorize(ctx *fasthttp.RequestCtx, index *vrconfig.Index) (vrid.CallerID, *RejectError) {
	if !index.RequiresToken() {
		return "", nil
	}
	header := ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)
	if len(header) <= len(_bearerPrefix) || len(header) > _maxAuthorizationBytes || !bytes.EqualFold(header[:len(_bearerPrefix)], []byte(_bearerPrefix)) {
		return "", reject(vrwire.ReasonUnauthorized, "a bearer token is needed")
	}
	sum := sha256.Sum256(header[len(_bearerPrefix):])
	caller, ok := index.Caller(hex.EncodeToString(sum[:]))
	if !ok {
		return "", reject(vrwire.ReasonUnauthorized, "the token is unknown")
	}
	return caller, nil
}

// reserveMemory reserves n bytes for bodies. It returns false if that would exceed
// Limits.QueueMemory.
func (f *Front) reserveMemory(n int) bool {
	if f.bodyBytes.Add(int64(n)) <= int64(f.options.Limits.QueueMemory) {
		return true
	}
	f.bodyBytes.Add(-int64(n))
	return false
}

// readBody copies the body out of the connection's buffers, because attempts outlive the
// handler.
func (f *Front) readBody(ctx *fasthttp.RequestCtx, in *incomingRequest) *RejectError {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return nil
	}
	limit := int(f.options.Limits.Body)
	length := ctx.Request.Header.ContentLength()
	if length > limit {
		// A client that is still writing does not read the response, so a body of up to
		// twice the limit is read and discarded.
		if length <= 2*limit {
			_, _ = io.Copy(io.Discard, stream)
		}
		return reject(vrwire.ReasonBodyTooLarge, "the body is larger than the limit")
	}
	body := &bodyBuffer{front: f, initialSize: _initialBodyCapacity}
	if length >= 0 {
		// The extra byte lets Read return io.EOF without growing the buffer.
		body.initialSize = min(length+1, _initialBodyCapacity)
	}
	in.release = body.release
	for {
		// The capacity may exceed the limit by one byte, so that a body that is too large is
		// detected.
		if len(body.data) == cap(body.data) && !body.grow(limit+1) {
			return &RejectError{Reason: vrwire.ReasonQueueFull, Detail: "the memory for waiting requests is used up", RetryAfter: _shortRetryAfter}
		}
		n, err := stream.Read(body.data[len(body.data):cap(body.data)])
		body.data = body.data[:len(body.data)+n]
		if len(body.data) > limit {
			return reject(vrwire.ReasonBodyTooLarge, "the body is larger than the limit")
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return bodyReadRejection(err)
		}
	}
	in.body = body.data
	in.request.Size = vrid.Bytes(len(in.body))
	return nil
}

// bodyReadRejection returns the rejection for an error that occurred while the body was
// read.
func bodyReadRejection(err error) *RejectError {
	rejection := protocolRejection(err)
	if rejection.Reason == vrwire.ReasonInvalidRequest {
		rejection.Detail = "the body is truncated or did not arrive in time"
	}
	return rejection
}

// bodyBuffer is a growable buffer whose capacity counts toward the Front's memory limit.
type bodyBuffer struct {
	front *Front
	// initialSize is the size of the first allocation.
	initialSize int
	data        []byte
	reserved    int
}

// grow doubles the capacity up to limit. It returns false if the memory limit is reached.
func (b *bodyBuffer) grow(limit int) bool {
	size := min(max(b.initialSize, 2*cap(b.data)), limit)
	if !b.front.reserveMemory(size - b.reserved) {
		return false
	}
	b.reserved = size
	data := make([]byte, len(b.data), size)
	copy(data, b.data)
	b.data = data
	return true
}

func (b *bodyBuffer) release() {
	b.front.bodyBytes.Add(-int64(b.reserved))
	b.reserved = 0
}

// applyKind sets the kind, rank and deadline of the request from the declared kind. The
// caller may select another kind by a header, and may lower the kind's rank but not raise
// it.
func applyKind(ctx *fasthttp.RequestCtx, index *vrconfig.Index, request *vrevent.Request, kindID vrid.KindID) *RejectError {
	if header := ctx.Request.Header.Peek(vrwire.HeaderKind); len(header) > 0 {
		kindID = vrid.KindID(header)
	}
	kind := index.Kind(kindID)
	if kind == nil {
		return reject(vrwire.ReasonInvalidRequest, "the kind of request is not declared")
	}
	request.Kind = kind.ID
	request.Rank = kind.Rank
	deadline := index.Fleet.DeadlineOf(*kind)
	if header := ctx.Request.Header.Peek(vrwire.HeaderRank); len(header) > 0 {
		rank, err := vrid.ParseRank(string(header))
		if err != nil {
			return reject(vrwire.ReasonInvalidRequest, err.Error())
		}
		if rank > kind.Rank {
			request.Rank = rank
			deadline = max(deadline, index.Fleet.RankPolicyOf(rank).Deadline.Std())
		}
	}
	request.Deadline = time.Now().Add(deadline)
	return nil
}

// idempotencyKey returns the caller's key after validating it. An empty key is valid.
func idempotencyKey(ctx *fasthttp.RequestCtx) (vrid.IdempotencyKey, *RejectError) {
	header := ctx.Request.Header.Peek(vrwire.HeaderIdempotencyKey)
	if len(header) > _maxKeyBytes {
		return "", reject(vrwire.ReasonInvalidRequest, "the idempotency key is longer than 255 bytes")
	}
	isNotPrintable := func(r rune) bool { return r < ' ' || r > '~' }
	if key := string(header); strings.IndexFunc(key, isNotPrintable) < 0 {
		return vrid.IdempotencyKey(key), nil
	}
	return "", reject(vrwire.ReasonInvalidRequest, "the idempotency key holds bytes that are not printable ASCII")
}
