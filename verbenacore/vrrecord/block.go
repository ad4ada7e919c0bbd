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
	// MaxBlock bounds a decoded block. A block on the platform is at most 1 MB; the
	// bound keeps a crafted frame from filling a daemon's memory.
	MaxBlock = 8 << 20
	// digestSize is short because a digest only tells which entry of an altered block
	// differs; the chain of full hashes proves the alteration.
	digestSize    = 4
	sequenceWidth = 12
)

// Run is one run of a daemon: its entries are numbered from 1 without gaps.
type Run struct {
	Daemon vrid.DaemonID `json:"daemon"`
	Boot   vrid.BootID   `json:"boot"`
}

// String returns the form used in reports, for example "vm-3/01J".
func (r Run) String() string { return string(r.Daemon) + "/" + string(r.Boot) }

// RunOf returns the run that wrote the entry.
func (e *Entry) RunOf() Run { return Run{Daemon: e.Daemon, Boot: e.Boot} }

// Covers returns the numbers that the entry stands for: its own, or a gap's bounds.
func (e *Entry) Covers() Span {
	if e.Kind == EntryGap {
		return Span{First: e.GapFirst, Last: e.GapLast}
	}
	return Span{First: e.Number, Last: e.Number}
}

// Coverage says which numbers of a run a block holds.
type Coverage struct {
	Daemon vrid.DaemonID `protobuf:"bytes,1,opt,name=daemon,proto3"`
	Boot   vrid.BootID   `protobuf:"bytes,2,opt,name=boot,proto3"`
	// First and Last bound an unbroken range; a broken one takes several lines. Both
	// are 0 in a line that only states the end of a run.
	First uint64 `protobuf:"varint,3,opt,name=first,proto3"`
	Last  uint64 `protobuf:"varint,4,opt,name=last,proto3"`
	// Opened is how many requests the run says it opened.
	Opened uint64 `protobuf:"varint,5,opt,name=opened,proto3"`
	// Ended is set when the run is known to be over, so that every opened request
	// must have its terminal entry or stand in a gap.
	Ended bool `protobuf:"varint,6,opt,name=ended,proto3"`
	// Final is set when the run itself said that Opened is its last count.
	Final bool `protobuf:"varint,7,opt,name=final,proto3"`
}

// Run returns the covered run.
func (c *Coverage) Run() Run { return Run{Daemon: c.Daemon, Boot: c.Boot} }

// Block is what one record object on the platform holds.
type Block struct {
	Zone   vrid.ZoneID
	Writer vrid.DaemonID
	Boot   vrid.BootID
	// Sequence counts the blocks of one run of a writer, from 1.
	Sequence uint64
	// Previous is the Hash of the writer's block before; empty in the first one.
	Previous []byte
	// From and Until bound the entries' times, in milliseconds of Unix time.
	From     int64
	Until    int64
	Coverage []Coverage
	// Entries are encoded entries, in the order in which the writer took them.
	Entries [][]byte
	// Digests holds the first 4 bytes of the SHA-256 of each entry.
	Digests []byte
}

// BlockError says why a block can't be read.
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

