package vrquery

import (
	"bytes"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

// ColumnKind determines how the cells of a column are parsed, compared and formatted.
type ColumnKind string

// Kinds of columns. Durations are in seconds, times in seconds since the Unix epoch.
const (
	KindText     ColumnKind = "text"
	KindNumber   ColumnKind = "number"
	KindDuration ColumnKind = "duration"
	KindTime     ColumnKind = "time"
	KindBytes    ColumnKind = "bytes"
)

// Cell is a value in a table: a text, a number or no value.
type Cell struct {
	Text     string
	Number   float64
	IsNumber bool
	IsSet    bool
}

func textCell[T ~string](text T) Cell { return Cell{Text: string(text), IsSet: text != ""} }

func numberCell[T ~int | ~int64 | ~uint32 | ~uint64 | ~float64](number T) Cell {
	return Cell{Number: float64(number), IsNumber: true, IsSet: true}
}

func boolCell(value bool) Cell { return textCell(formatBool(value)) }

// microsCell converts a duration that the record stores in microseconds; 0 is no value.
func microsCell(micros int64) Cell {
	if micros == 0 {
		return Cell{}
	}
	return numberCell(float64(micros) / float64(time.Second/time.Microsecond))
}

// millisCell converts a Unix time that the record stores in milliseconds; 0 is no value.
func millisCell(millis int64) Cell {
	if millis == 0 {
		return Cell{}
	}
	return numberCell(float64(millis) / float64(time.Second/time.Millisecond))
}

// MarshalJSON encodes the cell as null, a number or a string.
func (c Cell) MarshalJSON() ([]byte, error) {
	switch {
	case !c.IsSet:
		return []byte("null"), nil
	case c.IsNumber:
		return json.Marshal(c.Number)
	}
	return json.Marshal(c.Text)
}

// UnmarshalJSON decodes the encoding of MarshalJSON.
func (c *Cell) UnmarshalJSON(data []byte) error {
	*c = Cell{}
	if bytes.Equal(data, []byte("null")) {
		return nil
	}
	c.IsSet = true
	if data[0] == '"' {
		return json.Unmarshal(data, &c.Text)
	}
	c.IsNumber = true
	return json.Unmarshal(data, &c.Number)
}

// compare returns a negative number if c sorts before other, 0 if they are equal and a
// positive number otherwise. Cells without a value sort first.
func (c Cell) compare(other Cell) int {
	switch {
	case c.IsSet != other.IsSet:
		return sign(c.IsSet, other.IsSet)
	case c.IsNumber && c.Number != other.Number:
		return sign(c.Number > other.Number, c.Number < other.Number)
	}
	return strings.Compare(c.Text, other.Text)
}

// sign returns 1 for greater, -1 for less and 0 for neither or both.
func sign(greater, less bool) int {
	switch {
	case greater && !less:
		return 1
	case less && !greater:
		return -1
	}
	return 0
}

// Column is the name and kind of a table's column.
type Column struct {
	Name string     `json:"name"`
	Kind ColumnKind `json:"kind"`
}

// Table is the result of a query.
type Table struct {
	Columns []Column `json:"columns"`
	Rows    [][]Cell `json:"rows"`
	// Scanned counts the rows that were read.
	Scanned int `json:"scanned"`
	// Truncated is set if more rows matched than the limit of the query allows.
	Truncated bool `json:"truncated,omitempty"`
	// Missing describes the data that could not be read: zones, time ranges, unreadable
	// blocks.
	Missing []string `json:"missing,omitempty"`
}

// ColumnIndex returns the index of the column with the given name, or -1.
func (t *Table) ColumnIndex(name string) int {
	for i, column := range t.Columns {
		if column.Name == name {
			return i
		}
	}
	return -1
}

// Format is an output format.
type Format string

// Output formats.
const (
	FormatTable Format = "table"
	FormatJSON  Format = "json"
	FormatCSV   Format = "csv"
)

// FormatError reports an unknown output format.
type FormatError struct{ Found Format }

func (e *FormatError) Error() string {
	return fmt.Sprintf("output %q is unknown, allowed are table, json, csv", e.Found)
}

// Write writes the table to w in the given format.
func (t *Table) Write(w io.Writer, format Format) error {
	switch format {
	case FormatTable:
		return t.writeText(w)
	case FormatJSON:
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(t.toJSON())
	case FormatCSV:
		return t.writeCSV(w)
	}
	return &FormatError{Found: format}
}

// jsonTable is the JSON output format of a table.
type jsonTable struct {
	Rows      []map[string]any `json:"rows"`
	Truncated bool             `json:"truncated,omitempty"`
	Missing   []string         `json:"missing,omitempty"`
}

// toJSON converts the table to its JSON output format.
func (t *Table) toJSON() jsonTable {
	result := jsonTable{Rows: make([]map[string]any, 0, len(t.Rows)), Truncated: t.Truncated, Missing: t.Missing}
	for _, row := range t.Rows {
		object := make(map[string]any, len(row))
		for i, cell := range row {
			object[t.Columns[i].Name] = exportValue(t.Columns[i].Kind, cell)
		}
		result.Rows = append(result.Rows, object)
	}
	return result
}

// exportValue converts a cell to its value in JSON and CSV output.
func exportValue(kind ColumnKind, cell Cell) any {
	switch {
	case !cell.IsSet:
		return nil
	case kind == KindTime:
		return formatTime(cell.Number, time.RFC3339Nano)
	case cell.IsNumber:
		return cell.Number
	}
	return cell.Text
}

func formatTime(seconds float64, layout string) string {
	return time.UnixMilli(int64(math.Round(seconds * 1000))).UTC().Format(layout)
}

func (t *Table) writeCSV(w io.Writer) error {
	writer := csv.NewWriter(w)
	header := make([]string, len(t.Columns))
	for i, column := range t.Columns {
		header[i] = column.Name
	}
	_ = writer.Write(header)
	for _, row := range t.Rows {
		line := make([]string, len(row))
		for i, cell := range row {
			if value := exportValue(t.Columns[i].Kind, cell); value != nil {
				line[i] = fmt.Sprint(value)
			}
			if cell.IsNumber && t.Columns[i].Kind != KindTime {
				line[i] = strconv.FormatFloat(cell.Number, 'f', -1, 64)
			}
		}
		_ = writer.Write(line)
	}
	writer.Flush()
	return writer.Error()
}

// FormatCell formats a cell for text output, for example "1.24s" or "14GiB".
func FormatCell(kind ColumnKind, cell Cell) string {
	switch {
	case !cell.IsSet:
		return "-"
	case !cell.IsNumber:
		return sanitize(cell.Text)
	case kind == KindDuration:
		return humanDuration(cell.Number)
	case kind == KindTime:
		return formatTime(cell.Number, "2006-01-02 15:04:05")
	case kind == KindBytes:
		return humanBytes(cell.Number)
	case cell.Number == math.Trunc(cell.Number):
		return strconv.FormatFloat(cell.Number, 'f', 0, 64)
	}
	return strconv.FormatFloat(cell.Number, 'f', 2, 64)
}

// sanitize replaces non-printable characters. Texts in the record come from callers and
// must not be able to send control sequences to the operator's terminal.
func sanitize(text string) string {
	return strings.Map(func(r rune) rune {
		if !strconv.IsPrint(r) {
			return '?'
		}
		return r
	}, text)
}

func humanDuration(seconds float64) string {
	d := time.Duration(seconds * float64(time.Second))
	switch {
	case d >= time.Minute:
		return d.Round(time.Second).String()
	case d >= time.Second:
		return d.Round(10 * time.Millisecond).String()
	case d >= time.Millisecond:
		return d.Round(100 * time.Microsecond).String()
	}
	return d.Round(time.Microsecond).String()
}

func humanBytes(amount float64) string {
	for _, unit := range _byteUnits {
		if amount >= float64(unit.bytes) {
			return strconv.FormatFloat(amount/float64(unit.bytes), 'f', 1, 64) + unit.name
		}
	}
	return "0B"
}

func (t *Table) writeText(w io.Writer) error {
	widths := make([]int, len(t.Columns))
	lines := make([][]string, 0, len(t.Rows)+1)
	header := make([]string, len(t.Columns))
	for i, column := range t.Columns {
		header[i] = column.Name
	}
	lines = append(lines, header)
	for _, row := range t.Rows {
		line := make([]string, len(row))
		for i, cell := range row {
			line[i] = FormatCell(t.Columns[i].Kind, cell)
		}
		lines = append(lines, line)
	}
	for _, line := range lines {
		for i, text := range line {
			widths[i] = max(widths[i], utf8.RuneCountInString(text))
		}
	}
	var out bytes.Buffer
	for _, line := range lines {
		out.WriteString(t.formatLine(line, widths))
		out.WriteByte('\n')
	}
	t.writeNotes(&out)
	_, err := w.Write(out.Bytes())
	return err
}

func (t *Table) formatLine(line []string, widths []int) string {
	var out strings.Builder
	for i, text := range line {
		pad := strings.Repeat(" ", widths[i]-utf8.RuneCountInString(text))
		if t.Columns[i].Kind == KindText || t.Columns[i].Kind == KindTime {
			out.WriteString(text + pad)
		} else {
			out.WriteString(pad + text)
		}
		if i < len(line)-1 {
			out.WriteString("  ")
		}
	}
	return strings.TrimRight(out.String(), " ")
}

func (t *Table) writeNotes(out *bytes.Buffer) {
	if len(t.Rows) == 0 {
		fmt.Fprintln(out, "(no rows)")
	}
	if t.Truncated {
		fmt.Fprintf(out, "(the first %d rows; set a limit for more)\n", len(t.Rows))
	}
	for _, missing := range t.Missing {
		fmt.Fprintf(out, "missing: %s\n", missing)
	}
}
