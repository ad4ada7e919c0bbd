package vrgateway

import (
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrcatalog"
	"verbenaroute.example/verbenacore/vrchoice"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfault"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// serverWaitFraction is how long a call waits if no server of its service is available
	// or healthy, as a fraction of the route's latency target. minServerWait and maxServerWait
	// bound that wait.
	serverWaitFraction = 0.5
	minServerWait      = 100 * time.Millisecond
	maxServerWait      = time.Second
	// ownerNoticeTTL is how long a notice of the placement owner about a target is valid.
	// The owner repeats it every second while calls wait.
	ownerNoticeTTL = 2500 * time.Millisecond
	// ownerWaitFraction is how long a call waits while no placement owner responds, for
	// example until a new owner may give orders, as a fraction of the time between the
	// call's arrival and its deadline. maxOwnerWait limits that wait.
	ownerWaitFraction = 0.3
	maxOwnerWait      = 8 * time.Second
	// isolatedOwnerWait is that wait if probably only this daemon cannot reach the owner. It is
	// short because another daemon can then serve the call at once.
	isolatedOwnerWait = 250 * time.Millisecond
	// noOwnerRetryAfter is the Retry-After if no placement owner responds. A new owner starts
	// to give orders about that long after the previous one was lost.
	noOwnerRetryAfter = 3 * time.Second
	// minServeTime is the minimum time that serving a call is expected to take once its model
	// is loaded.
	minServeTime = 300 * time.Millisecond
	// maxPromiseOverrun is how long a call waits past the first ready time that the placement
	// owner announced.
	maxPromiseOverrun = 12 * time.Second
	// maxWaitingPerTarget limits the calls that wait for the same target at one daemon.
	maxWaitingPerTarget = 256
)

// target is a service, model and adapter that calls ask for. Calls with the same target share
// a wait list.
type target struct {
	service vrid.ServiceID
	model   vrid.ModelID
	adapter vrid.AdapterID
}

// waitList holds the calls that wait for one target, in the order of their arrival.
type waitList struct {
	calls []*call
	// missing says why no server could be selected at the last attempt.
	missing vrchoice.Missing
	// noticeAt is when the placement owner last announced that the target is being loaded, and
	// readyAt is when it expects the load to end. Both are zero before the first notice. loadingServer
	// is the server that loads it, if the notice names one.
	noticeAt      time.Time
	readyAt       time.Time
	loadingServer vrid.ServerID
	// demandSentAt is when the placement owner was last told that calls wait for the target.
	demandSentAt time.Time
}

// enqueue adds a call to the wait list of its target, or ends it if the list is full.
func (s *State) enqueue(now time.Time, c *call, missing vrchoice.Missing, out *vrevent.Effects) {
	key := c.target()
	list := s.waitLists[key]
	if list == nil {
		list = &waitList{}
		s.waitLists[key] = list
	}
	if len(list.calls) >= maxWaitingPerTarget {
		s.endCall(now, c, vrwire.ReasonQueueFull, time.Second, out)
		return
	}
	if len(list.calls) == 0 || !s.ordersAdmission(c.service) || !c.isRestricted() {
		list.missing = missing
	}
	s.leaveQuota(c)
	if !c.waiting {
		c.waiting, c.waitingSince = true, now
		ahead := s.joinQueue(now, c, len(list.calls))
		list.calls = append(list.calls, c)
		out.Info("call queued", text("request", c.Request), text("for", missingName(missing)), text("model", c.Model),
			text("adapter", c.Adapter), number("level", uint64(c.level)), number("ahead", uint64(ahead)), millis("leftMs", c.deadline.Sub(now)))
	}
	if missing == vrchoice.MissingModel || missing == vrchoice.MissingAdapter {
		s.sendTargetDemand(now, key, list, out)
	}
}

// missingName returns the name of a missing requirement in logs.
func missingName(missing vrchoice.Missing) string {
	names := [...]string{"nothing", "server", "model", "adapter", "healthyServer", "room"}
	return names[missing]
}

// dequeue removes a call from the wait list of its target.
func (s *State) dequeue(c *call) {
	s.leaveQueue(c)
	if !c.waiting {
		return
	}
	c.waiting = false
	key := c.target()
	list := s.waitLists[key]
	if list == nil {
		return
	}
	list.calls = slices.DeleteFunc(list.calls, func(other *call) bool { return other == c })
	if len(list.calls) == 0 {
		delete(s.waitLists, key)
	}
}

