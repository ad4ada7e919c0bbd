package vrstandin

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"verbenaroute.example/verbenacore/vrid"
)

// Markers around the part of a prompt that decides the answer. A caller sends chat
// messages and the daemon makes a prompt of them; what stands around the caller's own
// text is the daemon's business, and the answer does not depend on it.
const (
	PromptOpen  = "[["
	PromptClose = "]]"
)

// Answer is what a language server generates for a prompt.
type Answer struct {
	Model   vrid.ModelID
	Adapter vrid.AdapterID
	Prompt  string
}

// Lengths of answers, in tokens.
const (
	_shortestAnswer = 8
	_lengthSpread   = 40
)

// subject is the marked part of the prompt, or all of it when the marks are missing.
func (a Answer) subject() string {
	start := strings.Index(a.Prompt, PromptOpen)
	end := strings.LastIndex(a.Prompt, PromptClose)
	if start < 0 || end < start {
		return a.Prompt
	}
	return a.Prompt[start+len(PromptOpen) : end]
}

func (a Answer) hash(salt int) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%s\x00%d", a.Model, a.Adapter, a.subject(), salt))
}

// Token returns the token at an offset, for example "7:1f03a2c4 ".
func (a Answer) Token(offset int) string {
	return fmt.Sprintf("%d:%08x ", offset, uint32(a.hash(offset)))
}

// Length returns the number of tokens and why the answer ends there.
func (a Answer) Length(maxTokens int) (int, string) {
	const lengthSalt = -1
	natural := _shortestAnswer + int(a.hash(lengthSalt)%_lengthSpread)
	if maxTokens > 0 && maxTokens < natural {
		return maxTokens, "length"
	}
	return natural, "stop"
}

// Text returns the whole answer.
func (a Answer) Text(maxTokens int) string {
	length, _ := a.Length(maxTokens)
	var text strings.Builder
	for offset := range length {
		text.WriteString(a.Token(offset))
	}
	return text.String()
}

// Prefix is the hash of the first part of a prompt, by which the prefix cache counts
// prompts as related.
func Prefix(prompt string) uint64 {
	const prefixBytes = 256
	if len(prompt) > prefixBytes {
		prompt = prompt[:prefixBytes]
	}
	return xxhash.Sum64String(prompt)
}
