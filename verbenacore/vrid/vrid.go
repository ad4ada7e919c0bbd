// Package vrid holds the named types for ids, ranks and units that every other
// package shares, so that a server id can't be passed where a model id is meant.
package vrid

import (
	"fmt"
	"strings"
)

// Ids are opaque strings chosen by operators or by the platform. They are never
// reused for another thing of the same kind.
type (
	// RegionID names a region, for example "tw-north".
	RegionID string
	// ZoneID names an availability zone, for example "tw-north-a".
	ZoneID string
	// VMID names a VM in the platform's list; a replaced VM gets a new one.
	VMID string
	// DaemonID names one daemon process. It is the id of its entry VM.
	DaemonID string
	// BootID is drawn at each start of a process, so that two runs of one VM differ.
	BootID string
	// ServerID names a language server or an application server by its VM.
	ServerID string
	// PoolID names a pool of equal servers, for example "lm-serve".
	PoolID string
	// ModelID names a model with its version, for example "summary@3".
	ModelID string
	// AdapterID names an adapter with its version.
	AdapterID string
	// ServiceID names a plain service, for example "circles".
	ServiceID string
	// KindID names a kind of request as the operator declared it.
	KindID string
	// CallerID names a caller: a school, a library, a shop.
	CallerID string
	// RequestID is the id of a request in the record (a ULID).
	RequestID string
	// OrderID names one order to a language server; a repeated attempt has its own id.
	OrderID string
	// IdempotencyKey is the caller's key for a call that may not be repeated.
	IdempotencyKey string
)

// Epoch counts the holders of a zone lease. It is the high part of the fencing
// number of an order. Zero means that no lease was ever held.
type Epoch uint64

// ConfigVersion counts accepted fleet configurations, starting at 1.
type ConfigVersion uint64

// ObjectVersion is the store revision that last wrote an object. Zero means that
// the object does not exist.
type ObjectVersion uint64

// Bytes is an amount of memory or traffic.
type Bytes int64

// Common sizes.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
	GiB Bytes = 1 << 30
)

// Fencing is the fencing number of an order: the epoch of the lease under which it
// was decided and the owner's own counter.
type Fencing struct {
	Epoch    Epoch  `json:"epoch" protobuf:"varint,1,opt,proto3"`
	Sequence uint64 `json:"sequence" protobuf:"varint,2,opt,proto3"`
}

// Less reports whether f was issued before other.
func (f Fencing) Less(other Fencing) bool {
	if f.Epoch != other.Epoch {
		return f.Epoch < other.Epoch
	}
	return f.Sequence < other.Sequence
}

// Rank orders requests by worth. Lower values are served first.
// It is 32 bits wide because the protobuf codec has no narrower integers.
type Rank uint32

// The three ranks.
const (
	RankUrgent Rank = iota
	RankNormal
	RankDeferred
	RankCount = 3
)

var _rankNames = [RankCount]string{"urgent", "normal", "deferred"}

// Ranks lists every rank, the most urgent first.
func Ranks() [RankCount]Rank {
	return [RankCount]Rank{RankUrgent, RankNormal, RankDeferred}
}

// Valid reports whether r is one of the three ranks.
func (r Rank) Valid() bool { return r < RankCount }

// String returns the rank's name in configuration, queries and the record.
func (r Rank) String() string {
	if !r.Valid() {
		return fmt.Sprintf("rank(%d)", uint32(r))
	}
	return _rankNames[r]
}

// MarshalText writes the rank's name.
func (r Rank) MarshalText() ([]byte, error) {
	if !r.Valid() {
		return nil, &RankError{Found: r.String()}
	}
	return []byte(r.String()), nil
}

// UnmarshalText reads a rank's name.
func (r *Rank) UnmarshalText(text []byte) error {
	rank, err := ParseRank(string(text))
	if err != nil {
		return err
	}
	*r = rank
	return nil
}

// RankError says that a rank's name is unknown.
type RankError struct {
	Found string
}

func (e *RankError) Error() string {
	return fmt.Sprintf("rank %q is unknown, allowed are %s", e.Found, strings.Join(_rankNames[:], ", "))
}

// ParseRank reads a rank's name, for example "urgent".
func ParseRank(name string) (Rank, error) {
	for i, known := range _rankNames {
		if known == name {
			return Rank(i), nil
		}
	}
	return 0, &RankError{Found: name}
}
