package vrresidence

import (
	"maps"
	"math"
	"time"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// rateTimeConstant is the time constant of the exponential smoothing of arrival rates.
	// It spans a few messages of each daemon and is short compared with a shift of demand.
	rateTimeConstant = 4 * time.Second
	// prefillRateWeight is the weight of one daemon's measurement in the mean prefill rate.
	prefillRateWeight = 0.03
	// demandTimeout is how long a daemon's report of its demand stays valid.
	demandTimeout = 2500 * time.Millisecond
	// minAdapterIdle is how long an adapter must have been unused before it may be evicted.
	minAdapterIdle = 1500 * time.Millisecond
)

// demand is the demand of all daemons for one model or adapter.
type demand struct {
	// rate is the smoothed number of requests per second as of decayedAt.
	rate float64
	// tokenRate is the smoothed number of prompt tokens per second as of decayedAt.
	tokenRate float64
	decayedAt time.Time
	// lastUsed is when a daemon last reported requests for it.
	lastUsed time.Time
	daemons  map[vrid.DaemonID]*daemonDemand
}

// daemonDemand is the demand that one daemon last reported.
type daemonDemand struct {
	waiting int
	// withinTarget is the number of waiting requests that can still be served within their
	// latency target.
	withinTarget int
	running      int
	// priority is the best priority of the waiting requests; 0 comes first.
	priority int
	// longestWait is how long the oldest request that can still be served within its target
	// had waited at the time of the report.
	longestWait time.Duration
	// lastDeadline is when the last of the waiting requests gives up.
	lastDeadline time.Time
	reportedAt   time.Time
	// notifiedAt is when the daemon was last notified about the model or adapter.
	notifiedAt time.Time
}

// HandleDemand updates the demand with a daemon's report of arrived, waiting and running
// requests.
func (p *Planner) HandleDemand(now time.Time, from vrid.DaemonID, report *vrwire.PlacementDemand) {
	if report.PrefillRate > 0 {
		// Each daemon's measurement is noisy, so the planner averages them.
		if p.prefillRate == 0 {
			p.prefillRate = float64(report.PrefillRate)
		}
		p.prefillRate += (float64(report.PrefillRate) - p.prefillRate) * prefillRateWeight
	}
	reported := make(map[target]bool, len(report.Items))
	for i := range report.Items {
		item := &report.Items[i]
		k := target{service: item.Service, model: item.Model, adapter: item.Adapter}
		reported[k] = true
		p.updateDemand(now, k, from, item)
		if k.adapter != "" {
			base := *item
			base.Waiting = 0
			k.adapter = ""
			p.updateDemand(now, k, from, &base)
			reported[k] = true
		}
	}
	before := p.reportedTargets[from]
	if !report.Full {
		maps.Copy(reported, before)
		p.reportedTargets[from] = reported
		return
	}
	p.reportedTargets[from] = reported
	p.inFlight[from] = inFlightReport{reportedAt: now, servers: report.InFlight}
	for k := range before {
		if d := p.demand[k]; d != nil && !reported[k] {
			delete(d.daemons, from)
		}
	}
}

// updateDemand updates the demand for one model or adapter with a daemon's report.
func (p *Planner) updateDemand(now time.Time, k target, from vrid.DaemonID, item *vrwire.PlacementDemandItem) {
	d := p.demand[k]
	if d == nil {
		d = &demand{daemons: make(map[vrid.DaemonID]*daemonDemand), decayedAt: now}
		p.demand[k] = d
	}
	d.decay(now)
	d.rate += float64(item.Arrived) / rateTimeConstant.Seconds()
	d.tokenRate += float64(item.PromptTokens) / rateTimeConstant.Seconds()
	if item.Arrived+item.Waiting+item.Running > 0 {
		d.lastUsed = now
	}
	s := d.daemons[from]
	if s == nil {
		s = &daemonDemand{}
		d.daemons[from] = s
	}
	s.waiting, s.running, s.reportedAt = int(item.Waiting), int(item.Running), now
	s.priority = int(item.Priority)
	s.withinTarget, s.longestWait = int(item.WithinTarget), time.Duration(item.LongestWait)*time.Millisecond
	s.lastDeadline = now.Add(time.Duration(item.LongestRemaining) * time.Millisecond)
}

// decay applies the exponential decay of the rates up to now.
func (d *demand) decay(now time.Time) {
	if elapsed := now.Sub(d.decayedAt); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / rateTimeConstant.Seconds())
		d.rate *= factor
		d.tokenRate *= factor
	}
	d.decayedAt = now
}

