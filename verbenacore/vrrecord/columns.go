package vrrecord

import (
	"bytes"
	"encoding/binary"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	"verbenaroute.example/verbenacore/vrid"
)

// Most field values of the entries of one block are equal, so they compress well when the
// values of each field are stored in a column of their own. Stored as rows, an entry took
// 42 bytes of a zstd-compressed block, half of them for references to the previous entry.

// packedBlock is the encoded form of a Block.
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
	// Layouts are the distinct sequences of field tags. Rows holds, for each entry, the
	// index of its layout as a varint.
	Layouts [][]byte `protobuf:"bytes,10,rep,name=layouts,proto3"`
	Rows    []byte   `protobuf:"bytes,11,opt,name=rows,proto3"`
	Columns []column `protobuf:"bytes,12,rep,name=columns,proto3"`
}

// column holds the values of one field tag in the order of the entries.
type column struct {
	Tag  uint64 `protobuf:"varint,1,opt,name=tag,proto3"`
	Data []byte `protobuf:"bytes,2,opt,name=data,proto3"`
}

// Validate accepts every packed block: unpackEntries and Block.Validate do the checks.
func (p *packedBlock) Validate() error { return nil }

const (
	// maxEntries limits the number of entries of a crafted block. Empty entries would escape
	// the limit in bytes.
	maxEntries = 1 << 17
	// rawTag marks an entry that is stored whole, because splitting it into fields and
	// encoding them again would not restore its bytes.
	rawTag       = 0
	wireTypeBits = 3
	wireTypeMask = 1<<wireTypeBits - 1
	// Entry numbers and times mostly increase in small steps, so their columns are
	// delta-encoded.
	tagNumber = 2<<wireTypeBits | uint64(protowire.VarintType)
	tagAt     = 7<<wireTypeBits | uint64(protowire.VarintType)
)

func isDeltaEncoded(tag uint64) bool { return tag == tagNumber || tag == tagAt }

// columnWriter appends the fields of entries to the columns of a packedBlock.
type columnWriter struct {
	packed      *packedBlock
	layoutIndex map[string]uint64
	columnIndex map[uint64]int
	lastValues  map[uint64]uint64
}

// packEntries adds the entries to the layouts, rows and columns of packed.
func packEntries(packed *packedBlock, entries [][]byte) {
	w := &columnWriter{
		packed:      packed,
		layoutIndex: make(map[string]uint64),
		columnIndex: make(map[uint64]int),
		lastValues:  make(map[uint64]uint64),
	}
	for _, entry := range entries {
		fields, ok := splitFields(entry)
		if !ok {
			fields = []field{{tag: rawTag, value: entry}}
		}
		w.addRow(fields)
	}
}

// field is a field of an encoded entry. The value of a bytes field has no length prefix.
type field struct {
	tag   uint64
	value []byte
}

// splitFields returns the fields of an encoded entry, or false if encoding them again
// would give different bytes.
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
		fields = append(fields, field{tag: uint64(number)<<wireTypeBits | uint64(wire), value: value})
	}
	if len(fields) == 0 {
		return nil, false
	}
	var encoded []byte
	for _, f := range fields {
		encoded = appendField(encoded, f.tag, f.value)
	}
	return fields, bytes.Equal(encoded, entry)
}

func appendField(data []byte, tag uint64, value []byte) []byte {
	if tag == rawTag {
		return append(data, value...)
	}
	data = binary.AppendUvarint(data, tag)
	if protowire.Type(tag&wireTypeMask) == protowire.BytesType {
		data = binary.AppendUvarint(data, uint64(len(value)))
		return append(data, value...)
	}
	number, _ := binary.Uvarint(value)
	return binary.AppendUvarint(data, number)
}

// addRow adds an entry: the index of its layout and the values of its fields.
func (w *columnWriter) addRow(fields []field) {
	var layout []byte
	for _, f := range fields {
		layout = binary.AppendUvarint(layout, f.tag)
	}
	index, known := w.layoutIndex[string(layout)]
	if !known {
		index = uint64(len(w.packed.Layouts))
		w.layoutIndex[string(layout)] = index
		w.packed.Layouts = append(w.packed.Layouts, layout)
	}
	w.packed.Rows = binary.AppendUvarint(w.packed.Rows, index)
	for _, f := range fields {
		w.addValue(f)
	}
}

func (w *columnWriter) addValue(f field) {
	index, known := w.columnIndex[f.tag]
	if !known {
		index = len(w.packed.Columns)
		w.columnIndex[f.tag] = index
		w.packed.Columns = append(w.packed.Columns, column{Tag: f.tag})
	}
	target := &w.packed.Columns[index]
	switch {
	case isDeltaEncoded(f.tag):
		number, _ := binary.Uvarint(f.value)
		target.Data = binary.AppendVarint(target.Data, int64(number-w.lastValues[f.tag]))
		w.lastValues[f.tag] = number
	case protowire.Type(f.tag&wireTypeMask) == protowire.VarintType && f.tag != rawTag:
		target.Data = append(target.Data, f.value...)
	default:
		target.Data = binary.AppendUvarint(target.Data, uint64(len(f.value)))
		target.Data = append(target.Data, f.value...)
	}
}

// columnReader restores entries from the columns of a packedBlock.
type columnReader struct {
	columns    map[uint64][]byte
	lastValues map[uint64]uint64
}

var errInconsistentColumns = &BlockError{Problem: "the entry columns are inconsistent"}

// unpackEntries reverses packEntries. It limits the number of entries and their total size.
func unpackEntries(packed *packedBlock) ([][]byte, error) {
	r := &columnReader{columns: make(map[uint64][]byte), lastValues: make(map[uint64]uint64)}
	for _, column := range packed.Columns {
		r.columns[column.Tag] = column.Data
	}
	var entries [][]byte
	size := 0
	for rows := packed.Rows; len(rows) > 0; {
		index, n := binary.Uvarint(rows)
		if n <= 0 || index >= uint64(len(packed.Layouts)) || len(entries) == maxEntries {
			return nil, errInconsistentColumns
		}
		rows = rows[n:]
		entry, err := r.readEntry(packed.Layouts[index])
		if err != nil {
			return nil, err
		}
		if size += len(entry); size > MaxDecodedBlock {
			return nil, errInconsistentColumns
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

func (r *columnReader) readEntry(layout []byte) ([]byte, error) {
	var entry []byte
	for len(layout) > 0 {
		tag, n := binary.Uvarint(layout)
		if n <= 0 {
			return nil, errInconsistentColumns
		}
		layout = layout[n:]
		value, ok := r.nextValue(tag)
		if !ok || len(entry) > MaxDecodedBlock {
			return nil, errInconsistentColumns
		}
		entry = appendField(entry, tag, value)
	}
	return slices.Clip(entry), nil
}

// nextValue removes and returns the first value of a column.
func (r *columnReader) nextValue(tag uint64) ([]byte, bool) {
	data := r.columns[tag]
	if isDeltaEncoded(tag) {
		delta, n := binary.Varint(data)
		if n <= 0 {
			return nil, false
		}
		r.columns[tag] = data[n:]
		r.lastValues[tag] += uint64(delta)
		return binary.AppendUvarint(nil, r.lastValues[tag]), true
	}
	number, n := binary.Uvarint(data)
	if n <= 0 {
		return nil, false
	}
	if protowire.Type(tag&wireTypeMask) == protowire.VarintType && tag != rawTag {
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
