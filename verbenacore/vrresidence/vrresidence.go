// Package vrresidence plans the placement of models and adapters on the servers of the fleet.
// It is designed for the following load: decode capacity exceeds demand, but memory for weights
// is short. A few models, which change during a day, get most requests; many others are
// requested now and then. A server's first load of a model comes from the shared weight store
// and is slow; later loads come from the server's own disk or host memory and are fast. So the
// planner keeps busy models on several servers, swaps rarely used models through the remaining
// memory of the servers that have copies of them, and makes copies while the weight store is
// idle.
package vrresidence

import (
	"time"

	"verbenaroute.example/verbenacore/vrcatalog"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// Ceiling limits the loads from the weight store that may start within Window, over all
// servers, relative to the rate that a service declares.
type Ceiling struct {
	Window time.Duration
	Factor float64
}

// Options configures a Planner.
type Options struct {
	Ceiling Ceiling
}

// PlanInput is the state that a plan is based on.
type PlanInput struct {
	Fleet   *vrfleet.Fleet
	Catalog *vrcatalog.Catalog
	// FreshFrom is the time since which a server's entry or status report must have been received for the
	// plan to use that server, zero for any.
	FreshFrom time.Time
}

// Notice is a message to daemons. To lists the daemons whose requests wait for the model or
// adapter.
type Notice struct {
	vrwire.Notice
	To []vrid.DaemonID
}

// Decision is the result of a plan.
type Decision struct {
	Orders  []vrevent.PlacementOrder
	Notices []Notice
	// StatusReads are the servers whose status reports have to be read.
	StatusReads []vrid.ServerID
	// Needs are the models whose number of wanted replicas changed.
	Needs []ModelNeed
	// EndedLoads are the loads that ended.
	EndedLoads []LoadEnd
	// Unfit are the loads that were planned and not ordered, because they would not have fitted.
	Unfit []UnfitLoad
	// Examined counts how often a server was examined for the load of a model. Most of the time of a plan goes
	// there.
	Examined int
}

// UnfitLoad describes a load that its server has no room for, as of the moment before it would have been ordered.
type UnfitLoad struct {
	Server vrid.ServerID
	Model  vrid.ModelID
	// Adapter is empty for the load of a model.
	Adapter          vrid.AdapterID
	FreeMemory       vrid.Bytes
	FreeAdapterSlots int
}

// LoadEnd describes a load of a model that has ended.
type LoadEnd struct {
	Server vrid.ServerID
	Model  vrid.ModelID
	// Source is the tier that the weights were loaded from: memory, disk or store.
	Source string
	// Waited is the time from the decision until the server accepted the load, Took the time
	// from then to its end, and ExpectedTime the time it was expected to take.
	Waited, Took, ExpectedTime time.Duration
	// Succeeded is false if the planner gave up on the load.
	Succeeded bool
}

// ModelNeed is the number of replicas that a model has and needs, and the demand that the need
// follows from.
type ModelNeed struct {
	Model      vrid.ModelID
	Have, Need int
	// Rate is the number of requests per second.
	Rate float64
	// PrefillShare is the prefill time of the model's prompts as a fraction of one server's time.
	PrefillShare float64
}

// target identifies a model, or an adapter of a model, of a service.
type target struct {
	service vrid.ServiceID
	model   vrid.ModelID
	adapter vrid.AdapterID
}

// Planner plans the placement of models while this daemon is the placement owner.
type Planner struct {
	opts Options
	// prefillRate is the number of prompt tokens per second that one server processes, zero if
	// it has not been measured.
	prefillRate float64
	demand      map[target]*demand
	// reportedTargets holds the targets that each daemon has reported demand for since its last full report, and
	// in it.
	reportedTargets map[vrid.DaemonID]map[target]bool
	jobs            map[vrid.ServerID]*job
	ledgers         map[vrid.ServerID]*ledger
	// statusRequestedAt is when each server's status report was last requested.
	statusRequestedAt map[vrid.ServerID]time.Time
	// freshFrom is PlanInput.FreshFrom of the last plan, answeredAt when each server's last status report was
	// received while it was set.
	freshFrom  time.Time
	answeredAt map[vrid.ServerID]time.Time
	// cooldownUntil is the time before which a server gets no load of a model.
	cooldownUntil map[vrid.ServerID]time.Time
	stores        map[vrid.ServiceID]*storeLimiter
	takeover      takeover
	// ownerSince is the time of the first plan of this ownership, zero before it.
	ownerSince time.Time
	// knownRuns and doubtfulRuns hold runs of servers by their start: those of which this owner has had a ledger, and
	// those of which an unload may have been accepted whose answer this owner has not got.
	knownRuns, doubtfulRuns map[vrid.ServerID]int64
	// loadedAt is when the planner saw that a load of a model on a server was done.
	loadedAt map[serverModel]time.Time
	// inFlight are the daemons' newest reports of their requests in flight.
	inFlight map[vrid.DaemonID]inFlightReport
	// reportedNeeds are the numbers of wanted replicas that were last reported in Needs.
	reportedNeeds map[target]int
}

// serverModel identifies a model on a server.
type serverModel struct {
	server vrid.ServerID
	model  vrid.ModelID
}

// New returns a planner without any demand.
func New(opts Options) *Planner {
	return &Planner{
		opts: opts, demand: make(map[target]*demand), reportedTargets: make(map[vrid.DaemonID]map[target]bool), jobs: make(map[vrid.ServerID]*job),
		ledgers: make(map[vrid.ServerID]*ledger), statusRequestedAt: make(map[vrid.ServerID]time.Time), answeredAt: make(map[vrid.ServerID]time.Time), cooldownUntil: make(map[vrid.ServerID]time.Time),
		stores: make(map[vrid.ServiceID]*storeLimiter), loadedAt: make(map[serverModel]time.Time), reportedNeeds: make(map[target]int), inFlight: make(map[vrid.DaemonID]inFlightReport),
		knownRuns: make(map[vrid.ServerID]int64), doubtfulRuns: make(map[vrid.ServerID]int64),
	}
}

// BecomeOwner makes this daemon the placement owner. previousOwnerEnd is the latest time at which
// another owner may have given an order, zero if there was none.
func (p *Planner) BecomeOwner(previousOwnerEnd time.Time) {
	clear(p.jobs)
	clear(p.ledgers)
	clear(p.knownRuns)
	clear(p.doubtfulRuns)
	p.ownerSince = time.Time{}
	p.takeover = newTakeover(previousOwnerEnd)
}

// ForgetServer drops the state of a server whose run has ended.
func (p *Planner) ForgetServer(id vrid.ServerID) {
	delete(p.jobs, id)
	delete(p.ledgers, id)
	delete(p.cooldownUntil, id)
	delete(p.answeredAt, id)
	delete(p.knownRuns, id)
	delete(p.doubtfulRuns, id)
}
