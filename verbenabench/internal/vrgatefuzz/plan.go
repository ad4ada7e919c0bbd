// Package vrgatefuzz runs the reducers of several gateways against random requests and
// faults. An oracle checks the platform's invariants against what servers, the store and
// clients observe.
package vrgatefuzz

import (
	"fmt"
	"strings"
	"time"

	"pgregory.net/rapid"

	"verbenaroute.example/verbenabench/internal/vrcampaign"
	"verbenaroute.example/verbenabench/internal/vrgateworld"
)

// ActionKind is a kind of client request, operator action or injected fault.
type ActionKind uint8

// Kinds of actions.
const (
	ActWait ActionKind = iota
	ActRequest
	ActBurst
	ActLeave
	ActPublish
	ActKill
	ActKillOwner
	ActKillAll
	ActPause
	ActPauseOwner
	ActStop
	ActLoss
	ActStoreDown
	ActStoreCut
	ActStoreSlow
	ActLostAnswers
	ActLateWrites
	ActLateOrders
	ActLostOrders
	ActServerCut
	ActServerDrain
	ActServerDie
	ActServerRestart
	ActServerReuse
	ActServerBreaks
	ActServerErrors
	ActServerSlow
	// ActStrandOwner delays the placement owner's orders while it can't reach the store or its
	// writes take effect late, and keeps requesting models.
	ActStrandOwner
	// ActStrandOrders makes a server execute its orders late and restarts it meanwhile.
	ActStrandOrders
	// ActRestore makes the store come back from a copy after an outage. Its place in a plan is drawn
	// last.
	ActRestore
	// ActOddEntry makes the entry of a server invalid until its next heartbeat, while it may execute orders
	// late. Its place in a plan is drawn last.
	ActOddEntry
	// ActMuteCatalog keeps the placement owner's reads of the catalog from being answered, while the
	// operator publishes a catalog and clients send requests. Its place in a plan is drawn last.
	ActMuteCatalog
	// ActServerLeaves makes a server state in its answers that it leaves, perhaps just after a restart,
	// while clients send requests. Its place in a plan is drawn last.
	ActServerLeaves
	// ActLoseHolder takes the placement owner from the store, ends, stops or suspends it while models are
	// requested. Its place in a plan is drawn last.
	ActLoseHolder
	actCount
)

var _actionNames = [actCount]string{
	"wait", "request", "burst", "leave", "publish", "kill", "killOwner", "killAll", "pause", "pauseOwner", "stop", "loss",
	"storeDown", "storeCut", "storeSlow", "lostAnswers", "lateWrites", "lateOrders", "lostOrders", "serverCut", "serverDrain",
	"serverDie", "serverRestart", "serverReuse", "serverBreaks", "serverErrors", "serverSlow", "strandOwner", "strandOrders", "restore", "oddEntry", "muteCatalog", "serverLeaves", "loseHolder",
}

// String returns the name that traces show.
func (k ActionKind) String() string { return _actionNames[k] }

// Action is one step of a plan.
type Action = vrcampaign.Action[ActionKind]

// Plan is a deployment with a list of actions. Every run of a plan is identical.
type Plan struct {
	World   vrgateworld.Options
	Actions []Action
}

// String lists the actions.
func (p Plan) String() string {
	var text strings.Builder
	w := p.World
	fmt.Fprintf(&text, "world seed %d, %d zones, %d daemons, %d engines, %d servers per app service, %d models, %d models per engine, disk share %g, poison share %g from %s, store era %d, shared machines %t, former daemons %d\n",
		w.Seed, w.Zones, w.Daemons, w.Engines, w.Apps, w.Models, w.ModelsPerEngine, w.DiskShare, w.PoisonShare, w.PoisonFrom, w.StoreEra, w.SharesMachines, w.FormerDaemons)
	for i, action := range p.Actions {
		fmt.Fprintf(&text, "%3d %s\n", i, action)
	}
	return text.String()
}

