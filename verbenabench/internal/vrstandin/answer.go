package vrstandin

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"verbenaroute.example/verbenacore/vrid"
)

// Markers around the part of a prompt that determines the answer. A caller sends chat
// messages and the daemon renders them into a prompt. The answer must not depend on the
// text that the daemon adds around the caller's own text.
const (
	PromptOpen  = "[["
	PromptClose = "]]"
)

// Answer is the deterministic answer of a language server to a prompt.
type Answer struct {
	Model   vrid.ModelID
	Adapter vrid.AdapterID
	Prompt  string
}

// Lengths of answers, in tokens.
const (
	_minAnswerTokens    = 8
	_answerTokensSpread = 40
)

// markedText returns the part of the prompt between the markers, or the whole prompt if a
// marker is missing.
func (a Answer) markedText() string {
	start := strings.Index(a.Prompt, PromptOpen)
	end := strings.LastIndex(a.Prompt, PromptClose)
	if start < 0 || end < start {
		return a.Prompt
	}
	return a.Prompt[start+len(PromptOpen) : end]
}

func (a Answer) hash(salt int) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%s\x00%d", a.Model, a.Adapter, a.markedText(), salt))
}

// Token returns the token at an offset, for example "7:1f03a2c4 ".
func (a Answer) Token(offset int) string {
	return fmt.Sprintf("%d:%08x ", offset, uint32(a.hash(offset)))
}

// Length returns the number of tokens and the finish reason.
func (a Answer) Length(maxTokens int) (int, string) {
	const lengthSalt = -1
	untruncated := _minAnswerTokens + int(a.hash(lengthSalt)%_answerTokensSpread)
	if maxTokens > 0 && maxTokens < untruncated {
		return maxTokens, "length"
	}
	return untruncated, "stop"
}

// Text returns the complete answer.
func (a Answer) Text(maxTokens int) string {
	length, _ := a.Length(maxTokens)
	var text strings.Builder
	for offset := range length {
		text.WriteString(a.Token(offset))
	}
	return text.String()
}

// PrefixHash returns a hash of the first 256 bytes of a prompt. The prefix cache treats
// prompts with the same hash as sharing a prefix.
func PrefixHash(prompt string) uint64 {
	const prefixBytes = 256
	if len(prompt) > prefixBytes {
		prompt = prompt[:prefixBytes]
	}
	return xxhash.Sum64String(prompt)
}
