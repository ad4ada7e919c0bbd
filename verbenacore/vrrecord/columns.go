package vrrecord

import (
	"bytes"
	"encoding/binary"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	"verbenaroute.example/verbenacore/vrid"
)

// Entries of one block repeat most of their fields. Storing each field's values side
// by side lets zstd find that: with rows an entry took 42 bytes of a block, half of it
// for references to the entry before.

// packedBlock is a Block as it is encoded.
type packedBlock struct {
	Zone     vrid.ZoneID   `protobuf:"bytes,1,opt,name=zone,proto3"`
	Writer   vrid.DaemonID `protobuf:"bytes,2,opt,name=writer,proto3"`
	Boot     vrid.BootID   `protobuf:"bytes,3,opt,name=boot,proto3"`
	Sequence uint64        `protobuf:"varint,4,opt,name=sequence,proto3"`
	Previous []byte        `protobuf:"bytes,5,opt,name=previous,proto3"`
	From     int64         `protobuf:"varint,6,opt,name=from,proto3"`
	Until    int64         `protobuf:"varint,7,opt,name=until,proto3"`
	Coverage []Coverage    `protobuf:"bytes,8,rep,name=coverage,proto3"`
	Digests  []byte        `protobuf:"bytes,9,opt,name=digests,proto3"`
	// Layouts are the distinct sequences of field tags; Rows holds the index of its
	// layout for each entry.
	Layouts [][]byte `protobuf:"bytes,10,rep,name=layouts,proto3"`
	Rows    []byte   `protobuf:"bytes,11,opt,name=rows,proto3"`
	Columns []column `protobuf:"bytes,12,rep,name=columns,proto3"`
}

// column holds the values of one field tag in the order of the entries.
type column struct {
	Tag  uint64 `protobuf:"varint,1,opt,name=tag,proto3"`
	Data []byte `protobuf:"bytes,2,opt,name=data,proto3"`
}

// Validate accepts every packed block; the unpacked one is checked.
func (p *packedBlock) Validate() error { return nil }

const (
	// maxEntries bounds the rows of a crafted block, whose entries may be empty.
	maxEntries = 1 << 17
	// rawTag marks an entry that is not in the encoder's own form and is kept whole.
	rawTag   = 0
	wireBits = 3
	wireMask = 1<<wireBits - 1
	// Numbers and times grow steadily, so their columns hold differences.
	tagNumber = 2<<wireBits | uint64(protowire.VarintType)
	tagAt     = 7<<wireBits | uint64(protowire.VarintType)
)

func isDifference(tag uint64) bool { return tag == tagNumber || tag == tagAt }

type columnWriter struct {
	packed  *packedBlock
	layouts map[string]uint64
	columns map[uint64]int
	last    map[uint64]uint64
}

func packEntries(packed *packedBlock, entries [][]byte) {
	w := &columnWriter{
		packed:  packed,
		layouts: make(map[string]uint64),
		columns: make(map[uint64]int),
		last:    make(map[uint64]uint64),
	}
	for _, entry := range entries {
		fields, ok := splitFields(entry)
		if !ok {
			fields = []field{{tag: rawTag, value: entry}}
		}
		w.add(fields)
	}
}

type field struct {
	tag   uint64
	value []byte
}

// splitFields returns the fields of an entry, and false when joining them again would
// give other bytes.
func splitFields(entry []byte) ([]field, bool) {
	var fields []field
	for rest := entry; len(rest) > 0; {
		number, wire, tagLength := protowire.ConsumeTag(rest)
		if tagLength < 0 {
			return nil, false
		}
		rest = rest[tagLength:]
		length := protowire.ConsumeFieldValue(number, wire, rest)
		if length < 0 {
			return nil, false
		}
		value := rest[:length]
		rest = rest[length:]
		switch wire {
		case protowire.VarintType:
		case protowire.BytesType:
			value, _ = protowire.ConsumeBytes(value)
		default:
			return nil, false
		}
		fields = append(fields, field{tag: uint64(number)<<wireBits | uint64(wire), value: value})
	}
	if len(fields) == 0 {
		return nil, false
	}
	var joined []byte
	for _, f := range fields {
		joined = appendField(joined, f.tag, f.value)
	}
	return fields, bytes.Equal(joined, entry)
}