// _actionGenerator has weights that keep requests coming and let faults overlap.
var _actionGenerator = vrcampaign.ActionGenerator[ActionKind]{
	Kinds: vrcampaign.ExpandWeights(actCount, map[ActionKind]int{
		ActWait: 4, ActRequest: 20, ActBurst: 10, ActLeave: 4, ActPublish: 4, ActKill: 2, ActKillOwner: 4, ActKillAll: 1,
		ActPause: 3, ActPauseOwner: 5, ActStop: 2, ActLoss: 1, ActStoreDown: 2, ActStoreCut: 2, ActStoreSlow: 2,
		ActLostAnswers: 3, ActLateWrites: 3, ActLateOrders: 4, ActLostOrders: 3, ActServerCut: 2, ActServerDrain: 3,
		ActServerDie: 2, ActServerRestart: 4, ActServerReuse: 2, ActServerBreaks: 3, ActServerErrors: 3, ActServerSlow: 2,
		ActStrandOwner: 4, ActStrandOrders: 4,
	}),
	LastUnmuted: ActPublish, Replacement: ActRequest,
	Durations: []time.Duration{
		300 * time.Millisecond, time.Second, 2500 * time.Millisecond, 4 * time.Second, 7 * time.Second, 12 * time.Second,
	},
}

const (
	// minActions and maxActions bound the number of actions of a plan.
	minActions = 40
	maxActions = 200
)

const (
	// maxPoisonDelay is the maximum time in seconds from the end of the warm-up to the first prompt
	// with a deadly part, and poisonTime the time for which such prompts come.
	maxPoisonDelay = 30
	poisonTime     = 40 * time.Second
)

// Plans returns a generator of plans with minLen to maxLen actions.
func Plans(minLen, maxLen int) *rapid.Generator[Plan] {
	return rapid.Custom(func(t *rapid.T) Plan {
		muted := _actionGenerator.DrawMuted(t)
		plan := Plan{
			World: vrgateworld.Options{
				Seed:            rapid.Uint64().Draw(t, "seed"),
				Zones:           rapid.IntRange(1, 3).Draw(t, "zones"),
				Daemons:         rapid.SampledFrom([]int{2, 3, 4, 5, 14}).Draw(t, "daemons"),
				Engines:         rapid.SampledFrom([]int{2, 3, 4, 12}).Draw(t, "engines"),
				Apps:            rapid.IntRange(2, 4).Draw(t, "apps"),
				Models:          rapid.SampledFrom([]int{3, 5, 9, 30}).Draw(t, "models"),
				ModelsPerEngine: rapid.IntRange(1, 3).Draw(t, "places"),

				DiskShare: rapid.SampledFrom([]float64{0, 0.02, 0.4}).Draw(t, "diskShare"),
			},
			Actions: rapid.SliceOfN(_actionGenerator.Actions(muted), minLen, maxLen).Draw(t, "actions"),
		}
		// Drawn last, so that the other draws of a seed stay as they were before deadly parts.
		plan.World.PoisonShare = rapid.SampledFrom([]float64{0, 0.2, 0.6}).Draw(t, "poisonShare")
		plan.World.PoisonFrom = warmUp + time.Duration(rapid.IntRange(0, maxPoisonDelay).Draw(t, "poisonFrom"))*time.Second
		plan.World.PoisonUntil = plan.World.PoisonFrom + poisonTime
		drawRestores(t, &plan)
		drawOddEntries(t, &plan)
		drawMuteCatalogs(t, &plan)
		drawLeavingServers(t, &plan)
		drawSharedMachines(t, &plan)
		return plan
	})
}

// PlanOf returns the plan of a seed.
func PlanOf(seed int) Plan { return Plans(minActions, maxActions).Example(seed) }

// System lets a campaign run the plans of this package.
var System = vrcampaign.System[Plan, Action]{
	PlanOf:  PlanOf,
	Run:     Run,
	Actions: func(plan Plan) []Action { return plan.Actions },
	With: func(plan Plan, actions []Action) Plan {
		plan.Actions = actions
		return plan
	},
}
