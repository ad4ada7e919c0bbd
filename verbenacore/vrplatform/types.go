// Package vrplatform defines the messages, paths and object keys of the platform's HTTP
// API: versioned objects with conditional updates and watches, and the list of VMs.
package vrplatform

import (
	"fmt"
	"strconv"
	"strings"

	"verbenaroute.example/verbenacore/vrid"
)

// Outcome is how a call to the platform ended.
type Outcome uint8

// Outcomes of a call.
const (
	OutcomeOK Outcome = iota + 1
	OutcomeNotFound
	// OutcomeConflict means that a write had no effect because the object didn't have the
	// expected version.
	OutcomeConflict
	// OutcomeUnavailable means that the call failed. A write had no effect.
	OutcomeUnavailable
	// OutcomeUnknown means that a write may have taken effect, so the object must be read
	// again.
	OutcomeUnknown
)

// String returns the name that logs and metrics use.
func (o Outcome) String() string {
	switch o {
	case OutcomeOK:
		return "ok"
	case OutcomeNotFound:
		return "notFound"
	case OutcomeConflict:
		return "conflict"
	case OutcomeUnavailable:
		return "unavailable"
	case OutcomeUnknown:
		return "unknown"
	}
	return fmt.Sprintf("outcome(%d)", uint8(o))
}

// VMKind says what runs on a VM.
type VMKind string

// Kinds of VMs.
const (
	VMDaemon            VMKind = "daemon"
	VMLanguageServer    VMKind = "languageServer"
	VMApplicationServer VMKind = "applicationServer"
)

// VM is one entry of the platform's list of VMs, which may be out of date.
type VM struct {
	ID   vrid.VMID   `json:"id"`
	Kind VMKind      `json:"kind"`
	Pool vrid.PoolID `json:"pool,omitempty"`
	Zone vrid.ZoneID `json:"zone"`
	// Address is the IP address and port: the peer port of a daemon or the HTTP port of a
	// server.
	Address string `json:"address"`
	// State is VMLive or VMLeaving.
	State string `json:"state"`
}

// States of a VM.
const (
	VMLive    = "live"
	VMLeaving = "leaving"
)

// VMList is the response body of GET /v1/vms.
type VMList struct {
	VMs []VM `json:"vms"`
}

// Item is one object in the response to a list or a watch request.
type Item struct {
	Key     string             `json:"key"`
	Version vrid.ObjectVersion `json:"version"`
	// Value is absent if the list was requested without values.
	Value []byte `json:"value,omitempty"`
	// Deleted is set by a watch if the object was deleted at Version.
	Deleted bool `json:"deleted,omitempty"`
}

// List is the response body of GET /v1/list.
type List struct {
	Items []Item `json:"items"`
}

// Watch is the response body of GET /v1/watch.
type Watch struct {
	// Revision is the platform's revision at the time of the response. The next watch
	// continues after it.
	Revision vrid.ObjectVersion `json:"revision"`
	Items    []Item             `json:"items"`
}

// Headers of the object API. HeaderVersion carries the object's version in a response.
// HeaderIfVersion carries the version that the object must have for a write to take effect,
// or 0 if it must not exist.
const (
	HeaderVersion   = "X-Version"
	HeaderIfVersion = "X-If-Version"
)

// Paths of the platform's HTTP API.
const (
	PathObjects = "/v1/objects/"
	PathList    = "/v1/list"
	PathWatch   = "/v1/watch"
	PathVMs     = "/v1/vms"
)

// Keys and key prefixes of the objects that verbenaroute stores on the platform, the
// maximum size of a value in bytes, and the width of the numbers in keys.
const (
	// KeyConfigHead holds the newest accepted configuration.
	KeyConfigHead = "config/head"
	PrefixConfig  = "config/"
	// PrefixHistory is followed by a version number; see HistoryKey.
	PrefixHistory = "config/history/"
	// PrefixConfigAck is followed by a zone. The object holds the configuration version that
	// is in force there.
	PrefixConfigAck = "config/ack/"
	PrefixLeases    = "leases/"
	KeyFleetLease   = "leases/fleet"
	// KeyQuarantine holds the parts of prompts that are blocked because they crash servers.
	KeyQuarantine    = "quarantine/prompts"
	PrefixLedgers    = "ledgers/"
	PrefixClaims     = "claims/"
	PrefixRecord     = "record/"
	MaxValueBytes    = 1 << 20
	numberedKeyWidth = 12
)

// HistoryKey returns the key of the document of one configuration version.
func HistoryKey(version vrid.ConfigVersion) string {
	return numberedKey(PrefixHistory, uint64(version))
}

// LeaseKey returns the key of a zone's lease.
func LeaseKey(zone vrid.ZoneID) string { return PrefixLeases + string(zone) }

// LedgerKey returns the key of one chunk of a zone's ledgers.
func LedgerKey(zone vrid.ZoneID, chunk int) string {
	return fmt.Sprintf("%s%s/%d", PrefixLedgers, zone, chunk)
}

// ClaimPrefix returns the key prefix of the segments of a claim shard.
func ClaimPrefix(shard uint32) string { return fmt.Sprintf("%s%d/", PrefixClaims, shard) }

// ClaimKey returns the key of one segment of a claim shard.
func ClaimKey(shard uint32, segment uint64) string {
	return numberedKey(ClaimPrefix(shard), segment)
}

// ParseClaimKey returns the segment number in a key, or false if the key is not that of a
// segment of the shard.
func ParseClaimKey(shard uint32, key string) (uint64, bool) {
	text, ok := strings.CutPrefix(key, ClaimPrefix(shard))
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseUint(text, 10, 64)
	return number, err == nil
}

// numberedKey pads the number with zeros, so that keys sort in the order of their numbers.
func numberedKey(prefix string, number uint64) string {
	return fmt.Sprintf("%s%0*d", prefix, numberedKeyWidth, number)
}
