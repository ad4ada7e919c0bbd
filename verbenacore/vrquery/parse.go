package vrquery

import (
	"errors"
	"fmt"
	"regexp"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// MaxText bounds a statement.
const MaxText = 64 << 10

// SyntaxError says where a statement is wrong and what may stand there.
type SyntaxError struct {
	// Text is the statement, Line and Column (from 1, in characters) the place.
	Text   string
	Line   int
	Column int
	// Found is the text at the place, empty at the end.
	Found    string
	Expected string
}

// Error shows the line with a caret under the place.
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

// valueError is a mistake at a value; Parse and Apply add the text.
type valueError struct {
	value    Value
	expected string
}

func (e *valueError) Error() string {
	return fmt.Sprintf("found %q, expected %s", e.value.Text, e.expected)
}

func expect(value Value, format string, args ...any) error {
	return &valueError{value: value, expected: fmt.Sprintf(format, args...)}
}

// locate turns a mistake at a value into a SyntaxError.
func locate(text string, err error) error {
	var wrong *valueError
	if !errors.As(err, &wrong) {
		return err
	}
	return &SyntaxError{
		Text: text, Line: wrong.value.Pos.Line, Column: wrong.value.Pos.Column,
		Found: wrong.value.Text, Expected: wrong.expected,
	}
}

// Parse reads one statement and checks everything that needs no configuration.
func Parse(text string) (*Statement, error) {
	if len(text) > MaxText {
		return nil, &SyntaxError{Text: "", Line: 1, Column: 1, Expected: fmt.Sprintf("at most %d bytes", MaxText)}
	}
	statement, err := _parser.ParseString("", text)
	if err != nil {
		return nil, syntaxError(text, err)
	}
	statement.Text = strings.TrimSpace(text)
	if statement.Show != nil {
		_, err = statement.Show.plan()
		if statement.Explain {
			err = expect(statement.Show.Target, "a command after explain: declare, retire, set, drain or undrain")
		}
	}
	if err != nil {
		return nil, locate(text, err)
	}
	return statement, nil
}

// IsCommand reports whether the statement changes the configuration.
func (s *Statement) IsCommand() bool { return s.Show == nil }

func syntaxError(text string, err error) error {
	var parse participle.Error
	if !errors.As(err, &parse) {
		return err
	}
	place := parse.Position()
	failure := &SyntaxError{Text: text, Line: place.Line, Column: place.Column}
	var unexpected *participle.UnexpectedTokenError
	if !errors.As(err, &unexpected) {
		failure.Found = firstRune(text, place)
		failure.Expected = `a word, a string in double quotes or an operator`
		return failure
	}
	if !unexpected.Unexpected.EOF() {
		failure.Found = unexpected.Unexpected.Value
	}
	failure.Expected = expectation(parse.Message())
	if failure.Expected == "" {
		failure.Expected = continuation(text)
	}
	return failure
}

func firstRune(text string, place lexer.Position) string {
	if place.Offset >= len(text) {
		return ""
	}
	return string([]rune(text[place.Offset:])[0])
}

// _productions describes the grammar's parts that an error may name.
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

// expectation words the grammar fragment in a parser's message: the first symbol of
// each alternative.
func expectation(message string) string {
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
			names = append(names, "a table: "+strings.Join(Targets(), ", "))
		default:
			names = append(names, _productions[symbol[2]])
		}
	}
	return strings.Join(names, ", ")
}

// alternatives splits a grammar fragment at its outermost bars.
func alternatives(fragment string) []string {
	for strings.HasPrefix(fragment, "(") && closes(fragment) {
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

// closes reports whether the first parenthesis is closed by the last character.
func closes(fragment string) bool {
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

// continuation says what may follow a statement that is complete so far.
func continuation(text string) string {
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
