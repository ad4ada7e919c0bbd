// Package vrtrace walks from a request's id to the cause of its end through the JSON lines
// that gateways log. It needs nothing but the collected lines of the daemons.
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

// lineMost bounds one line.
const lineMost = 1 << 20

// around is how long before a request's arrival and after its end lines of its servers, its
// model and the placement owner count.
const around = 2 * time.Second

// Line is one line of a log.
type Line struct {
	Source  string
	Time    time.Time
	Message string
	fields  map[string]any
}

// Text returns a field as text.
func (l *Line) Text(name string) string {
	value, ok := l.fields[name].(string)
	if !ok {
		return ""
	}
	return value
}

// Log collects lines.
type Log struct {
	lines []Line
	// Unreadable counts the lines that are no JSON, for example cut ones.
	Unreadable int
}

// Add reads the lines of one daemon. What precedes the first brace of a line, for example
// the name that a collector wrote, is ignored.
func (l *Log) Add(source string, in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, 64<<10), lineMost)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		line, ok := parse(source, text[start:])
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

func parse(source string, text []byte) (Line, bool) {
	var fields map[string]any
	if err := json.Unmarshal(text, &fields); err != nil {
		return Line{}, false
	}
	line := Line{Source: source, fields: fields}
	line.Message = line.Text("message")
	at, err := time.Parse(time.RFC3339Nano, line.Text("time"))
	if err != nil || line.Message == "" {
		return Line{}, false
	}
	line.Time = at
	return line, true
}

// NotFoundError says that no line names the request.
type NotFoundError struct{ Request string }

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no line names request %q: collect the logs of all daemons of that time", e.Request)
}

// Explanation is the course of one request.
type Explanation struct {
	Request string
	// Steps are the request's own lines, Context those of its servers, its model and the
	// placement owner in the same time.
	Steps, Context []Line
	// Cause is one sentence.
	Cause string
}

// Explain returns the course of a request.
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
	e.Context = l.context(e.Steps)
	slices.SortStableFunc(e.Context, byTime)
	e.Cause = cause(e.Steps)
	return e, nil
}

// context are the lines that explain the steps.
func (l *Log) context(steps []Line) []Line {
	servers, models := make(map[string]bool), make(map[string]bool)
	for i := range steps {
		servers[steps[i].Text("server")] = true
		models[steps[i].Text("model")] = true
	}
	delete(servers, "")
	delete(models, "")
	from, to := steps[0].Time.Add(-around), steps[len(steps)-1].Time.Add(around)
	var found []Line
	for i := range l.lines {
		line := &l.lines[i]
		if line.Text("request") != "" || line.Time.Before(from) || line.Time.After(to) {
			continue
		}
		own := line.Source == steps[0].Source
		switch line.Message {
		case "store lost", "store back", "catalog in force", "gateway stops", "gateway starts":
			if own {
				found = append(found, *line)
			}
		case "lease acquired", "lease lost":
			found = append(found, *line)
		case "server seen", "server gone", "server set aside":
			if own && servers[line.Text("server")] {
				found = append(found, *line)
			}
		case "order", "order ended", "load ended":
			if models[line.Text("model")] {
				found = append(found, *line)
			}
		}
	}
	return found
}

// cause reads the last lines of a request.
func cause(steps []Line) string {
	var failed, wait, end *Line
	for i := range steps {
		switch steps[i].Message {
		case "send failed":
			failed = &steps[i]
		case "wait":
			wait = &steps[i]
		case "call ended":
			end = &steps[i]
		}
	}
	switch {
	case end == nil:
		return "its end was not logged: the daemon was killed, or its lines are missing"
	case end.Text("outcome") == "answered":
		return "it was answered by server " + end.Text("server")
	case end.Text("outcome") == "callerGone":
		return "its client left"
	case failed != nil && end.Text("outcome") == "broken":
		return fmt.Sprintf("its stream broke after %s events: server %s, %s (%s)",
			end.Text("events"), failed.Text("server"), failed.Text("result"), failed.Text("detail"))
	case failed != nil:
		return fmt.Sprintf("the last send, to server %s, ended as %s (%s); answered with %s",
			failed.Text("server"), failed.Text("result"), failed.Text("detail"), end.Text("reason"))
	case wait != nil:
		return fmt.Sprintf("it waited for %s %s and was refused with %s after %s ms",
			wait.Text("for"), wait.Text("model"), end.Text("reason"), end.Text("tookMs"))
	}
	return fmt.Sprintf("it was refused at once with %s", end.Text("reason"))
}

// Write prints the explanation.
func (e *Explanation) Write(out io.Writer) error {
	if _, err := fmt.Fprintf(out, "request %s: %s\n", e.Request, e.Cause); err != nil {
		return err
	}
	if err := writeLines(out, "course", e.Steps); err != nil {
		return err
	}
	return writeLines(out, "around it", e.Context)
}

func writeLines(out io.Writer, title string, lines []Line) error {
	if len(lines) == 0 {
		return nil
	}
	if _, err := fmt.Fprintf(out, "\n%s:\n", title); err != nil {
		return err
	}
	for i := range lines {
		if _, err := fmt.Fprintf(out, "  %s %s %s%s\n", lines[i].Time.Format("15:04:05.000"), lines[i].Source, lines[i].Message, lines[i].rest()); err != nil {
			return err
		}
	}
	return nil
}

// rest are the other fields, in order of their names.
func (l *Line) rest() string {
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