// dispatchWaiting sends the waiting calls for which a server is available.
func (s *State) dispatchWaiting(now time.Time, out *vrevent.Effects) {
	for _, key := range s.waitingTargets() {
		if !s.ordersAdmission(key.service) {
			s.dispatchTarget(now, key, out)
		}
	}
	s.wakeAll(now, out)
}

// waitingTargets returns the targets that calls wait for, in a fixed order.
func (s *State) waitingTargets() []target {
	keys := make([]target, 0, len(s.waitLists))
	for key := range s.waitLists {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareTargets)
	return keys
}

// dispatchTarget sends the calls that wait for a target and for which a server is available.
func (s *State) dispatchTarget(now time.Time, key target, out *vrevent.Effects) {
	list := s.waitLists[key]
	if list == nil {
		return
	}
	for _, c := range slices.Clone(list.calls) {
		if s.isPastDeadline(now, c) {
			s.endPastDeadline(now, c, out)
			continue
		}
		if s.outlastsGrace(now, c) {
			s.refuseForShutdown(now, c, out)
			continue
		}
		if s.refuseBlocked(now, c, out) {
			continue
		}
		server, missing := s.chooseServer(now, c)
		list.missing = missing
		if server == nil {
			continue
		}
		s.dequeue(c)
		if s.mustHold(now, c) {
			s.hold(now, c, out)
			continue
		}
		s.send(now, c, server, out)
		c.waitedForServer = true
		s.expediteDemand(now)
	}
}

// tickWaits sends the waiting calls for which a server has become available, repeats the demand
// of the others to the placement owner, and ends those that are unlikely to be served in time.
func (s *State) tickWaits(now time.Time, out *vrevent.Effects) {
	for _, key := range s.waitingTargets() {
		list := s.waitLists[key]
		if list == nil {
			continue
		}
		if s.ordersAdmission(key.service) {
			s.tickOrdered(now, list, out)
		} else if list.missing == vrchoice.MissingHealthyServer || list.missing == vrchoice.MissingServer ||
			list.missing == vrchoice.MissingRoom || !list.readyAt.IsZero() {
			// Room is missing if a new catalog has ended ordered admission while calls waited for it.
			s.dispatchTarget(now, key, out)
		}
		if s.waitLists[key] == nil {
			continue
		}
		if list.missing == vrchoice.MissingModel || list.missing == vrchoice.MissingAdapter {
			s.sendTargetDemand(now, key, list, out)
		}
		for _, c := range slices.Clone(list.calls) {
			if s.mustRefuse(now, c, list) && !vrfault.On(vrfault.HoldPastLimit) {
				s.endCall(now, c, s.refusalReason(c, list), s.retryAfter(now, c, list), out)
			}
		}
	}
	s.tickAdmission(now, out)
}

// mustRefuse reports whether a waiting call has to be refused now because it is unlikely to
// be served in time.
func (s *State) mustRefuse(now time.Time, c *call, list *waitList) bool {
	serveBy := c.abandonedAt().Add(-minServeTime)
	if !now.Before(serveBy) {
		return true
	}
	waited, missing := now.Sub(c.waitingSince), s.missingOf(c, list)
	if missing == vrchoice.MissingRoom {
		return false
	}
	if missing == vrchoice.MissingHealthyServer || missing == vrchoice.MissingServer {
		return waited >= min(max(time.Duration(serverWaitFraction*float64(c.route.Target)), minServerWait), maxServerWait)
	}
	if silence := now.Sub(later(c.waitingSince, list.noticeAt)); list.noticeAt.IsZero() || silence > ownerNoticeTTL {
		return silence >= s.ownerWaitLimit(now, c)
	}
	if list.readyAt.IsZero() {
		return false
	}
	if c.promisedReadyAt.IsZero() {
		c.promisedReadyAt = list.readyAt
	}
	return list.readyAt.After(serveBy) || now.Sub(c.promisedReadyAt) > maxPromiseOverrun
}

// Clients abandon a stream, also before its first event, after a gap of minPatience, of
// targetPatience times the latency target or of pausePatience times the pause target, whichever is
// longest.
const (
	minPatience    = 2 * time.Second
	targetPatience = 4
	pausePatience  = 8
)

