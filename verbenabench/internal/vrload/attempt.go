package vrload

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"verbenaroute.example/verbenabench/internal/vrstandin"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// End tells how an attempt ended for its caller.
type End string

// Ends of an attempt.
const (
	EndAnswered End = "answered"
	// EndWrong is a response with status 200 that is not the expected answer to the call.
	EndWrong   End = "wrong"
	EndRefused End = "refused"
	// EndBroken is a connection that broke before the response was complete.
	EndBroken End = "broken"
	// EndUnreached is an attempt that sent no request, because the connection was refused.
	EndUnreached End = "unreached"
	// EndTimeout is an attempt that reached the timeout of the HTTP client.
	EndTimeout End = "timeout"
)

// Attempt is one attempt to send a call to one daemon, as its caller saw it.
type Attempt struct {
	Daemon  vrid.DaemonID
	Request vrid.RequestID
	Began   time.Time
	// FirstContent is the time of the first token of a stream, or of a complete response.
	FirstContent time.Time `json:"First"`
	Ended        time.Time
	End          End
	Problem      vrwire.Problem
	Status       int
	// ResponseStarted reports whether the caller received the response header.
	ResponseStarted bool `json:"Started"`
	// Replayed reports whether the daemon replayed a stored outcome.
	Replayed bool
	Detail   string
}

// Result is a call and its attempts, as the caller saw them.
type Result struct {
	Call     Call
	Attempts []Attempt
}

// Last returns the attempt that ended the call.
func (r Result) Last() Attempt { return r.Attempts[len(r.Attempts)-1] }

// shouldRetry reports whether the caller retries at another daemon: the connection broke or
// was refused, the daemon is shutting down, or the outcome of a call with an idempotency key
// is unknown.
func (a Attempt) shouldRetry(call Call) bool {
	switch a.End {
	case EndBroken, EndUnreached:
		return true
	case EndRefused:
		return a.Problem.Reason == vrwire.ReasonShuttingDown || (call.Key != "" && a.Problem.Reason == vrwire.ReasonOutcomeUnknown)
	case EndAnswered, EndWrong, EndTimeout:
	}
	return false
}

func (g *Generator) attempt(ctx context.Context, daemon vrid.DaemonID, call Call) (result Attempt) {
	result = Attempt{Daemon: daemon, Began: time.Now()}
	defer func() { result.Ended = time.Now() }()
	request, err := newRequest(ctx, "http://"+g.options.Daemons[daemon], call)
	if err != nil {
		result.End, result.Detail = EndUnreached, err.Error()
		return result
	}
	response, err := g.client.Do(request)
	if err != nil {
		result.setError(err)
		return result
	}
	defer response.Body.Close()
	result.ResponseStarted = true
	result.Status = response.StatusCode
	result.Request = vrid.RequestID(response.Header.Get(vrwire.HeaderRequestID))
	result.Replayed = response.Header.Get(vrwire.HeaderReplayed) == "true"
	result.readResponse(response, call)
	return result
}

func newRequest(ctx context.Context, base string, call Call) (*http.Request, error) {
	if call.Service != "" {
		return newServiceRequest(ctx, base, call)
	}
	body := map[string]any{"model": call.requestedModel(), "max_tokens": call.MaxTokens, "stream": call.Stream}
	path := "/v1/completions"
	if call.Chat {
		path = "/v1/chat/completions"
		body["messages"] = []map[string]string{{"role": "user", "content": call.Prompt}}
	} else {
		body["prompt"] = call.Prompt
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	return prepareRequest(request), nil
}

// prepareRequest sets the content type and removes GetBody. Without GetBody, net/http can't
// resend a request with a body on its own after a broken connection.
func prepareRequest(request *http.Request) *http.Request {
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	return request
}

func newServiceRequest(ctx context.Context, base string, call Call) (*http.Request, error) {
	method := http.MethodGet
	var body io.Reader
	if call.Key != "" {
		method = http.MethodPost
		body = strings.NewReader(call.Body)
	}
	url := fmt.Sprintf("%s/v1/services/%s%s", base, call.Service, call.Path)
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, err
	}
	if call.Key != "" {
		// net/http resends a request with an Idempotency-Key header after a broken connection.
		// It recognizes only the canonical spelling, so the name is set in lower case.
		request.Header["idempotency-key"] = []string{string(call.Key)}
	}
	return prepareRequest(request), nil
}

