package vrquarantine

import (
	"fmt"
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// Changed reports whether the owner has to send its parts to all daemons.
func (q *Quarantine) Changed() bool { return q.changed }

// Empty reports whether all parts are clear.
func (q *Quarantine) Empty() bool { return len(q.parts) == 0 }

// Unacknowledged returns whether a daemon's last report has not been acknowledged.
func (q *Quarantine) Unacknowledged(daemon vrid.DaemonID) bool { return q.unacknowledged[daemon] }

// Message returns the owner's message to a daemon.
func (q *Quarantine) Message(now time.Time, to vrid.DaemonID, epoch vrid.Epoch) *vrwire.Quarantine {
	delete(q.unacknowledged, to)
	message := &vrwire.Quarantine{
		Epoch: epoch, Acknowledged: q.acknowledgements[to], AcknowledgedRun: q.runs[to], Version: q.version,
	}
	for _, id := range q.sortedIDs() {
		message.Parts = append(message.Parts, quarantinedPart(now, q.parts[id]))
	}
	message.Combinations = q.combinationMessages(now)
	return message
}

// MessageSent records that all daemons were sent the parts.
func (q *Quarantine) MessageSent() { q.changed = false }

// HandleMessage applies the owner's message. What this daemon has reported and the owner has not
// acknowledged stays, and so does what it blocked while it did not reach the owner.
func (q *Quarantine) HandleMessage(now time.Time, message *vrwire.Quarantine) {
	q.acknowledge(now, message.AcknowledgedRun, message.Acknowledged)
	q.appliedEpoch, q.appliedVersion = message.Epoch, message.Version
	listed := make(map[vrid.PromptPartID]bool, len(message.Parts))
	for i := range message.Parts {
		item := &message.Parts[i]
		listed[item.Part] = true
		q.applyListed(now, item)
	}
	for i := range q.combinations {
		if c := &q.combinations[i]; c.local && !q.isRefuted(c, message.Combinations) {
			for _, id := range c.parts {
				listed[id] = true
			}
		}
	}
	for _, id := range q.sortedIDs() {
		p := q.parts[id]
		switch {
		case listed[id]:
		case p.local && !p.localReported && now.Before(p.blockedUntil):
			p.localReported = true
			q.reports.add(vrwire.PromptReportItem{Part: id, Event: vrwire.PromptBlocked, Remaining: remaining(now, p.blockedUntil)})
		case !q.reports.mentions(id):
			q.forget(p)
		}
	}
	q.setCombinations(now, message.Combinations)
}

// Version returns the number of changes at the owner, for its heartbeats.
func (q *Quarantine) Version() uint64 { return q.version }

// HandleVersion asks the owner for its message if this daemon has not applied the newest one.
func (q *Quarantine) HandleVersion(epoch vrid.Epoch, version uint64) {
	if version != 0 && (epoch != q.appliedEpoch || version != q.appliedVersion) {
		q.reports.asksForMessage = true
	}
}

// acknowledge drops the observations that the owner has applied.
func (q *Quarantine) acknowledge(now time.Time, run, number uint64) {
	r := &q.reports
	if run != r.run || number == 0 {
		return
	}
	r.silentSince = now
	r.sent = slices.DeleteFunc(r.sent, func(item vrwire.PromptReportItem) bool { return item.Number <= number })
}

// AcknowledgeAll drops all observations that were sent, at the owner itself.
func (q *Quarantine) AcknowledgeAll() { q.reports.sent = nil }

// mentions reports whether an observation of a part is still to be acknowledged.
func (r *reportQueue) mentions(id vrid.PromptPartID) bool {
	for _, items := range [...][]vrwire.PromptReportItem{r.pending, r.sent} {
		for i := range items {
			if items[i].Part == id {
				return true
			}
		}
	}
	return false
}

func (q *Quarantine) applyListed(now time.Time, item *vrwire.QuarantinedPart) {
	p := q.suspect(now, item.Part)
	p.blocks, p.local = item.Blocks, false
	if item.Blocked {
		q.block(now, p, now.Add(time.Duration(item.Remaining)*time.Millisecond), item.Blocks)
		return
	}
	q.setState(now, p, Suspected)
	p.prober, p.probe, p.probeAt = item.Prober, item.Probe, now
	q.reportKnownAnswer(now, p)
}

// BecomeOwner makes this daemon decide for all. It permits no probe of its predecessor's any more.
func (q *Quarantine) BecomeOwner() {
	for _, p := range q.parts {
		p.prober, p.local = "", false
	}
	for i := range q.combinations {
		q.combinations[i].local = false
	}
	q.version = max(q.version, q.appliedVersion)
	q.markChanged()
}

// StoreChanged reports whether the blocked parts have changed since the last Stored.
func (q *Quarantine) StoreChanged() bool { return q.storeChanged }

// Stored returns the blocked parts, to be kept in the platform's store.
func (q *Quarantine) Stored(now time.Time) *vrwire.Quarantine {
	q.storeChanged = false
	message := &vrwire.Quarantine{Combinations: q.combinationMessages(now)}
	for _, id := range q.sortedIDs() {
		if p := q.parts[id]; p.state == Blocked {
			message.Parts = append(message.Parts, quarantinedPart(now, p))
		}
	}
	return message
}

// StoreFailed records that the parts which Stored returned may not have been stored.
func (q *Quarantine) StoreFailed() { q.storeChanged = true }

// CompareStored makes StoreChanged report a change if the stored parts, as read from the platform's
// store, are not those that are blocked.
func (q *Quarantine) CompareStored(now time.Time, stored *vrwire.Quarantine) {
	var own, others []string
	for _, id := range q.sortedIDs() {
		if q.parts[id].state == Blocked {
			own = append(own, string(id))
		}
	}
	for i := range stored.Parts {
		if stored.Parts[i].Blocked {
			others = append(others, string(stored.Parts[i].Part))
		}
	}
	if !equalSets(own, others) || !equalSets(combinationKeys(q.combinationMessages(now)), combinationKeys(stored.Combinations)) {
		q.storeChanged = true
	}
}

// combinationKeys returns a key for each combination that depends on its set of parts only.
func combinationKeys(combinations []vrwire.BlockedCombination) []string {
	keys := make([]string, len(combinations))
	for i := range combinations {
		keys[i] = fmt.Sprintf("%q", slices.Sorted(slices.Values(combinations[i].Parts)))
	}
	return keys
}

func equalSets(a, b []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}

// HandleStored adds the blocked parts that a former owner has stored. Parts that are already known
// stay as they are, because what daemons told of them is newer.
func (q *Quarantine) HandleStored(now time.Time, stored *vrwire.Quarantine) {
	for i := range stored.Parts {
		item := &stored.Parts[i]
		if q.parts[item.Part] == nil && item.Blocked && !q.answeredRecently(now, item.Part) && !q.cleared.Contains(item.Part) {
			q.block(now, q.suspect(now, item.Part), now.Add(time.Duration(item.Remaining)*time.Millisecond), item.Blocks)
		}
	}
	if len(q.combinations) > 0 {
		return
	}
	q.setCombinations(now, slices.DeleteFunc(slices.Clone(stored.Combinations), func(c vrwire.BlockedCombination) bool {
		return slices.ContainsFunc(c.Parts, q.cleared.Contains)
	}))
	for _, c := range q.combinations {
		for _, id := range c.parts {
			q.suspect(now, id)
		}
	}
}
