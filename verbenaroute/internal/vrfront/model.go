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
	_contentJSON   = "application/json"
	_contentStream = "text/event-stream"
	// _prefixBytes of the prompt are hashed for cache affinity.
	_prefixBytes = 256
)

func (f *Front) handleChat(c fiber.Ctx) error {
	f.serveModel(c.RequestCtx(), shapeChat)
	return nil
}

func (f *Front) handleCompletion(c fiber.Ctx) error {
	f.serveModel(c.RequestCtx(), shapeText)
	return nil
}

// serveModel carries a model request from its body to its answer.
func (f *Front) serveModel(ctx *fasthttp.RequestCtx, shape shape) {
	var a arrival
	cause := f.admit(ctx, &a)
	defer func() { a.release() }()
	if cause != nil {
		f.refuse(ctx, a.request, cause)
		return
	}
	flight, format, cause := buildModelFlight(ctx, &a, shape)
	if cause != nil {
		f.refuse(ctx, a.request, cause)
		return
	}
	f.flights.add(flight)
	f.options.Submitter.Submit(vrevent.RequestArrived{Request: flight.request})
	f.wait(ctx, flight)
	f.answerModel(ctx, flight, format, &a)
}

// buildModelFlight parses the body into a flight and the format of its answer.
func buildModelFlight(ctx *fasthttp.RequestCtx, a *arrival, shape shape) (*flight, *format, *RejectError) {
	body, cause := parseModelBody(a.body)
	if cause != nil {
		return nil, nil, cause
	}
	target, ok := a.index.Resolve(body.Model)
	if !ok {
		return nil, nil, reject(vrwire.ReasonUnknownModel, "the model is not declared")
	}
	a.request.Model = target.Model
	a.request.Adapter = target.Adapter
	a.request.Stream = body.Stream
	a.request.Idempotent = true
	if cause := applyKind(ctx, a.index, &a.request, target.Kind); cause != nil {
		return nil, nil, cause
	}
	prompt, tokens, cause := body.work(shape)
	if cause != nil {
		return nil, nil, cause
	}
	a.request.MaxTokens = tokens
	a.request.Prefix = xxhash.Sum64String(prompt[:min(len(prompt), _prefixBytes)])
	format := newFormat(formatOptions{
		Shape:        shape,
		Request:      a.request.ID,
		Model:        body.Model,
		Created:      time.Now().Unix(),
		IncludeUsage: body.StreamOptions.IncludeUsage,
		PromptTokens: promptTokens(prompt),
	})
	flight := newFlight(a.request)
	flight.generate = &vrengine.GenerateRequest{
		RequestID: a.request.ID,
		Prompt:    prompt,
		MaxTokens: tokens,
	}
	flight.encode = plain
	if body.Stream {
		flight.encode = format.chunk
	}
	return flight, format, nil
}

// work returns the prompt and the largest number of tokens.
func (b *modelBody) work(shape shape) (prompt string, tokens int, cause *RejectError) {
	if shape == shapeChat {
		prompt, cause = b.chatPrompt()
	} else {
		prompt, cause = b.textPrompt()
	}
	if cause != nil {
		return "", 0, cause
	}
	standard := _defaultChatTokens
	if shape == shapeText {
		standard = _defaultTextTokens
	}
	tokens, cause = b.limit(standard)
	return prompt, tokens, cause
}

// wait blocks until the flight has a terminal effect or the first output of a stream.
// It looks at the connection now and then, so that a caller that left frees its place.
func (f *Front) wait(ctx *fasthttp.RequestCtx, flight *flight) {
	probe := time.NewTicker(_probeInterval)
	defer probe.Stop()
	for {
		hasOutput, terminal := flight.state()
		if terminal != nil || (hasOutput && flight.request.Stream) {
			return
		}
		select {
		case <-flight.wake:
		case <-probe.C:
			if isClosed(ctx.Conn()) {
				f.leaveCaller(flight)
			}
		}
	}
}

// leaveCaller tells the reducer that the caller is gone. A running attempt that was
// stopped says so itself when it ends. Without an attempt the reducer ends the request
// and returns no terminal effect.
func (f *Front) leaveCaller(flight *flight) {
	if !flight.leaveCaller() {
		return
	}
	f.options.Submitter.Submit(vrevent.CallerGone{Request: flight.request.ID})
	if flight.idle() {
		f.finish(flight.request.ID, goneEffect(flight))
	}
}

// answerModel writes a whole answer or starts a stream.
func (f *Front) answerModel(ctx *fasthttp.RequestCtx, flight *flight, format *format, a *arrival) {
	hasOutput, terminal := flight.state()
	switch e := terminal.(type) {
	case vrevent.Refuse:
		if !hasOutput || !flight.request.Stream {
			writeProblem(ctx, e)
			return
		}
	case vrevent.Replay:
		writeAnswer(ctx, ServiceAnswer{Status: e.Status, ContentType: e.ContentType, Body: e.Body})
		return
	}
	if !flight.request.Stream {
		ctx.SetContentType(_contentJSON)
		ctx.SetBody(format.whole(flight.output, flight.finish, flight.next))
		return
	}
	ctx.SetContentType(_contentStream)
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
	ctx.SetBodyStream(&streamReader{
		front:   f,
		flight:  flight,
		format:  format,
		conn:    ctx.Conn(),
		pending: format.open(nil),
		release: a.release,
	}, -1)
	// The stream's reader gives the memory back.
	a.release = func() {}
}

// handleModels lists models and adapters.
func (f *Front) handleModels(c fiber.Ctx) error {
	ctx := c.RequestCtx()
	var a arrival
	cause := f.admit(ctx, &a)
	defer func() { a.release() }()
	if cause != nil {
		f.refuse(ctx, a.request, cause)
		return nil
	}
	ctx.SetContentType(_contentJSON)
	ctx.SetBody(appendModels(nil, a.index.Fleet))
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
