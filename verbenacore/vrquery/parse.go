package vrquery

import (
	"errors"
	"fmt"
	"regexp"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// MaxStatementBytes is the maximum length of a statement in bytes.
const MaxStatementBytes = 64 << 10

// SyntaxError reports where a statement is invalid and what is expected there.
type SyntaxError struct {
	// Text is the statement. Line and Column give the position, counted from 1, with
	// columns in characters.
	Text   string
	Line   int
	Column int
	// Found is the token at that position, empty at the end of the statement.
	Found    string
	Expected string
}

// Error formats the line with a caret under the position of the error.
func (e *SyntaxError) Error() string {
	found := "the end"
	if e.Found != "" {
		found = fmt.Sprintf("%q", e.Found)
	}
	line := ""
	if lines := strings.Split(e.Text, "\n"); e.Line >= 1 && e.Line <= len(lines) {
		line = strings.ReplaceAll(lines[e.Line-1], "\t", " ")
	}
	caret := strings.Repeat(" ", max(e.Column-1, 0)) + "^"
	return fmt.Sprintf("%s\n%s\nfound %s, expected %s", line, caret, found, e.Expected)
}

// valueError reports an invalid value. Parse and Apply turn it into a SyntaxError.
type valueError struct {
	value    Value
	expected string
}

func (e *valueError) Error() string {
	return fmt.Sprintf("found %q, expected %s", e.value.Text, e.expected)
}

func expectedError(value Value, format string, args ...any) error {
	return &valueError{value: value, expected: fmt.Sprintf(format, args...)}
}

// addPosition turns a valueError into a SyntaxError with the position in text. It returns
// any other error unchanged.
func addPosition(text string, err error) error {
	var valueErr *valueError
	if !errors.As(err, &valueErr) {
		return err
	}
	return &SyntaxError{
		Text: text, Line: valueErr.value.Pos.Line, Column: valueErr.value.Pos.Column,
		Found: valueErr.value.Text, Expected: valueErr.expected,
	}
}

// Parse parses a statement and checks everything that can be checked without a
// configuration.
func Parse(text string) (*Statement, error) {
	if len(text) > MaxStatementBytes {
		return nil, &SyntaxError{Text: "", Line: 1, Column: 1, Expected: fmt.Sprintf("at most %d bytes", MaxStatementBytes)}
	}
	statement, err := _parser.ParseString("", text)
	if err != nil {
		return nil, syntaxError(text, err)
	}
	statement.Text = strings.TrimSpace(text)
	if statement.Show != nil {
		_, err = statement.Show.plan()
		if statement.Explain {
			err = expectedError(statement.Show.Target, "a command after explain: declare, retire, set, drain or undrain")
		}
	}
	if err != nil {
		return nil, addPosition(text, err)
	}
	return statement, nil
}

// IsCommand reports whether the statement changes the configuration.
func (s *Statement) IsCommand() bool { return s.Show == nil }

// syntaxError turns an error of the parser library into a SyntaxError.
func syntaxError(text string, err error) error {
	var parserErr participle.Error
	if !errors.As(err, &parserErr) {
		return err
	}
	position := parserErr.Position()
	syntaxErr := &SyntaxError{Text: text, Line: position.Line, Column: position.Column}
	var unexpected *participle.UnexpectedTokenError
	if !errors.As(err, &unexpected) {
		syntaxErr.Found = firstRune(text, position)
		syntaxErr.Expected = `a word, a string in double quotes or an operator`
		return syntaxErr
	}
	if !unexpected.Unexpected.EOF() {
		syntaxErr.Found = unexpected.Unexpected.Value
	}
	syntaxErr.Expected = expectedSymbols(parserErr.Message())
	if syntaxErr.Expected == "" {
		syntaxErr.Expected = expectedNext(text)
	}
	return syntaxErr
}

func firstRune(text string, position lexer.Position) string {
	if position.Offset >= len(text) {
		return ""
	}
	return string([]rune(text[position.Offset:])[0])
}

// _productions describes the grammar types whose names appear in the parser's errors.
var _productions = map[string]string{
	"Value":       "a value",
	"Attribute":   "an attribute with its value",
	"Or":          "a condition such as rank = urgent",
	"And":         "a condition such as rank = urgent",
	"Term":        "a condition such as rank = urgent",
	"Comparison":  "a condition such as rank = urgent",
	"Order":       "a column",
	"Declare":     "model, adapter, service, kind, pool, caller, region",
	"Thing":       "model, adapter, kind, pool, caller, region",
	"Retire":      "model, adapter, service, kind, pool, caller, region",
	"Set":         "rank, replicas, budget, weightStore, record, claims",
	"SetRank":     "urgent, normal, deferred",
	"SetReplicas": "a model and its replicas for each zone",
	"SetBudget":   "an amount such as 10GiB",
	"ServiceCall": "a method and a path",
}

var (
	_expected = regexp.MustCompile(`\(expected (.*)\)$`)
	_symbol   = regexp.MustCompile(`"([^"]+)"|([A-Za-z]+)`)
)

// expectedSymbols describes the grammar fragment in a parser error: it lists the first
// symbol of each alternative.
func expectedSymbols(message string) string {
	match := _expected.FindStringSubmatch(message)
	if match == nil {
		return ""
	}
	var names []string
	for _, alternative := range alternatives(match[1]) {
		symbol := _symbol.FindStringSubmatch(alternative)
		switch {
		case symbol == nil:
		case symbol[1] == "=":
			names = append(names, "=, !=, <, <=, >, >=, ~")
		case symbol[1] != "":
			names = append(names, symbol[1])
		case symbol[2] == "Show":
			names = append(names, "a table: "+strings.Join(TableNames(), ", "))
		default:
			names = append(names, _productions[symbol[2]])
		}
	}
	return strings.Join(names, ", ")
}

// alternatives splits a grammar fragment at its top-level | operators.
func alternatives(fragment string) []string {
	for strings.HasPrefix(fragment, "(") && isEnclosed(fragment) {
		fragment = fragment[1 : len(fragment)-1]
	}
	var parts []string
	depth, start := 0, 0
	for i, r := range fragment {
		switch {
		case r == '(':
			depth++
		case r == ')':
			depth--
		case r == '|' && depth == 0:
			parts = append(parts, alternatives(strings.TrimSpace(fragment[start:i]))...)
			start = i + 1
		}
	}
	rest := strings.TrimSpace(fragment[start:])
	if len(parts) == 0 {
		return []string{rest}
	}
	return append(parts, alternatives(rest)...)
}

// isEnclosed reports whether the last character closes the first parenthesis.
func isEnclosed(fragment string) bool {
	depth := 0
	for i, r := range fragment {
		switch r {
		case '(':
			depth++
		case ')':
			depth--
		}
		if depth == 0 {
			return i == len(fragment)-1
		}
	}
	return false
}

// expectedNext describes what can follow a statement that is valid so far.
func expectedNext(text string) string {
	const clauses = "where, columns, since, until, by, per, order by, limit or the end"
	words := strings.Fields(text)
	if len(words) > 0 && words[0] == "show" {
		return clauses
	}
	if len(words) > 1 && words[0] == "declare" && words[1] == "service" {
		return "pool, outcome, call or the end"
	}
	return "the end of the command"
}
