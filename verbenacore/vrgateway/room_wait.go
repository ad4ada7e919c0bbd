package vrgateway

import (
	"math"
	"time"

	"verbenaroute.example/verbenacore/vradmit"
	"verbenaroute.example/verbenacore/vrchoice"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// serviceTimeGain is the weight of a new call in the mean service time of its model.
	serviceTimeGain = 1.0 / 8
	// minPriorServiceTime and maxPriorServiceTime bound the latency target of a route, which stands for the
	// service time before any was measured.
	minPriorServiceTime = 100 * time.Millisecond
	maxPriorServiceTime = 2 * time.Second
	// firstByteMargin covers that a response takes longer than the mean.
	firstByteMargin = 1.25
	// minProgressTime is how long a call waits before the progress in the queue is measured.
	minProgressTime = 100 * time.Millisecond
	// reviewInterval is the interval at which the expected waits of all waiting calls are computed again.
	reviewInterval = 100 * time.Millisecond
	// reviewMargin is how much longer than its time a waiting call's expected wait must be for its refusal.
	// Otherwise the noise of the estimate would refuse calls that have already waited.
	reviewMargin = 1.2
	// Retry-After of calls that find all servers full: the expected wait, longer by levelDelay for each level,
	// times a random factor from minSpread to maxSpread, so that callers don't return at once and urgent ones
	// return first.
	levelDelay         = 0.5
	minSpread          = 0.8
	maxSpread          = 1.3
	minFullRetryAfter  = 100 * time.Millisecond
	maxFullRetryAfter  = 10 * time.Second
	maxServeTimeFactor = 0.5
)

// serviceTime is how long servers take for the calls of a model.
type serviceTime struct {
	// seconds is the smoothed time from the send to the end of the response, zero before the first.
	seconds float64
	// firstByteSeconds is the smoothed time to the first byte of the response.
	firstByteSeconds float64
}

func (t *serviceTime) record(duration, firstByte time.Duration) {
	if t.seconds == 0 {
		t.seconds, t.firstByteSeconds = duration.Seconds(), firstByte.Seconds()
		return
	}
	t.seconds += (duration.Seconds() - t.seconds) * serviceTimeGain
	t.firstByteSeconds += (firstByte.Seconds() - t.firstByteSeconds) * serviceTimeGain
}

// review holds what reviewWaiting reuses.
type review struct {
	unservable []unservableCall
	refused    map[serviceModelKey]int
	// intervals holds what freeInterval returned for a target since intervalsAt.
	intervals   map[target]time.Duration
	intervalsAt time.Time
}

// unservableCall is a waiting call that won't be served in time.
type unservableCall struct {
	call *call
	wait time.Duration
}

func (s *State) serviceTimeOf(c *call) *serviceTime {
	return s.serviceTimeFor(serviceModelKey{service: c.service, model: s.modelOf(c)})
}

func (s *State) serviceTimeFor(key serviceModelKey) *serviceTime {
	t := s.admission.times[key]
	if t == nil {
		t = &serviceTime{}
		s.admission.times[key] = t
	}
	return t
}

// recordServiceTime records how long a server took for a call, for its model and for its service.
func (s *State) recordServiceTime(c *call, duration, firstByte time.Duration) {
	if !s.ordersAdmission(c.service) {
		return
	}
	s.serviceTimeOf(c).record(duration, firstByte)
	if s.engine(c.service) != nil {
		s.serviceTimeFor(serviceModelKey{service: c.service}).record(duration, firstByte)
	}
}

// lateAt returns from when on a call that is sent is not expected to meet its latency target.
func (s *State) lateAt(c *call) time.Time {
	expected := time.Duration(0)
	if t := s.admission.times[serviceModelKey{service: c.service, model: s.modelOf(c)}]; t != nil {
		expected = time.Duration(firstByteMargin * t.firstByteSeconds * float64(time.Second))
	}
	return c.arrivedAt.Add(c.route.Target - expected)
}

