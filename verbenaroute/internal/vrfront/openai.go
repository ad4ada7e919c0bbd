package vrfront

import (
	"encoding/json"
	"strings"

	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// _defaultChatTokens and _defaultTextTokens apply if the caller sets no token limit.
	_defaultChatTokens = 512
	_defaultTextTokens = 16
	// _maxTokens is the largest token limit that a caller may set.
	_maxTokens = 1 << 17
	// _bytesPerToken is used to estimate the number of prompt tokens for the usage counts,
	// because the language servers do not report it.
	_bytesPerToken = 4
)

// modelBody holds the fields that are read from the bodies of both model paths. Fields
// without a counterpart in the language servers' API, such as temperature, are ignored.
type modelBody struct {
	Model               string          `json:"model"`
	Messages            []chatMessage   `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       streamOptions   `json:"stream_options"`
	N                   *int            `json:"n"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMessage struct {
	Role    string      `json:"role"`
	Content chatContent `json:"content"`
}

// chatContent is the text of a message. In JSON it is a string, a list of text parts or
// null.
type chatContent string

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON decodes any of the three forms. It joins the texts of a list.
func (c *chatContent) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] != '[' {
		return json.Unmarshal(data, (*string)(c))
	}
	var parts []contentPart
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	var text strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return reject(vrwire.ReasonInvalidRequest, "a message part is not a text")
		}
		text.WriteString(part.Text)
	}
	*c = chatContent(text.String())
	return nil
}

// parseModelBody decodes the body and validates the fields that both paths share.
func parseModelBody(data []byte) (*modelBody, *RejectError) {
	body := &modelBody{}
	if err := json.Unmarshal(data, body); err != nil {
		return nil, reject(vrwire.ReasonInvalidRequest, "the body is not a valid JSON request: "+jsonDetail(err))
	}
	if body.Model == "" {
		return nil, reject(vrwire.ReasonInvalidRequest, "model is missing")
	}
	if body.N != nil && *body.N != 1 {
		return nil, reject(vrwire.ReasonInvalidRequest, "n must be 1")
	}
	return body, nil
}

// jsonDetail returns the decoder's message, cut to 120 bytes so that it does not repeat the
// caller's text at length.
func jsonDetail(err error) string {
	const maxLength = 120
	text := err.Error()
	if len(text) > maxLength {
		text = text[:maxLength]
	}
	return text
}

// tokenLimit returns the maximum number of tokens to generate.
func (b *modelBody) tokenLimit(defaultTokens int) (int, *RejectError) {
	tokens := defaultTokens
	if b.MaxTokens != nil {
		tokens = *b.MaxTokens
	}
	if b.MaxCompletionTokens != nil {
		tokens = *b.MaxCompletionTokens
	}
	if tokens < 1 || tokens > _maxTokens {
		return 0, reject(vrwire.ReasonInvalidRequest, "max_tokens must be 1 to 131072")
	}
	return tokens, nil
}

// chatPrompt joins the messages, one per line, and appends the start of the assistant's
// turn.
func (b *modelBody) chatPrompt() (string, *RejectError) {
	if len(b.Messages) == 0 {
		return "", reject(vrwire.ReasonInvalidRequest, "messages is missing or empty")
	}
	var prompt strings.Builder
	for _, message := range b.Messages {
		if message.Role == "" {
			return "", reject(vrwire.ReasonInvalidRequest, "a message has no role")
		}
		prompt.WriteString(message.Role)
		prompt.WriteString(": ")
		prompt.WriteString(string(message.Content))
		prompt.WriteByte('\n')
	}
	prompt.WriteString("assistant: ")
	return prompt.String(), nil
}

// textPrompt returns the prompt of /v1/completions: a string or a list of one string.
func (b *modelBody) textPrompt() (string, *RejectError) {
	var text string
	if json.Unmarshal(b.Prompt, &text) == nil && text != "" {
		return text, nil
	}
	var list []string
	if json.Unmarshal(b.Prompt, &list) == nil && len(list) == 1 && list[0] != "" {
		return list[0], nil
	}
	return "", reject(vrwire.ReasonInvalidRequest, "prompt must be one text")
}

func estimatePromptTokens(prompt string) int {
	return (len(prompt) + _bytesPerToken - 1) / _bytesPerToken
}
