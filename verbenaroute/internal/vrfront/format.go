package vrfront

import (
	"strconv"

	"github.com/segmentio/encoding/json"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
)

// completionAPI selects the OpenAI API whose format the answer has: chat completions or
// text completions.
type completionAPI uint8

const (
	chatAPI completionAPI = iota + 1
	textAPI
)

const (
	_dataPrefix       = "data: "
	_errorEventPrefix = "event: error\ndata: "
	_eventTerminator  = "\n\n"
	_doneEvent        = "data: [DONE]\n\n"
	// _chunkHeadCapacity is enough for the constant head of a chunk without the model's
	// name.
	_chunkHeadCapacity = 160
	// _answerTailCapacity is enough for the rest of an answer besides its head and text.
	_answerTailCapacity = 256
)

// answerEncoder encodes the answer to one request. The parts that are the same in every
// chunk are encoded once, because encoding a struct per token costs more than copying.
type answerEncoder struct {
	api completionAPI
	// chunkHead is the part of a chunk before its choices, chunkTail the part after them.
	chunkHead []byte
	chunkTail string
	// answerHead is the part of a non-streamed answer before its choices.
	answerHead   []byte
	includeUsage bool
	promptTokens int
}

// answerEncoderOptions configures an answerEncoder.
type answerEncoderOptions struct {
	API          completionAPI
	Request      vrid.RequestID
	Model        string
	Created      int64
	IncludeUsage bool
	PromptTokens int
}

func newAnswerEncoder(options answerEncoderOptions) *answerEncoder {
	idPrefix, chunk, answer := "chatcmpl-", "chat.completion.chunk", "chat.completion"
	if options.API == textAPI {
		idPrefix, chunk, answer = "cmpl-", "text_completion", "text_completion"
	}
	buildHead := func(prefix, object string) []byte {
		out := make([]byte, 0, _chunkHeadCapacity+len(options.Model))
		out = append(out, prefix...)
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
	e := &answerEncoder{
		api:          options.API,
		chunkHead:    buildHead(_dataPrefix, chunk),
		chunkTail:    "]}" + _eventTerminator,
		answerHead:   buildHead("", answer),
		includeUsage: options.IncludeUsage,
		promptTokens: options.PromptTokens,
	}
	if e.includeUsage {
		e.chunkTail = `],"usage":null}` + _eventTerminator
	}
	return e
}

// appendStreamStart appends the event that precedes the first token of a chat stream. Text
// streams have none.
func (e *answerEncoder) appendStreamStart(out []byte) []byte {
	if e.api == textAPI {
		return out
	}
	out = append(out, e.chunkHead...)
	out = append(out, `{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}`...)
	return append(out, e.chunkTail...)
}

// appendChunk appends one token as a server-sent event.
func (e *answerEncoder) appendChunk(out []byte, token string) []byte {
	out = append(out, e.chunkHead...)
	if e.api == chatAPI {
		out = append(out, `{"index":0,"delta":{"content":`...)
		out = json.AppendEscape(out, token, 0)
		out = append(out, `},"finish_reason":null}`...)
	} else {
		out = append(out, `{"index":0,"text":`...)
		out = json.AppendEscape(out, token, 0)
		out = append(out, `,"logprobs":null,"finish_reason":null}`...)
	}
	return append(out, e.chunkTail...)
}

// appendStreamEnd appends the final events of a complete stream.
func (e *answerEncoder) appendStreamEnd(out []byte, finishReason string, tokens int) []byte {
	out = append(out, e.chunkHead...)
	if e.api == chatAPI {
		out = append(out, `{"index":0,"delta":{},"finish_reason":`...)
	} else {
		out = append(out, `{"index":0,"text":"","logprobs":null,"finish_reason":`...)
	}
	out = json.AppendEscape(out, finishReasonOrStop(finishReason), 0)
	out = append(out, '}')
	out = append(out, e.chunkTail...)
	if e.includeUsage {
		out = append(out, e.chunkHead...)
		out = append(out, `],"usage":`...)
		out = e.appendUsage(out, tokens)
		out = append(out, '}')
		out = append(out, _eventTerminator...)
	}
	return append(out, _doneEvent...)
}

// appendRefusal appends a refusal to a stream that has already started. No [DONE] follows,
// so that a client can't mistake the partial answer for a complete one.
func (e *answerEncoder) appendRefusal(out []byte, refusal vrevent.Refuse) []byte {
	out = append(out, _errorEventPrefix...)
	out = appendProblem(out, refusal)
	return append(out, _eventTerminator...)
}

// encodeAnswer returns an answer that is not streamed.
func (e *answerEncoder) encodeAnswer(text []byte, finishReason string, tokens int) []byte {
	out := make([]byte, 0, len(e.answerHead)+len(text)+_answerTailCapacity)
	out = append(out, e.answerHead...)
	if e.api == chatAPI {
		out = append(out, `{"index":0,"message":{"role":"assistant","content":`...)
		out = json.AppendEscape(out, string(text), 0)
		out = append(out, `,"refusal":null},"logprobs":null,"finish_reason":`...)
	} else {
		out = append(out, `{"index":0,"text":`...)
		out = json.AppendEscape(out, string(text), 0)
		out = append(out, `,"logprobs":null,"finish_reason":`...)
	}
	out = json.AppendEscape(out, finishReasonOrStop(finishReason), 0)
	out = append(out, `}],"usage":`...)
	out = e.appendUsage(out, tokens)
	return append(out, '}')
}

func (e *answerEncoder) appendUsage(out []byte, tokens int) []byte {
	out = append(out, `{"prompt_tokens":`...)
	out = strconv.AppendInt(out, int64(e.promptTokens), 10)
	out = append(out, `,"completion_tokens":`...)
	out = strconv.AppendInt(out, int64(tokens), 10)
	out = append(out, `,"total_tokens":`...)
	out = strconv.AppendInt(out, int64(e.promptTokens+tokens), 10)
	return append(out, '}')
}

// appendText appends a token without encoding, for an answer that is not streamed.
func appendText(out []byte, token string) []byte { return append(out, token...) }

func finishReasonOrStop(reason string) string {
	if reason == "" {
		return "stop"
	}
	return reason
}