// mayBeRunning reports whether requests may be in flight: by the last report of a daemon, which counts for
// unknownReport if the daemon has not reported since. A daemon that is frozen or cut off is not idle.
func (d *demand) mayBeRunning(now time.Time) bool {
	for _, s := range d.daemons {
		if s.running > 0 && now.Sub(s.reportedAt) <= unknownReport {
			return true
		}
	}
	return false
}

// inFlightReport holds the requests in flight that one daemon last reported.
type inFlightReport struct {
	reportedAt time.Time
	servers    []vrwire.ServerInFlight
}

// inFlightByServer returns the number of requests in flight per server and model.
func (p *Planner) inFlightByServer(now time.Time) map[serverModel]int {
	size := 0
	for _, report := range p.inFlight {
		size += len(report.servers)
	}
	counts := make(map[serverModel]int, size)
	for _, report := range p.inFlight {
		if now.Sub(report.reportedAt) > demandTimeout {
			continue
		}
		for _, s := range report.servers {
			counts[serverModel{s.Server, s.Model}] += int(s.Running)
		}
	}
	return counts
}

// RequestSums holds the requests in flight of all daemons by server.
type RequestSums struct {
	Total    map[vrid.ServerID]int
	ByDaemon map[vrid.DaemonID]map[vrid.ServerID]int
	// Age is the mean age of the reports that the sums were added up from.
	Age time.Duration
}

// SumRequests adds up the requests in flight by server from the fresh reports of the daemons.
func (p *Planner) SumRequests(now time.Time) RequestSums {
	sums := RequestSums{Total: make(map[vrid.ServerID]int), ByDaemon: make(map[vrid.DaemonID]map[vrid.ServerID]int)}
	for daemon, report := range p.inFlight {
		age := now.Sub(report.reportedAt)
		if age > freshReport || len(report.servers) == 0 {
			continue
		}
		own := make(map[vrid.ServerID]int, len(report.servers))
		for _, s := range report.servers {
			sums.Total[s.Server] += int(s.Running)
			own[s.Server] += int(s.Running)
		}
		sums.ByDaemon[daemon] = own
		sums.Age += age
	}
	sums.Age /= time.Duration(max(len(sums.ByDaemon), 1))
	return sums
}

// demandTotal is the demand for one model or adapter, summed over the daemons.
type demandTotal struct {
	rate         float64
	tokenRate    float64
	waiting      int
	withinTarget int
	running      int
	priority     int
	longestWait  time.Duration
	// lastDeadline is the latest time at which a waiting request gives up.
	lastDeadline time.Time
	lastUsed     time.Time
}

// totalDemand sums the demand of the daemons whose reports are still valid.
func (p *Planner) totalDemand(now time.Time, k target) demandTotal {
	d := p.demand[k]
	if d == nil {
		return demandTotal{}
	}
	d.decay(now)
	t := demandTotal{rate: d.rate, tokenRate: d.tokenRate, lastUsed: d.lastUsed}
	for daemon, s := range d.daemons {
		age := now.Sub(s.reportedAt)
		if age > unknownReport {
			delete(d.daemons, daemon)
		}
		if age > demandTimeout {
			continue
		}
		t.running += s.running
		if s.waiting == 0 || !now.Before(s.lastDeadline) {
			continue
		}
		if t.waiting == 0 || s.priority < t.priority {
			t.priority = s.priority
		}
		t.waiting += s.waiting
		t.withinTarget += s.withinTarget
		if s.withinTarget > 0 {
			t.longestWait = max(t.longestWait, s.longestWait+now.Sub(s.reportedAt))
		}
		if s.lastDeadline.After(t.lastDeadline) {
			t.lastDeadline = s.lastDeadline
		}
	}
	return t
}

// daemonsToNotify returns the daemons whose requests wait for a target and that were not
// notified within the last interval, and marks them as notified.
func (p *Planner) daemonsToNotify(now time.Time, k target, interval time.Duration) []vrid.DaemonID {
	d := p.demand[k]
	if d == nil {
		return nil
	}
	var daemons []vrid.DaemonID
	for daemon, s := range d.daemons {
		if s.waiting > 0 && now.Sub(s.reportedAt) <= demandTimeout && now.Sub(s.notifiedAt) >= interval {
			s.notifiedAt = now
			daemons = append(daemons, daemon)
		}
	}
	return daemons
}

// clearWaiting clears the waiting requests for a target that is loaded or about to be.
func (p *Planner) clearWaiting(k target) {
	if d := p.demand[k]; d != nil {
		for _, s := range d.daemons {
			s.waiting = 0
		}
	}
}
