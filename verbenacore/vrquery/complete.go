package vrquery

import (
	"errors"
	"regexp"
	"slices"
	"strings"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
)

// probe is a word that no statement expects, so that the parser says what it does.
const probe = "zzprobe"

var _candidate = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9.]*$`)

// Complete returns the words that may stand at the end of a line that begins so. The
// last word of the line may be incomplete.
func Complete(line string) []string {
	cut := strings.LastIndexAny(line, " \t(,=") + 1
	head, part := line[:cut], line[cut:]
	var words []string
	if strings.TrimSpace(head) == "" {
		// The parser's message leaves out what is optional.
		words = append(words, "explain")
	}
	for _, attempt := range []string{head, head + " " + probe, head + " " + probe + " " + probe} {
		words = append(words, candidates(attempt, len([]rune(head)))...)
	}
	words = slices.DeleteFunc(words, func(word string) bool { return !strings.HasPrefix(word, part) })
	slices.Sort(words)
	return slices.Compact(words)
}

// candidates reads the words from what an error at the end of the line expects.
func candidates(line string, end int) []string {
	statement, err := Parse(line)
	if err == nil && statement.IsCommand() {
		// Names of attributes are checked when a command is applied.
		_, _, err = Apply(ranksOnly(), statement)
	}
	var syntax *SyntaxError
	if !errors.As(err, &syntax) || syntax.Column < end || syntax.Found != "" && !isFirstProbe(syntax, end) {
		return nil
	}
	expected := syntax.Expected
	if strings.HasPrefix(expected, "a condition") {
		return conditionColumns(line)
	}
	if before, list, found := strings.Cut(expected, ": "); found && strings.HasPrefix(before, "a ") {
		expected = list
	}
	expected = strings.TrimPrefix(expected, "one of ")
	expected = strings.ReplaceAll(expected, " or ", ", ")
	var words []string
	for word := range strings.SplitSeq(expected, ", ") {
		if word == "order by" || _candidate.MatchString(word) {
			words = append(words, word)
		}
	}
	return words
}

// isFirstProbe reports whether the error is at the probe right after the line's head: a
// space lies between them, and columns count from 1.
func isFirstProbe(syntax *SyntaxError, end int) bool {
	const space = 2
	return syntax.Found == probe && syntax.Column == end+space
}

func ranksOnly() *vrconfig.Fleet {
	fleet := &vrconfig.Fleet{}
	for _, rank := range vrid.Ranks() {
		fleet.Ranks = append(fleet.Ranks, vrconfig.RankPolicy{Rank: rank})
	}
	return fleet
}

func conditionColumns(line string) []string {
	words := strings.Fields(line)
	const targetPlace = 1
	if len(words) <= targetPlace {
		return nil
	}
	return ColumnsOf(words[targetPlace])
}
