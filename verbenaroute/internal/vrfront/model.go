package vrfront

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v3"
	"github.com/segmentio/encoding/json"
	"github.com/valyala/fasthttp"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	_contentTypeJSON        = "application/json"
	_contentTypeEventStream = "text/event-stream"
	// _prefixBytes is the length of the prompt's prefix that is hashed for cache affinity.
	_prefixBytes = 256
)

func (f *Front) handleChat(c fiber.Ctx) error {
	f.serveModel(c.RequestCtx(), chatAPI)
	return nil
}

func (f *Front) handleCompletion(c fiber.Ctx) error {
	f.serveModel(c.RequestCtx(), textAPI)
	return nil
}

// serveModel admits a model request, waits for its outcome and writes the answer.
func (f *Front) serveModel(ctx *fasthttp.RequestCtx, api completionAPI) {
	var in incomingRequest
	rejection := f.admit(ctx, &in)
	defer func() { in.release() }()
	if rejection != nil {
		f.rejectRequest(ctx, in.request, rejection)
		return
	}
	req, encoder, rejection := buildModelRequest(ctx, &in, api)
	if rejection != nil {
		f.rejectRequest(ctx, in.request, rejection)
		return
	}
	f.inflight.add(req)
	f.options.Submitter.Submit(vrevent.RequestArrived{Request: req.request})
	f.waitForOutput(ctx, req)
	f.writeModelAnswer(ctx, req, encoder, &in)
}

// buildModelRequest parses the body into an in-flight request and the encoder of its
// answer.
func buildModelRequest(ctx *fasthttp.RequestCtx, in *incomingRequest, api completionAPI) (*inflightRequest, *answerEncoder, *RejectError) {
	body, rejection := parseModelBody(in.body)
	if rejection != nil {
		return nil, nil, rejection
	}
	target, ok := in.index.Resolve(body.Model)
	if !ok {
		return nil, nil, reject(vrwire.ReasonUnknownModel, "the model is not declared")
	}
	in.request.Model = target.Model
	in.request.Adapter = target.Adapter
	in.request.Stream = body.Stream
	in.request.Idempotent = true
	if rejection := applyKind(ctx, in.index, &in.request, target.Kind); rejection != nil {
		return nil, nil, rejection
	}
	prompt, tokens, rejection := body.promptAndMaxTokens(api)
	if rejection != nil {
		return nil, nil, rejection
	}
	in.request.MaxTokens = tokens
	in.request.Prefix = xxhash.Sum64String(prompt[:min(len(prompt), _prefixBytes)])
	encoder := newAnswerEncoder(answerEncoderOptions{
		API:          api,
		Request:      in.request.ID,
		Model:        body.Model,
		Created:      time.Now().Unix(),
		IncludeUsage: body.StreamOptions.IncludeUsage,
		PromptTokens: estimatePromptTokens(prompt),
	})
	req := newInflightRequest(in.request)
	req.generateRequest = &vrengine.GenerateRequest{
		RequestID: in.request.ID,
		Prompt:    prompt,
		MaxTokens: tokens,
	}
	req.appendToken = appendText
	if body.Stream {
		req.appendToken = encoder.appendChunk
	}
	return req, encoder, nil
}

// promptAndMaxTokens returns the prompt and the maximum number of tokens to generate.
func (b *modelBody) promptAndMaxTokens(api completionAPI) (prompt string, tokens int, rejection *RejectError) {
	if api == chatAPI {
		prompt, rejection = b.chatPrompt()
	} else {
		prompt, rejection = b.textPrompt()
	}
	if rejection != nil {
		return "", 0, rejection
	}
	defaultTokens := _defaultChatTokens
	if api == textAPI {
		defaultTokens = _defaultTextTokens
	}
	tokens, rejection = b.tokenLimit(defaultTokens)
	return prompt, tokens, rejection
}

// waitForOutput blocks until the request has a terminal effect or, for a stream, its first
// output. It checks the connection every _probeInterval, so that a caller that disconnects
// does not keep its place in the queue.
func (f *Front) waitForOutput(ctx *fasthttp.RequestCtx, req *inflightRequest) {
	probe := time.NewTicker(_probeInterval)
	defer probe.Stop()
	for {
		hasOutput, terminal := req.state()
		if terminal != nil || (hasOutput && req.request.Stream) {
			return
		}
		select {
		case <-req.changed:
		case <-probe.C:
			if isClosedByPeer(ctx.Conn()) {
				f.handleCallerGone(req)
			}
		}
	}
}

// handleCallerGone cancels the request of a caller that disconnected. A running attempt
// submits AttemptCallerGone when it ends. If no attempt is running, the reducer is told
// with CallerGone; it ends the request without a terminal effect, so it is set here.
func (f *Front) handleCallerGone(req *inflightRequest) {
	if !req.markCallerGone() {
		return
	}
	f.options.Submitter.Submit(vrevent.CallerGone{Request: req.request.ID})
	if req.idle() {
		f.endRequest(req.request.ID, callerGoneEffect(req))
	}
}

// writeModelAnswer writes a complete answer or starts a stream.
func (f *Front) writeModelAnswer(ctx *fasthttp.RequestCtx, req *inflightRequest, encoder *answerEncoder, in *incomingRequest) {
	hasOutput, terminal := req.state()
	switch e := terminal.(type) {
	case vrevent.Refuse:
		if !hasOutput || !req.request.Stream {
			writeProblem(ctx, e)
			return
		}
	case vrevent.Replay:
		writeAnswer(ctx, ServiceAnswer{Status: e.Status, ContentType: e.ContentType, Body: e.Body})
		return
	}
	if !req.request.Stream {
		ctx.SetContentType(_contentTypeJSON)
		ctx.SetBody(encoder.encodeAnswer(req.output, req.finishReason, req.nextOffset))
		return
	}
	ctx.SetContentType(_contentTypeEventStream)
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
	ctx.SetBodyStream(&streamReader{
		front:   f,
		req:     req,
		encoder: encoder,
		conn:    ctx.Conn(),
		pending: encoder.appendStreamStart(nil),
		release: in.release,
	}, -1)
	// streamReader.Close releases the memory instead.
	in.release = func() {}
}

// handleModels lists the declared models and adapters.
func (f *Front) handleModels(c fiber.Ctx) error {
	ctx := c.RequestCtx()
	var in incomingRequest
	rejection := f.admit(ctx, &in)
	defer func() { in.release() }()
	if rejection != nil {
		f.rejectRequest(ctx, in.request, rejection)
		return nil
	}
	ctx.SetContentType(_contentTypeJSON)
	ctx.SetBody(appendModels(nil, in.index.Fleet))
	return nil
}

func appendModels(out []byte, fleet *vrconfig.Fleet) []byte {
	out = append(out, `{"object":"list","data":[`...)
	first := true
	add := func(id string) {
		if !first {
			out = append(out, ',')
		}
		first = false
		out = append(out, `{"id":`...)
		out = json.AppendEscape(out, id, 0)
		out = append(out, `,"object":"model","created":0,"owned_by":"verbenaroute"}`...)
	}
	for i := range fleet.Models {
		add(string(fleet.Models[i].ID))
	}
	for i := range fleet.Adapters {
		add(string(fleet.Adapters[i].ID))
	}
	return append(out, "]}"...)
}
