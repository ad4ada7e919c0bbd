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

// End is how an attempt ended for its caller.
type End string

// Ends of an attempt.
const (
	EndAnswered End = "answered"
	// EndWrong is a whole answer that is not the one to this call.
	EndWrong   End = "wrong"
	EndRefused End = "refused"
	// EndBroken is a connection that ended before the answer was whole.
	EndBroken End = "broken"
	// EndUnreached is a connection that was not accepted: nothing was sent.
	EndUnreached End = "unreached"
	EndTimeout   End = "timeout"
)

// Attempt is one try of a call at one daemon, as its caller saw it.
type Attempt struct {
	Daemon  vrid.DaemonID
	Request vrid.RequestID
	Began   time.Time
	// First is when the first token of a stream or the whole answer was there.
	First   time.Time
	Ended   time.Time
	End     End
	Problem vrwire.Problem
	Status  int
	// Started is set when the caller saw the header of an answer.
	Started  bool
	Replayed bool
	Detail   string
}

// View is what a caller saw of its call.
type View struct {
	Call     Call
	Attempts []Attempt
}

// Last returns the attempt that ended the call.
func (v View) Last() Attempt { return v.Attempts[len(v.Attempts)-1] }

// retry reports whether the caller tries another daemon: its connection broke or was
// not accepted, or it was told that the outcome is not known.
func (a Attempt) retry(call Call) bool {
	switch a.End {
	case EndBroken, EndUnreached:
		return true
	case EndRefused:
		return a.Problem.Reason == vrwire.ReasonShuttingDown || (call.Key != "" && a.Problem.Reason == vrwire.ReasonOutcomeUnknown)
	case EndAnswered, EndWrong, EndTimeout:
	}
	return false
}

func (l *Load) attempt(ctx context.Context, daemon vrid.DaemonID, call Call) (done Attempt) {
	done = Attempt{Daemon: daemon, Began: time.Now()}
	defer func() { done.Ended = time.Now() }()
	request, err := newRequest(ctx, "http://"+l.options.Daemons[daemon], call)
	if err != nil {
		done.End, done.Detail = EndUnreached, err.Error()
		return done
	}
	response, err := l.client.Do(request)
	if err != nil {
		done.fail(err)
		return done
	}
	defer response.Body.Close()
	done.Started = true
	done.Status = response.StatusCode
	done.Request = vrid.RequestID(response.Header.Get(vrwire.HeaderRequestID))
	done.Replayed = response.Header.Get(vrwire.HeaderReplayed) == "true"
	done.read(response, call)
	return done
}

func newRequest(ctx context.Context, base string, call Call) (*http.Request, error) {
	if call.Service != "" {
		return newServiceRequest(ctx, base, call)
	}
	body := map[string]any{"model": call.name(), "max_tokens": call.MaxTokens, "stream": call.Stream}
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
	return plain(request), nil
}

// plain keeps the client from repeating a request on its own after a broken connection.
func plain(request *http.Request) *http.Request {
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
		// The client repeats a request with this header after a broken connection, unless
		// the name is written in another way than its canonical one.
		request.Header["idempotency-key"] = []string{string(call.Key)}
	}
	return plain(request), nil
}

// fail tells a connection that was not accepted from one that broke.
func (a *Attempt) fail(err error) {
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

func (a *Attempt) read(response *http.Response, call Call) {
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
		a.fail(err)
		return
	}
	a.First = time.Now()
	a.judge(check(data, call))
}

func (a *Attempt) judge(err error) {
	a.End = EndAnswered
	if err != nil {
		a.End, a.Detail = EndWrong, err.Error()
	}
}

func (a *Attempt) readRefusal(response *http.Response) {
	data, err := io.ReadAll(response.Body)
	if err != nil {
		a.fail(err)
		return
	}
	a.First = time.Now()
	a.End = EndRefused
	if err := json.Unmarshal(data, &a.Problem); err != nil || a.Problem.Reason == "" {
		a.Detail = fmt.Sprintf("status %d without a problem: %s", response.StatusCode, data)
	}
	if a.Request == "" {
		a.Request = a.Problem.RequestID
	}
}

// chunk is the part of an OpenAI-shaped answer that a caller reads.
type chunk struct {
	Choices []struct {
		Text    string `json:"text"`
		Delta   part   `json:"delta"`
		Message part   `json:"message"`
	} `json:"choices"`
}

type part struct {
	Content string `json:"content"`
}

func (c chunk) text() string {
	if len(c.Choices) == 0 {
		return ""
	}
	choice := c.Choices[0]
	return choice.Text + choice.Delta.Content + choice.Message.Content
}

// readStream joins the server-sent events of an answer.
func (a *Attempt) readStream(body io.Reader, call Call) {
	const done = "[DONE]"
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
		if data == done {
			a.judge(same(text.String(), call))
			return
		}
		if event == "error" {
			a.End = EndRefused
			a.Detail = "refused after the stream began"
			if err := json.Unmarshal([]byte(data), &a.Problem); err != nil {
				a.Detail = err.Error()
			}
			return
		}
		var piece chunk
		if err := json.Unmarshal([]byte(data), &piece); err != nil {
			a.End, a.Detail = EndWrong, err.Error()
			return
		}
		if piece.text() != "" && a.First.IsZero() {
			a.First = time.Now()
		}
		text.WriteString(piece.text())
	}
	a.End, a.Detail = EndBroken, "the stream ended early"
	if err := scanner.Err(); err != nil {
		a.fail(err)
	}
}

// AnswerError says that an answer is not the one to the call.
type AnswerError struct {
	Want string
	Got  string
}

func (e *AnswerError) Error() string { return fmt.Sprintf("answer %q, want %q", e.Got, e.Want) }

func same(text string, call Call) error {
	want := call.answer().Text(call.MaxTokens)
	if text != want {
		return &AnswerError{Want: want, Got: text}
	}
	return nil
}

func check(data []byte, call Call) error {
	if call.Service == "" {
		var whole chunk
		if err := json.Unmarshal(data, &whole); err != nil {
			return err
		}
		return same(whole.text(), call)
	}
	if call.Key != "" {
		var found vrstandin.Confirmation
		if err := json.Unmarshal(data, &found); err != nil {
			return err
		}
		want := vrstandin.Confirmation{Key: call.Key, Digest: vrstandin.DigestOf([]byte(call.Body)), Number: found.Number}
		return equal(found, want)
	}
	var found vrstandin.Stock
	if err := json.Unmarshal(data, &found); err != nil {
		return err
	}
	_, item, _ := strings.Cut(strings.TrimPrefix(call.Path, "/"), "/")
	return equal(found, vrstandin.StockOf(item))
}

func equal[T comparable](found, want T) error {
	if found != want {
		return &AnswerError{Want: fmt.Sprint(want), Got: fmt.Sprint(found)}
	}
	return nil
}
