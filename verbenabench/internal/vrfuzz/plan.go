// Package vrfuzz runs the reducers of several daemons against randomly generated requests
// and faults. It checks the nine invariants with an oracle that sees only the journals of
// the fakes and the callers' view.
package vrfuzz

import (
	"fmt"
	"strings"
	"time"

	"pgregory.net/rapid"

	"verbenaroute.example/verbenabench/internal/vrcampaign"
	"verbenaroute.example/verbenabench/internal/vrworld"
	"verbenaroute.example/verbenacore/vrid"
)

// ActionKind is a kind of action by callers, operators or the fault injection.
type ActionKind uint8

// Kinds of actions.
const (
	// ActWait only waits; ActBurst sends several requests and ActReserve a non-idempotent call.
	ActWait ActionKind = iota
	ActRequest
	ActBurst
	ActReserve
	// ActRetryKey repeats a call with its idempotency key, ActReuseKey sends another call with
	// the key, and ActHangUp closes the connection of a caller.
	ActRetryKey
	ActReuseKey
	ActHangUp
	// ActKillMid kills a daemon partway through the effects of an event; ActReclaim removes
	// its VM and adds another.
	ActKill
	ActKillMid
	ActReclaim
	ActPause
	ActPauseOwner
	ActKillOwner
	// ActLoss drops messages between daemons; ActCrossing duplicates and delays them.
	ActLoss
	ActCrossing
	ActPartition
	ActCutPlatform
	ActPlatformDown
	// ActLostAnswers loses responses of the platform; with ActLateWrites, writes take effect
	// after the daemon gave up on them.
	ActLostAnswers
	ActSlowPlatform
	ActLateWrites
	ActSlowWeights
	ActEngineRestart
	ActEngineReclaim
	ActEngineLeave
	// ActLostOrderAnswers loses the responses to orders; ActOrderLag delays the orders of an
	// owner, ActReportLag the reports of an engine.
	ActLostOrderAnswers
	ActOrderLag
	ActReportLag
	// ActPropose changes the configuration, ActRace makes two changes on the same base version
	// and ActDrain drains a server or ends all drains.
	ActPropose
	ActRace
	ActDrain
	ActStop
	ActReplaceZone
	ActAppRestart
	ActAppLeave
	ActAppBreak
	// ActStrand pauses an owner before it sends an order that it has recorded, and keeps the
	// zone short of memory meanwhile.
	ActStrand
	actCount
)

var _actionNames = [actCount]string{
	"wait", "request", "burst", "reserve", "retryKey", "reuseKey", "hangUp", "kill", "killMid", "reclaim",
	"pause", "pauseOwner", "killOwner", "loss", "crossing", "partition", "cutPlatform", "platformDown",
	"lostAnswers", "slowPlatform", "lateWrites", "slowWeights", "engineRestart", "engineReclaim", "engineLeave",
	"lostOrderAnswers", "orderLag", "reportLag", "propose", "race", "drain", "stop", "replaceZone", "appRestart",
	"appLeave", "appBreak", "strand",
}

// String returns the name of the kind in traces.
func (k ActionKind) String() string { return _actionNames[k] }

// Action is one generated step of a plan.
type Action = vrcampaign.Action[ActionKind]

// Plan is a deployment and a list of actions. Running a plan again gives the same events.
type Plan struct {
	World   vrworld.Options
	Actions []Action
}

// String describes the deployment and lists the actions, one on each line.
func (p Plan) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "world seed %d, %d zones, %d daemons and %d servers per zone, %d models, %d bytes per server, fencing %t\n",
		p.World.Seed, p.World.Zones, p.World.DaemonsPerZone, p.World.ServersPerZone, p.World.Models, p.World.ServerMemory, p.World.HonorsFencing)
	for i, action := range p.Actions {
		fmt.Fprintf(&text, "%3d %s\n", i, action)
	}
	return text.String()
}

// _actionDrawing weights the kinds of actions so that requests keep arriving while faults
// overlap.
var _actionDrawing = vrcampaign.ActionGenerator[ActionKind]{
	Kinds: vrcampaign.ExpandWeights(actCount, map[ActionKind]int{
		ActWait: 4, ActRequest: 14, ActBurst: 6, ActReserve: 12, ActRetryKey: 10, ActReuseKey: 1, ActHangUp: 2,
		ActKill: 2, ActKillMid: 3, ActReclaim: 1, ActPause: 3, ActPauseOwner: 4, ActKillOwner: 3, ActLoss: 1,
		ActCrossing: 1, ActPartition: 2, ActCutPlatform: 2, ActPlatformDown: 1, ActLostAnswers: 2, ActSlowPlatform: 1,
		ActLateWrites: 2, ActSlowWeights: 1, ActEngineRestart: 2, ActEngineReclaim: 1, ActEngineLeave: 2,
		ActLostOrderAnswers: 3, ActOrderLag: 2, ActReportLag: 1, ActPropose: 3, ActRace: 2, ActDrain: 1, ActStop: 2,
		ActReplaceZone: 1, ActAppRestart: 1, ActAppLeave: 1, ActAppBreak: 2, ActStrand: 5,
	}),
	LastUnmuted: ActHangUp, Replacement: ActRequest,
	Durations: []time.Duration{
		300 * time.Millisecond, time.Second, 2500 * time.Millisecond, 4 * time.Second, 7 * time.Second, 12 * time.Second, 25 * time.Second,
	},
}

// Plans returns a generator of plans with minActions to maxActions actions.
func Plans(minActions, maxActions int) *rapid.Generator[Plan] {
	return rapid.Custom(func(t *rapid.T) Plan {
		muted := _actionDrawing.DrawMuted(t)
		return Plan{
			World: vrworld.Options{
				Seed:              rapid.Uint64().Draw(t, "seed"),
				Zones:             rapid.IntRange(1, 3).Draw(t, "zones"),
				DaemonsPerZone:    rapid.IntRange(2, 3).Draw(t, "daemons"),
				ServersPerZone:    rapid.IntRange(2, 3).Draw(t, "servers"),
				AppServersPerZone: 1,
				Models:            rapid.IntRange(4, 14).Draw(t, "models"),
				Adapters:          2,
				ServerMemory:      rapid.SampledFrom([]vrid.Bytes{20 * vrid.GiB, 40 * vrid.GiB}).Draw(t, "memory"),
				HonorsFencing:     rapid.Bool().Draw(t, "fencing"),
			},
			Actions: rapid.SliceOfN(_actionDrawing.Actions(muted), minActions, maxActions).Draw(t, "actions"),
		}
	})
}
