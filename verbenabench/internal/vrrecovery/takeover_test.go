package vrrecovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenabench/internal/vrworld"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
)

// loads notes the servers on which something began to load.
type loads struct{ servers []vrid.ServerID }

func (l *loads) Loading(engine *vrworld.Engine, _ vrid.ModelID, _ vrid.AdapterID) {
	l.servers = append(l.servers, engine.ID)
}
func (*loads) Written(string, []byte)                                               {}
func (*loads) Ran(*vrworld.Call, vrid.ServerID)                                     {}
func (*loads) Dispatched(*vrworld.Process, *vrworld.Call, vrid.ServerID, time.Time) {}
func (*loads) Effect(*vrworld.Process, vrevent.Effect)                              {}
func (*loads) Reduced(*vrworld.Process)                                             {}

// A new owner that had no report yet took a leaving server for a live one and loaded a
// model there 6.3 s after it began to leave (I7; try, seed 1, --seconds 15). The
// platform's list does not name the server as leaving here.
func TestSuccessorLoadsNothingOnLeavingServer(t *testing.T) {
	for seed := range uint64(20) {
		seen := &loads{}
		w := vrworld.New(vrworld.Options{Seed: seed, Models: _manyModels, VMLag: time.Hour, Observer: seen})
		zone := vrworld.ZoneName(0)
		w.Advance(_warmUp)
		var leaving []vrid.ServerID
		for _, e := range w.Engines {
			if e.Zone == zone && len(leaving) < 2 {
				e.Leave()
				leaving = append(leaving, e.ID)
			}
		}
		w.Advance(4 * time.Second)
		before := len(seen.servers)
		worldOwner(w, zone).Kill()
		for _, model := range urgentModels(w) {
			running := survivors(w, zone)
			w.Send(running[w.Random().IntN(len(running))], prompt(model))
			w.Advance(_askEvery)
		}
		w.Advance(_warmUp)
		for _, server := range seen.servers[before:] {
			require.NotContains(t, leaving, server, "seed %d", seed)
		}
		require.NotEmpty(t, seen.servers[before:], "seed %d: nothing was loaded", seed)
	}
}
