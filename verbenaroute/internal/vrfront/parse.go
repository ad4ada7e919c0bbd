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
	// _maxKey is the longest idempotency key.
	_maxKey = 255
	// _firstRead is the first buffer of a body; it grows with what arrives, so that a
	// declared length alone takes no memory.
	_firstRead  = 4 << 10
	_retrySoon  = time.Second
	_bearer     = "Bearer "
	_tokenBytes = 512
)

// arrival is what every request goes through before its own body is parsed.
type arrival struct {
	request vrevent.Request
	index   *vrconfig.Index
	body    []byte
	// release gives back the memory of the body.
	release func()
}

// admit checks the state of the daemon and the caller's token, then reads the body.
func (f *Front) admit(ctx *fasthttp.RequestCtx, a *arrival) *RejectError {
	a.request = unparsed()
	a.release = func() {}
	ctx.Response.Header.Set(vrwire.HeaderRequestID, string(a.request.ID))
	cause := f.checkState(ctx, a)
	if cause == nil {
		cause = f.readBody(ctx, a)
	}
	if cause != nil {
		// What is left of the body is not worth reading.
		ctx.SetConnectionClose()
	}
	return cause
}

func (f *Front) checkState(ctx *fasthttp.RequestCtx, a *arrival) *RejectError {
	if f.draining.Load() {
		return &RejectError{Reason: vrwire.ReasonShuttingDown, Detail: "the daemon takes no new requests", RetryAfter: _retrySoon}
	}
	a.index = f.options.Configs.Current()
	if a.index == nil {
		return &RejectError{Reason: vrwire.ReasonNoConfiguration, Detail: "the daemon waits for its first configuration", RetryAfter: _retrySoon}
	}
	caller, cause := authorize(ctx, a.index)
	a.request.Caller = caller
	return cause
}

// authorize looks up the hash of the caller's token.
func authorize(ctx *fasthttp.RequestCtx, index *vrconfig.Index) (vrid.CallerID, *RejectError) {
	if !index.CallersDeclared() {
		return "", nil
	}
	header := ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)
	if len(header) <= len(_bearer) || len(header) > _tokenBytes || !bytes.EqualFold(header[:len(_bearer)], []byte(_bearer)) {
		return "", reject(vrwire.ReasonUnauthorized, "a bearer token is needed")
	}
	sum := sha256.Sum256(header[len(_bearer):])
	caller, ok := index.Caller(hex.EncodeToString(sum[:]))
	if !ok {
		return "", reject(vrwire.ReasonUnauthorized, "the token is unknown")
	}
	return caller, nil
}

// reserve takes memory for bodies, or reports that the limit is reached.
func (f *Front) reserve(n int) bool {
	if f.bodies.Add(int64(n)) <= int64(f.options.Limits.QueueMemory) {
		return true
	}
	f.bodies.Add(-int64(n))
	return false
}

// readBody reads the body into memory of its own, as attempts outlive the handler.
func (f *Front) readBody(ctx *fasthttp.RequestCtx, a *arrival) *RejectError {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return nil
	}
	limit := int(f.options.Limits.Body)
	length := ctx.Request.Header.ContentLength()
	if length > limit {
		// A client that is still writing does not read the answer, so a body of a
		// tolerable length is read and dropped.
		if length <= 2*limit {
			_, _ = io.Copy(io.Discard, stream)
		}
		return reject(vrwire.ReasonBodyTooLarge, "the body is larger than the limit")
	}
	body := &bodyBuffer{front: f, first: _firstRead}
	if length >= 0 {
		// One byte more, so that the end is seen without growing.
		body.first = min(length+1, _firstRead)
	}
	a.release = body.release
	for {
		if len(body.data) == cap(body.data) && !body.grow(limit+1) {
			return &RejectError{Reason: vrwire.ReasonQueueFull, Detail: "the memory for waiting requests is used up", RetryAfter: _retrySoon}
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
			return bodyCause(err)
		}
	}
	a.body = body.data
	a.request.Size = vrid.Bytes(len(a.body))
	return nil
}

func bodyCause(err error) *RejectError {
	cause := protocolCause(err)
	if cause.Reason == vrwire.ReasonInvalidRequest {
		cause.Detail = "the body is truncated or did not arrive in time"
	}
	return cause
}

// bodyBuffer is a body that grows within the front's memory limit.
type bodyBuffer struct {
	front *Front
	// first is the size of the first buffer.
	first int
	data  []byte
	held  int
}

// grow doubles the buffer up to limit; false when the memory is used up.
func (b *bodyBuffer) grow(limit int) bool {
	size := min(max(b.first, 2*cap(b.data)), limit)
	if !b.front.reserve(size - b.held) {
		return false
	}
	b.held = size
	data := make([]byte, len(b.data), size)
	copy(data, b.data)
	b.data = data
	return true
}

func (b *bodyBuffer) release() {
	b.front.bodies.Add(-int64(b.held))
	b.held = 0
}

// applyKind sets rank and deadline from the declaration. The caller may name a kind
// and lower the rank, never raise it.
func applyKind(ctx *fasthttp.RequestCtx, index *vrconfig.Index, request *vrevent.Request, declared vrid.KindID) *RejectError {
	if header := ctx.Request.Header.Peek(vrwire.HeaderKind); len(header) > 0 {
		declared = vrid.KindID(header)
	}
	kind := index.Kind(declared)
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

// idempotencyKey checks the caller's key; an empty one is allowed here.
func idempotencyKey(ctx *fasthttp.RequestCtx) (vrid.IdempotencyKey, *RejectError) {
	header := ctx.Request.Header.Peek(vrwire.HeaderIdempotencyKey)
	if len(header) > _maxKey {
		return "", reject(vrwire.ReasonInvalidRequest, "the idempotency key is longer than 255 bytes")
	}
	isBad := func(r rune) bool { return r < ' ' || r > '~' }
	if key := string(header); strings.IndexFunc(key, isBad) < 0 {
		return vrid.IdempotencyKey(key), nil
	}
	return "", reject(vrwire.ReasonInvalidRequest, "the idempotency key holds bytes that are not printable ASCII")
}
