package vrgateway

import (
	"cmp"
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfault"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrlease"
	"verbenaroute.example/verbenacore/vrresidence"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// wantInterval is the pause between two messages of all wants, and between two for a
	// target that still waits.
	wantInterval = time.Second
	// askInterval is the pause between two messages for one target.
	askInterval = 500 * time.Millisecond
	// tellDelay gathers changes of what runs where into one message.
	tellDelay = 150 * time.Millisecond
	// planInterval is the pause between two plans without news, planLeast the one with news:
	// a plan looks at every server and model.
	planInterval = 100 * time.Millisecond
	planLeast    = 40 * time.Millisecond
	// candidateSpread spreads the daemons' first try for the lease.
	candidateSpread = 400 * time.Millisecond
)

// ownerLink is this daemon's way to the placement owner.
type ownerLink struct {
	daemon  vrid.DaemonID
	address string
	epoch   vrid.Epoch
	// unreachableAt is when a message could last not be delivered.
	unreachableAt time.Time
	sentAt        time.Time
	// planAt is when the next plan is due, plannedAt the time of the last one.
	plannedAt time.Time
	planAt    time.Time
}

func (o *ownerLink) lost(now time.Time, peer vrid.DaemonID) {
	if peer == o.daemon {
		o.unreachableAt = now
	}
}

// unreachableTime is how long a message that was not delivered counts.
const unreachableTime = 1500 * time.Millisecond

func (o *ownerLink) unreachable(now time.Time) bool {
	return !o.unreachableAt.IsZero() && now.Sub(o.unreachableAt) < unreachableTime
}

// use counts what this daemon's calls ask for, for the next message of wants.
type use struct {
	arrived uint32
	running uint32
	tokens  uint64
}

// serverModel is a model at a server.
type serverModel struct {
	server vrid.ServerID
	model  vrid.ModelID
}

// noteRun counts a send of a call, or with -1 its end.
func (s *State) noteRun(c *call, server vrid.ServerID, change int) {
	if c.Model == "" {
		return
	}
	key := serverModel{server: server, model: c.Model}
	count := int(s.running[key]) + change
	if count <= 0 {
		delete(s.running, key)
		return
	}
	s.running[key] = uint32(count)
}

func (s *State) serverUses() []vrwire.ServerUse {
	uses := make([]vrwire.ServerUse, 0, len(s.running))
	for key, count := range s.running {
		uses = append(uses, vrwire.ServerUse{Server: key.server, Model: key.model, Running: count})
	}
	slices.SortFunc(uses, func(a, b vrwire.ServerUse) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Model, b.Model))
	})
	return uses
}

func (s *State) noteUse(c *call) {
	if c.Model == "" {
		return
	}
	key := c.target()
	u := s.uses[key]
	if u == nil {
		u = &use{}
		s.uses[key] = u
	}
	u.arrived++
	u.running++
	u.tokens += uint64(c.PromptTokens)
}

func (s *State) noteEnd(c *call) {
	if u := s.uses[c.target()]; u != nil && u.running > 0 {
		u.running--
	}
}

func compareTargets(a, b target) int {
	return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.model, b.model), cmp.Compare(a.adapter, b.adapter))
}

// tickLease takes part in the placement owner's lease.
func (s *State) tickLease(now time.Time, out *vrevent.Effects) {
	early := now.Sub(s.started) < time.Duration(s.random.Int64N(int64(candidateSpread)))
	s.lease.Tick(now, vrlease.TickParams{
		Observe:   true,
		Candidate: s.catalog != nil && !s.leaving && !early && s.fleet.Len() > 0 && !s.ownerAlive(now),
		HolderUnreachable: s.owner.unreachable(now),
		Chunks:    1,
		Readers:   len(s.peers),
	}, out)
}

func (s *State) leaseChanged(now time.Time, change vrlease.Change, out *vrevent.Effects) {
	if record, ok := s.lease.Latest(); ok && record.Epoch >= s.owner.epoch && (record.Holder != s.owner.daemon || record.Epoch != s.owner.epoch) {
		s.owner = ownerLink{daemon: record.Holder, address: record.Peer, epoch: record.Epoch}
		out.Info("placement owner", text("owner", record.Holder), number("epoch", uint64(record.Epoch)))
	}
	switch change {
	case vrlease.ChangeAcquired:
		s.planner.Begin(s.lease.OtherRunEnd())
		s.announce(out)
		out.Info("lease acquired", number("epoch", uint64(s.lease.Epoch())),
			millis("ordersInMs", max(0, s.lease.OrdersAllowedAt().Sub(now))))
	case vrlease.ChangeLost:
		out.Warn("lease lost", number("epoch", uint64(s.lease.Epoch())))
	case vrlease.ChangeNone:
	}
}

