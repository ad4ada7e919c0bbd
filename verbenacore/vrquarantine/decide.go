package vrquarantine

import (
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// HandleReport applies a report of a daemon at the owner. What an earlier report held is not applied
// again, because its parts may have been cleared since.
func (q *Quarantine) HandleReport(now time.Time, from vrid.DaemonID, report *vrwire.PromptReport) {
	if report.Run != q.runs[from] {
		q.runs[from], q.acknowledgements[from] = report.Run, 0
	}
	applied := q.acknowledgements[from]
	items := slices.DeleteFunc(slices.Clone(report.Items), func(item vrwire.PromptReportItem) bool {
		return item.Number != 0 && item.Number <= applied
	})
	q.acknowledgements[from] = max(applied, report.Number)
	q.unacknowledged[from] = true
	q.handleItems(now, from, items)
}

// crashedProbe is the crash of a probe that was permitted at a time.
type crashedProbe struct {
	item *vrwire.PromptReportItem
	at   time.Time
}

func (q *Quarantine) handleItems(now time.Time, from vrid.DaemonID, items []vrwire.PromptReportItem) {
	var probes []crashedProbe
	for i := range items {
		item := &items[i]
		p := q.parts[item.Part]
		switch item.Event {
		case vrwire.PromptCrashed:
			if at, ok := q.handleCrash(now, from, item); ok {
				probes = append(probes, crashedProbe{item: item, at: at})
			}
		case vrwire.PromptAnswered:
			if p != nil {
				if p.prober != "" {
					q.answeredProbes++
				}
				q.clear(now, p)
			}
		case vrwire.PromptAnsweredEarlier:
			if p != nil {
				p.answeredEarlier = !p.distrusted
			}
		case vrwire.PromptWaiting:
			q.handleWaiting(now, from, item.Part)
		case vrwire.PromptProbeEnded:
			if p != nil {
				p.endProbe(from, item.Probe)
			}
		case vrwire.PromptBlocked:
			q.handleBlocked(now, item)
		}
	}
	for _, probe := range probes {
		q.judgeProbe(now, probe, items)
	}
}

// endProbe removes a daemon's probe from those that were permitted, and returns when it was.
func (p *part) endProbe(daemon vrid.DaemonID, number uint32) (at time.Time, ok bool) {
	i := slices.IndexFunc(p.issued, func(probe issuedProbe) bool { return probe.daemon == daemon && probe.number == number })
	if i < 0 {
		return time.Time{}, false
	}
	at = p.issued[i].at
	p.issued = slices.Delete(p.issued, i, i+1)
	if p.prober == daemon && p.probe == number {
		p.prober = ""
	}
	return at, true
}

// handleCrash records a crash. If the request was a probe, it returns when that was permitted.
func (q *Quarantine) handleCrash(now time.Time, from vrid.DaemonID, item *vrwire.PromptReportItem) (at time.Time, isProbe bool) {
	p := q.parts[item.Part]
	if p == nil && (q.answeredRecently(now, item.Part) || (item.Stale && !q.countStale(now, item.Part))) {
		return time.Time{}, false
	}
	if p == nil {
		p = q.suspect(now, item.Part)
		p.distrusted = item.Stale
		p.answeredEarlier = !item.Stale && q.answered.Contains(item.Part)
	}
	p.reportedAt = now
	if p.state != Suspected || item.Probe == 0 {
		return time.Time{}, false
	}
	return p.endProbe(from, item.Probe)
}

// countStale counts a crash under a part that was answered before, and reports whether there were so
// many that it is suspected nevertheless.
func (q *Quarantine) countStale(now time.Time, id vrid.PromptPartID) bool {
	count, _ := q.stale.Get(id)
	if now.Sub(count.since) > staleWindow {
		count = staleCount{since: now}
	}
	count.crashes++
	q.stale.Add(id, count)
	return count.crashes >= staleCrashes
}

// judgeProbe blocks the part whose probe crashed a server, or if other parts of the prompt may be the
// cause, their combination.
func (q *Quarantine) judgeProbe(now time.Time, probe crashedProbe, items []vrwire.PromptReportItem) {
	p := q.parts[probe.item.Part]
	if p == nil || p.state != Suspected {
		return
	}
	overlapped := probe.at.Before(q.probeCrashedAt) || q.otherProbeInProgress(p)
	q.probeCrashedAt, q.answeredProbes = now, 0
	if overlapped {
		// Another probe may have crashed the server. Each is sent again, one after the other.
		return
	}
	parts, blocked := q.likelyCauses(probe.item.Request, items)
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
	i := slices.IndexFunc(p.waiting, func(w waiter) bool { return w.daemon == from })
	if i < 0 {
		p.waiting = append(p.waiting, waiter{daemon: from, at: now})
		return
	}
	p.waiting[i].at = now
}

// otherProbeInProgress reports whether a probe of another part was permitted and has not ended.
func (q *Quarantine) otherProbeInProgress(p *part) bool {
	for _, other := range q.parts {
		if other != p && other.prober != "" {
			return true
		}
	}
	return false
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
	return min(minProbes+q.answeredProbes, maxProbes)
}

// Tick ends blocks and suspicions, and permits probes, at a daemon that decides.
func (q *Quarantine) Tick(now time.Time) {
	q.expireCombinations(now)
	if q.Count(Suspected) == 0 {
		q.answeredProbes = 0
	}
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
		p.waiting = slices.DeleteFunc(p.waiting, func(w waiter) bool { return now.Sub(w.at) > waitTTL })
		if p.prober == "" && len(p.waiting) > 0 && now.Sub(p.since) >= probeDelay && q.probesInProgress() < q.maxProbes(now) {
			q.permitProbe(now, p)
		}
	}
}

// permitProbe permits the daemon that has waited longest to send a request with a part.
func (q *Quarantine) permitProbe(now time.Time, p *part) {
	p.prober, p.waiting = p.waiting[0].daemon, p.waiting[1:]
	q.lastProbe = max(q.lastProbe+1, uint32(now.UnixMilli()))
	p.probe = q.lastProbe
	p.probeAt = now
	if len(p.issued) >= maxIssued {
		p.issued = p.issued[1:]
	}
	p.issued = append(p.issued, issuedProbe{daemon: p.prober, number: p.probe, at: now})
	q.markChanged()
}
