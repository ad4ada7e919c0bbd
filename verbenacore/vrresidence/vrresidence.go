// Package vrresidence decides which models the servers of the fleet hold. The load pattern
// behind it: decode capacity exceeds demand, room for weights does not. Few models carry
// most requests and change during a day; many are asked for now and then. The first load
// of a model comes from the shared weight store and is slow; later ones come from the
// server's own disk or memory and are fast. So the planner keeps busy models on several
// servers, swaps rare ones through the remaining room on the servers that have copies,
// and makes copies while the weight store is idle.
package vrresidence

import (
	"time"

	"verbenaroute.example/verbenacore/vrcatalog"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// Ceiling bounds the loads that begin at the weight store, over all servers, relative to
// the rate that a service declares.
type Ceiling struct {
	Window time.Duration
	Factor float64
}

// Options of a planner.
type Options struct {
	Ceiling Ceiling
}

// PlanInput is what a plan is made from.
type PlanInput struct {
	Fleet   *vrfleet.Fleet
	Catalog *vrcatalog.Catalog
}

// Notice is word for daemons; To lists who asked.
type Notice struct {
	vrwire.Notice
	To []vrid.DaemonID
}

// Decision is the outcome of one plan.
type Decision struct {
	Orders  []vrevent.PlacementOrder
	Notices []Notice
	// StatusReads are servers whose report is needed.
	StatusReads []vrid.ServerID
	// Needs are the models whose wanted number of servers changed.
	Needs []ModelNeed
	// EndedLoads are the loads that ended.
	EndedLoads []LoadEnd
}

// LoadEnd is the end of a load of a model.
type LoadEnd struct {
	Server vrid.ServerID
	Model  vrid.ModelID
	// Source is where the weights came from.
	Source string
	// Waited is the time from the decision to the accepted load, Took from then to its end.
	Waited, Took, ExpectedTime time.Duration
	// Succeeded is false for a load that was given up.
	Succeeded bool
}

// ModelNeed is how many servers a model should have, and why.
type ModelNeed struct {
	Model      vrid.ModelID
	Have, Need int
	Rate       float64
	// PrefillShare is the part of one server's time that its prompts take.
	PrefillShare float64
}

// key is a model or an adapter of a service.
type key struct {
	service vrid.ServiceID
	model   vrid.ModelID
	adapter vrid.AdapterID
}

// Planner is the placement owner's memory.
type Planner struct {
	opts Options
	// readRate is how many prompt tokens a second one server reads, or zero.
	readRate float64
	demand   map[key]*demand
	work     map[vrid.ServerID]*work
	ledgers  map[vrid.ServerID]*ledger
	asked    map[vrid.ServerID]time.Time
	cool     map[vrid.ServerID]time.Time
	stores   map[vrid.ServiceID]*weightStore
	// former is when a former owner's last order may have been given.
	former time.Time
	// held is when the planner first saw a model on a server.
	held map[resident]time.Time
	runs map[vrid.DaemonID]runs
	// needs are the wanted numbers of servers that were last told.
	needs map[key]int
}

type resident struct {
	server vrid.ServerID
	model  vrid.ModelID
}

// New returns a planner that knows of no demand.
func New(opts Options) *Planner {
	return &Planner{
		opts: opts, demand: make(map[key]*demand), work: make(map[vrid.ServerID]*work),
		ledgers: make(map[vrid.ServerID]*ledger), asked: make(map[vrid.ServerID]time.Time), cool: make(map[vrid.ServerID]time.Time),
		stores: make(map[vrid.ServiceID]*weightStore), held: make(map[resident]time.Time), needs: make(map[key]int), runs: make(map[vrid.DaemonID]runs),
	}
}

// BecomeOwner starts this daemon's time as the owner. former is when the last order of another
// owner may have been given, zero where there was none.
func (p *Planner) BecomeOwner(former time.Time) {
	clear(p.work)
	clear(p.ledgers)
	p.former = former
}

// ForgetServer drops what is known of a life of a server.
func (p *Planner) ForgetServer(id vrid.ServerID) {
	delete(p.work, id)
	delete(p.ledgers, id)
	delete(p.cool, id)
}