func appendField(data []byte, tag uint64, value []byte) []byte {
	if tag == rawTag {
		return append(data, value...)
	}
	data = binary.AppendUvarint(data, tag)
	if protowire.Type(tag&wireMask) == protowire.BytesType {
		data = binary.AppendUvarint(data, uint64(len(value)))
		return append(data, value...)
	}
	number, _ := binary.Uvarint(value)
	return binary.AppendUvarint(data, number)
}

func (w *columnWriter) add(fields []field) {
	var layout []byte
	for _, f := range fields {
		layout = binary.AppendUvarint(layout, f.tag)
	}
	index, known := w.layouts[string(layout)]
	if !known {
		index = uint64(len(w.packed.Layouts))
		w.layouts[string(layout)] = index
		w.packed.Layouts = append(w.packed.Layouts, layout)
	}
	w.packed.Rows = binary.AppendUvarint(w.packed.Rows, index)
	for _, f := range fields {
		w.addValue(f)
	}
}

func (w *columnWriter) addValue(f field) {
	at, known := w.columns[f.tag]
	if !known {
		at = len(w.packed.Columns)
		w.columns[f.tag] = at
		w.packed.Columns = append(w.packed.Columns, column{Tag: f.tag})
	}
	into := &w.packed.Columns[at]
	switch {
	case isDifference(f.tag):
		number, _ := binary.Uvarint(f.value)
		into.Data = binary.AppendVarint(into.Data, int64(number-w.last[f.tag]))
		w.last[f.tag] = number
	case protowire.Type(f.tag&wireMask) == protowire.VarintType && f.tag != rawTag:
		into.Data = append(into.Data, f.value...)
	default:
		into.Data = binary.AppendUvarint(into.Data, uint64(len(f.value)))
		into.Data = append(into.Data, f.value...)
	}
}

type columnReader struct {
	columns map[uint64][]byte
	last    map[uint64]uint64
}

var errColumns = &BlockError{Problem: "the columns of entries don't fit together"}

func unpackEntries(packed *packedBlock) ([][]byte, error) {
	r := &columnReader{columns: make(map[uint64][]byte), last: make(map[uint64]uint64)}
	for _, column := range packed.Columns {
		r.columns[column.Tag] = column.Data
	}
	var entries [][]byte
	size := 0
	for rows := packed.Rows; len(rows) > 0; {
		index, n := binary.Uvarint(rows)
		if n <= 0 || index >= uint64(len(packed.Layouts)) || len(entries) == maxEntries {
			return nil, errColumns
		}
		rows = rows[n:]
		entry, err := r.entry(packed.Layouts[index])
		if err != nil {
			return nil, err
		}
		if size += len(entry); size > MaxBlock {
			return nil, errColumns
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

func (r *columnReader) entry(layout []byte) ([]byte, error) {
	var entry []byte
	for len(layout) > 0 {
		tag, n := binary.Uvarint(layout)
		if n <= 0 {
			return nil, errColumns
		}
		layout = layout[n:]
		value, ok := r.value(tag)
		if !ok || len(entry) > MaxBlock {
			return nil, errColumns
		}
		entry = appendField(entry, tag, value)
	}
	return slices.Clip(entry), nil
}

// value takes the next value off a column.
func (r *columnReader) value(tag uint64) ([]byte, bool) {
	data := r.columns[tag]
	if isDifference(tag) {
		difference, n := binary.Varint(data)
		if n <= 0 {
			return nil, false
		}
		r.columns[tag] = data[n:]
		r.last[tag] += uint64(difference)
		return binary.AppendUvarint(nil, r.last[tag]), true
	}
	number, n := binary.Uvarint(data)
	if n <= 0 {
		return nil, false
	}
	if protowire.Type(tag&wireMask) == protowire.VarintType && tag != rawTag {
		r.columns[tag] = data[n:]
		return data[:n], true
	}
	rest := data[n:]
	if number > uint64(len(rest)) {
		return nil, false
	}
	r.columns[tag] = rest[number:]
	return rest[:number], true
}
