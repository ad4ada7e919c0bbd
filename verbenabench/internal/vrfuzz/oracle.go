package vrfuzz

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"time"

	"verbenaroute.example/verbenabench/internal/vrcampaign"
	"verbenaroute.example/verbenabench/internal/vrworld"
	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrledger"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// deadlineSlack is how long after its deadline a request may end. It allows for the
	// runtime's time to report an attempt and for a lookup of the outcome.
	deadlineSlack = 12 * time.Second
	// streamSlack is added for streams, which may be resumed on another replica.
	streamSlack = 30 * time.Second
	// maxLeavingDelay is how long a leaving endpoint may still receive new work (I7).
	maxLeavingDelay = 3 * time.Second
	// maxConfigDelay is how long an accepted configuration may take to reach every daemon (I9).
	maxConfigDelay = 7 * time.Second
	// faultGrace is how long after the end of a fault the time limits apply again. Until then
	// a lease may expire, a successor take over and its view reach every daemon.
	faultGrace = 10 * time.Second
)

// placement is a model on a server, or an adapter of the model if adapter is set.
type placement struct {
	server  vrid.ServerID
	model   vrid.ModelID
	adapter vrid.AdapterID
}

// oracle checks the invariants during a run. It sees only the events of the fakes, the
// objects on the platform, the effects of the daemons and the results that callers get.
type oracle struct {
	world     *vrworld.World
	violation *vrcampaign.Violation
	// chunks holds the decoded ledger objects by key.
	chunks map[string]*vrledger.Chunk
	// recorded holds the placements in the current ledger objects.
	recorded       map[placement]bool
	maxReplicas    map[vrid.ModelID]int
	headVersion    vrid.ConfigVersion
	history        map[string][]byte
	configVersions map[*vrworld.Process]vrid.ConfigVersion
	// runsByKey counts how often the call of each service and idempotency key ran. Each must
	// run at most once.
	runsByKey       map[string]int
	refusedNotRun   map[vrid.RequestID]bool
	terminalEntries map[vrid.RequestID]int
	endedCalls      []*vrworld.Call
	drainedSince    map[vrid.ServerID]time.Time
	// timedChecksFrom is when the time limits apply again after the last fault.
	timedChecksFrom time.Time
}

func newOracle() *oracle {
	return &oracle{
		chunks: make(map[string]*vrledger.Chunk), recorded: make(map[placement]bool),
		maxReplicas: make(map[vrid.ModelID]int), history: make(map[string][]byte),
		configVersions: make(map[*vrworld.Process]vrid.ConfigVersion), runsByKey: make(map[string]int),
		refusedNotRun: make(map[vrid.RequestID]bool), terminalEntries: make(map[vrid.RequestID]int),
		drainedSince: make(map[vrid.ServerID]time.Time),
	}
}

// attach sets the world to check. It is called after the initial configuration was
// installed, so that the installation is not checked.
func (o *oracle) attach(w *vrworld.World) {
	o.world = w
	o.applyConfig(w.Options.Fleet)
	o.headVersion = w.Options.Fleet.Version
	o.timedChecksFrom = w.Now().Add(faultGrace)
}

func (o *oracle) fail(invariant, format string, args ...any) {
	if o.violation == nil {
		o.violation = &vrcampaign.Violation{Invariant: invariant, At: o.world.Now(), Problem: fmt.Sprintf(format, args...)}
	}
}

// noteFault suspends the time limits for the duration of a fault and faultGrace after it.
func (o *oracle) noteFault(duration time.Duration) {
	until := o.world.Now().Add(duration + faultGrace)
	if until.After(o.timedChecksFrom) {
		o.timedChecksFrom = until
	}
}

