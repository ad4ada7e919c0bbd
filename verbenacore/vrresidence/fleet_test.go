package vrresidence_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrcatalog"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrresidence"
	"verbenaroute.example/verbenacore/vrwire"
)

// fleetSize is the size of a deployment.
type fleetSize struct{ servers, models, daemons int }

// _hundredsOfDaemons is a deployment whose placement owner may run on a fifth of a core.
var _hundredsOfDaemons = fleetSize{servers: 160, models: 520, daemons: 295}

// Models that a server holds and has copies of, and requests in flight at a daemon.
const fleetHeld, fleetCopies, fleetInFlight = 3, 10, 8

// newFleetPlan returns a planner that has the reports of all daemons and servers, and what it plans from. Requests
// wait for a number of models.
func newFleetPlan(tb testing.TB, now time.Time, size fleetSize, waiting int) (*vrresidence.Planner, vrresidence.PlanInput) {
	random := rand.New(rand.NewPCG(1, 2))
	engine := &vrcatalog.Engine{Slots: 16, Memory: 200 * vrid.GiB, AdapterSlots: 8, LoadRate: 60}
	for i := range size.models {
		engine.Models = append(engine.Models, vrcatalog.Model{
			ID: vrid.ModelID(fmt.Sprint("m", i)), Weights: 65 * vrid.GiB, AdapterSize: vrid.GiB / 16,
			StoreLoad: 8 * time.Second, DiskLoad: 800 * time.Millisecond, MemoryLoad: 400 * time.Millisecond,
		})
	}
	catalog := &vrcatalog.Catalog{Services: []vrcatalog.Service{{ID: "lm", Engine: engine}}}
	require.NoError(tb, catalog.Build())
	fleet := vrfleet.New()
	for i := range size.servers {
		entry := vrfleet.Entry{
			ID: vrid.ServerID(fmt.Sprint("s", i)), Service: "lm", Address: "10.0.0.1:1", Zone: vrid.ZoneID(fmt.Sprint("z", i%6)),
			Slots: 16, State: vrfleet.StateReady, Born: 1, Beat: 1,
		}
		for j := range fleetHeld {
			entry.Holds = append(entry.Holds, vrfleet.LoadedModel{Model: engine.Models[(i*fleetHeld+j)%(size.models/2)].ID})
		}
		for range fleetCopies {
			entry.OnDisk = append(entry.OnDisk, engine.Models[random.IntN(size.models)].ID)
		}
		fleet.Put(now, entry)
	}
	planner := vrresidence.New(vrresidence.Options{Ceiling: vrresidence.Ceiling{Window: 5 * time.Second, Factor: 1.1}})
	planner.BecomeOwner(time.Time{})
	for i := range size.daemons {
		report := &vrwire.PlacementDemand{Full: true}
		for range fleetInFlight {
			// A few models get most requests.
			share := random.Float64()
			server, model := random.IntN(size.servers), int(share*share*share*float64(size.models)/2)
			report.Items = append(report.Items, vrwire.PlacementDemandItem{
				Service: "lm", Model: engine.Models[model].ID, Arrived: 1, Running: 1, PromptTokens: 600,
			})
			report.InFlight = append(report.InFlight, vrwire.ServerInFlight{
				Server: vrid.ServerID(fmt.Sprint("s", server)), Model: engine.Models[model].ID, Running: 1,
			})
		}
		if i < waiting {
			report.Items = append(report.Items, vrwire.PlacementDemandItem{
				Service: "lm", Model: engine.Models[size.models-1-i].ID, Arrived: 1, Waiting: 2, WithinTarget: 1, LongestRemaining: 20_000,
			})
		}
		planner.HandleDemand(now, vrid.DaemonID(fmt.Sprint("d", i)), report)
	}
	input := vrresidence.PlanInput{Fleet: fleet, Catalog: catalog}
	planner.Plan(now, input)
	for _, server := range fleet.ServersOf("lm") {
		planner.HandleStatusRead(now, vrevent.StatusRead{Server: server.ID, Status: &vrevent.ServerStatus{
			Born: server.Born, Holds: server.Holds, OnDisk: server.OnDisk,
		}}, fleet)
	}
	return planner, input
}

// Guards against a plan that examines each server for each model. With 160 servers and 521 models it took the owner
// longer than the interval between two plans, and loads that requests waited for came too late.
func TestPlanExaminesFewServersForEachModel(t *testing.T) {
	now, size := time.Unix(1_790_000_000, 0), _hundredsOfDaemons
	planner, input := newFleetPlan(t, now, size, size.models/4)
	decision := planner.Plan(now.Add(time.Second), input)
	require.NotZero(t, decision.Examined)
	require.Less(t, decision.Examined, size.models*fleetCopies)
}

// BenchmarkPlan measures a plan for hundreds of daemons and models. Each plan begins with the same state.
func BenchmarkPlan(b *testing.B) {
	for _, waiting := range []int{0, 10, 60} {
		b.Run(fmt.Sprint(waiting, " models wait"), func(b *testing.B) {
			now := time.Unix(1_790_000_000, 0)
			for b.Loop() {
				b.StopTimer()
				planner, input := newFleetPlan(b, now, _hundredsOfDaemons, waiting)
				b.StartTimer()
				planner.Plan(now.Add(time.Second), input)
			}
		})
	}
}

// BenchmarkHandleDemand measures a report of a daemon.
func BenchmarkHandleDemand(b *testing.B) {
	now := time.Unix(1_790_000_000, 0)
	planner, _ := newFleetPlan(b, now, _hundredsOfDaemons, 0)
	report := &vrwire.PlacementDemand{Full: true}
	for i := range fleetInFlight {
		report.Items = append(report.Items, vrwire.PlacementDemandItem{
			Service: "lm", Model: vrid.ModelID(fmt.Sprint("m", i)), Arrived: 1, Running: 1, PromptTokens: 600,
		})
	}
	for b.Loop() {
		planner.HandleDemand(now, "d1", report)
	}
}
