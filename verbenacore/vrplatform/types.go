// Package vrplatform is the client of the platform: objects with versions,
// conditional updates, watches and the list of VMs.
package vrplatform

import (
	"fmt"
	"strconv"
	"strings"

	"verbenaroute.example/verbenacore/vrid"
)

// Outcome is how a call to the platform ended.
type Outcome uint8

// Ends of a call. After OutcomeUnknown a write may have taken effect: read again.
const (
	OutcomeOK Outcome = iota + 1
	OutcomeNotFound
	OutcomeConflict
	OutcomeUnavailable
	OutcomeUnknown
)

// String returns the name in logs.
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

// VMKind says what a VM is for.
type VMKind string

// Kinds of VMs.
const (
	VMDaemon            VMKind = "daemon"
	VMLanguageServer    VMKind = "languageServer"
	VMApplicationServer VMKind = "applicationServer"
)

// VM is one line of the platform's list, which lags.
type VM struct {
	ID   vrid.VMID   `json:"id"`
	Kind VMKind      `json:"kind"`
	Pool vrid.PoolID `json:"pool,omitempty"`
	Zone vrid.ZoneID `json:"zone"`
	// Address is the IP address and port: the peer port of a daemon, the HTTP port
	// of a server.
	Address string `json:"address"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// States of a VM.
const (
	VMLive    = "live"
	VMLeaving = "leaving"
)

// VMList is the body of GET /v1/vms.
type VMList struct {
	VMs []VM `json:"vms"`
}

// Item is one object in a list or a watch.
type Item struct {
	Key     string             `json:"key"`
	Version vrid.ObjectVersion `json:"version"`
	Value   []byte             `json:"value,omitempty"`
	Deleted bool               `json:"deleted,omitempty"`
}

// List is the body of GET /v1/list.
type List struct {
	Items []Item `json:"items"`
}

// Watch is the body of GET /v1/watch.
type Watch struct {
	Revision vrid.ObjectVersion `json:"revision"`
	Items    []Item             `json:"items"`
}

// Header names and query parameters of the object API.
const (
	HeaderVersion   = "X-Version"
	HeaderIfVersion = "X-If-Version"
)

// Paths of the platform's HTTP interface.
const (
	PathObjects = "/v1/objects/"
	PathList    = "/v1/list"
	PathWatch   = "/v1/watch"
	PathVMs     = "/v1/vms"
)

// Keys of the objects that verbenaroute keeps on the platform.
const (
	KeyConfigHead    = "config/head"
	PrefixConfig     = "config/"
	PrefixHistory    = "config/history/"
	PrefixConfigAck  = "config/ack/"
	PrefixLeases     = "leases/"
	KeyFleetLease    = "leases/fleet"
	PrefixLedgers    = "ledgers/"
	PrefixClaims     = "claims/"
	PrefixRecord     = "record/"
	MaxValue         = 1 << 20
	numberedKeyWidth = 12
)

// HistoryKey is the key of one configuration version.
func HistoryKey(version vrid.ConfigVersion) string {
	return numbered(PrefixHistory, uint64(version))
}

// LeaseKey is the key of a zone's lease.
func LeaseKey(zone vrid.ZoneID) string { return PrefixLeases + string(zone) }

// LedgerKey is the key of a chunk of a zone's ledgers.
func LedgerKey(zone vrid.ZoneID, chunk int) string {
	return fmt.Sprintf("%s%s/%d", PrefixLedgers, zone, chunk)
}

// ClaimPrefix is the prefix of a shard's segments.
func ClaimPrefix(shard uint32) string { return fmt.Sprintf("%s%d/", PrefixClaims, shard) }

// ClaimKey is the key of one segment.
func ClaimKey(shard uint32, segment uint64) string {
	return numbered(ClaimPrefix(shard), segment)
}

// ClaimNumber returns the segment's number in a key of a shard.
func ClaimNumber(shard uint32, key string) (uint64, bool) {
	text, ok := strings.CutPrefix(key, ClaimPrefix(shard))
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseUint(text, 10, 64)
	return number, err == nil
}

// numbered pads the number so that keys sort in order.
func numbered(prefix string, number uint64) string {
	return fmt.Sprintf("%s%0*d", prefix, numberedKeyWidth, number)
}