// applyConfig updates the replica caps and the drained servers from an accepted
// configuration. A cap never decreases.
func (o *oracle) applyConfig(fleet *vrconfig.Fleet) {
	for _, model := range fleet.Models {
		o.maxReplicas[model.ID] = max(o.maxReplicas[model.ID], model.ReplicasPerZone)
	}
	for server := range o.drainedSince {
		if !slices.Contains(fleet.Drained, server) {
			delete(o.drainedSince, server)
		}
	}
	for _, server := range fleet.Drained {
		if _, ok := o.drainedSince[server]; !ok && o.world != nil {
			o.drainedSince[server] = o.world.Now()
		}
	}
}

// Loading checks I1 and I2 when an engine starts loading a model or an adapter.
func (o *oracle) Loading(engine *vrworld.Engine, model vrid.ModelID, adapter vrid.AdapterID) {
	if engine.Used > engine.Memory {
		o.fail("I2", "server %s holds %d of %d bytes after %s %s", engine.ID, engine.Used, engine.Memory, model, adapter)
	}
	if !o.recorded[placement{server: engine.ID, model: model, adapter: adapter}] {
		o.fail("I1", "server %s loads %s %s, which no ledger object records", engine.ID, model, adapter)
	}
	if adapter != "" {
		return
	}
	for other, held := range engine.Models {
		if other != model && !held.Loaded {
			o.fail("I2", "server %s gets an order for %s beside the one for %s", engine.ID, model, other)
		}
	}
	replicas := 0
	for _, other := range o.world.Engines {
		if other.Zone == engine.Zone && other.Models[model] != nil {
			replicas++
		}
	}
	if replicas > o.maxReplicas[model] {
		o.fail("I1", "%d replicas of %s in %s, the cap is %d", replicas, model, engine.Zone, o.maxReplicas[model])
	}
}

// Written checks a write that took effect on the platform.
func (o *oracle) Written(key string, value []byte) {
	if o.world == nil {
		return
	}
	switch {
	case strings.HasPrefix(key, vrplatform.PrefixLedgers):
		o.checkLedgerWrite(key, value)
	case key == vrplatform.KeyConfigHead:
		o.checkHeadWrite(value)
	case strings.HasPrefix(key, vrplatform.PrefixHistory):
		if o.history[key] != nil {
			o.fail("I9", "%s was written twice", key)
		}
		o.history[key] = value
	}
}

// checkLedgerWrite checks that no placement was removed from the ledger while an engine
// still holds the model, and that the recorded replicas respect the cap.
func (o *oracle) checkLedgerWrite(key string, value []byte) {
	chunk, err := vrwire.Unmarshal[vrledger.Chunk](value)
	if err != nil {
		o.fail("I1", "ledger %s is malformed: %v", key, err)
		return
	}
	previous := o.chunks[key]
	o.chunks[key] = chunk
	if previous != nil {
		for _, server := range previous.Servers {
			for _, entry := range server.Entries {
				delete(o.recorded, placement{server.Server, entry.Model, entry.Adapter})
			}
		}
	}
	for _, server := range chunk.Servers {
		for _, entry := range server.Entries {
			o.recorded[placement{server.Server, entry.Model, entry.Adapter}] = true
		}
	}
	o.checkLoadedRecorded(key)
	o.checkReplicaCaps(key)
}

func (o *oracle) checkLoadedRecorded(key string) {
	for _, engine := range o.world.Engines {
		if !strings.HasPrefix(key, vrplatform.PrefixLedgers+string(engine.Zone)+"/") {
			continue
		}
		for model := range engine.Models {
			if !o.recorded[placement{server: engine.ID, model: model}] {
				o.fail("I1", "server %s holds %s, which %s no longer records", engine.ID, model, key)
			}
		}
	}
}

func (o *oracle) checkReplicaCaps(key string) {
	zonePrefix := key[:strings.LastIndexByte(key, '/')+1]
	replicas := make(map[vrid.ModelID]int)
	for otherKey, chunk := range o.chunks {
		if !strings.HasPrefix(otherKey, zonePrefix) {
			continue
		}
		for _, server := range chunk.Servers {
			var reserved vrid.Bytes
			for _, entry := range server.Entries {
				reserved += entry.Bytes
				if entry.Adapter == "" {
					replicas[entry.Model]++
				}
			}
			if limit := o.world.Options.Fleet.Pools[0].Memory; reserved > limit {
				o.fail("I2", "%s reserves %d bytes of server %s, which has %d", otherKey, reserved, server.Server, limit)
			}
		}
	}
	for model, count := range replicas {
		if count > o.maxReplicas[model] {
			o.fail("I1", "%s records %d replicas of %s, the cap is %d", zonePrefix, count, model, o.maxReplicas[model])
		}
	}
}

