package vrresidence

import (
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
)

// A server that has accepted the unload of a model refuses orders until the running requests of the model have
// ended, which takes up to several seconds. On a day of 2,052 orders, 1,166 loads were refused because the
// load was ordered every 150 ms meanwhile. The daemons report their requests in flight every second, and at
// once when they learn of an unload and when the last of its requests ends, so that the next order can wait
// for these reports.

const (
	// freshReport is the age up to which a daemon's report of its requests in flight shows that they have not
	// ended: the interval of the reports, and their way.
	freshReport = 1500 * time.Millisecond
	// unknownReport is the age up to which the requests of a daemon that has not reported since count as
	// possibly in flight.
	unknownReport = 10 * time.Second
	// drainRetryDelay is the delay before an order is retried while daemons report requests that keep the
	// server from accepting it.
	drainRetryDelay = 1500 * time.Millisecond
	// maxRetryDelay limits the delay between the retries of a step, which doubles with each conflict. It
	// bounds how much later a load begins if no report tells that it can.
	maxRetryDelay = 240 * time.Millisecond
	// stuckAfter is how long a step has to be blocked until another server may load the model.
	stuckAfter = 960 * time.Millisecond
	// maxBlocked is how long a step may be blocked until its job is dropped.
	maxBlocked = 9 * time.Second
	// blockedStatusInterval is the interval between reads of the status of a server that is blocked after it
	// has accepted an unload, in case its order count differs.
	blockedStatusInterval = 3 * time.Second
	// meanReportAge is the mean age of the reports of requests in flight.
	meanReportAge = 500 * time.Millisecond
)

// drain is the state of a job whose current step may be blocked.
type drain struct {
	// model is the model that the server unloads, empty if it unloads none.
	model vrid.ModelID
	// blockedSince is when the unload was accepted while requests were in flight, or else when the current
	// step was first refused. It is zero if the step is not blocked.
	blockedSince time.Time
	// reported is set while daemons report requests in flight for model.
	reported bool
	// retryDelay is the delay before the next retry after a conflict, zero for the default.
	retryDelay time.Duration
}

// beginDrain records that the server has accepted the unload of a model. The next step waits while daemons
// report requests for it.
func (p *Planner) beginDrain(now time.Time, server vrid.ServerID, j *job, model vrid.ModelID) {
	j.drain = drain{model: model}
	if p.reportedInFlight(now, serverModel{server, model}) > 0 {
		j.drain.blockedSince, j.drain.reported = now, true
		j.retryAt = now.Add(drainRetryDelay)
	}
}

// isDue reports whether the order of the job's current step has to be sent now.
func (p *Planner) isDue(now time.Time, server vrid.ServerID, j *job) bool {
	if j.phase != phasePending || j.awaitingStatus {
		return false
	}
	if j.drain.model == "" {
		return !now.Before(j.retryAt)
	}
	reported := p.reportedInFlight(now, serverModel{server, j.drain.model}) > 0
	switch {
	case reported && !j.drain.reported:
		// A daemon had sent requests since its last report.
		j.drain.reported = true
		j.retryAt = now.Add(drainRetryDelay)
	case !reported && j.drain.reported:
		j.drain.reported, j.drain.retryDelay = false, 0
		return true
	}
	return !now.Before(j.retryAt)
}

// retryBlocked returns the delay before a refused step is retried.
func (j *job) retryBlocked(now time.Time) time.Duration {
	if j.drain.blockedSince.IsZero() {
		j.drain.blockedSince = now
	}
	if j.drain.reported {
		return drainRetryDelay
	}
	delay := max(j.drain.retryDelay, conflictRetryDelay)
	j.drain.retryDelay = min(2*delay, maxRetryDelay)
	return delay
}

// retryAfterStatus returns the delay before a refused step is retried once the server's status was read.
func (j *job) retryAfterStatus() time.Duration {
	if j.drain.reported {
		return drainRetryDelay
	}
	return conflictRetryDelay
}

// blockedTime returns for how long the current step has been blocked.
func (j *job) blockedTime(now time.Time) time.Duration {
	if j.drain.blockedSince.IsZero() {
		return 0
	}
	return now.Sub(j.drain.blockedSince)
}

// stuck reports whether the load is blocked by an unload that waits for long requests. Another server may then
// load the model.
func (j *job) stuck(now time.Time) bool {
	return j.phase == phasePending && (j.conflicts >= stuckConflicts || j.blockedTime(now) >= stuckAfter)
}

// waitsForRequests reports whether the load waits for reported requests of a model that its server unloads.
func (j *job) waitsForRequests() bool {
	return j.phase == phasePending && len(j.steps) == 1 && j.drain.reported
}

// mayBeInUse reports whether requests are known or may be in flight for one of the victims at a server.
func (s *servicePlan) mayBeInUse(server *vrfleet.Server, victims []victim) bool {
	return slices.ContainsFunc(victims, func(v victim) bool {
		key := serverModel{server.ID, v.model}
		return s.inFlight[key]+s.unknownInFlight[key] > 0
	})
}

// reportedInFlight returns the number of requests for a model at a server that daemons report to be in flight.
func (p *Planner) reportedInFlight(now time.Time, key serverModel) int {
	count := 0
	for _, report := range p.inFlight {
		if now.Sub(report.reportedAt) <= freshReport {
			count += report.count(key)
		}
	}
	return count
}

// count returns the requests of the report for a model at a server.
func (r *inFlightReport) count(key serverModel) int {
	for i := range r.servers {
		if r.servers[i].Server == key.server && r.servers[i].Model == key.model {
			return int(r.servers[i].Running)
		}
	}
	return 0
}

// unknownInFlight returns the requests by server and model that daemons have reported which have not reported
// of late: they may still be in flight.
func (p *Planner) unknownInFlight(now time.Time) map[serverModel]int {
	counts := make(map[serverModel]int)
	for daemon, report := range p.inFlight {
		age := now.Sub(report.reportedAt)
		if age > unknownReport {
			delete(p.inFlight, daemon)
			delete(p.reportedTargets, daemon)
			continue
		}
		if age <= demandTimeout {
			continue
		}
		for _, s := range report.servers {
			counts[serverModel{s.Server, s.Model}] += int(s.Running)
		}
	}
	return counts
}

// drainCost estimates the requests in flight for a model at a server beside those that are reported: those of
// daemons that have not reported of late, and those sent since the last reports. The unload of the model would
// wait for them.
func (s *servicePlan) drainCost(server *vrfleet.Server, model vrid.ModelID) float64 {
	sentSince := s.totals[model].rate / float64(max(s.replicas[model], 1)) * meanReportAge.Seconds()
	return inFlightEvictionCost * (float64(s.unknownInFlight[serverModel{server.ID, model}]) + sentSince)
}
