// Package vrtrace finds out from the JSON log lines of the gateways how a request ended and why.
// It needs no input other than the collected lines of the daemons.
package vrtrace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// contextMargin is the time before a request's first line and after its last one within which
// the lines of its servers, its model and the placement owner belong to its context.
const contextMargin = 2 * time.Second

// Line is one log line.
type Line struct {
	Source  string
	Time    time.Time
	Message string
	fields  map[string]any
}

// currentMessages maps the messages of former builds that Explain interprets to the present ones.
// Former messages occur in kept log files, and in the logs of a fleet that is being upgraded. Lines
// are printed with the message that was logged.
var currentMessages = map[string]string{
	"catalog in force": "catalog adopted",
	"gateway starts":   "gateway starting",
	"gateway stops":    "gateway stopping",
	"order":            "order issued",
	"server gone":      "server removed",
	"server seen":      "server registration changed",
	"server set aside": "server ejected",
	"store back":       "store available again",
	"store lost":       "store unavailable",
	"wait":             "call queued",
}

// currentMessage returns the message that the present build logs for the event of the line.
func (l *Line) currentMessage() string {
	if message, former := currentMessages[l.Message]; former {
		return message
	}
	return l.Message
}

// Text returns the value of a field, or an empty string if it is missing or not a string.
func (l *Line) Text(name string) string {
	value, ok := l.fields[name].(string)
	if !ok {
		return ""
	}
	return value
}

// Log holds the collected log lines.
type Log struct {
	lines []Line
	// Unreadable counts the lines that are not valid log entries, for example truncated ones.
	Unreadable int
}

// Add reads the lines of one daemon. If a line has text before its first brace, for example the
// name that a log collector wrote, the last word of that text replaces source. Lines without a
// brace are ignored.
func (l *Log) Add(source string, in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		line, ok := parseLine(source, text[start:])
		if !ok {
			l.Unreadable++
			continue
		}
		if prefix := bytes.Fields(text[:start]); len(prefix) > 0 {
			line.Source = string(prefix[len(prefix)-1])
		}
		l.lines = append(l.lines, line)
	}
	return scanner.Err()
}

// parseLine parses the JSON object of a line. It fails if there is no message or no valid time.
func parseLine(source string, text []byte) (Line, bool) {
	var fields map[string]any
	if err := json.Unmarshal(text, &fields); err != nil {
		return Line{}, false
	}
	line := Line{Source: source, fields: fields}
	line.Message = line.Text("message")
	timestamp, err := time.Parse(time.RFC3339Nano, line.Text("time"))
	if err != nil || line.Message == "" {
		return Line{}, false
	}
	line.Time = timestamp
	return line, true
}

// NotFoundError reports that no log line names the request.
type NotFoundError struct{ Request string }

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no log line names request %q: collect the logs of all daemons for that time", e.Request)
}

// Explanation describes how one request was handled and why it ended as it did.
type Explanation struct {
	Request string
	// Steps holds the request's own lines, Context the lines of its servers, its model and the
	// placement owner from about the same time. Both are in order of time.
	Steps, Context []Line
	// Cause states in one sentence how the request ended and why.
	Cause string
}