func (o *oracle) checkHeadWrite(document []byte) {
	index := o.world.Decode(document)
	version := index.Fleet.Version
	if version <= o.headVersion {
		o.fail("I9", "the head goes from version %d to %d", o.headVersion, version)
	}
	o.headVersion = version
	if !bytes.Equal(o.history[vrplatform.HistoryKey(version)], document) {
		o.fail("I9", "the head of version %d differs from its history entry", version)
	}
	o.applyConfig(index.Fleet)
}

// Ran checks I5 and I6 when a back end starts executing a request.
func (o *oracle) Ran(call *vrworld.Call, server vrid.ServerID) {
	if o.refusedNotRun[call.Request.ID] {
		o.fail("I5", "%s runs at %s after it was refused as not run", call.Request.ID, server)
	}
	if call.Request.Service == "" || call.Request.Idempotent {
		return
	}
	key := string(call.Request.Service) + "/" + string(call.Request.Key)
	o.runsByKey[key]++
	if o.runsByKey[key] > 1 {
		o.fail("I6", "key %s runs %d times, now as %s", key, o.runsByKey[key], call.Request.ID)
	}
}

// Dispatched checks I7 when a daemon sends a request to a back end.
func (o *oracle) Dispatched(p *vrworld.Process, call *vrworld.Call, server vrid.ServerID, decidedAt time.Time) {
	if since := o.world.LeavingSince(server); !since.IsZero() && !since.Before(o.timedChecksFrom) && decidedAt.Sub(since) > maxLeavingDelay {
		o.fail("I7", "%s sends %s to %s %s after it announced that it leaves", p.Daemon.ID, call.Request.ID, server, decidedAt.Sub(since))
	}
	if since, ok := o.drainedSince[server]; ok && !since.Before(o.timedChecksFrom) && decidedAt.Sub(since) > maxConfigDelay {
		o.fail("I7", "%s sends %s to %s %s after its drain was accepted", p.Daemon.ID, call.Request.ID, server, decidedAt.Sub(since))
	}
}

// Effect checks the effects that end calls, record entries, decide configurations or stop
// the daemon.
func (o *oracle) Effect(p *vrworld.Process, effect vrevent.Effect) {
	switch e := effect.(type) {
	case vrevent.Refuse:
		o.checkRefusal(e)
	case vrevent.Replay:
		o.recordEnd(e.Request)
	case vrevent.Complete:
		o.recordEnd(e.Request)
	case vrevent.AppendEntry:
		o.checkEntry(e.Entry)
	case vrevent.ConfigDecided:
		o.checkConfigDecision(p, e)
	case vrevent.Stopped:
		if p.Open() > 0 {
			o.fail("I8", "%s stopped with %d open requests", p.Daemon.ID, p.Open())
		}
	}
}

func (o *oracle) checkRefusal(e vrevent.Refuse) {
	call := o.world.Calls[e.Request]
	o.recordEnd(e.Request)
	if e.Ran != vrrecord.RanNo {
		return
	}
	if call.AppRuns > 0 || call.EngineStarts > 0 {
		o.fail("I5", "%s was refused as not run (%s) after it ran", e.Request, e.Reason)
	}
	o.refusedNotRun[e.Request] = true
}

// recordEnd checks that the call ends only once. Its response is checked in Reduced, after
// the world has processed the effect.
func (o *oracle) recordEnd(id vrid.RequestID) {
	call := o.world.Calls[id]
	if call.EndCount > 0 {
		o.fail("I4", "%s ends twice", id)
	}
	o.endedCalls = append(o.endedCalls, call)
}