// announce names the new owner to all daemons, most of which read the lease seldom.
func (s *State) announce(out *vrevent.Effects) {
	for _, peer := range s.peers {
		if peer.Daemon != s.opts.Daemon {
			out.Add(vrevent.SendPeer{Peer: peer.Daemon, Address: peer.Address, Envelope: &vrwire.Envelope{
				Notices: &vrwire.Notices{Epoch: s.lease.Epoch()},
			}})
		}
	}
}

// newOwner takes a placement owner's own word before the lease was read.
func (s *State) newOwner(daemon vrid.DaemonID, epoch vrid.Epoch, out *vrevent.Effects) {
	for _, peer := range s.peers {
		if peer.Daemon == daemon {
			s.owner = ownerLink{daemon: daemon, address: peer.Address, epoch: epoch}
			out.Info("placement owner", text("owner", daemon), number("epoch", uint64(epoch)))
		}
	}
}

// askOwner tells the placement owner of a target that calls wait for.
func (s *State) askOwner(now time.Time, key target, list *waitList, out *vrevent.Effects) {
	if now.Sub(list.asked) < askInterval {
		return
	}
	list.asked = now
	want := s.want(now, key, list)
	s.sendWants(now, &vrwire.Wants{Items: []vrwire.Want{want}}, out)
}

func (s *State) want(now time.Time, key target, list *waitList) vrwire.Want {
	want := vrwire.Want{Service: key.service, Model: key.model, Adapter: key.adapter}
	if u := s.uses[key]; u != nil {
		want.Arrived, want.Running, want.Tokens = u.arrived, u.running, u.tokens
		u.arrived, u.tokens = 0, 0
	}
	if list == nil {
		return want
	}
	want.Waiting = uint32(len(list.calls))
	want.Running -= min(want.Running, want.Waiting)
	for i, c := range list.calls {
		want.Remaining = max(want.Remaining, c.until.Sub(now).Milliseconds())
		if waited := now.Sub(c.arrived); waited < c.route.Target {
			want.Hopeful++
			want.Oldest = max(want.Oldest, waited.Milliseconds())
		}
		if priority := int32(c.route.Priority); i == 0 || priority < want.Priority {
			want.Priority = priority
		}
	}
	return want
}

// tellSoon brings the next full message forward: what runs where has changed in a way that
// the placement owner waits for.
func (s *State) tellSoon(now time.Time) {
	if soon := now.Add(tellDelay - wantInterval); soon.Before(s.owner.sentAt) {
		s.owner.sentAt = soon
	}
}

// tickWants sends everything that arrived, waits and runs.
func (s *State) tickWants(now time.Time, out *vrevent.Effects) {
	if now.Sub(s.owner.sentAt) < wantInterval {
		return
	}
	s.owner.sentAt = now
	wants := &vrwire.Wants{Full: true, Uses: s.serverUses()}
	keys := make([]target, 0, len(s.uses))
	for key := range s.uses {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareTargets)
	for _, key := range keys {
		u := s.uses[key]
		if u.arrived+u.running == 0 {
			delete(s.uses, key)
			continue
		}
		if key.model != "" {
			wants.Items = append(wants.Items, s.want(now, key, s.waits[key]))
		}
	}
	if len(wants.Items) > 0 || s.lease.Holding() {
		s.sendWants(now, wants, out)
	}
}

func (s *State) sendWants(now time.Time, wants *vrwire.Wants, out *vrevent.Effects) {
	wants.ReadRate = uint64(s.fleet.ReadRate())
	if s.lease.Holding() {
		s.planner.Wants(now, s.opts.Daemon, wants)
		s.planSoon()
		return
	}
	if s.owner.address == "" || s.owner.daemon == s.opts.Daemon {
		return
	}
	out.Add(vrevent.SendPeer{Peer: s.owner.daemon, Address: s.owner.address, Envelope: &vrwire.Envelope{Wants: wants}})
}

func (s *State) peersListed(e vrevent.PeersListed, out *vrevent.Effects) {
	if len(e.Peers) != len(s.peers) {
		out.Info("daemons listed", number("count", uint64(len(e.Peers))))
	}
	s.peers = e.Peers
	s.budget.SetDaemons(len(e.Peers))
}

func (s *State) peerMessage(now time.Time, envelope *vrwire.Envelope, out *vrevent.Effects) {
	if wants := envelope.Wants; wants != nil {
		s.planner.Wants(now, envelope.From, wants)
		s.planSoon()
		s.plan(now, out)
	}
	if notices := envelope.Notices; notices != nil && notices.Epoch > s.owner.epoch {
		s.newOwner(envelope.From, notices.Epoch, out)
	}
	if envelope.From == s.owner.daemon {
		s.owner.unreachableAt = time.Time{}
	}
	if notices := envelope.Notices; notices != nil && notices.Epoch >= s.owner.epoch {
		s.heartbeat(now, notices)
		for i := range notices.Items {
			s.noticed(now, &notices.Items[i], out)
		}
		s.serveWaiting(now, out)
	}
}

