package vrsettings

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"

	"verbenaroute.example/verbenacore/vrconfig"
)

// _maxFound bounds the part of a wrong value that an error message shows.
const _maxFound = 60

// scanner compares a parsed document with the settings type. The standard decoder
// stops at the first unknown field and gives no line; the scanner notes each mistake
// with its place and takes it out of the document, so that the rest still decodes.
type scanner struct {
	data     []byte
	mistakes []*vrconfig.FieldError
	// offsets holds the position of each field that stands in the file.
	offsets map[string]int
	// wrong holds the fields that were taken out.
	wrong map[string]bool
}

func newScanner(data []byte) *scanner {
	return &scanner{data: data, offsets: make(map[string]int), wrong: make(map[string]bool)}
}

func (s *scanner) add(field string, offset int, found, allowed string) {
	line, column := place(s.data, offset)
	s.mistakes = append(s.mistakes, &vrconfig.FieldError{Field: field, Found: found, Allowed: allowed, Line: line, Column: column})
	s.wrong[field] = true
}

// place returns the line and the column, counted in characters from 1.
func place(data []byte, offset int) (line, column int) {
	before := data[:min(offset, len(data))]
	lineStart := bytes.LastIndexByte(before, '\n') + 1
	return bytes.Count(before, []byte{'\n'}) + 1, utf8.RuneCount(before[lineStart:]) + 1
}

// scan notes the mistakes of one value and replaces a wrong value by null, which the
// decoder skips.
func (s *scanner) scan(value *hujson.Value, kind reflect.Type, field string) {
	s.offsets[field] = value.StartOffset
	switch {
	case reflect.PointerTo(kind).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()):
		s.leaf(value, kind, field)
	case kind.Kind() == reflect.Struct:
		s.object(value, kind, field)
	case kind.Kind() == reflect.Slice:
		s.array(value, kind, field)
	case kind.Kind() == reflect.Map:
		s.table(value, kind, field)
	default:
		s.leaf(value, kind, field)
	}
}

func (s *scanner) refuse(value *hujson.Value, field, allowed string) {
	found := string(s.data[value.StartOffset:value.EndOffset])
	if strings.HasSuffix(field, "tokenHash") {
		found = "another kind of value"
	}
	if len(found) > _maxFound {
		found = strings.ToValidUTF8(found[:_maxFound], "") + "…"
	}
	s.add(named(field), value.StartOffset, found, allowed)
	value.Value = hujson.Literal("null")
}

// named gives the whole document a name in messages.
func named(field string) string {
	if field == "" {
		return "file"
	}
	return field
}

func (s *scanner) object(value *hujson.Value, kind reflect.Type, field string) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		s.refuse(value, field, "an object")
		return
	}
	known := fieldTypes(kind)
	seen := make(map[string]bool)
	object.Members = slices.DeleteFunc(object.Members, func(member hujson.ObjectMember) bool {
		name := memberName(member)
		path := strings.TrimPrefix(field+"."+name, ".")
		switch {
		case known[name] == nil:
			s.add(path, member.Name.StartOffset, "an unknown field", "one of "+strings.Join(fieldNames(kind), ", "))
			return true
		case seen[name]:
			s.add(path, member.Name.StartOffset, "the field again", "each field once")
			return true
		}
		seen[name] = true
		return false
	})
	for i := range object.Members {
		name := memberName(object.Members[i])
		s.scan(&object.Members[i].Value, known[name], strings.TrimPrefix(field+"."+name, "."))
	}
}

func (s *scanner) array(value *hujson.Value, kind reflect.Type, field string) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		s.refuse(value, field, "a list")
		return
	}
	for i := range array.Elements {
		s.scan(&array.Elements[i], kind.Elem(), fmt.Sprintf("%s[%d]", field, i))
	}
}

// table scans an object whose member names are chosen by who writes the file.
func (s *scanner) table(value *hujson.Value, kind reflect.Type, field string) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		s.refuse(value, field, "an object")
		return
	}
	for i := range object.Members {
		s.scan(&object.Members[i].Value, kind.Elem(), field+"."+memberName(object.Members[i]))
	}
}

func (s *scanner) leaf(value *hujson.Value, kind reflect.Type, field string) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok {
		s.refuse(value, field, allowedOf(kind))
		return
	}
	if err := json.Unmarshal(literal, reflect.New(kind).Interface()); err != nil {
		s.refuse(value, field, allowedOf(kind))
	}
}

// merge adds the mistakes of the check as a whole. A field that was taken out of the
// document looks absent to that check, so what it says about the field is dropped.
func (s *scanner) merge(err error) error {
	checker := &vrconfig.Checker{}
	for _, mistake := range s.mistakes {
		checker.Add(mistake)
	}
	var check *vrconfig.ValidationError
	if errors.As(err, &check) {
		for _, mistake := range check.Fields {
			if s.wrong[mistake.Field] {
				continue
			}
			checker.Add(s.placed(mistake))
		}
	}
	return checker.Err()
}

func (s *scanner) placed(mistake *vrconfig.FieldError) *vrconfig.FieldError {
	if offset, ok := s.offsets[mistake.Field]; ok {
		mistake.Line, mistake.Column = place(s.data, offset)
	}
	return mistake
}

func memberName(member hujson.ObjectMember) string {
	literal, ok := member.Name.Value.(hujson.Literal)
	if !ok {
		return ""
	}
	return literal.String()
}

func fieldNames(kind reflect.Type) []string {
	names := make([]string, kind.NumField())
	for i := range names {
		names[i], _, _ = strings.Cut(kind.Field(i).Tag.Get("json"), ",")
	}
	return names
}

func fieldTypes(kind reflect.Type) map[string]reflect.Type {
	types := make(map[string]reflect.Type, kind.NumField())
	for i, name := range fieldNames(kind) {
		types[name] = kind.Field(i).Type
	}
	return types
}

func allowedOf(kind reflect.Type) string {
	switch kind.Kind() {
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	case reflect.Int64:
		if reflect.PointerTo(kind).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()) {
			return `a duration such as "1.5s"`
		}
		return "a whole number"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}
