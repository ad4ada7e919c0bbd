package vrledger

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfault"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// maxReportLag is the maximum lag of a report behind the server's state. A report that
	// does not list the last answered order of an entry shows the state after that order only
	// if it was taken more than this time after the order's answer.
	maxReportLag = 30 * time.Second
	// resendDelay is the delay before an order of unknown outcome is sent again as another
	// attempt.
	resendDelay = time.Second
	// fenceInterval is the time between two fence orders to one server.
	fenceInterval = time.Second
	// lateOrderWindow is how long an order may still be executed after its connection ended
	// without an answer. By then the engine has closed the connection too.
	lateOrderWindow = 30 * time.Second
	// maxClockSkew is the maximum difference between the clocks of two VMs of a zone.
	maxClockSkew = time.Second
	// maxAttempts limits the unsettled attempts of an entry and with them its stored size.
	maxAttempts = 8
)

// HandleOrderAnswer handles the answer to an order. It returns the engine's highest epoch if
// that is higher than this owner's, and otherwise 0.
func (l *Ledger) HandleOrderAnswer(now time.Time, event vrevent.OrderAnswered) (newerEpoch vrid.Epoch) {
	s, ok := l.servers[event.Server]
	if !ok {
		return 0
	}
	if _, sent := s.inFlight[event.Order.OrderID]; sent {
		delete(s.inFlight, event.Order.OrderID)
		l.outstanding--
		if event.Status == vrengine.OrderOutcomeUnknown {
			s.unansweredAt[event.Order.OrderID] = now
			l.lastUnansweredAt = now
		}
	}
	if !l.active {
		return 0
	}
	if event.Status == vrengine.OrderFenced && event.Answer.HighestEpoch > l.epoch {
		return event.Answer.HighestEpoch
	}
	if event.Order.Kind == vrengine.OrderFence {
		l.handleFenceAnswer(s, event)
		return 0
	}
	l.settleOrder(now, s, event)
	return 0
}

// handleFenceAnswer handles the answer to a fence order.
func (l *Ledger) handleFenceAnswer(s *serverState, event vrevent.OrderAnswered) {
	if event.Order.OrderID != s.fenceOrder {
		return
	}
	s.fenceOrder = ""
	if event.Status == vrengine.OrderDone && event.Order.Epoch == l.epoch {
		l.setFenced(s)
	}
}

// setFenced records that the server's current run refuses orders of earlier epochs. Their
// attempts stay in the ledger until their issuers are known to have stopped sending: a
// delayed order can reach a later run of the server, which has lost the fencing token and
// executes it.
func (l *Ledger) setFenced(s *serverState) {
	if !s.fenced {
		s.fenced = true
		l.markDirty(s.info.ID)
	}
}

// settleOrder records the outcome of an order and drops the attempts that can no longer be
// executed after it.
func (l *Ledger) settleOrder(now time.Time, s *serverState, event vrevent.OrderAnswered) {
	entry, attempt := s.findAttempt(event.Order.OrderID)
	if entry == nil {
		return
	}
	if event.Status == vrengine.OrderOutcomeUnknown {
		s.nextResendAt = now.Add(resendDelay)
		if vrfault.On(vrfault.ForgetUnknown) {
			l.removeEntry(s, entry)
			l.markDirty(s.info.ID)
		}
		return
	}
	fencing := vrid.FencingToken{Epoch: attempt.Epoch, Sequence: attempt.Sequence}
	s.answeredAt = now
	s.entryAnsweredAt[keyOf(entry)] = now
	entry.LastAnsweredOrder = event.Order.OrderID
	l.dropAttempts(s, entry, func(other Attempt) bool {
		if other.Order == event.Order.OrderID {
			return true
		}
		// An engine that honours fencing tokens refuses every older order that this run of
		// the daemon has sent to it. A former owner's order may still be unsent and reach the
		// engine's next run.
		older := vrid.FencingToken{Epoch: other.Epoch, Sequence: other.Sequence}.Less(fencing)
		refuses := s.info.HonorsFencing && l.isOwn(other) || vrfault.On(vrfault.TrustFencing)
		return older && refuses && event.Status == vrengine.OrderDone
	})
	l.markDirty(s.info.ID)
	switch event.Status {
	case vrengine.OrderDone:
		l.orderDone(s, entry, event)
	case vrengine.OrderRefused, vrengine.OrderNoMemory, vrengine.OrderNotSent, vrengine.OrderFenced:
		l.orderFailed(now, s, entry, event)
	default:
	}
}