// planSoon brings the next plan forward after news.
func (s *State) planSoon() {
	if soon := s.owner.plannedAt.Add(planLeast); soon.Before(s.owner.planAt) {
		s.owner.planAt = soon
	}
}

// plan decides orders as the placement owner.
func (s *State) plan(now time.Time, out *vrevent.Effects) {
	if s.catalog == nil || !s.lease.Confirmed(now) || now.Before(s.lease.OrdersAllowedAt()) || now.Before(s.owner.planAt) {
		return
	}
	if s.leaving || s.store.lost {
		return
	}
	s.owner.planAt = now.Add(planInterval)
	s.owner.plannedAt = now
	decided := s.planner.Plan(now, vrresidence.View{Fleet: s.fleet, Catalog: s.catalog})
	s.carryOut(now, decided, out)
}

func (s *State) carryOut(now time.Time, decided vrresidence.Decision, out *vrevent.Effects) {
	for _, order := range decided.Orders {
		order.Epoch, order.Holder, order.Until = s.lease.Epoch(), s.opts.Daemon, s.lease.ExpiresAt()
		if vrfault.On(vrfault.OrderPastLease) {
			const never = time.Hour
			order.Until = now.Add(never)
		}
		s.counts.Orders++
		out.Add(vrevent.GiveOrder{Order: order})
		out.Info("order", text("server", order.Server), text("kind", order.Kind.String()), text("model", order.Model),
			text("adapter", order.Adapter), number("expected", order.Expected), number("epoch", uint64(order.Epoch)))
	}
	for _, end := range decided.Loaded {
		out.Add(vrevent.LoadEnded{From: end.From, Waited: end.Waited, Took: end.Took, Held: end.Held})
		out.Info("load ended", text("server", end.Server), text("model", end.Model), text("from", end.From),
			millis("waitedMs", end.Waited), millis("tookMs", end.Took), millis("expectedMs", end.Expected), boolean("held", end.Held))
	}
	for _, need := range decided.Needs {
		out.Info("model need", text("model", need.Model), number("have", uint64(need.Have)), number("need", uint64(need.Need)),
			decimal("rate", need.Rate), decimal("readShare", need.ReadShare))
	}
	for _, id := range decided.Reads {
		if server := s.fleet.Server(id); server != nil {
			out.Add(vrevent.ReadStatus{Server: id, Address: server.Address})
		}
	}
	s.sendNotices(now, decided.Notices, out)
}

// sendNotices tells daemons: of losses all, of the rest who asked.
func (s *State) sendNotices(now time.Time, notices []vrresidence.Notice, out *vrevent.Effects) {
	byDaemon := make(map[vrid.DaemonID][]vrwire.Notice)
	for i := range notices {
		notice := &notices[i]
		if notice.Kind != vrwire.NoticeComing && notice.Kind != vrwire.NoticeRefused {
			for _, peer := range s.peers {
				byDaemon[peer.Daemon] = append(byDaemon[peer.Daemon], notice.Notice)
			}
			continue
		}
		for _, daemon := range notice.To {
			byDaemon[daemon] = append(byDaemon[daemon], notice.Notice)
		}
	}
	for _, peer := range s.peers {
		items := byDaemon[peer.Daemon]
		if len(items) == 0 || peer.Daemon == s.opts.Daemon {
			continue
		}
		out.Add(vrevent.SendPeer{Peer: peer.Daemon, Address: peer.Address, Envelope: &vrwire.Envelope{
			Notices: &vrwire.Notices{Items: items, Epoch: s.lease.Epoch()},
		}})
	}
	own := byDaemon[s.opts.Daemon]
	for i := range own {
		s.noticed(now, &own[i], out)
	}
	if len(own) > 0 {
		s.serveWaiting(now, out)
	}
}

func (s *State) orderEnded(now time.Time, e vrevent.OrderEnded, out *vrevent.Effects) {
	if e.Outcome == vrevent.OrderUnknown {
		s.counts.OrdersUnknown++
	}
	out.Info("order ended", text("server", e.Order.Server), text("kind", e.Order.Kind.String()), text("model", e.Order.Model),
		text("adapter", e.Order.Adapter), number("expected", e.Order.Expected), text("outcome", e.Outcome.String()), text("detail", e.Detail))
	decided := s.planner.OrderEnded(now, e, s.fleet)
	s.sendNotices(now, decided, out)
	s.planSoon()
	s.plan(now, out)
}
