package vrslope

import (
	"time"

	"verbenaroute.example/verbenacore/vrid"
)

// The design scale that the lines are extended to.
const (
	designRate    = 48_000.0
	designDaemons = 2_100.0
	// designDaemonRate is the requests a second of one daemon.
	designDaemonRate = designRate / designDaemons
	// groupSize is the number of daemons that share a record writer.
	groupSize = 5
	// designWriters is the number of record writers.
	designWriters = designDaemons / groupSize
	// designZoneWriters is the number of record writers in a zone of 100 daemons.
	designZoneWriters = 100 / groupSize
	// designUnrepeatable is the part of requests that must not run twice.
	designUnrepeatable = 0.02
	// designShards is the number of claim shards.
	designShards = 7
	// designLeases is the writes a second of 21 zone leases and the fleet's lease.
	designLeases = 22.0
	// thousand is what platform writes are quoted for.
	thousand = 1000
)

// platformDelay is the time until the fake platform answers.
const platformDelay = 5 * time.Millisecond

const measuredZone vrid.ZoneID = "tw-north-a"

// epoch is the beginning of virtual time.
var epoch = time.UnixMilli(1_790_000_000_000)