// Explain returns the explanation of a request, or a *NotFoundError.
func (l *Log) Explain(request string) (*Explanation, error) {
	e := &Explanation{Request: request}
	for i := range l.lines {
		if l.lines[i].Text("request") == request {
			e.Steps = append(e.Steps, l.lines[i])
		}
	}
	if len(e.Steps) == 0 {
		return nil, &NotFoundError{Request: request}
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(e.Steps, byTime)
	e.Context = l.contextLines(e.Steps)
	slices.SortStableFunc(e.Context, byTime)
	e.Cause = causeOf(e.Steps)
	return e, nil
}

// contextLines returns the lines of other events that may explain the steps.
func (l *Log) contextLines(steps []Line) []Line {
	servers, models := make(map[string]bool), make(map[string]bool)
	for i := range steps {
		servers[steps[i].Text("server")] = true
		models[steps[i].Text("model")] = true
	}
	delete(servers, "")
	delete(models, "")
	from, to := steps[0].Time.Add(-contextMargin), steps[len(steps)-1].Time.Add(contextMargin)
	var selected []Line
	for i := range l.lines {
		line := &l.lines[i]
		if line.Text("request") != "" || line.Time.Before(from) || line.Time.After(to) {
			continue
		}
		sameDaemon := line.Source == steps[0].Source
		switch line.currentMessage() {
		case "store unavailable", "store available again", "catalog adopted", "settings reloaded", "gateway stopping", "gateway starting":
			if sameDaemon {
				selected = append(selected, *line)
			}
		case "lease acquired", "lease lost":
			selected = append(selected, *line)
		case "server registration changed", "server removed", "server ejected":
			if sameDaemon && servers[line.Text("server")] {
				selected = append(selected, *line)
			}
		case "order issued", "order ended", "load ended":
			if models[line.Text("model")] {
				selected = append(selected, *line)
			}
		}
	}
	return selected
}

// causeOf derives the cause from the last send failure, the last wait and the end of a request, and
// from the line that says that its response did not reach the client in full.
func causeOf(steps []Line) string {
	var lastFailure, lastWait, end, cut *Line
	for i := range steps {
		switch steps[i].currentMessage() {
		case "send failed":
			lastFailure = &steps[i]
		case "call queued":
			lastWait = &steps[i]
		case "call ended":
			end = &steps[i]
		case "request cut":
			cut = &steps[i]
		}
	}
	if cut == nil || cut.Text("cause") == "clientGone" {
		return causeOfEnd(lastFailure, lastWait, end)
	}
	text := "its connection was cut: " + cut.Text("cause")
	if detail := cut.Text("detail"); detail != "" {
		text += " (" + detail + ")"
	}
	if end == nil || end.Text("outcome") == "callerGone" {
		// The reducer knows nothing of the request, or took the cut for a client that left.
		return text
	}
	return causeOfEnd(lastFailure, lastWait, end) + "; " + text
}

// causeOfEnd derives the cause from the last send failure, the last wait and the end of a request,
// each of which may be nil.
func causeOfEnd(lastFailure, lastWait, end *Line) string {
	switch {
	case end == nil:
		return "its end was not logged: the daemon was killed, or its lines are missing"
	case end.Text("outcome") == "answered":
		return "it was answered by server " + end.Text("server")
	case end.Text("outcome") == "callerGone":
		return "its client left"
	case lastFailure != nil && end.Text("outcome") == "broken":
		return fmt.Sprintf("its stream broke after %s events: server %s, %s (%s)",
			end.Text("events"), lastFailure.Text("server"), lastFailure.Text("result"), lastFailure.Text("detail"))
	case lastFailure != nil:
		return fmt.Sprintf("the last send, to server %s, ended as %s (%s); answered with %s",
			lastFailure.Text("server"), lastFailure.Text("result"), lastFailure.Text("detail"), end.Text("reason"))
	case lastWait != nil:
		return fmt.Sprintf("it waited for %s %s and was refused with %s after %s ms",
			lastWait.Text("for"), lastWait.Text("model"), end.Text("reason"), end.Text("tookMs"))
	}
	return fmt.Sprintf("it was refused at once with %s", end.Text("reason"))
}

// Write writes the explanation as text.
func (e *Explanation) Write(out io.Writer) error {
	if _, err := fmt.Fprintf(out, "request %s: %s\n", e.Request, e.Cause); err != nil {
		return err
	}
	if err := writeLines(out, "steps", e.Steps); err != nil {
		return err
	}
	return writeLines(out, "context", e.Context)
}

// writeLines writes a title and the lines. It writes nothing if there are no lines.
func writeLines(out io.Writer, title string, lines []Line) error {
	if len(lines) == 0 {
		return nil
	}
	if _, err := fmt.Fprintf(out, "\n%s:\n", title); err != nil {
		return err
	}
	for i := range lines {
		if _, err := fmt.Fprintf(out, "  %s %s %s%s\n", lines[i].Time.Format("15:04:05.000"), lines[i].Source, lines[i].Message, lines[i].otherFields()); err != nil {
			return err
		}
	}
	return nil
}

// otherFields formats the fields that have no column of their own, sorted by name.
func (l *Line) otherFields() string {
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		switch name {
		case "level", "time", "message", "request":
		default:
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var text bytes.Buffer
	for _, name := range names {
		fmt.Fprintf(&text, " %s=%v", name, l.fields[name])
	}
	return text.String()
}
