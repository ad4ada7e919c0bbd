package vrgateway

import (
	"math"
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrcatalog"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrwire"
)

// Load pattern: a planned stop while clients go on using their connections. Calls that come late in the
// grace period and last longer than what is left of it would be cut at its end, after a server has begun
// them. Such a call is refused at once, while another daemon can still serve it in time.

// shutdownState is the progress of a graceful shutdown.
type shutdownState struct {
	// requested is set once a shutdown was requested. Calls have to be answered by answerBy, which is
	// zero if that is unknown.
	requested bool
	answerBy  time.Time
	// graceExpired is set when the grace period is about to end. From then on, calls are neither sent
	// nor queued.
	graceExpired bool
}

const (
	// durationGain and deviationGain are the weights of a new duration in its mean and in the mean
	// deviation, as in the retransmission timer of TCP. Of normally distributed durations, one in twenty is
	// more than deviationFactor mean deviations above the mean.
	durationGain    = 1.0 / 8
	deviationGain   = 1.0 / 4
	deviationFactor = 2
	// minDurations is the number of durations from which on they are relied on.
	minDurations = 4
	// shutdownRetryAfter is the Retry-After of a call that another daemon can serve at once.
	shutdownRetryAfter = 50 * time.Millisecond
)

// callDurations are the smoothed durations of the answered calls of a route, in seconds for each unit of
// their size.
type callDurations struct {
	count           int
	mean, deviation float64
}

// record adds the duration of a call of a size.
func (d *callDurations) record(duration time.Duration, size int) {
	value := duration.Seconds() / float64(size)
	d.count++
	if d.count == 1 {
		d.mean, d.deviation = value, value/2
		return
	}
	d.deviation += deviationGain * (math.Abs(value-d.mean) - d.deviation)
	d.mean += durationGain * (value - d.mean)
}

// longest returns the duration that a call of a size hardly exceeds, or false if too few are known.
func (d *callDurations) longest(size int) (time.Duration, bool) {
	if d == nil || d.count < minDurations {
		return 0, false
	}
	seconds := (d.mean + deviationFactor*d.deviation) * float64(size)
	return time.Duration(seconds * float64(time.Second)), true
}

// size returns what the duration of the call is proportional to: the tokens of a stream, of which its
// client states the maximum.
func (c *call) size() int {
	if c.route.Kind == vrcatalog.RouteStream {
		return max(c.OutputTokens, 1)
	}
	return 1
}

// recordDuration records how long the server took for a call that it has answered.
func (s *State) recordDuration(now time.Time, c *call, sentAt time.Time) {
	d := s.durations[c.route.ID]
	if d == nil {
		d = &callDurations{}
		s.durations[c.route.ID] = d
	}
	d.record(now.Sub(sentAt), c.size())
}

// forgetDurations drops the durations of routes that are no longer in the catalog.
func (s *State) forgetDurations() {
	known := make(map[vrcatalog.RouteID]bool, len(s.catalog.Routes))
	for i := range s.catalog.Routes {
		known[s.catalog.Routes[i].ID] = true
	}
	for id := range s.durations {
		if !known[id] {
			delete(s.durations, id)
		}
	}
}

// outlastsGrace reports whether a call that has not begun to be answered would probably outlast the
// grace period of a shutdown. A call of a route without known durations counts as taking until its
// deadline.
func (s *State) outlastsGrace(now time.Time, c *call) bool {
	if !s.shutdown.requested || s.shutdown.answerBy.IsZero() || c.responseStarted {
		return false
	}
	end := c.deadline
	if longest, known := s.durations[c.route.ID].longest(c.size()); known {
		end = earlier(end, now.Add(longest))
	}
	return end.After(s.shutdown.answerBy)
}

// refuseForShutdown refuses a call that would outlast the grace period, so that its client asks another daemon.
func (s *State) refuseForShutdown(now time.Time, c *call, out *vrevent.Effects) {
	s.endCall(now, c, vrwire.ReasonShuttingDown, shutdownRetryAfter, out)
}

// handleShutdown releases the lease. From now on, calls that would outlast the grace period are refused.
func (s *State) handleShutdown(now time.Time, e vrevent.ShutdownRequested, out *vrevent.Effects) {
	s.shutdown.requested, s.shutdown.answerBy = true, e.AnswerBy
	s.stopOrders(now, out)
	s.lease.Release(now, out)
}

// handleGraceExpired ends the waiting calls, so that their clients retry at another daemon,
// and stops sending. The runtime ends the open sends.
func (s *State) handleGraceExpired(now time.Time, out *vrevent.Effects) {
	s.shutdown.graceExpired = true
	s.endQuotaWaits(now, out)
	for _, c := range slices.Concat(s.quarantine.held, s.unverified) {
		s.endCall(now, c, vrwire.ReasonShuttingDown, shortRetryAfter, out)
	}
	for _, key := range s.waitingTargets() {
		for _, c := range slices.Clone(s.waitLists[key].calls) {
			s.endCall(now, c, vrwire.ReasonShuttingDown, shortRetryAfter, out)
		}
	}
}
