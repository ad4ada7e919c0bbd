// Package vrclaim stores claims of idempotency keys. A claim is durable on the platform
// before its call is sent. The segments of a shard form a log that any daemon may extend by
// conditional updates. The owner of the shard's home zone batches claims, which saves writes;
// the object versions keep the log correct when several daemons write.
package vrclaim

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// maxSegmentEntries is the number of entries at which a segment is closed. Every write
	// rewrites the whole open segment: with 2,000 entries, a shard with 137 calls/s wrote
	// 20 MB/s.
	maxSegmentEntries = 128
	// maxSegmentBytes is the estimated size at which a segment is closed.
	maxSegmentBytes = 64 << 10
	// writesPerSecond and writeBurst limit the writes of a log, so that 7 shards cost the
	// platform at most 70 writes/s at any call rate. One write per claim would cost
	// 796 writes/s at 960 calls/s. Claims below the limit are written without delay.
	writesPerSecond = 10
	writeBurst      = 10
	// flushDelay is how long an outcome, which no caller waits for, is held back to be batched
	// with later entries.
	flushDelay = 100 * time.Millisecond
	// retryDelay is the pause after a platform call without a usable result.
	retryDelay = 200 * time.Millisecond
	// maxBodySize is the largest response body that is stored; of a longer one only the
	// status is kept.
	maxBodySize = 16 << 10
)

// Shard returns the shard of a service's idempotency key.
func Shard(service vrid.ServiceID, key vrid.IdempotencyKey, shards int) uint32 {
	if shards <= 1 {
		return 0
	}
	digest := xxhash.New()
	_, _ = digest.WriteString(string(service))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(string(key))
	return uint32(digest.Sum64() % uint64(shards))
}

// HomeZone returns the zone whose owner batches the writes of a shard, or "" if there are no
// zones.
func HomeZone(shard uint32, zones []vrid.ZoneID) vrid.ZoneID {
	if len(zones) == 0 {
		return ""
	}
	return zones[int(shard)%len(zones)]
}

// claimKey identifies a key within its service.
type claimKey struct {
	service vrid.ServiceID
	key     vrid.IdempotencyKey
}

func keyOf(entry *vrwire.ClaimEntry) claimKey {
	return claimKey{service: entry.Service, key: entry.Key}
}

// Answer is the result of a claim or of recording an outcome.
type Answer struct {
	Request vrid.RequestID
	// Daemon is the daemon that sent the request.
	Daemon vrid.DaemonID
	State  vrwire.ClaimState
	// Entry is the durable entry that determined State, or nil.
	Entry *vrwire.ClaimEntry
}

// DropOversizedBody returns a response body, or nil if it is too long to be stored.
func DropOversizedBody(body []byte) []byte {
	if len(body) > maxBodySize {
		return nil
	}
	return body
}