// orderDone updates an entry whose order the engine accepted.
func (l *Ledger) orderDone(s *serverState, entry *Entry, event vrevent.OrderAnswered) {
	switch event.Order.Kind {
	case vrengine.OrderLoad, vrengine.OrderLoadAdapter:
		if entry.State == vrwire.ReplicaLoading && event.Answer.State != vrengine.StateLoading {
			entry.State = vrwire.ReplicaLoaded
		}
	case vrengine.OrderUnload, vrengine.OrderUnloadAdapter:
		settled := len(entry.Attempts) == 0 || vrfault.On(vrfault.IgnorePin)
		if entry.State == vrwire.ReplicaUnloading && settled && event.Answer.State != vrengine.StateUnloading {
			l.removeEntry(s, entry)
		}
	default:
	}
}

// orderFailed updates an entry whose order was refused or not sent. The order is sent again
// while other attempts of the entry are unsettled.
func (l *Ledger) orderFailed(now time.Time, s *serverState, entry *Entry, event vrevent.OrderAnswered) {
	if len(entry.Attempts) > 0 {
		s.nextResendAt = now.Add(resendDelay)
		return
	}
	switch event.Order.Kind {
	case vrengine.OrderLoad, vrengine.OrderLoadAdapter:
		if entry.State == vrwire.ReplicaLoading {
			l.removeEntry(s, entry)
		}
	case vrengine.OrderUnload, vrengine.OrderUnloadAdapter:
		if entry.State == vrwire.ReplicaUnloading {
			entry.State = vrwire.ReplicaLoaded
		}
	default:
	}
}

// dropAttempts removes the entry's attempts for which settled returns true, except those in
// flight.
func (l *Ledger) dropAttempts(s *serverState, entry *Entry, settled func(Attempt) bool) {
	before := len(entry.Attempts)
	entry.Attempts = slices.DeleteFunc(entry.Attempts, func(attempt Attempt) bool {
		if _, sent := s.inFlight[attempt.Order]; sent || !settled(attempt) {
			return false
		}
		delete(s.unansweredAt, attempt.Order)
		return true
	})
	if len(entry.Attempts) != before {
		l.markDirty(s.info.ID)
	}
}

// DropSettledAttempts drops the attempts of this run that can no longer reach a server, and
// those of other issuers for which issuerStopped returns true: they are known to send no more
// orders of the epoch.
func (l *Ledger) DropSettledAttempts(issuerStopped func(issuer vrid.DaemonID, boot vrid.BootID, epoch vrid.Epoch) bool) {
	for _, id := range l.serverIDs {
		s := l.servers[id]
		for _, entry := range s.entries {
			l.dropAttempts(s, entry, func(attempt Attempt) bool {
				if l.isOwn(attempt) {
					return l.ownSettled(s, entry, attempt)
				}
				return issuerStopped(attempt.Issuer, attempt.Boot, attempt.Epoch)
			})
		}
	}
}

// isOwn reports whether an attempt was created by this run of the daemon.
func (l *Ledger) isOwn(attempt Attempt) bool {
	return attempt.Issuer == l.opts.Daemon && attempt.Boot == l.opts.Boot
}

// ownSettled reports whether an attempt of this run was answered or will never be sent:
// orders that waited for their record under an earlier epoch were dropped with the lease,
// and the attempt of a grant stays unused when another order has loaded its model.
func (l *Ledger) ownSettled(s *serverState, entry *Entry, attempt Attempt) bool {
	if _, unanswered := s.unansweredAt[attempt.Order]; unanswered {
		return false
	}
	if attempt.Epoch < l.epoch {
		return true
	}
	return entry.State != vrwire.ReplicaGranted && !l.hasUnwrittenOrder(s, entry)
}