// meanServiceTime returns the mean service time of the call's model, else that of its service, else a guess.
func (s *State) meanServiceTime(c *call) time.Duration {
	for _, model := range [...]vrid.ModelID{s.modelOf(c), ""} {
		if t := s.admission.times[serviceModelKey{service: c.service, model: model}]; t != nil && t.seconds > 0 {
			return time.Duration(t.seconds * float64(time.Second))
		}
	}
	return min(max(c.route.Target, minPriorServiceTime), maxPriorServiceTime)
}

// freeInterval returns the expected interval at which this daemon gets a slot at the servers that hold the
// model and the adapter, zero if there are none. Other daemons, and calls for other models, take the slots too.
// Whether they have calls that wait is not known: the daemon's part is taken as the geometric mean of all slots
// and its present part of the calls at the servers.
func (s *State) freeInterval(now time.Time, c *call, adapter vrid.AdapterID) time.Duration {
	slots, occupied, own := 0, 0, 0
	model := s.modelOf(c)
	for _, server := range s.fleet.ServersOf(c.service) {
		if !holds(now, server, model, adapter) {
			continue
		}
		slots += server.SlotCount()
		occupied += server.Occupied(now)
		if model == "" {
			own += server.OwnRequests()
		} else {
			own += int(s.inFlight[serverModel{server: server.ID, model: model}])
		}
	}
	if slots == 0 {
		return 0
	}
	part := math.Sqrt(min(1, float64(own+1)/float64(occupied+1)))
	return time.Duration(float64(s.meanServiceTime(c)) / (float64(slots) * part))
}

// holds reports whether a server accepts work and has a model and an adapter, each empty if none is needed.
func holds(now time.Time, server *vrfleet.Server, model vrid.ModelID, adapter vrid.AdapterID) bool {
	return server.AcceptsWork() && (model == "" || server.HasModel(now, model)) && (adapter == "" || server.HasAdapter(now, model, adapter))
}

// mayFindRoom reports whether a server that could run the call may have room, but its load report is awaited.
func (s *State) mayFindRoom(now time.Time, c *call) bool {
	model, adapter := s.modelOf(c), c.Adapter
	if model == "" {
		adapter = ""
	}
	for _, server := range s.fleet.ServersOf(c.service) {
		if server.MayHaveRoom(now) && holds(now, server, model, adapter) {
			return true
		}
	}
	return false
}

// cachedInterval returns freeInterval, computed once in a reviewInterval for a target: it takes longer than the
// rest of a decision.
func (s *State) cachedInterval(now time.Time, c *call, adapter vrid.AdapterID) time.Duration {
	if r := &s.admission.review; now.Sub(r.intervalsAt) >= reviewInterval {
		clear(r.intervals)
		r.intervalsAt = now
	}
	key := target{service: c.service, model: c.Model, adapter: adapter}
	interval, known := s.admission.review.intervals[key]
	if !known {
		interval = s.freeInterval(now, c, adapter)
		s.admission.review.intervals[key] = interval
	}
	return interval
}

// aheadOf returns how many calls are served before a call that waits or is about to.
func (s *State) aheadOf(now time.Time, c *call) int {
	return s.admission.queue.AheadOf(now, s.queueItem(c))
}

// expectedWait returns the expected time until a call with a number of others ahead of it gets a slot.
func (s *State) expectedWait(now time.Time, c *call, ahead int) time.Duration {
	return s.waitFor(now, c, ahead, s.cachedInterval(now, c, ""), s.cachedInterval(now, c, c.Adapter))
}

// waitFor returns the expected wait if the servers of the model are free for this daemon at modelInterval, and
// those that also have the adapter at ownInterval.
func (s *State) waitFor(now time.Time, c *call, ahead int, modelInterval, ownInterval time.Duration) time.Duration {
	wait := time.Duration(ahead)*modelInterval + ownInterval
	if list := s.waitLists[c.target()]; list != nil && list.readyAt.After(now) {
		// Another server is loading the model.
		wait = min(wait, list.readyAt.Sub(now)+modelInterval)
	}
	return wait
}

// waitByProgress returns the expected wait of a waiting call if it goes on to come forward as fast as until now:
// other daemons may take the slots, and calls that can still be in time go before late ones. It is zero for a
// call that has not waited for long, and for the first one: the next free slot is its own, and the time that it has
// waited does not say when that comes.
func (c *call) waitByProgress(now time.Time, ahead int) time.Duration {
	waited := now.Sub(c.waitingSince)
	if waited < minProgressTime || ahead == 0 {
		return 0
	}
	return waited * time.Duration(ahead+1) / time.Duration(max(0, c.ahead-ahead)+1)
}

