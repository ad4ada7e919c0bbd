package vrrecord

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
	"time"

	"verbenaroute.example/verbenacore/vrcodec"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// MaxDecodedBlock is the maximum size of a decoded block in bytes. A block on the
	// platform is at most 1 MB; the limit keeps a crafted frame from exhausting a daemon's
	// memory.
	MaxDecodedBlock = 8 << 20
	// digestSize is the length of an entry's digest in bytes. It is short because a digest
	// only shows which entry of an altered block differs; the chain of full hashes proves
	// the alteration.
	digestSize     = 4
	sequenceDigits = 12
)

// Run identifies one run of a daemon. The entries of a run are numbered from 1 without
// gaps.
type Run struct {
	Daemon vrid.DaemonID `json:"daemon"`
	Boot   vrid.BootID   `json:"boot"`
}

// String returns the run as it is written in reports, for example "vm-3/01J".
func (r Run) String() string { return string(r.Daemon) + "/" + string(r.Boot) }

// Run returns the run that wrote the entry.
func (e *Entry) Run() Run { return Run{Daemon: e.Daemon, Boot: e.Boot} }

// Span returns the numbers that the entry stands for: its own number, or the bounds of a
// gap.
func (e *Entry) Span() Span {
	if e.Kind == EntryGap {
		return Span{First: e.GapFirst, Last: e.GapLast}
	}
	return Span{First: e.Number, Last: e.Number}
}

// Coverage states which numbers of a run a block holds.
type Coverage struct {
	Daemon vrid.DaemonID `protobuf:"bytes,1,opt,name=daemon,proto3"`
	Boot   vrid.BootID   `protobuf:"bytes,2,opt,name=boot,proto3"`
	// First and Last are the bounds of a contiguous range, both included. A run with several
	// ranges in the block has one Coverage for each. Both are 0 in a Coverage that only
	// states the end of a run.
	First uint64 `protobuf:"varint,3,opt,name=first,proto3"`
	Last  uint64 `protobuf:"varint,4,opt,name=last,proto3"`
	// Opened is the number of requests that the run stated it opened.
	Opened uint64 `protobuf:"varint,5,opt,name=opened,proto3"`
	// Ended is set when the run is known to have ended, so that every opened request must
	// have a terminal entry or be covered by a gap.
	Ended bool `protobuf:"varint,6,opt,name=ended,proto3"`
	// Final is set when the run itself stated that Opened is its final count.
	Final bool `protobuf:"varint,7,opt,name=final,proto3"`
}

// Run returns the covered run.
func (c *Coverage) Run() Run { return Run{Daemon: c.Daemon, Boot: c.Boot} }

// Block is the decoded content of one record object on the platform.
type Block struct {
	Zone   vrid.ZoneID
	Writer vrid.DaemonID
	Boot   vrid.BootID
	// Sequence counts the blocks of one run of a writer, from 1.
	Sequence uint64
	// Previous is the Hash of the previous block of the chain; empty in the first one.
	Previous []byte
	// From and Until are the earliest and the latest time of the entries, in milliseconds
	// of Unix time. In a block without entries both are the time at which it was built.
	From     int64
	Until    int64
	Coverage []Coverage
	// Entries are encoded entries, in the order in which the writer accepted them.
	Entries [][]byte
	// Digests holds the first 4 bytes of the SHA-256 of each entry.
	Digests []byte
}

// BlockError reports that a block or its key is invalid.
type BlockError struct {
	Problem string
	Err     error
}

func (e *BlockError) Error() string {
	if e.Err == nil {
		return "block: " + e.Problem
	}
	return fmt.Sprintf("block: %s: %v", e.Problem, e.Err)
}

func (e *BlockError) Unwrap() error { return e.Err }

// Validate checks the ids, the length of the previous hash and the coverage's bounds.
func (b *Block) Validate() error {
	if b.Zone == "" || b.Writer == "" || b.Boot == "" || b.Sequence == 0 {
		return &BlockError{Problem: "zone, writer, boot id or sequence is missing"}
	}
	if len(b.Previous) != 0 && len(b.Previous) != sha256.Size {
		return &BlockError{Problem: "the previous hash has the wrong length"}
	}
	for i := range b.Coverage {
		c := &b.Coverage[i]
		if c.Daemon == "" || c.Boot == "" || c.Last < c.First {
			return &BlockError{Problem: "a coverage has no daemon or boot id, or its bounds are out of order"}
		}
	}
	return nil
}

// Key returns the object's key.
func (b *Block) Key() string {
	return BlockName{
		Zone: b.Zone, Hour: time.UnixMilli(b.Until).UTC().Format(hourLayout),
		Writer: b.Writer, Boot: b.Boot, Sequence: b.Sequence,
	}.Key()
}

// Entry decodes and validates the entry at index i.
func (b *Block) Entry(i int) (*Entry, error) {
	return vrwire.Unmarshal[Entry](b.Entries[i])
}

func digestOf(entry []byte) uint32 {
	sum := sha256.Sum256(entry)
	return binary.BigEndian.Uint32(sum[:digestSize])
}

// EncodeBlock returns the compressed block, which is the value of its object. It sets
// block.Digests.
func EncodeBlock(block *Block) ([]byte, error) {
	if err := block.Validate(); err != nil {
		return nil, err
	}
	block.Digests = make([]byte, 0, digestSize*len(block.Entries))
	for _, entry := range block.Entries {
		block.Digests = binary.BigEndian.AppendUint32(block.Digests, digestOf(entry))
	}
	return packBlock(block)
}