// HandleReport handles a load report that a poller forwarded.
func (l *Ledger) HandleReport(now time.Time, report *vrwire.LoadReport) {
	s, ok := l.servers[report.Server]
	if !ok {
		return
	}
	if report.FailedPolls > 0 {
		failed := *report
		s.report = &failed
		return
	}
	if s.boot != report.Boot {
		l.handleServerRestart(s, report.Boot)
	}
	s.bootReportTakenAt = time.UnixMilli(report.TakenAt)
	s.report = report
	s.reportedAt = now
	if !l.active {
		return
	}
	if s.info.HonorsFencing && report.HighestEpoch == l.epoch {
		l.setFenced(s)
	}
	taken := time.UnixMilli(report.TakenAt)
	maps.DeleteFunc(s.removedAnsweredAt, func(_ entryKey, at time.Time) bool { return taken.After(at.Add(maxReportLag)) })
	for _, entry := range slices.Clone(s.entries) {
		attemptApplied := entry.hasAppliedAttempt(report.AppliedOrders)
		l.dropAttempts(s, entry, func(attempt Attempt) bool {
			at, unanswered := s.unansweredAt[attempt.Order]
			return unanswered && taken.After(at.Add(lateOrderWindow)) ||
				slices.Contains(report.AppliedOrders, attempt.Order)
		})
		// The report is compared with the last answer for this entry only. If answers for other
		// entries counted as well, a model that a restarted server has lost would stay in the
		// ledger for as long as orders for other models keep coming.
		lagElapsed := taken.After(s.lastAnswerAt(entry).Add(maxReportLag))
		afterAnswer := lagElapsed || slices.Contains(report.AppliedOrders, entry.LastAnsweredOrder)
		state := reportedState(report, entry)
		if _, removed := s.removedAnsweredAt[keyOf(entry)]; removed && state != 0 && !attemptApplied {
			// The report may show the removed entry of the same model.
			continue
		}
		l.reconcile(s, entry, state, afterAnswer)
	}
}

// handleServerRestart settles the attempts that this owner sent to the server's earlier run:
// their connections ended with it. An unanswered order counts as sent to the earlier run
// only if a report of that run was taken after it: an owner that was suspended may have sent
// the order to the new run.
func (l *Ledger) handleServerRestart(s *serverState, boot vrid.BootID) {
	bootKnown := s.boot != ""
	s.boot = boot
	if !bootKnown {
		// Orders that were sent before the first report went to this run or to an earlier one.
		for _, entry := range s.entries {
			for i := range entry.Attempts {
				if attempt := &entry.Attempts[i]; l.isOwn(*attempt) && attempt.ServerBoot == "" {
					attempt.ServerBoot = boot
				}
			}
		}
		return
	}
	s.fenced = false
	// A report of this run can't show an entry of the earlier one.
	clear(s.removedAnsweredAt)
	for _, entry := range s.entries {
		l.dropAttempts(s, entry, func(attempt Attempt) bool {
			if at, unanswered := s.unansweredAt[attempt.Order]; unanswered && !s.bootReportTakenAt.After(at.Add(maxClockSkew)) {
				return false
			}
			return l.isOwn(attempt) && attempt.ServerBoot != boot && entry.State != vrwire.ReplicaGranted
		})
	}
}

// reportedState returns the state of an entry's model or adapter in a report, or 0 if the
// report does not list it.
func reportedState(report *vrwire.LoadReport, entry *Entry) vrwire.ReplicaState {
	for _, model := range report.Models {
		if model.Model != entry.Model {
			continue
		}
		if entry.Adapter == "" {
			return model.State
		}
		if slices.Contains(model.Adapters, entry.Adapter) {
			return vrwire.ReplicaLoaded
		}
	}
	return 0
}

// hasAppliedAttempt reports whether an order of the entry's attempts is among the applied orders.
func (e *Entry) hasAppliedAttempt(applied []vrid.OrderID) bool {
	return slices.ContainsFunc(e.Attempts, func(attempt Attempt) bool { return slices.Contains(applied, attempt.Order) })
}

// reconcile updates an entry to the state that a report shows. afterAnswer is set if the
// report was certainly taken after the last answer to an order for the entry.
func (l *Ledger) reconcile(s *serverState, entry *Entry, reported vrwire.ReplicaState, afterAnswer bool) {
	switch {
	case reported == vrwire.ReplicaLoaded && entry.State != vrwire.ReplicaLoaded && entry.State != vrwire.ReplicaUnloading:
		entry.State = vrwire.ReplicaLoaded
		l.markDirty(s.info.ID)
	case reported != 0 || !afterAnswer:
	case len(entry.Attempts) == 0 && !l.mayHaveSentAttempt(s, entry):
		l.removeEntry(s, entry)
		l.markDirty(s.info.ID)
	case entry.State == vrwire.ReplicaLoaded && len(entry.Attempts) > 0:
		// The engine lost the model, and an earlier order may still load it again: the entry
		// keeps its memory, and the load order is sent again.
		entry.State = vrwire.ReplicaLoading
		l.markDirty(s.info.ID)
	}
}

