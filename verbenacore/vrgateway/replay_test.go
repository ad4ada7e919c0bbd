package vrgateway_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrcatalog"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
)

// A replay plays a load pattern against gateways and a model of servers, in virtual time.

// clients send calls of one kind.
type clients struct {
	name  string
	route string
	// tenant is the number of their tenant.
	tenant int
	// perSecond is the rate at which they send from from to until.
	perSecond   float64
	from, until time.Duration
	models      int
	tokens      int
	// leaveAfter is when a client without an answer leaves, zero if it waits.
	leaveAfter time.Duration
	// retries is how often a refused client returns. It heeds Retry-After unless hasty is set.
	retries int
	hasty   bool
}

// outcome counts what the calls of one kind got. A client that returns counts once.
type outcome struct {
	sent, inTime, answered, left int
	// slowRefusals counts the refusals that came later than slowRefusal, and byModel the answered calls.
	refusals, slowRefusals int
	byModel                map[vrid.ModelID]int
}

func (o *outcome) inTimeShare() float64   { return float64(o.inTime) / float64(o.sent) }
func (o *outcome) answeredShare() float64 { return float64(o.answered) / float64(o.sent) }

type replayEvent struct {
	at  time.Time
	run func()
}

// modelServer runs slots calls at once, queues half as many by their priority, and turns others away.
type modelServer struct {
	entry  vrfleet.Entry
	run    map[*serverCall]bool
	queue  []*serverCall
	tokens int
}

func (s *modelServer) load() vrevent.ServerLoad {
	return vrevent.ServerLoad{Running: len(s.run), Waiting: len(s.queue), Slots: s.entry.Slots}
}

type serverCall struct {
	d      *daemon
	send   vrevent.SendCall
	client *clientCall
	sentAt time.Time
	// firstByteAt is when its response begins.
	firstByteAt time.Time
}

type clientCall struct {
	kind     *clients
	model    vrid.ModelID
	tries    int
	callID   vrevent.CallID
	arrived  time.Time
	finished bool
}

type replay struct {
	t           *testing.T
	random      *rand.Rand
	now         time.Time
	start       time.Time
	events      []replayEvent
	daemons     []*daemon
	servers     map[vrid.ServerID]*modelServer
	calls       map[*daemon]map[vrevent.CallID]*clientCall
	outcomes    map[string]*outcome
	serviceTime time.Duration
	cacheTokens int
}

// slowRefusal is the time after which a refusal comes late.
const slowRefusal = 500 * time.Millisecond

// replaySeed is the seed of all replays.
const replaySeed = 11

// replayTenants is the number of tenants of the highest priority. Another one has the next priority.
const replayTenants = 8

// newReplay returns a replay with the servers. Without tenants, ordered admission is not active.
func newReplay(t *testing.T, daemons int, tenants bool, serviceTime time.Duration, entries ...vrfleet.Entry) *replay {
	r := &replay{
		t: t, random: rand.New(rand.NewPCG(replaySeed, 1)), now: time.Unix(1_790_000_000, 0), servers: make(map[vrid.ServerID]*modelServer),
		calls: make(map[*daemon]map[vrevent.CallID]*clientCall), outcomes: make(map[string]*outcome), serviceTime: serviceTime, cacheTokens: 8000,
	}
	r.start = r.now
	for _, entry := range entries {
		r.servers[entry.ID] = &modelServer{entry: entry, run: make(map[*serverCall]bool)}
	}
	for range daemons {
		d := newDaemon(t)
		d.now = r.now
		d.reduce(vrevent.CatalogSeen{Catalog: replayCatalog(tenants, r.cacheTokens)})
		d.reduce(vrevent.FleetListed{Entries: entries})
		r.daemons, r.calls[d] = append(r.daemons, d), make(map[vrevent.CallID]*clientCall)
		r.tick(d)
	}
	return r
}

func tenantKey(number int) vrid.KeyDigest { return vrid.KeyDigest{byte(number + 1)} }

