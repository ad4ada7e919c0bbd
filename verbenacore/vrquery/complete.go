package vrquery

import (
	"errors"
	"regexp"
	"slices"
	"strings"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
)

// probe is a word that is valid nowhere, so that the parser's error lists the words that
// it expects instead.
const probe = "zzprobe"

// _completableWord matches expected symbols that can be offered as a completion.
var _completableWord = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9.]*$`)

// Complete returns the words that can complete or follow line, whose last word may be
// incomplete.
func Complete(line string) []string {
	wordStart := strings.LastIndexAny(line, " \t(,=") + 1
	prefix, partialWord := line[:wordStart], line[wordStart:]
	var words []string
	if strings.TrimSpace(prefix) == "" {
		// The parser's error message omits optional tokens.
		words = append(words, "explain")
	}
	for _, attempt := range []string{prefix, prefix + " " + probe, prefix + " " + probe + " " + probe} {
		words = append(words, candidates(attempt, len([]rune(prefix)))...)
	}
	words = slices.DeleteFunc(words, func(word string) bool { return !strings.HasPrefix(word, partialWord) })
	slices.Sort(words)
	return slices.Compact(words)
}

// candidates extracts the expected words from the error that line causes at its end. end
// is the length of the complete part of the line, in characters.
func candidates(line string, end int) []string {
	statement, err := Parse(line)
	if err == nil && statement.IsCommand() {
		// Attribute names are only checked when a command is applied.
		_, _, err = Apply(fleetWithRanks(), statement)
	}
	var syntax *SyntaxError
	if !errors.As(err, &syntax) || syntax.Column < end || syntax.Found != "" && !isFirstProbe(syntax, end) {
		return nil
	}
	choices := syntax.Expected
	if strings.HasPrefix(choices, "a condition") {
		return conditionColumns(line)
	}
	if before, list, found := strings.Cut(choices, ": "); found && strings.HasPrefix(before, "a ") {
		choices = list
	}
	choices = strings.TrimPrefix(choices, "one of ")
	choices = strings.ReplaceAll(choices, " or ", ", ")
	var words []string
	for word := range strings.SplitSeq(choices, ", ") {
		if word == "order by" || _completableWord.MatchString(word) {
			words = append(words, word)
		}
	}
	return words
}

// isFirstProbe reports whether the error is at the probe that directly follows the
// complete part of the line.
func isFirstProbe(syntax *SyntaxError, end int) bool {
	// A space precedes the probe, and columns count from 1.
	const probeOffset = 2
	return syntax.Found == probe && syntax.Column == end+probeOffset
}

// fleetWithRanks returns a configuration that contains only empty rank policies, against
// which set rank commands can be checked.
func fleetWithRanks() *vrconfig.Fleet {
	fleet := &vrconfig.Fleet{}
	for _, rank := range vrid.Ranks() {
		fleet.Ranks = append(fleet.Ranks, vrconfig.RankPolicy{Rank: rank})
	}
	return fleet
}

// conditionColumns returns the columns of the table that a query line names.
func conditionColumns(line string) []string {
	words := strings.Fields(line)
	const tableIndex = 1
	if len(words) <= tableIndex {
		return nil
	}
	return ColumnNames(words[tableIndex])
}