func (o *oracle) checkEntry(entry vrrecord.Entry) {
	if !entry.Kind.Terminal() {
		return
	}
	o.terminalEntries[entry.Request]++
	if o.terminalEntries[entry.Request] > 1 {
		o.fail("record", "%s has %d terminal entries", entry.Request, o.terminalEntries[entry.Request])
	}
	call := o.world.Calls[entry.Request]
	if entry.Ran == vrrecord.RanNo && (call.AppRuns > 0 || call.EngineStarts > 0) {
		o.fail("I5", "the entry of %s says that it did not run", entry.Request)
	}
}

// checkConfigDecision checks that an accepted configuration change is stored on the
// platform, and maxConfigDelay later that it is in force on every daemon.
func (o *oracle) checkConfigDecision(p *vrworld.Process, e vrevent.ConfigDecided) {
	if e.Decision != vrevent.ConfigAccepted {
		return
	}
	proposal := p.Proposal(e.Proposal)
	version := proposal.Base + 1
	if !bytes.Equal(o.history[vrplatform.HistoryKey(version)], proposal.Document) {
		o.fail("I9", "%s accepted version %d, but its history entry has other content", p.Daemon.ID, version)
	}
	if o.headVersion < version {
		o.fail("I9", "%s accepted version %d, the head is %d", p.Daemon.ID, version, o.headVersion)
	}
	acceptedAt := o.world.Now()
	if acceptedAt.Before(o.timedChecksFrom) {
		return
	}
	o.world.After(maxConfigDelay, func() {
		if o.timedChecksFrom.After(acceptedAt) {
			return
		}
		for _, d := range o.world.Daemons {
			if process := d.Process; process != nil && !process.Started.After(acceptedAt) && o.configVersions[process] < version {
				o.fail("I9", "%s holds version %d, %s after version %d was accepted", d.ID, o.configVersions[process], maxConfigDelay, version)
			}
		}
	})
}

// Reduced checks that a process never goes back to an older configuration, and checks the
// responses of the calls that just ended.
func (o *oracle) Reduced(p *vrworld.Process) {
	if index := p.State.Configuration(); index != nil {
		version := index.Fleet.Version
		if version < o.configVersions[p] {
			o.fail("I9", "%s goes from version %d to %d", p.Daemon.ID, o.configVersions[p], version)
		}
		o.configVersions[p] = version
	}
	for _, call := range o.endedCalls {
		answered := call.End == vrworld.EndAnswered || call.End == vrworld.EndReplayed
		if answered && !call.AnswerComplete() {
			o.fail("I4", "%s got %d tokens and body %q", call.Request.ID, call.Tokens, call.Body)
		}
	}
	o.endedCalls = o.endedCalls[:0]
}

// checkWaitingTimes checks I3 on every running daemon that is not paused.
func (o *oracle) checkWaitingTimes() {
	now := o.world.Now()
	for _, d := range o.world.Daemons {
		p := d.Process
		if p == nil || p.Paused() {
			continue
		}
		for _, call := range p.Calls() {
			limit := call.Limit + deadlineSlack + p.PausedFor
			if !call.FirstToken.IsZero() {
				limit += streamSlack + 2*time.Duration(call.Request.MaxTokens)*vrworld.TokenTime
			}
			if waited := now.Sub(call.Sent); waited > limit {
				o.fail("I3", "%s waits for %s at %s, its limit is %s", call.Request.ID, waited, d.ID, call.Limit)
			}
		}
	}
}

// checkTerminalEntries checks that each ended call of a live process has exactly one terminal
// entry.
func (o *oracle) checkTerminalEntries() {
	for id, call := range o.world.Calls {
		if call.Process.Alive() && call.End != vrworld.EndOpen && o.terminalEntries[id] != 1 {
			o.fail("record", "%s ended and has %d terminal entries", id, o.terminalEntries[id])
		}
	}
}