// latestStart returns until when a call has to be sent: before its client gives up and so that the response is
// complete by its deadline, as far as a service time of at most half of its time allows.
func (s *State) latestStart(c *call) time.Time {
	longest := time.Duration(maxServeTimeFactor * float64(c.deadline.Sub(c.arrivedAt)))
	serve := min(max(s.meanServiceTime(c), minServeTime), longest)
	return earlier(c.abandonedAt().Add(-minServeTime), c.deadline.Add(-serve))
}

// refuseIfTooLate refuses a call that finds all servers full and is not expected to be served in time. It
// reports whether it did.
func (s *State) refuseIfTooLate(now time.Time, c *call, out *vrevent.Effects) bool {
	c.ahead = s.aheadOf(now, c)
	wait := max(s.expectedWait(now, c, c.ahead), s.admission.queue.WaitByDepartures(now, s.queueItem(c)))
	if c.responseStarted || !now.Add(wait).After(s.latestStart(c)) || s.mayFindRoom(now, c) {
		return false
	}
	s.refuseFull(now, c, wait, out)
	return true
}

// refuseFull ends a call because all servers that could run it are full.
func (s *State) refuseFull(now time.Time, c *call, wait time.Duration, out *vrevent.Effects) {
	reason := vrwire.ReasonServersFull
	if c.possibleRuns > 0 {
		reason = vrwire.ReasonBackendFailed
	}
	s.endCall(now, c, reason, s.retryAfterFull(c, wait), out)
}

// retryAfterFull returns when the client of a call that finds all servers full should return.
func (s *State) retryAfterFull(c *call, wait time.Duration) time.Duration {
	spread := minSpread + (maxSpread-minSpread)*s.random.Float64()
	retryAfter := float64(wait) * (1 + levelDelay*float64(c.level)) * spread
	return min(max(time.Duration(retryAfter), minFullRetryAfter), maxFullRetryAfter)
}

// reviewWaiting refuses the waiting calls that are no longer expected to be served in time, for example because
// more urgent ones have arrived.
func (s *State) reviewWaiting(now time.Time, out *vrevent.Effects) {
	r := &s.admission.review
	r.unservable = r.unservable[:0]
	clear(r.refused)
	for i := range s.catalog.Services {
		id := s.catalog.Services[i].ID
		s.admission.queue.EachWaiting(now, vrid.PoolID(id), func(item *vradmit.Item, ahead int) {
			s.reviewCall(now, item, ahead)
		})
	}
	for i := range r.unservable {
		c := r.unservable[i].call
		r.unservable[i].call = nil
		if server, _ := s.chooseServer(now, c); server != nil {
			// A server has room since the call was last tried.
			s.admission.queue.Wake(s.modelOf(c))
			s.drainQueue(now, out)
		}
		if c.waiting && !s.mayFindRoom(now, c) {
			s.refuseFull(now, c, r.unservable[i].wait, out)
		}
	}
}

// reviewCall notes a call for refusal if it is not expected to be served in time.
func (s *State) reviewCall(now time.Time, item *vradmit.Item, ahead int) {
	c, isCall := item.Owner.(*call)
	if !isCall || c.responseStarted {
		return
	}
	list := s.waitLists[c.target()]
	if list == nil || s.missingOf(c, list) != vrchoice.MissingRoom {
		return
	}
	r := &s.admission.review
	key := serviceModelKey{service: c.service, model: s.modelOf(c)}
	ahead = max(0, ahead-r.refused[key])
	wait := s.waitFor(now, c, ahead, s.cachedInterval(now, c, ""), s.cachedInterval(now, c, c.Adapter))
	longest := max(wait, c.waitByProgress(now, ahead))
	if now.Add(time.Duration(float64(longest) / reviewMargin)).After(s.latestStart(c)) {
		r.refused[key]++
		r.unservable = append(r.unservable, unservableCall{call: c, wait: wait})
	}
}