// mayHaveSentAttempt reports whether the entry has attempts that may have been sent.
func (l *Ledger) mayHaveSentAttempt(s *serverState, entry *Entry) bool {
	return len(entry.Attempts) > 0 && !l.ownAttemptsUnsent(s, entry)
}

// Tick sends fence orders, sends orders of unknown outcome again and writes changed chunks.
func (l *Ledger) Tick(now time.Time, out *vrevent.Effects) {
	if !l.active {
		return
	}
	for _, id := range l.serverIDs {
		s := l.servers[id]
		c := l.chunkOf(id)
		if !c.ready || s.info.State == vrwire.ServerGone {
			continue
		}
		l.sendFence(now, s, out)
		l.resend(now, s)
	}
	l.Flush(now, out)
}

func (l *Ledger) sendFence(now time.Time, s *serverState, out *vrevent.Effects) {
	if !s.info.HonorsFencing || s.fenced || s.fenceOrder != "" || now.Before(s.nextFenceAt) {
		return
	}
	s.fenceOrder = vrid.OrderID(fmt.Sprintf("fence-%s-%d-%s", l.opts.Boot, l.epoch, s.info.ID))
	s.nextFenceAt = now.Add(fenceInterval)
	l.sendOrder(now, s, vrengine.Order{OrderID: s.fenceOrder, Epoch: l.epoch, Kind: vrengine.OrderFence}, out)
}

// resend queues another attempt of an order whose outcome is unknown. The attempt has no
// effect if an earlier one was executed.
func (l *Ledger) resend(now time.Time, s *serverState) {
	if len(s.inFlight) > 0 || now.Before(s.nextResendAt) {
		return
	}
	for _, entry := range s.entries {
		if !l.needsResend(s, entry) || len(entry.Attempts) >= maxAttempts || l.hasUnwrittenOrder(s, entry) {
			continue
		}
		l.addAttempt(s, entry)
		l.queueOrder(s, entry)
		l.markDirty(s.info.ID)
		s.nextResendAt = now.Add(resendDelay)
		return
	}
}

// needsResend reports whether an order for the entry has to be sent again. All its attempts
// may be settled without any of them having been executed, for example if their issuer
// stopped before it sent them.
func (l *Ledger) needsResend(s *serverState, entry *Entry) bool {
	switch entry.State {
	case vrwire.ReplicaUnloading:
		return true
	case vrwire.ReplicaLoading:
		if len(entry.Attempts) > 0 {
			return true
		}
		return s.report != nil && s.reportedAt.After(s.answeredAt) && reportedState(s.report, entry) == 0
	default:
		return false
	}
}

// hasUnwrittenOrder reports whether an attempt of the entry was not sent yet because its
// record is not known to be durable.
func (l *Ledger) hasUnwrittenOrder(s *serverState, entry *Entry) bool {
	c := l.chunkOf(s.info.ID)
	for _, attempt := range entry.Attempts {
		matches := func(queued queuedOrder) bool { return queued.order == attempt.Order }
		if slices.ContainsFunc(c.queuedOrders, matches) || slices.ContainsFunc(c.inFlightOrders, matches) {
			return true
		}
	}
	return false
}

// entryKey identifies an entry among those of its server.
type entryKey struct {
	model   vrid.ModelID
	adapter vrid.AdapterID
}

func keyOf(entry *Entry) entryKey {
	return entryKey{model: entry.Model, adapter: entry.Adapter}
}

// lastAnswerAt returns when an order for the entry was last answered, or when this owner
// took the entry over.
func (s *serverState) lastAnswerAt(entry *Entry) time.Time {
	if at, known := s.entryAnsweredAt[keyOf(entry)]; known && at.After(s.adoptedAt) {
		return at
	}
	return s.adoptedAt
}