func replayCatalog(tenants bool, cacheTokens int) *vrcatalog.Catalog {
	c := newCatalog(1)
	c.Routes = nil
	for _, route := range []vrcatalog.Route{
		{ID: "urgent", Kind: vrcatalog.RouteIdempotent, Target: 400 * time.Millisecond, Timeout: 2 * time.Second},
		{ID: "deferred", Kind: vrcatalog.RouteIdempotent, Target: 2 * time.Second, Timeout: 6 * time.Second, Priority: 2},
		{ID: "stream", Kind: vrcatalog.RouteStream, Target: 400 * time.Millisecond, Timeout: 4 * time.Second},
		{ID: "long", Kind: vrcatalog.RouteStream, Target: 2 * time.Second, Timeout: 8 * time.Second, Priority: 1},
	} {
		route.Host, route.Prefix, route.MaxAttempts = "h", "/"+string(route.ID)+"/", 1
		service := vrid.ServiceID("app")
		if route.Kind == vrcatalog.RouteStream {
			service = "lm"
		}
		route.Services = []vrcatalog.Split{{Service: service, Weight: 1}}
		c.Routes = append(c.Routes, route)
	}
	engine := c.Services[1].Engine
	engine.CacheTokens, engine.Models = cacheTokens, nil
	for i := range 12 {
		engine.Models = append(engine.Models, vrcatalog.Model{ID: replayModel(i), Weights: 40, StoreLoad: time.Minute})
	}
	for i := range replayTenants + 1 {
		if tenants {
			c.Tenants = append(c.Tenants, vrcatalog.Tenant{
				ID: vrid.TenantID(fmt.Sprintf("t%d", i)), Keys: []vrid.KeyDigest{tenantKey(i)}, Priority: i / replayTenants,
			})
		}
	}
	if err := c.Build(); err != nil {
		panic(err)
	}
	return c
}

func replayModel(i int) vrid.ModelID { return vrid.ModelID(fmt.Sprintf("m%02d", i)) }

func (r *replay) at(delay time.Duration, run func()) {
	event := replayEvent{at: r.now.Add(delay), run: run}
	index, _ := slices.BinarySearchFunc(r.events, event, func(e, target replayEvent) int {
		// The new event comes after those at the same time.
		return cmp.Or(e.at.Compare(target.at), -1)
	})
	r.events = slices.Insert(r.events, index, event)
}

func (r *replay) tick(d *daemon) {
	r.reduce(d, vrevent.Tick{})
	r.at(25*time.Millisecond, func() { r.tick(d) })
}

// play plays the pattern until all calls have ended, and returns the outcomes by kind.
func (r *replay) play(duration time.Duration, kinds ...clients) map[string]*outcome {
	for i := range kinds {
		kind := &kinds[i]
		if r.outcomes[kind.name] == nil {
			r.outcomes[kind.name] = &outcome{byModel: make(map[vrid.ModelID]int)}
		}
		if kind.until == 0 {
			kind.until = duration
		}
		for at := kind.from; at < kind.until; at += time.Duration(r.random.ExpFloat64() / kind.perSecond * float64(time.Second)) {
			r.at(at, func() {
				r.outcomes[kind.name].sent++
				client := &clientCall{kind: kind}
				if kind.models > 0 {
					client.model = replayModel(r.random.IntN(kind.models))
				}
				r.arrive(client)
			})
		}
	}
	const drainTime = 40 * time.Second
	for until := r.now.Add(duration + drainTime); r.events[0].at.Before(until); {
		event := r.events[0]
		r.events = r.events[1:]
		r.now = event.at
		event.run()
	}
	for _, d := range r.daemons {
		require.Zero(r.t, d.state.OpenCalls(), "calls are never answered, seed %d", replaySeed)
		require.Zero(r.t, d.state.WaitingCalls())
	}
	for name, o := range r.outcomes {
		r.t.Logf("%s: %+v", name, *o)
	}
	return r.outcomes
}

func (r *replay) arrive(client *clientCall) {
	d := r.daemons[r.random.IntN(len(r.daemons))]
	d.lastCallID++
	client.callID, client.arrived = d.lastCallID, r.now
	r.calls[d][d.lastCallID] = client
	call := vrevent.Call{
		ID: d.lastCallID, Request: "r", Host: "h", Path: "/" + client.kind.route + "/x", Timeout: 10 * time.Second, Model: client.model,
		PromptTokens: client.kind.tokens, DeclaresTokens: true, Key: tenantKey(client.kind.tenant), HasKey: true,
	}
	if leave := client.kind.leaveAfter; leave > 0 {
		r.at(leave, func() {
			if !client.finished && client.callID == call.ID {
				client.finished = true
				r.outcomes[client.kind.name].left++
				for _, server := range r.servers {
					r.cancel(server, client)
				}
				r.reduce(d, vrevent.ClientGone{Call: call.ID})
			}
		})
	}
	r.reduce(d, vrevent.CallArrived{Call: call})
}

