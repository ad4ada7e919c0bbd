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

// _drainTimeout is how long Close waits for the end of the body after the last token, so that
// the connection can be reused.
const _drainTimeout = 100 * time.Millisecond

// Stream is the response to Generate. Only one goroutine may use it; ending the context of
// Generate interrupts a pending Next.
type Stream struct {
	engine    *Engine
	exchange  *exchange
	request   *fasthttp.Request
	response  *fasthttp.Response
	lines     lineReader
	validator tokenValidator
	// result is 0 until the stream has ended.
	result vrevent.AttemptResult
	err    error
}

// Generate sends a request once and returns when the response header has been read. An error
// is an *AttemptError. The caller has to close the stream.
func (e *Engine) Generate(ctx context.Context, address string, generateRequest vrengine.GenerateRequest) (*Stream, error) {
	x, attemptErr := e.pool.openExchange(ctx, address)
	if attemptErr != nil {
		e.counters.count(callGenerate, attemptErr.Result)
		return nil, attemptErr
	}
	s := &Stream{
		engine: e, exchange: x,
		request: fasthttp.AcquireRequest(), response: fasthttp.AcquireResponse(),
		validator: newTokenValidator(&generateRequest),
	}
	if err := s.start(&generateRequest); err != nil {
		if s.result == 0 {
			s.fail(err)
		}
		s.Close()
		return nil, s.err
	}
	return s, nil
}

func (s *Stream) start(generateRequest *vrengine.GenerateRequest) error {
	body := _bodyBuffers.get()
	defer _bodyBuffers.put(body)
	var err error
	if *body, err = json.Append((*body)[:0], generateRequest, 0); err != nil {
		return err
	}
	header := &s.request.Header
	header.SetMethod(fasthttp.MethodPost)
	header.SetHost(s.exchange.address)
	header.SetRequestURI(vrengine.PathGenerate)
	header.SetContentType("application/json")
	s.request.SetBodyRaw(*body)
	err = s.sendAndOpenBody()
	s.request.ResetBody()
	return err
}

func (s *Stream) sendAndOpenBody() error {
	x := s.exchange
	if err := x.setTimeout(s.engine.options.StallTimeout); err != nil {
		return err
	}
	if err := x.send(s.request); err != nil {
		return err
	}
	if err := x.receiveHeader(s.response); err != nil {
		return err
	}
	if s.response.StatusCode() != fasthttp.StatusOK {
		return s.readRefusal()
	}
	s.response.StreamBody = true
	if err := s.response.ReadBody(x.reader, 0); err != nil {
		return err
	}
	s.lines.open(s.response.BodyStream())
	return nil
}

// readRefusal reads the error code of a response without tokens and returns it as an error.
func (s *Stream) readRefusal() error {
	if err := s.exchange.receiveBody(s.response, _maxErrorBytes); err != nil {
		return err
	}
	var token vrengine.Token
	code := ""
	// Without a readable code the refusal doesn't prove that the request did not run.
	if err := decodeToken(s.response.Body(), &token); err == nil && s.validator.belongsToRequest(&token) {
		code = strings.Clone(token.Error)
	}
	s.result = refusalResult(code)
	s.err = &AttemptError{Address: s.exchange.address, Result: s.result, Status: s.response.StatusCode(), Code: code}
	return s.err
}

// refusalResult classifies an error code that came before the first token.
func refusalResult(code string) vrevent.AttemptResult {
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

// Next returns the next token of this request, then a token with Done set, and then io.EOF.
// Any other error is an *AttemptError and ends the stream.
func (s *Stream) Next() (vrengine.Token, error) {
	if s.result != 0 {
		return vrengine.Token{}, s.endError()
	}
	line, err := s.nextLine()
	if err != nil {
		s.fail(err)
		return vrengine.Token{}, s.err
	}
	token, err := s.validator.accept(line)
	if err != nil {
		s.fail(err)
		return vrengine.Token{}, s.err
	}
	if token.Done {
		s.result = vrevent.AttemptAnswered
	}
	return token, nil
}

// endError returns the error with which the stream ended, or io.EOF.
func (s *Stream) endError() error {
	if s.err != nil {
		return s.err
	}
	return io.EOF
}

// nextLine returns the next line, which is valid until the next call.
func (s *Stream) nextLine() ([]byte, error) {
	for {
		if line, err := s.lines.buffered(); line != nil || err != nil {
			return line, err
		}
		if err := s.exchange.setTimeout(s.engine.options.StallTimeout); err != nil {
			return nil, err
		}
		if err := s.lines.fill(); err != nil {
			return nil, err
		}
	}
}

// fail sets the result and the error of the stream.
func (s *Stream) fail(err error) {
	var refusalErr *refusalError
	if errors.As(err, &refusalErr) {
		s.result = refusalResult(refusalErr.code)
		s.err = &AttemptError{Address: s.exchange.address, Result: s.result, Status: fasthttp.StatusOK, Code: refusalErr.code}
		return
	}
	attemptErr := s.exchange.attemptError(err)
	s.result = attemptErr.Result
	s.err = attemptErr
}

// Result returns how the attempt ended, or 0 while it runs.
func (s *Stream) Result() vrevent.AttemptResult { return s.result }

// TokenCount returns the number of tokens that Next has returned, without the one with Done
// set and without those of earlier attempts.
func (s *Stream) TokenCount() int { return s.validator.acceptedCount }

// Close returns the connection to the pool if the complete response was read. Otherwise it
// closes the connection, which cancels the request at servers that watch their connections.
func (s *Stream) Close() {
	if s.exchange == nil {
		return
	}
	if s.result == 0 {
		s.result = vrevent.AttemptCallerGone
		s.err = &AttemptError{Address: s.exchange.address, Result: s.result, Err: io.ErrClosedPipe}
	}
	s.engine.counters.count(callGenerate, s.result)
	complete := s.isComplete() && !s.response.ConnectionClose()
	s.lines.close()
	_ = s.response.CloseBodyStream()
	s.exchange.close(complete)
	s.exchange = nil
	fasthttp.ReleaseRequest(s.request)
	fasthttp.ReleaseResponse(s.response)
}

// isComplete reports whether the response was read to its end and no data follows it.
func (s *Stream) isComplete() bool {
	if !s.lines.isOpen() {
		// A refusal whose body was read has a status but no body stream.
		return s.err != nil && s.result != vrevent.AttemptNotSent && s.isRefusal()
	}
	if s.result != vrevent.AttemptAnswered {
		return false
	}
	if err := s.exchange.setTimeout(_drainTimeout); err != nil {
		return false
	}
	return s.lines.atEnd()
}

func (s *Stream) isRefusal() bool {
	var attemptErr *AttemptError
	return errors.As(s.err, &attemptErr) && attemptErr.Status != 0
}
