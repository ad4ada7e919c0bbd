// Package vrrecord defines the record of requests: one terminal entry for each request,
// in hash-chained blocks. It encodes and decodes the blocks and verifies them for an
// audit.
package vrrecord

import (
	"fmt"

	"verbenaroute.example/verbenacore/vrid"
)

// EntryKind is what an entry records.
type EntryKind uint32

// Kinds of entries.
const (
	EntryAnswered EntryKind = iota + 1
	EntryRefused
	// EntryGap stands for entry numbers whose entries are lost, for example because their VM
	// was lost.
	EntryGap
	EntryCommand
	EntryLoad
	EntryUnload
	EntryTakeover
)

var _entryNames = map[EntryKind]string{
	EntryAnswered: "answered",
	EntryRefused:  "refused",
	EntryGap:      "gap",
	EntryCommand:  "command",
	EntryLoad:     "load",
	EntryUnload:   "unload",
	EntryTakeover: "takeover",
}

// String returns the kind's name in queries.
func (k EntryKind) String() string {
	if name, ok := _entryNames[k]; ok {
		return name
	}
	return fmt.Sprintf("entry(%d)", uint32(k))
}

// Terminal reports whether the entry ends a request.
func (k EntryKind) Terminal() bool { return k == EntryAnswered || k == EntryRefused }

// Ran states whether a request ran at a back end.
type Ran uint32

// Values of Ran. RanNo is used only if it is certain that the request was not sent or
// that the back end did not start it.
const (
	RanNo Ran = iota + 1
	RanUnknown
	RanYes
)

// String returns the value in problem details.
func (r Ran) String() string {
	switch r {
	case RanNo:
		return "no"
	case RanYes:
		return "yes"
	case RanUnknown:
		return "unknown"
	}
	return "unknown"
}

// Entry is one entry of the record. Times are in milliseconds of Unix time, durations in
// microseconds.
type Entry struct {
	Kind EntryKind `protobuf:"varint,1,opt,name=kind,proto3" json:"kind"`
	// Number counts the entries of one run of a daemon, from 1 without gaps.
	Number  uint64         `protobuf:"varint,2,opt,name=number,proto3" json:"number"`
	Request vrid.RequestID `protobuf:"bytes,3,opt,name=request,proto3" json:"request,omitempty"`
	Daemon  vrid.DaemonID  `protobuf:"bytes,4,opt,name=daemon,proto3" json:"daemon"`
	Boot    vrid.BootID    `protobuf:"bytes,5,opt,name=boot,proto3" json:"boot"`
	Zone    vrid.ZoneID    `protobuf:"bytes,6,opt,name=zone,proto3" json:"zone"`
	At      int64          `protobuf:"varint,7,opt,name=at,proto3" json:"at"`

	Caller  vrid.CallerID  `protobuf:"bytes,8,opt,name=caller,proto3" json:"caller,omitempty"`
	Rank    vrid.Rank      `protobuf:"varint,9,opt,name=rank,proto3" json:"rank"`
	KindID  vrid.KindID    `protobuf:"bytes,10,opt,name=kindId,proto3" json:"kindId,omitempty"`
	Model   vrid.ModelID   `protobuf:"bytes,11,opt,name=model,proto3" json:"model,omitempty"`
	Adapter vrid.AdapterID `protobuf:"bytes,12,opt,name=adapter,proto3" json:"adapter,omitempty"`
	Service vrid.ServiceID `protobuf:"bytes,13,opt,name=service,proto3" json:"service,omitempty"`
	// Key is set only for calls that must not run twice.
	Key vrid.IdempotencyKey `protobuf:"bytes,14,opt,name=key,proto3" json:"key,omitempty"`

	// Reason is the refusal's reason code; empty for answers.
	Reason string `protobuf:"bytes,15,opt,name=reason,proto3" json:"reason,omitempty"`
	Ran    Ran    `protobuf:"varint,16,opt,name=ran,proto3" json:"ran"`
	Status uint32 `protobuf:"varint,17,opt,name=status,proto3" json:"status,omitempty"`

	Server     vrid.ServerID `protobuf:"bytes,18,opt,name=server,proto3" json:"server,omitempty"`
	ServerZone vrid.ZoneID   `protobuf:"bytes,19,opt,name=serverZone,proto3" json:"serverZone,omitempty"`
	Attempts   uint32        `protobuf:"varint,20,opt,name=attempts,proto3" json:"attempts,omitempty"`
	// Cold is set when the request waited until its model was loaded.
	Cold   bool   `protobuf:"varint,21,opt,name=cold,proto3" json:"cold,omitempty"`
	Tokens uint32 `protobuf:"varint,22,opt,name=tokens,proto3" json:"tokens,omitempty"`
	// Queued, FirstToken and Total are measured from the request's arrival.
	Queued     int64 `protobuf:"varint,23,opt,name=queued,proto3" json:"queued,omitempty"`
	FirstToken int64 `protobuf:"varint,24,opt,name=firstToken,proto3" json:"firstToken,omitempty"`
	Total      int64 `protobuf:"varint,25,opt,name=total,proto3" json:"total,omitempty"`

	Config vrid.ConfigVersion `protobuf:"varint,26,opt,name=config,proto3" json:"config,omitempty"`
	Order  vrid.OrderID       `protobuf:"bytes,27,opt,name=order,proto3" json:"order,omitempty"`
	Epoch  vrid.Epoch         `protobuf:"varint,28,opt,name=epoch,proto3" json:"epoch,omitempty"`

	// Text holds a command, or the reason of a load.
	Text     string `protobuf:"bytes,29,opt,name=text,proto3" json:"text,omitempty"`
	Operator string `protobuf:"bytes,30,opt,name=operator,proto3" json:"operator,omitempty"`
	// GapFirst and GapLast are the bounds of a gap. The gap stands for the numbers within
	// them that no block holds.
	GapFirst uint64 `protobuf:"varint,31,opt,name=gapFirst,proto3" json:"gapFirst,omitempty"`
	GapLast  uint64 `protobuf:"varint,32,opt,name=gapLast,proto3" json:"gapLast,omitempty"`
	// FromConfig is the version that a command changed; Config is the resulting one.
	FromConfig vrid.ConfigVersion `protobuf:"varint,33,opt,name=fromConfig,proto3" json:"fromConfig,omitempty"`
}

// EntryError reports an invalid field of an entry.
type EntryError struct {
	Field   string
	Problem string
}

func (e *EntryError) Error() string { return fmt.Sprintf("entry.%s: %s", e.Field, e.Problem) }

// Validate checks the fields that every entry of a block needs.
func (e *Entry) Validate() error {
	if _, ok := _entryNames[e.Kind]; !ok {
		return &EntryError{Field: "kind", Problem: e.Kind.String()}
	}
	if e.Daemon == "" || e.Boot == "" {
		return &EntryError{Field: "daemon", Problem: "daemon or boot id is empty"}
	}
	if e.Kind.Terminal() && e.Request == "" {
		return &EntryError{Field: "request", Problem: "is empty"}
	}
	if e.Kind == EntryRefused && e.Reason == "" {
		return &EntryError{Field: "reason", Problem: "is empty"}
	}
	if e.Kind == EntryGap && (e.GapFirst == 0 || e.GapLast < e.GapFirst) {
		return &EntryError{Field: "gapFirst", Problem: "is 0 or above gapLast"}
	}
	return nil
}