// setError stores a transport error and classifies it as a refused connection, a timeout or
// a broken connection.
func (a *Attempt) setError(err error) {
	a.Detail = err.Error()
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		a.End = EndUnreached
	case errors.As(err, &timeout) && timeout.Timeout():
		a.End = EndTimeout
	default:
		a.End = EndBroken
	}
}

func (a *Attempt) readResponse(response *http.Response, call Call) {
	if response.StatusCode != http.StatusOK {
		a.readRefusal(response)
		return
	}
	if call.Stream && call.Service == "" {
		a.readStream(response.Body, call)
		return
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		a.setError(err)
		return
	}
	a.FirstContent = time.Now()
	a.setAnswer(checkResponse(data, call))
}

func (a *Attempt) setAnswer(err error) {
	a.End = EndAnswered
	if err != nil {
		a.End, a.Detail = EndWrong, err.Error()
	}
}

func (a *Attempt) readRefusal(response *http.Response) {
	data, err := io.ReadAll(response.Body)
	if err != nil {
		a.setError(err)
		return
	}
	a.FirstContent = time.Now()
	a.End = EndRefused
	if err := json.Unmarshal(data, &a.Problem); err != nil || a.Problem.Reason == "" {
		a.Detail = fmt.Sprintf("status %d without a problem document: %s", response.StatusCode, data)
	}
	if a.Request == "" {
		a.Request = a.Problem.RequestID
	}
}

// completion holds the fields of an OpenAI-compatible completion, or of a chunk of a streamed
// one, that the caller reads.
type completion struct {
	Choices []struct {
		Text    string  `json:"text"`
		Delta   message `json:"delta"`
		Message message `json:"message"`
	} `json:"choices"`
}

type message struct {
	Content string `json:"content"`
}

func (c completion) text() string {
	if len(c.Choices) == 0 {
		return ""
	}
	choice := c.Choices[0]
	return choice.Text + choice.Delta.Content + choice.Message.Content
}

// readStream reads a stream of server-sent events and checks the concatenated text.
func (a *Attempt) readStream(body io.Reader, call Call) {
	const endOfStream = "[DONE]"
	var text strings.Builder
	scanner := bufio.NewScanner(body)
	event := ""
	for scanner.Scan() {
		line := scanner.Text()
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			event = name
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == endOfStream {
			a.setAnswer(checkText(text.String(), call))
			return
		}
		if event == "error" {
			a.End = EndRefused
			a.Detail = "refused after the stream started"
			if err := json.Unmarshal([]byte(data), &a.Problem); err != nil {
				a.Detail = err.Error()
			}
			return
		}
		var chunk completion
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			a.End, a.Detail = EndWrong, err.Error()
			return
		}
		if chunk.text() != "" && a.FirstContent.IsZero() {
			a.FirstContent = time.Now()
		}
		text.WriteString(chunk.text())
	}
	a.End, a.Detail = EndBroken, "stream ended before [DONE]"
	if err := scanner.Err(); err != nil {
		a.setError(err)
	}
}

// AnswerError is returned for an answer that is not the expected one.
type AnswerError struct {
	Want string
	Got  string
}

func (e *AnswerError) Error() string { return fmt.Sprintf("got answer %q, want %q", e.Got, e.Want) }

func checkText(text string, call Call) error {
	want := call.expectedAnswer().Text(call.MaxTokens)
	if text != want {
		return &AnswerError{Want: want, Got: text}
	}
	return nil
}

func checkResponse(data []byte, call Call) error {
	if call.Service == "" {
		var response completion
		if err := json.Unmarshal(data, &response); err != nil {
			return err
		}
		return checkText(response.text(), call)
	}
	if call.Key != "" {
		var got vrstandin.Confirmation
		if err := json.Unmarshal(data, &got); err != nil {
			return err
		}
		want := vrstandin.Confirmation{Key: call.Key, Digest: vrstandin.DigestOf([]byte(call.Body)), Number: got.Number}
		return checkEqual(got, want)
	}
	var got vrstandin.Stock
	if err := json.Unmarshal(data, &got); err != nil {
		return err
	}
	_, item, _ := strings.Cut(strings.TrimPrefix(call.Path, "/"), "/")
	return checkEqual(got, vrstandin.StockOf(item))
}

func checkEqual[T comparable](got, want T) error {
	if got != want {
		return &AnswerError{Want: fmt.Sprint(want), Got: fmt.Sprint(got)}
	}
	return nil
}
