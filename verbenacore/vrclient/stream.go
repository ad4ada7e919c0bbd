package vrclient

import (
	"context"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"
	"github.com/valyala/fasthttp"

	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrevent"
)

// _drain is how long Close waits for the end of the body after the last token, so that
// the connection can be used again.
const _drain = 100 * time.Millisecond

// Stream is the answer to Generate. It is used by one goroutine; ending the context
// interrupts a pending Next.
type Stream struct {
	engine   *Engine
	exchange *exchange
	request  *fasthttp.Request
	response *fasthttp.Response
	lines    lineReader
	check    tokenCheck
	// result is 0 until the stream has ended.
	result vrevent.AttemptResult
	err    error
}

// Generate sends a request once and returns when the header of the answer is there. An
// error is an *AttemptError. The caller closes the stream.
func (e *Engine) Generate(ctx context.Context, address string, generate vrengine.GenerateRequest) (*Stream, error) {
	x, failed := e.pool.open(ctx, address)
	if failed != nil {
		e.counters.count(callGenerate, failed.Result)
		return nil, failed
	}
	s := &Stream{
		engine: e, exchange: x,
		request: fasthttp.AcquireRequest(), response: fasthttp.AcquireResponse(),
		check: newTokenCheck(&generate),
	}
	if err := s.start(&generate); err != nil {
		if s.result == 0 {
			s.end(err)
		}
		s.Close()
		return nil, s.err
	}
	return s, nil
}

func (s *Stream) start(generate *vrengine.GenerateRequest) error {
	body := _bodies.get()
	defer _bodies.put(body)
	var err error
	if *body, err = json.Append((*body)[:0], generate, 0); err != nil {
		return err
	}
	header := &s.request.Header
	header.SetMethod(fasthttp.MethodPost)
	header.SetHost(s.exchange.address)
	header.SetRequestURI(vrengine.PathGenerate)
	header.SetContentType("application/json")
	s.request.SetBodyRaw(*body)
	err = s.sendAndWait()
	s.request.ResetBody()
	return err
}

func (s *Stream) sendAndWait() error {
	x := s.exchange
	if err := x.setDeadline(s.engine.options.Stall); err != nil {
		return err
	}
	if err := x.send(s.request); err != nil {
		return err
	}
	if err := x.receiveHeader(s.response); err != nil {
		return err
	}
	if s.response.StatusCode() != fasthttp.StatusOK {
		return s.refused()
	}
	s.response.StreamBody = true
	if err := s.response.ReadBody(x.reader, 0); err != nil {
		return err
	}
	s.lines.open(s.response.BodyStream())
	return nil
}

// refused reads the error code of an answer without tokens.
func (s *Stream) refused() error {
	if err := s.exchange.receiveBody(s.response, _maxProblem); err != nil {
		return err
	}
	var token vrengine.Token
	code := ""
	// Without a readable code the refusal proves nothing.
	if err := decodeToken(s.response.Body(), &token); err == nil && s.check.isOwn(&token) {
		code = strings.Clone(token.Error)
	}
	s.result = refusalOf(code)
	s.err = &AttemptError{Address: s.exchange.address, Result: s.result, Status: s.response.StatusCode(), Code: code}
	return s.err
}

// refusalOf classifies an error code that came before any token.
func refusalOf(code string) vrevent.AttemptResult {
	switch code {
	case vrengine.ErrorBusy:
		return vrevent.AttemptBusy
	case vrengine.ErrorNotLoaded:
		return vrevent.AttemptNotLoaded
	case vrengine.ErrorLeaving:
		return vrevent.AttemptLeaving
	default:
		return vrevent.AttemptBroken
	}
}

// Next returns the next token of this request, and io.EOF after the last one. Any other
// error is an *AttemptError and ends the stream.
func (s *Stream) Next() (vrengine.Token, error) {
	if s.result != 0 {
		return vrengine.Token{}, s.ended()
	}
	line, err := s.line()
	if err != nil {
		s.end(err)
		return vrengine.Token{}, s.err
	}
	token, err := s.check.accept(line)
	if err != nil {
		s.end(err)
		return vrengine.Token{}, s.err
	}
	if token.Done {
		s.result = vrevent.AttemptAnswered
	}
	return token, nil
}

func (s *Stream) ended() error {
	if s.err != nil {
		return s.err
	}
	return io.EOF
}

// line returns the next line, which is valid until the next call.
func (s *Stream) line() ([]byte, error) {
	for {
		if line, err := s.lines.buffered(); line != nil || err != nil {
			return line, err
		}
		if err := s.exchange.setDeadline(s.engine.options.Stall); err != nil {
			return nil, err
		}
		if err := s.lines.fill(); err != nil {
			return nil, err
		}
	}
}

func (s *Stream) end(err error) {
	var refusal *refusalError
	if errors.As(err, &refusal) {
		s.result = refusalOf(refusal.code)
		s.err = &AttemptError{Address: s.exchange.address, Result: s.result, Status: fasthttp.StatusOK, Code: refusal.code}
		return
	}
	failed := s.exchange.failure(err)
	s.result = failed.Result
	s.err = failed
}

// Result is how the attempt ended, or 0 while it runs.
func (s *Stream) Result() vrevent.AttemptResult { return s.result }

// Tokens is how many tokens Next has returned, those of earlier attempts not counted.
func (s *Stream) Tokens() int { return s.check.passed }

// Close gives the connection back if the whole answer was read, and else closes it,
// which ends the request at servers that watch their connections.
func (s *Stream) Close() {
	if s.exchange == nil {
		return
	}
	if s.result == 0 {
		s.result = vrevent.AttemptCallerGone
		s.err = &AttemptError{Address: s.exchange.address, Result: s.result, Err: io.ErrClosedPipe}
	}
	s.engine.counters.count(callGenerate, s.result)
	whole := s.isWhole() && !s.response.ConnectionClose()
	s.lines.close()
	_ = s.response.CloseBodyStream()
	s.exchange.close(whole)
	s.exchange = nil
	fasthttp.ReleaseRequest(s.request)
	fasthttp.ReleaseResponse(s.response)
}

// isWhole reports whether the answer was read to its end and nothing follows it.
func (s *Stream) isWhole() bool {
	if !s.lines.isOpen() {
		// A refusal whose body was read has a status and no stream.
		return s.err != nil && s.result != vrevent.AttemptNotSent && s.isRefusal()
	}
	if s.result != vrevent.AttemptAnswered {
		return false
	}
	if err := s.exchange.setDeadline(_drain); err != nil {
		return false
	}
	return s.lines.atEnd()
}

func (s *Stream) isRefusal() bool {
	var attempt *AttemptError
	return errors.As(s.err, &attempt) && attempt.Status != 0
}