// abandonedAt returns when the client of a call that has no response yet gives up: at its deadline,
// or earlier if it waits for a stream. A call that can't be served before that is refused while its
// client can still return in time.
func (c *call) abandonedAt() time.Time {
	if c.route.Kind != vrcatalog.RouteStream || c.responseStarted {
		return c.deadline
	}
	return earlier(c.deadline, c.arrivedAt.Add(c.patience()))
}

// patience returns the gap in the stream of a call after which its client gives up.
func (c *call) patience() time.Duration {
	return max(minPatience, targetPatience*c.route.Target, pausePatience*c.route.PauseTarget)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ownerWaitLimit returns how long a call waits for a notice of the placement owner.
func (s *State) ownerWaitLimit(now time.Time, c *call) time.Duration {
	if s.isolatedFromOwner(now) {
		return isolatedOwnerWait
	}
	return min(time.Duration(ownerWaitFraction*float64(c.deadline.Sub(c.arrivedAt))), maxOwnerWait)
}

// isolatedFromOwner reports whether this daemon probably cannot reach a placement owner that is
// alive: the daemon has lost the store, or sees the owner renew its lease while messages to
// the owner fail.
func (s *State) isolatedFromOwner(now time.Time) bool {
	renewed := now.Sub(s.lease.ChangedAt()) < s.opts.Bounds.Lease/2
	if s.store.lost && s.ownerOutlastsOutage(now) {
		return s.owner.unreachable(now) && !s.lease.Holding()
	}
	return s.store.lost || (s.owner.unreachable(now) && renewed && !s.lease.Holding())
}

// refusalReason returns the reason for refusing a waiting call.
func (s *State) refusalReason(c *call, list *waitList) vrwire.Reason {
	if c.possibleRuns > 0 {
		return vrwire.ReasonBackendFailed
	}
	if s.missingOf(c, list) == vrchoice.MissingRoom {
		return vrwire.ReasonServersFull
	}
	return vrwire.ReasonNoReplica
}

// retryAfter returns how long a client should wait before it retries: until the announced
// ready time of the target, or for a short time.
func (s *State) retryAfter(now time.Time, c *call, list *waitList) time.Duration {
	if s.missingOf(c, list) == vrchoice.MissingRoom {
		return s.retryAfterFull(c, s.expectedWait(now, c, s.aheadOf(now, c)))
	}
	if list.readyAt.After(now) {
		return list.readyAt.Sub(now)
	}
	if s.isolatedFromOwner(now) {
		return shortRetryAfter
	}
	if list.noticeAt.IsZero() && (list.missing == vrchoice.MissingModel || list.missing == vrchoice.MissingAdapter) {
		return noOwnerRetryAfter
	}
	return max(shortRetryAfter, c.route.Target/4)
}

// applyNotice applies a notice of the placement owner about a server or target.
func (s *State) applyNotice(now time.Time, notice *vrwire.Notice, out *vrevent.Effects) {
	key := target{service: notice.Service, model: notice.Model, adapter: notice.Adapter}
	delay := time.Duration(notice.Delay) * time.Millisecond
	server := s.fleet.Server(notice.Server)
	switch notice.Kind {
	case vrwire.NoticeUnloading:
		if server == nil {
			return
		}
		if notice.Adapter != "" {
			server.RemoveAdapter(notice.Model, notice.Adapter)
		} else {
			server.MarkMissing(now, notice.Model, "")
			s.reportUnloadingUse(serverModel{server: notice.Server, model: notice.Model})
		}
	case vrwire.NoticeLoading:
		if server != nil && notice.Adapter != "" {
			server.SetAdapterReady(now.Add(delay), notice.Model, notice.Adapter)
		}
		list := s.waitLists[key]
		switch {
		case list == nil:
		case server != nil && !server.AcceptsWork():
			// The owner does not know yet that the server leaves, and will announce another one.
			list.noticeAt = now
		default:
			list.noticeAt, list.readyAt, list.loadingServer = now, now.Add(delay), notice.Server
		}
	case vrwire.NoticeLeaving:
		s.markLeaving(notice.Server, notice.Born, out)
	case vrwire.NoticeLoaded:
		if server != nil {
			server.AddModel(notice.Model)
		}
	case vrwire.NoticeRefused:
		list := s.waitLists[key]
		if list == nil {
			return
		}
		for _, c := range slices.Clone(list.calls) {
			if s.missingOf(c, list) != vrchoice.MissingRoom {
				s.endCall(now, c, vrwire.ReasonNoReplica, delay, out)
			}
		}
	}
}