func packBlock(block *Block) ([]byte, error) {
	packed := &packedBlock{
		Zone: block.Zone, Writer: block.Writer, Boot: block.Boot, Sequence: block.Sequence, Previous: block.Previous,
		From: block.From, Until: block.Until, Coverage: block.Coverage, Digests: block.Digests,
	}
	packEntries(packed, block.Entries)
	data, err := vrwire.Marshal(packed)
	if err != nil {
		return nil, err
	}
	return vrcodec.Compress(nil, data), nil
}

// PackEntries returns encoded entries in the compressed column form of a block, in which
// daemons send them to a writer. Sent as rows they take four times the bytes.
func PackEntries(entries [][]byte) ([]byte, error) {
	packed := &packedBlock{}
	packEntries(packed, entries)
	data, err := vrwire.Marshal(packed)
	if err != nil {
		return nil, err
	}
	return vrcodec.Compress(nil, data), nil
}

// UnpackEntries reverses PackEntries, with the same size limit as DecodeBlock.
func UnpackEntries(data []byte) ([][]byte, error) {
	packed, err := decodePacked(data)
	if err != nil {
		return nil, err
	}
	return unpackEntries(packed)
}

func decodePacked(data []byte) (*packedBlock, error) {
	plain, err := vrcodec.Decompress(data, MaxDecodedBlock)
	if err != nil {
		return nil, &BlockError{Problem: "can't be decompressed", Err: err}
	}
	packed, err := vrwire.Unmarshal[packedBlock](plain)
	if err != nil {
		return nil, &BlockError{Problem: "can't be decoded", Err: err}
	}
	return packed, nil
}

// DecodeBlock decodes and validates the value of a block's object. It fails when the
// decoded form has more than MaxDecodedBlock bytes, whatever size the frame states.
func DecodeBlock(data []byte) (*Block, error) {
	packed, err := decodePacked(data)
	if err != nil {
		return nil, err
	}
	block := &Block{
		Zone: packed.Zone, Writer: packed.Writer, Boot: packed.Boot, Sequence: packed.Sequence, Previous: packed.Previous,
		From: packed.From, Until: packed.Until, Coverage: packed.Coverage, Digests: packed.Digests,
	}
	if block.Entries, err = unpackEntries(packed); err != nil {
		return nil, err
	}
	if err := block.Validate(); err != nil {
		return nil, err
	}
	return block, nil
}

// Hash returns the SHA-256 of an encoded block, which the next block of the chain holds
// as Previous.
func Hash(data []byte) []byte {
	sum := sha256.Sum256(data)
	return sum[:]
}

func equalHash(a, b []byte) bool { return bytes.Equal(a, b) }

// hourLayout is the format of the hour in a key, which is that of the block's last entry.
// Without it a query for the last minutes would have to list every block of the retention
// time.
const hourLayout = "2006-01-02T15"

// BlockName holds the parts of a block's key.
type BlockName struct {
	Zone     vrid.ZoneID
	Hour     string
	Writer   vrid.DaemonID
	Boot     vrid.BootID
	Sequence uint64
}

// Key returns the key, for example "record/tw-north-a/2026-12-04T03/vm-1-01J/000000000007".
func (n BlockName) Key() string {
	return fmt.Sprintf("%s%0*d", n.Prefix(), sequenceDigits, n.Sequence)
}

// Prefix returns the prefix of the keys of the blocks that one run of a writer wrote in one
// hour.
func (n BlockName) Prefix() string {
	return fmt.Sprintf("%s%s/%s-%s/", ZonePrefix(n.Zone), n.Hour, n.Writer, n.Boot)
}

// Chain returns the id of the block's chain, which consists of all blocks of one run of a
// writer.
func (n BlockName) Chain() string {
	return fmt.Sprintf("%s%s-%s", ZonePrefix(n.Zone), n.Writer, n.Boot)
}

// ZonePrefix returns the prefix of the keys of a zone's blocks.
func ZonePrefix(zone vrid.ZoneID) string {
	return vrplatform.PrefixRecord + string(zone) + "/"
}

// HourPrefix returns the prefix of the keys of a zone's blocks whose last entry is of the
// given hour.
func HourPrefix(zone vrid.ZoneID, hour time.Time) string {
	return ZonePrefix(zone) + hour.UTC().Format(hourLayout) + "/"
}

// DayPrefix returns the prefix of the keys of a zone's blocks whose last entry is of the
// given day.
func DayPrefix(zone vrid.ZoneID, day time.Time) string {
	return ZonePrefix(zone) + day.UTC().Format(time.DateOnly)
}

// HourStart returns the start of the hour in the key.
func (n BlockName) HourStart() (time.Time, error) { return time.Parse(hourLayout, n.Hour) }

// ParseKey parses a block's key. A daemon id may contain "-" but a boot id never does, so
// the last "-" separates them.
func ParseKey(key string) (BlockName, error) {
	path, found := strings.CutPrefix(key, vrplatform.PrefixRecord)
	parts := strings.Split(path, "/")
	const partCount = 4
	if !found || len(parts) != partCount {
		return BlockName{}, &BlockError{Problem: fmt.Sprintf("key %q is not record/{zone}/{hour}/{writer}-{boot}/{sequence}", key)}
	}
	zone, hour, writerAndBoot, sequenceText := parts[0], parts[1], parts[2], parts[3]
	dash := strings.LastIndexByte(writerAndBoot, '-')
	sequence, err := strconv.ParseUint(sequenceText, 10, 64)
	if dash < 0 || err != nil {
		return BlockName{}, &BlockError{Problem: fmt.Sprintf("key %q has no boot id or sequence", key), Err: err}
	}
	return BlockName{
		Zone:     vrid.ZoneID(zone),
		Hour:     hour,
		Writer:   vrid.DaemonID(writerAndBoot[:dash]),
		Boot:     vrid.BootID(writerAndBoot[dash+1:]),
		Sequence: sequence,
	}, nil
}
