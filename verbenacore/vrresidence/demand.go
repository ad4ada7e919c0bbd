package vrresidence

import (
	"math"
	"time"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// rateTime smooths arrival rates. It spans a few messages of each daemon and is short
	// beside a shift of demand.
	rateTime = 4 * time.Second
	// readRateShare is the weight of one daemon's word in the mean read rate.
	readRateShare = 0.03
	// wantTimeout is how long a daemon's word of what waits counts.
	wantTimeout = 2500 * time.Millisecond
	// recentUse is how long a used adapter is spared when a place is needed.
	recentUse = 1500 * time.Millisecond
)

// demand is what the daemons ask of one model or adapter.
type demand struct {
	// rate is the smoothed number of requests a second as of fadedAt.
	rate float64
	// tokens is the smoothed number of prompt tokens a second.
	tokens  float64
	fadedAt time.Time
	last    time.Time
	daemons map[vrid.DaemonID]*share
}

// share is one daemon's part.
type share struct {
	waiting  int
	hopeful  int
	running  int
	priority int
	// oldest is how long the first of the hopeful requests had waited when it was heard.
	oldest time.Duration
	// until is when the last of the waiting requests gives up.
	until time.Time
	heard time.Time
	// told is when the daemon was last told when to expect the model.
	told time.Time
}

// HandleWants takes a daemon's word of what arrived, waits and runs.
func (p *Planner) HandleWants(now time.Time, from vrid.DaemonID, wants *vrwire.Wants) {
	if wants.ReadRate > 0 {
		// Each daemon measures with its own luck.
		if p.readRate == 0 {
			p.readRate = float64(wants.ReadRate)
		}
		p.readRate += (float64(wants.ReadRate) - p.readRate) * readRateShare
	}
	named := make(map[key]bool, len(wants.Items))
	for i := range wants.Items {
		item := &wants.Items[i]
		k := key{service: item.Service, model: item.Model, adapter: item.Adapter}
		named[k] = true
		p.note(now, k, from, item)
		if k.adapter != "" {
			base := *item
			base.Waiting = 0
			k.adapter = ""
			p.note(now, k, from, &base)
			named[k] = true
		}
	}
	if !wants.Full {
		return
	}
	p.runs[from] = runs{heard: now, uses: wants.Uses}
	for k, d := range p.demand {
		if !named[k] {
			delete(d.daemons, from)
		}
	}
}

func (p *Planner) note(now time.Time, k key, from vrid.DaemonID, item *vrwire.Want) {
	d := p.demand[k]
	if d == nil {
		d = &demand{daemons: make(map[vrid.DaemonID]*share), fadedAt: now}
		p.demand[k] = d
	}
	d.fade(now)
	d.rate += float64(item.Arrived) / rateTime.Seconds()
	d.tokens += float64(item.Tokens) / rateTime.Seconds()
	if item.Arrived+item.Waiting+item.Running > 0 {
		d.last = now
	}
	s := d.daemons[from]
	if s == nil {
		s = &share{}
		d.daemons[from] = s
	}
	s.waiting, s.running, s.heard = int(item.Waiting), int(item.Running), now
	s.priority = int(item.Priority)
	s.hopeful, s.oldest = int(item.Hopeful), time.Duration(item.Oldest)*time.Millisecond
	s.until = now.Add(time.Duration(item.Remaining) * time.Millisecond)
}

func (d *demand) fade(now time.Time) {
	if elapsed := now.Sub(d.fadedAt); elapsed > 0 {
		part := math.Exp(-elapsed.Seconds() / rateTime.Seconds())
		d.rate *= part
		d.tokens *= part
	}
	d.fadedAt = now
}

// runs are one daemon's requests in flight.
type runs struct {
	heard time.Time
	uses  []vrwire.ServerUse
}

// running sums the requests in flight by model and server.
func (p *Planner) running(now time.Time) map[resident]int {
	counts := make(map[resident]int)
	for _, daemon := range p.runs {
		if now.Sub(daemon.heard) > wantTimeout {
			continue
		}
		for _, use := range daemon.uses {
			counts[resident{use.Server, use.Model}] += int(use.Running)
		}
	}
	return counts
}

// tally is the sum over the daemons.
type tally struct {
	rate     float64
	tokens   float64
	waiting  int
	hopeful  int
	running  int
	priority int
	oldest   time.Duration
	// until is the latest time at which a waiting request gives up.
	until time.Time
	last  time.Time
}

func (p *Planner) tally(now time.Time, k key) tally {
	d := p.demand[k]
	if d == nil {
		return tally{}
	}
	d.fade(now)
	t := tally{rate: d.rate, tokens: d.tokens, last: d.last}
	for daemon, s := range d.daemons {
		if now.Sub(s.heard) > wantTimeout {
			delete(d.daemons, daemon)
			continue
		}
		t.running += s.running
		if s.waiting == 0 || !now.Before(s.until) {
			continue
		}
		if t.waiting == 0 || s.priority < t.priority {
			t.priority = s.priority
		}
		t.waiting += s.waiting
		t.hopeful += s.hopeful
		if s.hopeful > 0 {
			t.oldest = max(t.oldest, s.oldest+now.Sub(s.heard))
		}
		if s.until.After(t.until) {
			t.until = s.until
		}
	}
	return t
}

// askers lists the daemons with waiting requests that were not told lately, and marks
// them as told.
func (p *Planner) askers(now time.Time, k key, pause time.Duration) []vrid.DaemonID {
	d := p.demand[k]
	if d == nil {
		return nil
	}
	var daemons []vrid.DaemonID
	for daemon, s := range d.daemons {
		if s.waiting > 0 && now.Sub(s.told) >= pause {
			s.told = now
			daemons = append(daemons, daemon)
		}
	}
	return daemons
}

// served forgets what waited for a target that is now held.
func (p *Planner) served(k key) {
	if d := p.demand[k]; d != nil {
		for _, s := range d.daemons {
			s.waiting = 0
		}
	}
}
