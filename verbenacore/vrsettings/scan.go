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

// _maxFoundBytes limits how much of an invalid value an error message shows.
const _maxFoundBytes = 60

// scanner compares a parsed document with the settings type. The standard decoder stops at
// the first unknown field and reports no line; the scanner records each invalid field with
// its position and removes it or replaces its value with null, so that the rest can be
// decoded.
type scanner struct {
	data        []byte
	fieldErrors []*vrconfig.FieldError
	// offsets holds the byte offset of each field in the file.
	offsets map[string]int
	// rejected holds the fields that were removed from the document or replaced with null.
	rejected map[string]bool
}

func newScanner(data []byte) *scanner {
	return &scanner{data: data, offsets: make(map[string]int), rejected: make(map[string]bool)}
}

// add records an invalid field at a byte offset.
func (s *scanner) add(field string, offset int, found, allowed string) {
	line, column := position(s.data, offset)
	s.fieldErrors = append(s.fieldErrors, &vrconfig.FieldError{Field: field, Found: found, Allowed: allowed, Line: line, Column: column})
	s.rejected[field] = true
}

// position returns the line and the column of a byte offset, both counted from 1. Columns
// are counted in characters.
func position(data []byte, offset int) (line, column int) {
	before := data[:min(offset, len(data))]
	lineStart := bytes.LastIndexByte(before, '\n') + 1
	return bytes.Count(before, []byte{'\n'}) + 1, utf8.RuneCount(before[lineStart:]) + 1
}

// scan records the invalid fields of a value and replaces an invalid value with null, which
// the decoder skips.
func (s *scanner) scan(value *hujson.Value, typ reflect.Type, field string) {
	s.offsets[field] = value.StartOffset
	switch {
	case reflect.PointerTo(typ).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()):
		s.scanScalar(value, typ, field)
	case typ.Kind() == reflect.Struct:
		s.scanObject(value, typ, field)
	case typ.Kind() == reflect.Slice:
		s.scanArray(value, typ, field)
	case typ.Kind() == reflect.Map:
		s.scanMap(value, typ, field)
	default:
		s.scanScalar(value, typ, field)
	}
}

// reject records an invalid value and replaces it with null. The value of a token hash is
// not shown.
func (s *scanner) reject(value *hujson.Value, field, allowed string) {
	found := string(s.data[value.StartOffset:value.EndOffset])
	if strings.HasSuffix(field, "tokenHash") {
		found = "another kind of value"
	}
	if len(found) > _maxFoundBytes {
		found = strings.ToValidUTF8(found[:_maxFoundBytes], "") + "…"
	}
	s.add(displayName(field), value.StartOffset, found, allowed)
	value.Value = hujson.Literal("null")
}

// displayName returns the name of a field in messages, "file" for the whole document.
func displayName(field string) string {
	if field == "" {
		return "file"
	}
	return field
}

// scanObject scans an object that is decoded into a struct, and removes unknown and
// duplicate members.
func (s *scanner) scanObject(value *hujson.Value, typ reflect.Type, field string) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		s.reject(value, field, "an object")
		return
	}
	known := fieldTypes(typ)
	seen := make(map[string]bool)
	object.Members = slices.DeleteFunc(object.Members, func(member hujson.ObjectMember) bool {
		name := memberName(member)
		path := strings.TrimPrefix(field+"."+name, ".")
		switch {
		case known[name] == nil:
			s.add(path, member.Name.StartOffset, "an unknown field", "one of "+strings.Join(fieldNames(typ), ", "))
			return true
		case seen[name]:
			s.add(path, member.Name.StartOffset, "a duplicate field", "each field once")
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

func (s *scanner) scanArray(value *hujson.Value, typ reflect.Type, field string) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		s.reject(value, field, "a list")
		return
	}
	for i := range array.Elements {
		s.scan(&array.Elements[i], typ.Elem(), fmt.Sprintf("%s[%d]", field, i))
	}
}

// scanMap scans an object that is decoded into a map, in which any member name is valid.
func (s *scanner) scanMap(value *hujson.Value, typ reflect.Type, field string) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		s.reject(value, field, "an object")
		return
	}
	for i := range object.Members {
		s.scan(&object.Members[i].Value, typ.Elem(), field+"."+memberName(object.Members[i]))
	}
}

func (s *scanner) scanScalar(value *hujson.Value, typ reflect.Type, field string) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok {
		s.reject(value, field, allowedValues(typ))
		return
	}
	if err := json.Unmarshal(literal, reflect.New(typ).Interface()); err != nil {
		s.reject(value, field, allowedValues(typ))
	}
}

// mergeValidation returns the scanner's errors and those of Validate. A field that the
// scanner rejected looks absent to Validate, so Validate's error for that field is dropped.
func (s *scanner) mergeValidation(err error) error {
	checker := &vrconfig.Checker{}
	for _, fieldErr := range s.fieldErrors {
		checker.Add(fieldErr)
	}
	var validation *vrconfig.ValidationError
	if errors.As(err, &validation) {
		for _, fieldErr := range validation.Fields {
			if s.rejected[fieldErr.Field] {
				continue
			}
			checker.Add(s.withPosition(fieldErr))
		}
	}
	return checker.Err()
}

// withPosition sets the position of an invalid field if the file contains the field.
func (s *scanner) withPosition(fieldErr *vrconfig.FieldError) *vrconfig.FieldError {
	if offset, ok := s.offsets[fieldErr.Field]; ok {
		fieldErr.Line, fieldErr.Column = position(s.data, offset)
	}
	return fieldErr
}

// memberName returns the unquoted name of an object member.
func memberName(member hujson.ObjectMember) string {
	literal, ok := member.Name.Value.(hujson.Literal)
	if !ok {
		return ""
	}
	return literal.String()
}

// fieldNames returns the JSON names of a struct's fields.
func fieldNames(typ reflect.Type) []string {
	names := make([]string, typ.NumField())
	for i := range names {
		names[i], _, _ = strings.Cut(typ.Field(i).Tag.Get("json"), ",")
	}
	return names
}

// fieldTypes returns the types of a struct's fields by JSON name.
func fieldTypes(typ reflect.Type) map[string]reflect.Type {
	types := make(map[string]reflect.Type, typ.NumField())
	for i, name := range fieldNames(typ) {
		types[name] = typ.Field(i).Type
	}
	return types
}

// allowedValues describes the JSON values that can be decoded into a type.
func allowedValues(typ reflect.Type) string {
	switch typ.Kind() {
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	case reflect.Int64:
		if reflect.PointerTo(typ).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()) {
			return `a duration such as "1.5s"`
		}
		return "a whole number"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}
