package vrfront

import (
	"strconv"

	"github.com/segmentio/encoding/json"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
)

// shape is the form of the answer.
type shape uint8

const (
	shapeChat shape = iota + 1
	shapeText
)

const (
	_eventData  = "data: "
	_eventError = "event: error\ndata: "
	_eventEnd   = "\n\n"
	_eventDone  = "data: [DONE]\n\n"
	// _headBytes hold the equal part of a chunk beside the model's name.
	_headBytes = 160
	// _answerSlack holds the rest of a whole answer beside its head and text.
	_answerSlack = 256
)

// format writes one request's answer. The parts that are equal in every chunk are
// encoded once, because encoding a struct for each token costs more than the copy.
type format struct {
	shape shape
	// chunkHead is a chunk up to its choices, chunkTail what follows them.
	chunkHead []byte
	chunkTail string
	// answerHead is a whole answer up to its choices.
	answerHead   []byte
	includeUsage bool
	promptTokens int
}

// formatOptions construct a format.
type formatOptions struct {
	Shape        shape
	Request      vrid.RequestID
	Model        string
	Created      int64
	IncludeUsage bool
	PromptTokens int
}

func newFormat(options formatOptions) *format {
	idPrefix, chunk, answer := "chatcmpl-", "chat.completion.chunk", "chat.completion"
	if options.Shape == shapeText {
		idPrefix, chunk, answer = "cmpl-", "text_completion", "text_completion"
	}
	head := func(start, object string) []byte {
		out := make([]byte, 0, _headBytes+len(options.Model))
		out = append(out, start...)
		out = append(out, `{"id":"`...)
		out = append(out, idPrefix...)
		out = append(out, options.Request...)
		out = append(out, `","object":"`...)
		out = append(out, object...)
		out = append(out, `","created":`...)
		out = strconv.AppendInt(out, options.Created, 10)
		out = append(out, `,"model":`...)
		out = json.AppendEscape(out, options.Model, 0)
		return append(out, `,"choices":[`...)
	}
	f := &format{
		shape:        options.Shape,
		chunkHead:    head(_eventData, chunk),
		chunkTail:    "]}" + _eventEnd,
		answerHead:   head("", answer),
		includeUsage: options.IncludeUsage,
		promptTokens: options.PromptTokens,
	}
	if f.includeUsage {
		f.chunkTail = `],"usage":null}` + _eventEnd
	}
	return f
}

// open appends what comes before the first token of a stream.
func (f *format) open(out []byte) []byte {
	if f.shape == shapeText {
		return out
	}
	out = append(out, f.chunkHead...)
	out = append(out, `{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}`...)
	return append(out, f.chunkTail...)
}

// chunk appends one token as a server-sent event.
func (f *format) chunk(out []byte, token string) []byte {
	out = append(out, f.chunkHead...)
	if f.shape == shapeChat {
		out = append(out, `{"index":0,"delta":{"content":`...)
		out = json.AppendEscape(out, token, 0)
		out = append(out, `},"finish_reason":null}`...)
	} else {
		out = append(out, `{"index":0,"text":`...)
		out = json.AppendEscape(out, token, 0)
		out = append(out, `,"logprobs":null,"finish_reason":null}`...)
	}
	return append(out, f.chunkTail...)
}

// close appends the end of a stream that was answered.
func (f *format) close(out []byte, finish string, tokens int) []byte {
	out = append(out, f.chunkHead...)
	if f.shape == shapeChat {
		out = append(out, `{"index":0,"delta":{},"finish_reason":`...)
	} else {
		out = append(out, `{"index":0,"text":"","logprobs":null,"finish_reason":`...)
	}
	out = json.AppendEscape(out, finishReason(finish), 0)
	out = append(out, '}')
	out = append(out, f.chunkTail...)
	if f.includeUsage {
		out = append(out, f.chunkHead...)
		out = append(out, `],"usage":`...)
		out = f.usage(out, tokens)
		out = append(out, '}')
		out = append(out, _eventEnd...)
	}
	return append(out, _eventDone...)
}

// fail appends a refusal after the stream began. There is no [DONE], so a client can't
// take the part that it has for the whole answer.
func (f *format) fail(out []byte, refusal vrevent.Refuse) []byte {
	out = append(out, _eventError...)
	out = appendProblem(out, refusal)
	return append(out, _eventEnd...)
}

// whole returns an answer that is not a stream.
func (f *format) whole(text []byte, finish string, tokens int) []byte {
	out := make([]byte, 0, len(f.answerHead)+len(text)+_answerSlack)
	out = append(out, f.answerHead...)
	if f.shape == shapeChat {
		out = append(out, `{"index":0,"message":{"role":"assistant","content":`...)
		out = json.AppendEscape(out, string(text), 0)
		out = append(out, `,"refusal":null},"logprobs":null,"finish_reason":`...)
	} else {
		out = append(out, `{"index":0,"text":`...)
		out = json.AppendEscape(out, string(text), 0)
		out = append(out, `,"logprobs":null,"finish_reason":`...)
	}
	out = json.AppendEscape(out, finishReason(finish), 0)
	out = append(out, `}],"usage":`...)
	out = f.usage(out, tokens)
	return append(out, '}')
}

func (f *format) usage(out []byte, tokens int) []byte {
	out = append(out, `{"prompt_tokens":`...)
	out = strconv.AppendInt(out, int64(f.promptTokens), 10)
	out = append(out, `,"completion_tokens":`...)
	out = strconv.AppendInt(out, int64(tokens), 10)
	out = append(out, `,"total_tokens":`...)
	out = strconv.AppendInt(out, int64(f.promptTokens+tokens), 10)
	return append(out, '}')
}

// plain appends a token of an answer that is collected as a whole.
func plain(out []byte, token string) []byte { return append(out, token...) }

func finishReason(found string) string {
	if found == "" {
		return "stop"
	}
	return found
}
