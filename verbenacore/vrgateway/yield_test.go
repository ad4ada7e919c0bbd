package vrgateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrgateway"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
)

// Guards against a placement owner on a fifth of a core while larger daemons could own the placement, and against a
// fleet of small daemons without an owner.
func TestSmallDaemonLeavesOwnershipToOthers(t *testing.T) {
	for name, test := range map[string]struct {
		cpu     float64
		tenants bool
		daemons int
		within  time.Duration
	}{
		"small":                 {0.2, true, 1, 3 * time.Second},
		"large":                 {0.8, true, 1, time.Second},
		"small, not in force":   {0.2, false, 1, time.Second},
		"small, in small fleet": {0.2, false, 12, time.Second},
		"small, in large fleet": {0.2, false, 13, 3 * time.Second},
		"large, in large fleet": {0.8, false, 13, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDaemon(t)
			d.state = vrgateway.New(vrgateway.Options{
				Daemon: "d1", Boot: "b1", Address: "10.0.0.1:1", Zone: "z", Regions: map[vrid.ZoneID]vrid.RegionID{"z": "r"},
				CPU: test.cpu, Bounds: vrgateway.Bounds{Lease: 3 * time.Second},
			})
			start := d.now
			d.reduce(vrevent.CatalogSeen{Catalog: replayCatalog(test.tenants, 1000)})
			d.reduce(vrevent.FleetListed{Entries: threeAppServers()})
			peers := make([]vrevent.Peer, test.daemons)
			for i := range peers {
				peers[i] = vrevent.Peer{Daemon: vrid.DaemonID(fmt.Sprint("d", i+1)), Address: fmt.Sprint("10.0.0.", i+1, ":1")}
			}
			d.reduce(vrevent.PeersListed{Peers: peers})
			var wroteAfter time.Duration
			d.runFor(4*time.Second, func(effect vrevent.Effect) vrevent.Event {
				switch e := effect.(type) {
				case vrevent.ReadObject:
					return vrevent.ObjectRead{Op: e.Op, Key: e.Key, Outcome: vrplatform.OutcomeNotFound}
				case vrevent.WriteObject:
					if wroteAfter == 0 {
						wroteAfter = d.now.Sub(start)
					}
				}
				return nil
			})
			require.Positive(t, wroteAfter)
			require.Less(t, wroteAfter, test.within)
			if test.within > 2*time.Second {
				require.GreaterOrEqual(t, wroteAfter, 2*time.Second)
			}
		})
	}
}
