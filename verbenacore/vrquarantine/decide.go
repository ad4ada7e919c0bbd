package vrquarantine

import (
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// HandleReport applies a report of a daemon at the owner.
func (q *Quarantine) HandleReport(now time.Time, from vrid.DaemonID, report *vrwire.PromptReport) {
	q.acknowledgements[from] = report.Number
	q.unacknowledged[from] = true
	q.handleItems(now, from, report.Items)
}

func (q *Quarantine) handleItems(now time.Time, from vrid.DaemonID, items []vrwire.PromptReportItem) {
	var probes []*vrwire.PromptReportItem
	for i := range items {
		item := &items[i]
		switch item.Event {
		case vrwire.PromptCrashed:
			if q.handleCrash(now, from, item) {
				probes = append(probes, item)
			}
		case vrwire.PromptAnswered:
			if p := q.parts[item.Part]; p != nil {
				q.clear(now, p)
			}
		case vrwire.PromptAnsweredEarlier:
			if p := q.parts[item.Part]; p != nil {
				p.answeredEarlier = true
			}
		case vrwire.PromptWaiting:
			q.handleWaiting(now, from, item.Part)
		case vrwire.PromptProbeEnded:
			if p := q.parts[item.Part]; p != nil && p.isProbe(from, item.Probe) {
				p.prober = ""
			}
		case vrwire.PromptBlocked:
			q.handleBlocked(now, item)
		}
	}
	for _, item := range probes {
		q.judgeProbe(now, item, items)
	}
}

// isProbe reports whether a daemon's probe with a number is the one in progress.
func (p *part) isProbe(daemon vrid.DaemonID, number uint32) bool {
	return number != 0 && p.prober == daemon && p.probe == number
}

// handleCrash records a crash, and reports whether the request was the probe in progress.
func (q *Quarantine) handleCrash(now time.Time, from vrid.DaemonID, item *vrwire.PromptReportItem) bool {
	p := q.parts[item.Part]
	if p == nil && q.answeredRecently(now, item.Part) {
		return false
	}
	if p == nil {
		p = q.suspect(now, item.Part)
		p.answeredEarlier = q.answered.Contains(item.Part)
	}
	p.reportedAt = now
	return p.state == Suspected && p.isProbe(from, item.Probe)
}

// judgeProbe blocks the part whose probe crashed a server, or if other parts of the prompt may be the
// cause, their combination.
func (q *Quarantine) judgeProbe(now time.Time, probe *vrwire.PromptReportItem, items []vrwire.PromptReportItem) {
	p := q.parts[probe.Part]
	if p == nil || p.state != Suspected {
		return
	}
	overlapped := p.probeAt.Before(q.probeCrashedAt) || q.probesInProgress() > 1
	p.prober, q.probeCrashedAt = "", now
	if overlapped {
		// Another probe may have crashed the server. Each is sent again, one after the other.
		return
	}
	parts, blocked := q.likelyCauses(probe.Request, items)
	switch {
	case blocked:
	case len(parts) == 1:
		q.blockPart(now, q.parts[parts[0]])
	default:
		q.blockCombination(now, parts)
	}
}

// likelyCauses returns the suspected parts of a request at a crash, and whether a blocked one among
// its parts explains the crash. A part that was answered before is left out if others were not.
func (q *Quarantine) likelyCauses(request vrid.RequestID, items []vrwire.PromptReportItem) (parts []vrid.PromptPartID, blocked bool) {
	var answered []vrid.PromptPartID
	for i := range items {
		p := q.parts[items[i].Part]
		switch {
		case items[i].Event != vrwire.PromptCrashed || items[i].Request != request || p == nil || slices.Contains(parts, items[i].Part):
		case p.state == Blocked:
			blocked = true
		case p.answeredEarlier:
			answered = append(answered, items[i].Part)
		default:
			parts = append(parts, items[i].Part)
		}
	}
	if len(parts) == 0 {
		parts = slices.Compact(slices.Sorted(slices.Values(answered)))
	}
	return parts, blocked
}

// blockPart blocks a part after the crash of a probe, for longer each time.
func (q *Quarantine) blockPart(now time.Time, p *part) {
	q.block(now, p, now.Add(blockTime(p.blocks)), p.blocks+1)
}

// blockTime returns how long a part is blocked after a number of earlier blocks.
func blockTime(blocks uint32) time.Duration {
	const maxDoublings = 6
	return min(minBlock<<min(blocks, maxDoublings), maxBlock)
}

func (q *Quarantine) handleWaiting(now time.Time, from vrid.DaemonID, id vrid.PromptPartID) {
	p := q.parts[id]
	if p == nil || p.state != Suspected {
		return
	}
	p.reportedAt = now
	if !slices.Contains(p.waiting, from) {
		p.waiting = append(p.waiting, from)
	}
}

// probesInProgress returns the number of permitted probes whose end was not reported.
func (q *Quarantine) probesInProgress() int {
	count := 0
	for _, p := range q.parts {
		if p.prober != "" {
			count++
		}
	}
	return count
}

func (q *Quarantine) maxProbes(now time.Time) int {
	if !q.probeCrashedAt.IsZero() && now.Sub(q.probeCrashedAt) < exclusiveTime {
		return 1
	}
	return maxProbes
}

// Tick ends blocks and suspicions, and permits probes, at a daemon that decides.
func (q *Quarantine) Tick(now time.Time) {
	q.expireCombinations(now)
	for _, id := range q.sortedIDs() {
		p := q.parts[id]
		if p.state == Blocked {
			if !now.Before(p.blockedUntil) {
				p.reportedAt = now
				q.setState(now, p, Suspected)
			}
			continue
		}
		ttl := suspicionTTL
		if p.blocks > 0 {
			ttl = maxBlock
		}
		if now.Sub(p.reportedAt) > ttl && !q.inCombination(id) {
			q.forget(p)
			continue
		}
		if p.prober != "" && now.Sub(p.probeAt) > probeTimeout {
			p.prober = ""
		}
		if p.prober == "" && len(p.waiting) > 0 && now.Sub(p.since) >= probeDelay && q.probesInProgress() < q.maxProbes(now) {
			p.prober, p.waiting = p.waiting[0], p.waiting[1:]
			p.probe++
			p.probeAt = now
			q.markChanged()
		}
	}
}
