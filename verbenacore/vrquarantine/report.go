package vrquarantine

import (
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// reportQueue holds the observations for the owner. Those that were sent are kept until the owner
// has acknowledged them.
type reportQueue struct {
	pending []vrwire.PromptReportItem
	sent    []vrwire.PromptReportItem
	// run identifies this run of the daemon, by the time of its first report. number is the number of
	// the last report and sentAt when it was sent. silentSince is when the owner last acknowledged
	// one, or when the oldest observation in sent was first sent, whichever is later.
	run                 uint64
	number              uint64
	sentAt, silentSince time.Time
	// asksForMessage is set if the owner's message is to be asked for.
	asksForMessage bool
}

func (r *reportQueue) add(item vrwire.PromptReportItem) {
	if len(r.pending) < maxPending {
		r.pending = append(r.pending, item)
	}
}

// Report returns the report to send to the owner, or nil if there is nothing new to report. It
// repeats what the owner has not acknowledged.
func (q *Quarantine) Report(now time.Time) *vrwire.PromptReport {
	r := &q.reports
	repeat := len(r.sent) > 0 && now.Sub(r.sentAt) >= ackTimeout
	if len(r.pending) == 0 && !repeat && !r.asksForMessage {
		return nil
	}
	r.asksForMessage = false
	if len(r.sent) == 0 {
		r.silentSince = now
	}
	if r.run == 0 {
		r.run = uint64(now.UnixNano())
	}
	r.number++
	for i := range r.pending {
		r.pending[i].Number = r.number
	}
	if q.alone {
		q.handleItems(now, q.self, r.pending)
	}
	r.sent = append(r.sent, r.pending...)
	if excess := len(r.sent) - maxPending; excess > 0 {
		r.sent = r.sent[excess:]
	}
	r.pending = nil
	r.sentAt = now
	return &vrwire.PromptReport{Run: r.run, Number: r.number, Items: slices.Clone(r.sent)}
}

// OwnerSilent reports whether the owner has not acknowledged a report in time.
func (q *Quarantine) OwnerSilent(now time.Time) bool {
	return len(q.reports.sent) > 0 && now.Sub(q.reports.silentSince) >= aloneTimeout
}

// SetAlone makes this daemon decide for itself from its own observations, or ends that. It goes on
// reporting to the owner.
func (q *Quarantine) SetAlone(now time.Time, alone bool) {
	if alone && !q.alone {
		q.handleItems(now, q.self, q.reports.sent)
	}
	q.alone = alone
}

// RecordAnswer records the begin of an answer to a prompt, which clears its parts.
func (q *Quarantine) RecordAnswer(now time.Time, ids []vrid.PromptPartID) {
	for _, id := range ids {
		q.answered.Add(id, now)
		if p := q.parts[id]; p != nil {
			q.reportAnswer(now, p)
		}
	}
}

// reportKnownAnswer tells the owner of an answer to a prompt with a part that it suspects. An old
// one is told of once.
func (q *Quarantine) reportKnownAnswer(now time.Time, p *part) {
	switch {
	case q.answeredRecently(now, p.id):
		q.reportAnswer(now, p)
	case q.answered.Contains(p.id) && !p.answeredEarlier:
		p.answeredEarlier = true
		q.reports.add(vrwire.PromptReportItem{Part: p.id, Event: vrwire.PromptAnsweredEarlier})
	}
}

func (q *Quarantine) reportAnswer(now time.Time, p *part) {
	if p.answerReportedAt.IsZero() || now.Sub(p.answerReportedAt) >= repeatInterval {
		p.answerReportedAt = now
		q.reports.add(vrwire.PromptReportItem{Part: p.id, Event: vrwire.PromptAnswered})
	}
}

// CrashedRequest is a request that a server had not begun to answer when it crashed.
type CrashedRequest struct {
	Request vrid.RequestID
	Parts   []vrid.PromptPartID
	// Probe is the request's permission, if it was a probe.
	Probe Probe
}

// RecordCrash records the crash of a server under a request.
func (q *Quarantine) RecordCrash(now time.Time, r CrashedRequest) {
	suspects, stale := q.suspects(now, NormalizeParts(r.Parts))
	for _, id := range suspects {
		item := vrwire.PromptReportItem{Part: id, Event: vrwire.PromptCrashed, Request: r.Request}
		if r.Probe.Part == id {
			item.Probe = r.Probe.Number
		}
		q.suspect(now, id)
		q.reports.add(item)
	}
	for _, id := range stale {
		q.reports.add(vrwire.PromptReportItem{Part: id, Event: vrwire.PromptCrashed, Request: r.Request, Stale: true})
	}
}

// suspects returns the parts that may have caused a crash: those that are suspected already or have no
// remembered answer, or if there are none, those without a recent answer. Beside the former, the
// latter are stale: they may have begun to crash servers since.
func (q *Quarantine) suspects(now time.Time, ids []vrid.PromptPartID) (suspects, stale []vrid.PromptPartID) {
	for _, id := range ids {
		switch {
		case q.answeredRecently(now, id):
		case !q.answered.Contains(id) || q.parts[id] != nil:
			suspects = append(suspects, id)
		default:
			stale = append(stale, id)
		}
	}
	if len(suspects) == 0 {
		return stale, nil
	}
	return suspects, stale
}

// RecordProbeEnd records that a probe ended without an answer and without a crash.
func (q *Quarantine) RecordProbeEnd(probe Probe) {
	if probe.Number != 0 {
		q.reports.add(vrwire.PromptReportItem{Part: probe.Part, Event: vrwire.PromptProbeEnded, Probe: probe.Number})
	}
}

// RecordWaiting records that a request waits until its parts are cleared, if it is fit to probe one.
func (q *Quarantine) RecordWaiting(now time.Time, ids []vrid.PromptPartID) {
	p := q.probePart(now, ids)
	if p == nil || !q.canProbe(now, p, ids) {
		return
	}
	if p.waitReportedAt.IsZero() || now.Sub(p.waitReportedAt) >= repeatInterval {
		p.waitReportedAt = now
		q.reports.add(vrwire.PromptReportItem{Part: p.id, Event: vrwire.PromptWaiting})
	}
}
