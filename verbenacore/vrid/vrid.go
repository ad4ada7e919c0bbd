// Package vrid defines the types for IDs, ranks and units that all other packages share.
// Distinct types let the compiler reject a server ID where a model ID is expected.
package vrid

import (
	"encoding/base64"
	"errors"
	"fmt"
	"strings"
)

// IDs are opaque strings chosen by operators or by the platform. An ID is never reused
// for another object of the same type.
type (
	// RegionID identifies a region, for example "tw-north".
	RegionID string
	// ZoneID identifies an availability zone, for example "tw-north-a".
	ZoneID string
	// VMID identifies a VM in the platform's VM list; a replacement VM gets a new ID.
	VMID string
	// DaemonID identifies a daemon. It is the ID of the entry VM that the daemon runs on.
	DaemonID string
	// BootID is generated at each process start, to tell restarts on one VM apart.
	BootID string
	// ServerID identifies a language server or an application server. It is the ID of
	// the server's VM.
	ServerID string
	// PoolID identifies a pool of identical servers, for example "lm-serve".
	PoolID string
	// ModelID identifies a version of a model, for example "summary@3".
	ModelID string
	// AdapterID identifies a version of an adapter.
	AdapterID string
	// ServiceID identifies an application service, for example "circles".
	ServiceID string
	// KindID identifies a request kind declared by the operator.
	KindID string
	// CallerID identifies a caller: a client organization such as a school, a library or a shop.
	CallerID string
	// RequestID identifies a request in the record (a ULID).
	RequestID string
	// OrderID identifies one order sent to a language server; each retry has its own ID.
	OrderID string
	// PromptPartID identifies a part of a prompt, which many requests may share.
	PromptPartID string
	// ReservationID identifies a place that a server reserved for one request.
	ReservationID string
	// TenantID identifies a tenant: a customer of the operator with API keys and a quota.
	TenantID string
	// IdempotencyKey is chosen by the caller to make retries of a non-idempotent call safe.
	IdempotencyKey string
)

// KeyDigest is the SHA-256 digest of a tenant's API key. Keys themselves are not kept, so that none can
// reach a log, a metric or another daemon.
type KeyDigest [32]byte

// MarshalText encodes the digest for messages between daemons.
func (d KeyDigest) MarshalText() ([]byte, error) {
	return base64.RawStdEncoding.AppendEncode(nil, d[:]), nil
}

// UnmarshalText decodes a digest that MarshalText has encoded.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	decoded, err := base64.RawStdEncoding.DecodeString(string(text))
	if err != nil || len(decoded) != len(d) {
		return errInvalidDigest
	}
	copy(d[:], decoded)
	return nil
}

// errInvalidDigest reports a malformed digest, without its text.
var errInvalidDigest = errors.New("the digest of a key is malformed")

// Epoch counts the successive holders of a zone lease. It is the high part of an order's
// fencing token. Zero means that the lease has never been held.
type Epoch uint64

// ConfigVersion counts accepted fleet configurations, starting at 1.
type ConfigVersion uint64

// StoreEra counts how often the store was restored from a copy. A restore loses the latest writes,
// and the store gives out their revisions again.
type StoreEra uint64

// ObjectVersion is the store revision at which an object was last written, together with the era of
// that revision. A version of a later era is higher than all versions of former ones. A version
// without a revision means that the object does not exist.
type ObjectVersion uint64

// The low revisionBits bits of an ObjectVersion are the revision, the others the era. A store that
// writes 400 objects a second reaches the highest revision after 20,000 years.
const (
	revisionBits = 48
	maxRevision  = 1<<revisionBits - 1
	maxStoreEra  = 1<<(64-revisionBits) - 1
)

// NewObjectVersion returns the version of a revision in an era. It reports false if one of them is
// too large.
func NewObjectVersion(era StoreEra, revision uint64) (ObjectVersion, bool) {
	if era > maxStoreEra || revision > maxRevision {
		return 0, false
	}
	return ObjectVersion(uint64(era)<<revisionBits | revision), true
}

// Era returns the era of the version.
func (v ObjectVersion) Era() StoreEra { return StoreEra(v >> revisionBits) }

// Revision returns the store's revision, which is unique only within the era.
func (v ObjectVersion) Revision() uint64 { return uint64(v) & maxRevision }

// Bytes is an amount of memory or traffic in bytes.
type Bytes int64

// Binary units of Bytes.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
	GiB Bytes = 1 << 30
)

// FencingToken is the fencing token of an order: the epoch of the lease under which it was
// decided and the lease holder's sequence number within that epoch.
type FencingToken struct {
	Epoch    Epoch  `json:"epoch" protobuf:"varint,1,opt,proto3"`
	Sequence uint64 `json:"sequence" protobuf:"varint,2,opt,proto3"`
}

// Less reports whether f is older than other.
func (f FencingToken) Less(other FencingToken) bool {
	if f.Epoch != other.Epoch {
		return f.Epoch < other.Epoch
	}
	return f.Sequence < other.Sequence
}

// Rank is the priority class of a request. Lower values are more urgent. It is 32 bits
// wide because the protobuf codec has no narrower integers.
type Rank uint32

// Ranks, from the most to the least urgent, and their count.
const (
	RankUrgent Rank = iota
	RankNormal
	RankDeferred
	RankCount = 3
)

var _rankNames = [RankCount]string{"urgent", "normal", "deferred"}

// Ranks returns all ranks, the most urgent first.
func Ranks() [RankCount]Rank {
	return [RankCount]Rank{RankUrgent, RankNormal, RankDeferred}
}

// Valid reports whether r is one of the declared ranks.
func (r Rank) Valid() bool { return r < RankCount }

// String returns the rank's name as used in configurations, queries and the record.
func (r Rank) String() string {
	if !r.Valid() {
		return fmt.Sprintf("rank(%d)", uint32(r))
	}
	return _rankNames[r]
}

// MarshalText encodes the rank as its name.
func (r Rank) MarshalText() ([]byte, error) {
	if !r.Valid() {
		return nil, &RankError{Found: r.String()}
	}
	return []byte(r.String()), nil
}

// UnmarshalText decodes a rank's name.
func (r *Rank) UnmarshalText(text []byte) error {
	rank, err := ParseRank(string(text))
	if err != nil {
		return err
	}
	*r = rank
	return nil
}

// RankError reports an unknown rank name.
type RankError struct {
	Found string
}

func (e *RankError) Error() string {
	return fmt.Sprintf("unknown rank %q, must be one of %s", e.Found, strings.Join(_rankNames[:], ", "))
}

// ParseRank returns the rank with the given name, for example "urgent".
func ParseRank(name string) (Rank, error) {
	for i, rankName := range _rankNames {
		if rankName == name {
			return Rank(i), nil
		}
	}
	return 0, &RankError{Found: name}
}
