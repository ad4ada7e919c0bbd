package vrslope

import (
	"time"

	"verbenaroute.example/verbenacore/vrid"
)

// The design scale to which the fitted lines are extrapolated.
const (
	// designRate is the requests a second of the fleet.
	designRate    = 48_000.0
	designDaemons = 2_100.0
	// designDaemonRate is the requests a second of one daemon.
	designDaemonRate = designRate / designDaemons
	// groupSize is the number of daemons that share a record writer.
	groupSize = 5
	// designWriters is the number of record writers.
	designWriters = designDaemons / groupSize
	// designWritersPerZone is the number of record writers in a zone of 100 daemons.
	designWritersPerZone = 100 / groupSize
	// designClaimFraction is the fraction of requests that need a claim because they must
	// not run twice.
	designClaimFraction = 0.02
	// designShards is the number of claim shards.
	designShards = 7
	// designLeaseWrites is the writes a second that renew 21 zone leases and the fleet lease.
	designLeaseWrites = 22.0
	// thousand is the number of requests or calls for which platform writes are quoted.
	thousand = 1000
)

// platformLatency is the latency of the fake platform.
const platformLatency = 5 * time.Millisecond

const measuredZone vrid.ZoneID = "tw-north-a"

// startTime is the start of virtual time.
var startTime = time.UnixMilli(1_790_000_000_000)