// Validate checks the names and the order of numbers.
func (b *Block) Validate() error {
	if b.Zone == "" || b.Writer == "" || b.Boot == "" || b.Sequence == 0 {
		return &BlockError{Problem: "zone, writer, boot id or sequence is missing"}
	}
	if len(b.Previous) != 0 && len(b.Previous) != sha256.Size {
		return &BlockError{Problem: "the previous hash has a wrong length"}
	}
	for i := range b.Coverage {
		c := &b.Coverage[i]
		if c.Daemon == "" || c.Boot == "" || c.Last < c.First {
			return &BlockError{Problem: "a coverage line without run or with its bounds out of order"}
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

// Entry decodes and checks the entry at index i.
func (b *Block) Entry(i int) (*Entry, error) {
	return vrwire.Unmarshal[Entry](b.Entries[i])
}

func digestOf(entry []byte) uint32 {
	sum := sha256.Sum256(entry)
	return binary.BigEndian.Uint32(sum[:digestSize])
}

// EncodeBlock returns the value of the block's object. It fills in the digests.
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

// PackEntries returns encoded entries in the compressed form that a block has, for
// their way to a writer: as rows they take four times the bytes.
func PackEntries(entries [][]byte) ([]byte, error) {
	packed := &packedBlock{}
	packEntries(packed, entries)
	data, err := vrwire.Marshal(packed)
	if err != nil {
		return nil, err
	}
	return vrcodec.Compress(nil, data), nil
}

// UnpackEntries reads what PackEntries returned, within the bound of DecodeBlock.
func UnpackEntries(data []byte) ([][]byte, error) {
	packed, err := unpack(data)
	if err != nil {
		return nil, err
	}
	return unpackEntries(packed)
}

func unpack(data []byte) (*packedBlock, error) {
	plain, err := vrcodec.Decompress(data, MaxBlock)
	if err != nil {
		return nil, &BlockError{Problem: "it can't be decompressed", Err: err}
	}
	packed, err := vrwire.Unmarshal[packedBlock](plain)
	if err != nil {
		return nil, &BlockError{Problem: "it can't be decoded", Err: err}
	}
	return packed, nil
}

// DecodeBlock reads the value of a block's object. It takes at most MaxBlock bytes
// of memory for the decoded form, whatever the frame claims.
func DecodeBlock(data []byte) (*Block, error) {
	packed, err := unpack(data)
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

// Hash returns the SHA-256 of an encoded block, which the next block repeats.
func Hash(data []byte) []byte {
	sum := sha256.Sum256(data)
	return sum[:]
}

func sameHash(a, b []byte) bool { return bytes.Equal(a, b) }

// hourLayout names the hour of a block's last entry. Without it a query for the last
// minutes would have to list every block of the retention time.
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
	return fmt.Sprintf("%s%0*d", n.Prefix(), sequenceWidth, n.Sequence)
}

// Prefix returns the part of the key that the blocks of one writer's run and hour share.
func (n BlockName) Prefix() string {
	return fmt.Sprintf("%s%s/%s-%s/", ZonePrefix(n.Zone), n.Hour, n.Writer, n.Boot)
}

// Chain names the chain of the block: all blocks of one writer's run.
func (n BlockName) Chain() string {
	return fmt.Sprintf("%s%s-%s", ZonePrefix(n.Zone), n.Writer, n.Boot)
}

// ZonePrefix is the prefix of all blocks of a zone.
func ZonePrefix(zone vrid.ZoneID) string {
	return vrplatform.PrefixRecord + string(zone) + "/"
}

// HourPrefix is the prefix of a zone's blocks whose last entry is of an hour.
func HourPrefix(zone vrid.ZoneID, hour time.Time) string {
	return ZonePrefix(zone) + hour.UTC().Format(hourLayout) + "/"
}

// DayPrefix is the prefix of a zone's blocks whose last entry is of a day.
func DayPrefix(zone vrid.ZoneID, day time.Time) string {
	return ZonePrefix(zone) + day.UTC().Format(time.DateOnly)
}

// Time returns the beginning of the hour in the name.
func (n BlockName) Time() (time.Time, error) { return time.Parse(hourLayout, n.Hour) }

// ParseKey reads a block's key. A boot id holds no "-", a daemon id may.
func ParseKey(key string) (BlockName, error) {
	rest, found := strings.CutPrefix(key, vrplatform.PrefixRecord)
	parts := strings.Split(rest, "/")
	const partCount = 4
	if !found || len(parts) != partCount {
		return BlockName{}, &BlockError{Problem: fmt.Sprintf("key %q is not record/{zone}/{hour}/{writer}-{boot}/{sequence}", key)}
	}
	zone, hour, chain, number := parts[0], parts[1], parts[2], parts[3]
	dash := strings.LastIndexByte(chain, '-')
	sequence, err := strconv.ParseUint(number, 10, 64)
	if dash < 0 || err != nil {
		return BlockName{}, &BlockError{Problem: fmt.Sprintf("key %q has no boot id or sequence", key), Err: err}
	}
	return BlockName{
		Zone:     vrid.ZoneID(zone),
		Hour:     hour,
		Writer:   vrid.DaemonID(chain[:dash]),
		Boot:     vrid.BootID(chain[dash+1:]),
		Sequence: sequence,
	}, nil
}
