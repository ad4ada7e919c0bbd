package vrfleet

import (
	"fmt"

	"verbenaroute.example/verbenacore/vrcodec"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
)

// Change makes a new configuration that differs from the one before in its version and
// in one worth, and writes it as a daemon does: first the history, then the head.
func (f *Fleet) Change() (vrid.ConfigVersion, error) {
	fleet := f.Deployment.Fleet
	fleet.Version++
	fleet.Ranks = append(fleet.Ranks[:0:0], fleet.Ranks...)
	for i := range fleet.Ranks {
		if fleet.Ranks[i].Rank == vrid.RankDeferred {
			fleet.Ranks[i].Worth *= 2
		}
	}
	document, err := vrcodec.EncodeFleet(&fleet)
	if err != nil {
		return 0, fmt.Errorf("encode configuration %d: %w", fleet.Version, err)
	}
	f.World.Platform.Put(vrplatform.HistoryKey(fleet.Version), document)
	f.World.Platform.Put(vrplatform.KeyConfigHead, document)
	f.Deployment.Fleet.Version = fleet.Version
	return fleet.Version, nil
}