func (r *replay) reduce(d *daemon, event vrevent.Event) {
	d.now = r.now
	for _, effect := range d.reduce(event) {
		switch e := effect.(type) {
		case vrevent.SendCall:
			call := &serverCall{d: d, send: e, client: r.calls[d][e.Call], sentAt: r.now}
			r.at(time.Millisecond, func() { r.receive(call) })
		case vrevent.RefuseCall:
			r.refused(r.calls[d][e.Call], e)
		default:
			if answer := storeDown(effect); answer != nil {
				r.reduce(d, answer)
			}
		}
	}
}

func (r *replay) refused(client *clientCall, e vrevent.RefuseCall) {
	o := r.outcomes[client.kind.name]
	o.refusals++
	if r.now.Sub(client.arrived) > slowRefusal {
		o.slowRefusals++
	}
	client.callID = 0
	if client.tries++; client.tries > client.kind.retries || client.finished {
		client.finished = true
		return
	}
	wait := e.RetryAfter
	if client.kind.hasty {
		wait = time.Millisecond
	}
	r.at(wait, func() { r.arrive(client) })
}

func (r *replay) receive(call *serverCall) {
	server := r.servers[call.send.Server]
	if server == nil {
		r.end(call, vrevent.AttemptNotSent)
		return
	}
	if len(server.queue) >= server.entry.Slots/2 && len(server.run) >= server.entry.Slots {
		r.end(call, vrevent.AttemptBusy)
		return
	}
	server.queue = append(server.queue, call)
	slices.SortStableFunc(server.queue, func(a, b *serverCall) int { return a.send.Priority - b.send.Priority })
	r.startQueued(server)
}

func (r *replay) startQueued(server *modelServer) {
	for len(server.queue) > 0 && len(server.run) < server.entry.Slots {
		call := server.queue[0]
		server.queue = server.queue[1:]
		if call.client.finished {
			r.end(call, vrevent.AttemptCallerGone)
			continue
		}
		server.run[call] = true
		server.tokens += call.client.kind.tokens
		if server.tokens > r.cacheTokens {
			r.outcomes["crashes"] = &outcome{sent: 1}
		}
		duration := time.Duration((0.5 + r.random.Float64()) * float64(r.serviceTime))
		call.firstByteAt = r.now.Add(duration)
		if call.send.Stream {
			call.firstByteAt = r.now.Add(duration / 4)
		}
		r.at(call.firstByteAt.Sub(r.now), func() {
			if server.run[call] {
				r.reduce(call.d, vrevent.LoadReported{Server: server.entry.ID, Born: server.entry.Born, Load: server.load()})
			}
		})
		r.at(duration, func() {
			if server.run[call] {
				r.cancel(server, call.client)
				r.end(call, vrevent.AttemptAnswered)
			}
		})
	}
}

// cancel ends what a server runs for a client.
func (r *replay) cancel(server *modelServer, client *clientCall) {
	for call := range server.run {
		if call.client == client {
			delete(server.run, call)
			server.tokens -= client.kind.tokens
			r.startQueued(server)
			return
		}
	}
}

// end reports the end of a send, and what the client gets.
func (r *replay) end(call *serverCall, result vrevent.AttemptResult) {
	e := vrevent.SendEnded{Call: call.send.Call, Send: call.send.Send, Result: result, Status: 200}
	if server := r.servers[call.send.Server]; server != nil {
		load := server.load()
		e.Load = &load
	}
	client, o := call.client, r.outcomes[call.client.kind.name]
	if result == vrevent.AttemptAnswered && !client.finished && client.callID == call.send.Call {
		client.finished = true
		e.TimeToFirstByte = call.firstByteAt.Sub(call.sentAt)
		if call.firstByteAt.Sub(client.arrived) <= call.d.state.Catalog().Match("h", "/"+client.kind.route+"/x").Target {
			o.inTime++
		}
		o.answered++
		o.byModel[client.model]++
	}
	r.reduce(call.d, e)
}

// remove removes servers after a time.
func (r *replay) remove(after time.Duration, ids ...vrid.ServerID) {
	r.at(after, func() {
		for _, id := range ids {
			delete(r.servers, id)
		}
		for _, d := range r.daemons {
			r.reduce(d, vrevent.FleetChanged{Version: 2, Removed: ids})
		}
	})
}
