package vrresidence_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrresidence"
	"verbenaroute.example/verbenacore/vrwire"
)

// shift replays six models that lose their traffic while their last calls run, and six that get traffic.
type shift struct {
	*simulation
	// ends holds the end of the last call for a model at a server, unloading the model that a server unloads.
	ends      map[vrwire.ServerInFlight]time.Time
	unloading map[vrid.ServerID]vrid.ModelID
	reportAt  time.Time
}

func newShift(t *testing.T, seed uint64) *shift {
	const servers = 6
	random := rand.New(rand.NewPCG(seed, 1))
	s := &shift{simulation: newSimulation(t, 2*servers, servers), ends: make(map[vrwire.ServerInFlight]time.Time), unloading: make(map[vrid.ServerID]vrid.ModelID)}
	for i := range servers {
		server := s.servers[vrid.ServerID("s"+string(rune('0'+i)))]
		server.slowUnloads = true
		for model := range 2 * servers {
			server.entry.OnDisk = append(server.entry.OnDisk, modelID(model))
		}
		for _, model := range []int{i, (i + 1) % servers} {
			server.holds = append(server.holds, vrfleet.LoadedModel{Model: modelID(model)})
			key := vrwire.ServerInFlight{Server: server.entry.ID, Model: modelID(model), Running: 1}
			s.ends[key] = s.now.Add(time.Duration(random.ExpFloat64() * float64(2*time.Second)))
		}
	}
	s.onNotice = func(n vrresidence.Notice) {
		if n.Kind == vrwire.NoticeUnloading {
			s.unloading[n.Server] = n.Model
			s.reportAt = s.now
		}
	}
	return s
}

// report reports the calls in flight and those that wait for the models 6 to 11, and ends the unloads whose calls
// have ended.
func (s *shift) report() {
	for id, model := range s.unloading {
		key := vrwire.ServerInFlight{Server: id, Model: model, Running: 1}
		if end, known := s.ends[key]; !known || !s.now.Before(end) {
			s.servers[id].unloadPending = false
			delete(s.unloading, id)
			s.reportAt = s.now
		}
	}
	if s.now.Before(s.reportAt) {
		return
	}
	s.reportAt = s.now.Add(time.Second)
	report := &vrwire.PlacementDemand{Full: true}
	for key, end := range s.ends {
		if s.now.Before(end) {
			report.InFlight = append(report.InFlight, key)
		}
	}
	for model := 6; model < 12; model++ {
		report.Items = append(report.Items, vrwire.PlacementDemandItem{
			Service: "lm", Model: modelID(model), Waiting: 6, WithinTarget: 6, Arrived: 3, LongestRemaining: 25_000,
		})
	}
	s.planner.HandleDemand(s.now, "d", report)
}

// Six models fall silent and six rise at once: the loads of the risen ones must not wait for, nor be ordered in vain
// beside, the last calls of the silent ones.
func TestSixModelsRiseWhileSixFallSilent(t *testing.T) {
	var refused, issued int
	var slowest, sum time.Duration
	const seeds = 10
	for seed := range uint64(seeds) {
		s := newShift(t, seed)
		start := s.now
		held := make(map[vrid.ModelID]bool)
		for s.now.Sub(start) < 20*time.Second && len(held) < 6 {
			s.report()
			s.step(25 * time.Millisecond)
			for _, load := range s.loads {
				if load.Model >= modelID(6) && !held[load.Model] {
					held[load.Model] = true
					sum += s.now.Sub(start)
					slowest = max(slowest, s.now.Sub(start))
				}
			}
		}
		require.Len(t, held, 6, "seed %d", seed)
		s.requireNoCrash()
		refused, issued = refused+s.refused, issued+s.issued
	}
	t.Logf("%d orders, %d refused, loads begin after %v on average, %v at most", issued, refused, sum/(6*seeds), slowest)
	require.Less(t, refused, issued/2)
	require.Less(t, slowest, 8*time.Second)
}
