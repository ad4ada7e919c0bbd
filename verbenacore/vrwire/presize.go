package vrwire

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"sync"

	"github.com/segmentio/encoding/proto"
)

// The codec's decoder corrupts its arguments when it grows a repeated field beyond 10
// elements: it calls the runtime's slice copy with a signature that the runtime does
// not have. Unmarshal therefore gives every repeated field its final capacity before
// the codec runs, so that the codec never grows one.

// shape says which fields of a message type need a capacity, by field number. It is
// nil for types without repeated fields at any depth.
type shape map[proto.FieldNumber]shapeField

type shapeField struct {
	index    int
	repeated bool
	pointer  bool
	// element is the shape of the field's message, nil if it has no repeated field.
	element shape
}

var _shapes sync.Map

func shapeOf(t reflect.Type) shape {
	if known, ok := _shapes.Load(t); ok {
		return known.(shape)
	}
	found := make(shape)
	for i := range t.NumField() {
		number, tagged := fieldNumber(t.Field(i).Tag.Get("protobuf"))
		field, needed := shapeFieldOf(t.Field(i).Type, i)
		if tagged && needed {
			found[number] = field
		}
	}
	if len(found) == 0 {
		found = nil
	}
	_shapes.Store(t, found)
	return found
}

// fieldNumber reads the number from a tag such as "bytes,3,opt,name=daemon".
func fieldNumber(tag string) (proto.FieldNumber, bool) {
	const numberPart = 1
	parts := strings.Split(tag, ",")
	if len(parts) <= numberPart {
		return 0, false
	}
	number, err := strconv.Atoi(parts[numberPart])
	return proto.FieldNumber(number), err == nil
}

func shapeFieldOf(t reflect.Type, index int) (field shapeField, needed bool) {
	field.index = index
	switch t.Kind() {
	case reflect.Slice:
		if t.Elem().Kind() == reflect.Uint8 {
			return field, false
		}
		field.repeated = true
		if t.Elem().Kind() == reflect.Struct {
			field.element = shapeOf(t.Elem())
		}
		return field, true
	case reflect.Pointer:
		field.pointer = true
		if t.Elem().Kind() == reflect.Struct {
			field.element = shapeOf(t.Elem())
		}
		return field, field.element != nil
	case reflect.Struct:
		field.element = shapeOf(t)
		return field, field.element != nil
	default:
		return field, false
	}
}

// presize gives the repeated fields of an empty message the capacity that data needs.
func presize(message reflect.Value, data []byte, s shape) error {
	if s == nil {
		return nil
	}
	counts, err := countFields(data, s)
	if err != nil {
		return err
	}
	for number, count := range counts {
		field := s[number]
		target := message.Field(field.index)
		switch {
		case field.repeated:
			target.Set(reflect.MakeSlice(target.Type(), 0, count))
		case count > 1:
			// Merging two copies of a message would need the sum of their counts. The
			// encoder writes each once.
			return fmt.Errorf("field %d stands %d times", number, count)
		case field.pointer:
			target.Set(reflect.New(target.Type().Elem()))
		}
	}
	return presizeElements(message, data, s)
}

func countFields(data []byte, s shape) (map[proto.FieldNumber]int, error) {
	counts := make(map[proto.FieldNumber]int, len(s))
	err := proto.Scan(data, func(number proto.FieldNumber, _ proto.WireType, _ proto.RawValue) (bool, error) {
		if _, wanted := s[number]; wanted {
			counts[number]++
		}
		return true, nil
	})
	return counts, err
}

func presizeElements(message reflect.Value, data []byte, s shape) error {
	next := make(map[proto.FieldNumber]int)
	return proto.Scan(data, func(number proto.FieldNumber, wire proto.WireType, value proto.RawValue) (bool, error) {
		field, wanted := s[number]
		if !wanted || field.element == nil {
			return true, nil
		}
		if wire != proto.Varlen {
			return false, fmt.Errorf("field %d is not a message", number)
		}
		target := message.Field(field.index)
		switch {
		case field.repeated:
			target = target.Slice(0, target.Cap()).Index(next[number])
			next[number]++
		case field.pointer:
			target = target.Elem()
		}
		return true, presize(target, value, field.element)
	})
}
