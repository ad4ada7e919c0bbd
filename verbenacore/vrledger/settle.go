package vrledger

import (
	"fmt"
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfault"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// reportLag is the longest lag of a report. A report that does not list the order
	// that settled an entry only counts as younger than that order after this time.
	reportLag = 30 * time.Second
	// resendDelay is the pause before an order of unknown outcome is completed by
	// another attempt.
	resendDelay = time.Second
	// fenceDelay is the pause between two fence orders to one server.
	fenceDelay = time.Second
	// orderTail is how long an order whose connection ended without an answer may still
	// be obeyed. The engine has closed the connection by then.
	orderTail = 30 * time.Second
	// clockMargin is the greatest difference between the clocks of two VMs of a zone.
	clockMargin = time.Second
	// maxAttempts bounds the unsettled attempts of an entry, and so its size.
	maxAttempts = 8
)

// HandleOrderAnswer takes the answer to an order. It returns a newer epoch when the engine
// knows one.
func (l *Ledger) HandleOrderAnswer(now time.Time, event vrevent.OrderAnswered) (superseded vrid.Epoch) {
	s, ok := l.servers[event.Server]
	if !ok {
		return 0
	}
	if _, waiting := s.inFlight[event.Order.OrderID]; waiting {
		delete(s.inFlight, event.Order.OrderID)
		l.outstanding--
		if event.Status == vrengine.OrderUnanswered {
			s.lost[event.Order.OrderID] = now
			l.lostAt = now
		}
	}
	if !l.active {
		return 0
	}
	if event.Status == vrengine.OrderFenced && event.Answer.HighestEpoch > l.epoch {
		return event.Answer.HighestEpoch
	}
	if event.Order.Kind == vrengine.OrderFence {
		l.handleFence(s, event)
		return 0
	}
	l.settleOrder(now, s, event)
	return 0
}

func (l *Ledger) handleFence(s *server, event vrevent.OrderAnswered) {
	if event.Order.OrderID != s.fence {
		return
	}
	s.fence = ""
	if event.Status == vrengine.OrderDone && event.Order.Epoch == l.epoch {
		l.setFenced(s)
	}
}

// setFenced notes that the server's present run refuses orders of earlier epochs. Their
// attempts stay in the ledger until their issuers are proved silent: a run that starts
// later without the number obeys an order that was only held up at its issuer.
func (l *Ledger) setFenced(s *server) {
	if !s.fenced {
		s.fenced = true
		l.touch(s.info.ID)
	}
}

func (l *Ledger) settleOrder(now time.Time, s *server, event vrevent.OrderAnswered) {
	entry, attempt := s.findAttempt(event.Order.OrderID)
	if entry == nil {
		return
	}
	if event.Status == vrengine.OrderUnanswered {
		s.resendAt = now.Add(resendDelay)
		if vrfault.On(vrfault.ForgetUnknown) {
			l.removeEntry(s, entry)
			l.touch(s.info.ID)
		}
		return
	}
	number := vrid.Fencing{Epoch: attempt.Epoch, Sequence: attempt.Sequence}
	s.settled = now
	s.entrySettled[nameOf(entry)] = now
	entry.Settled = event.Order.OrderID
	l.dropAttempts(s, entry, func(other Attempt) bool {
		if other.Order == event.Order.OrderID {
			return true
		}
		// An engine that honours the number refuses every older order that this run already
		// sent to it. A former owner's may still be unsent and meet the engine's next run.
		older := vrid.Fencing{Epoch: other.Epoch, Sequence: other.Sequence}.Less(number)
		refuses := s.info.HonorsFencing && l.own(other) || vrfault.On(vrfault.TrustFencing)
		return older && refuses && event.Status == vrengine.OrderDone
	})
	l.touch(s.info.ID)
	switch event.Status {
	case vrengine.OrderDone:
		l.orderDone(s, entry, event)
	case vrengine.OrderRefused, vrengine.OrderNoMemory, vrengine.OrderNotSent, vrengine.OrderFenced:
		l.orderFailed(now, s, entry, event)
	default:
	}
}

func (l *Ledger) orderDone(s *server, entry *Entry, event vrevent.OrderAnswered) {
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

func (l *Ledger) orderFailed(now time.Time, s *server, entry *Entry, event vrevent.OrderAnswered) {
	if len(entry.Attempts) > 0 {
		s.resendAt = now.Add(resendDelay)
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

// dropAttempts forgets the attempts that can no longer arrive.
func (l *Ledger) dropAttempts(s *server, entry *Entry, settled func(Attempt) bool) {
	before := len(entry.Attempts)
	entry.Attempts = slices.DeleteFunc(entry.Attempts, func(attempt Attempt) bool {
		if _, sent := s.inFlight[attempt.Order]; sent || !settled(attempt) {
			return false
		}
		delete(s.lost, attempt.Order)
		return true
	})
	if len(entry.Attempts) != before {
		l.touch(s.info.ID)
	}
}

// DropSettledAttempts drops the attempts of daemons that are proved to send nothing more.
func (l *Ledger) DropSettledAttempts(proved func(issuer vrid.DaemonID, boot vrid.BootID, epoch vrid.Epoch) bool) {
	for _, id := range l.order {
		s := l.servers[id]
		for _, entry := range s.entries {
			l.dropAttempts(s, entry, func(attempt Attempt) bool {
				if l.own(attempt) {
					return l.ownSettled(s, entry, attempt)
				}
				return proved(attempt.Issuer, attempt.Boot, attempt.Epoch)
			})
		}
	}
}

func (l *Ledger) own(attempt Attempt) bool {
	return attempt.Issuer == l.opts.Daemon && attempt.Boot == l.opts.Boot
}

// ownSettled reports whether an attempt of this run was answered or will never be sent:
// what waited for its record under an earlier epoch was dropped with the lease, and the
// attempt of a grant goes unused when its model was loaded by another order.
func (l *Ledger) ownSettled(s *server, entry *Entry, attempt Attempt) bool {
	if _, lost := s.lost[attempt.Order]; lost {
		return false
	}
	if attempt.Epoch < l.epoch {
		return true
	}
	return entry.State != vrwire.ReplicaGranted && !l.waitsForRecord(s, entry)
}

// HandleReport takes a load report that a poller passed on.
func (l *Ledger) HandleReport(now time.Time, report *vrwire.LoadReport) {
	s, ok := l.servers[report.Server]
	if !ok {
		return
	}
	if report.Failed > 0 {
		failed := *report
		s.report = &failed
		return
	}
	if s.boot != report.Boot {
		l.serverRestarted(s, report.Boot)
	}
	s.bootTaken = time.UnixMilli(report.TakenAt)
	s.report = report
	s.reported = now
	if !l.active {
		return
	}
	if s.info.HonorsFencing && report.HighestEpoch == l.epoch {
		l.setFenced(s)
	}
	taken := time.UnixMilli(report.TakenAt)
	for _, entry := range slices.Clone(s.entries) {
		l.dropAttempts(s, entry, func(attempt Attempt) bool {
			at, lost := s.lost[attempt.Order]
			return lost && taken.After(at.Add(orderTail)) ||
				slices.Contains(report.AppliedOrders, attempt.Order)
		})
		// Each entry counts from its own orders: those of other models would keep a restarted
		// server's lost model in the ledger for as long as they go on.
		old := taken.After(s.settledAt(entry).Add(reportLag))
		fresh := old || slices.Contains(report.AppliedOrders, entry.Settled)
		l.compare(s, entry, reportedState(report, entry), fresh)
	}
}

// serverRestarted settles the attempts that this owner sent to the earlier run: their
// connections ended with it. A lost order counts as sent to it only if a report of that run
// is younger: an owner that was suspended may have sent it to the run that it learns of now.
func (l *Ledger) serverRestarted(s *server, boot vrid.BootID) {
	known := s.boot != ""
	s.boot = boot
	if !known {
		// Orders that were sent before the first report went to this run or an earlier one.
		for _, entry := range s.entries {
			for i := range entry.Attempts {
				if attempt := &entry.Attempts[i]; l.own(*attempt) && attempt.ServerBoot == "" {
					attempt.ServerBoot = boot
				}
			}
		}
		return
	}
	s.fenced = false
	for _, entry := range s.entries {
		l.dropAttempts(s, entry, func(attempt Attempt) bool {
			if at, lost := s.lost[attempt.Order]; lost && !s.bootTaken.After(at.Add(clockMargin)) {
				return false
			}
			return l.own(attempt) && attempt.ServerBoot != boot && entry.State != vrwire.ReplicaGranted
		})
	}
}

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

// compare moves an entry to what a report shows. Fresh reports are known to be younger
// than the newest answer to an order.
func (l *Ledger) compare(s *server, entry *Entry, reported vrwire.ReplicaState, fresh bool) {
	switch {
	case reported == vrwire.ReplicaLoaded && entry.State != vrwire.ReplicaLoaded && entry.State != vrwire.ReplicaUnloading:
		entry.State = vrwire.ReplicaLoaded
		l.touch(s.info.ID)
	case reported != 0 || !fresh:
	case len(entry.Attempts) == 0 && !l.queuedFor(s, entry):
		l.removeEntry(s, entry)
		l.touch(s.info.ID)
	case entry.State == vrwire.ReplicaLoaded && len(entry.Attempts) > 0:
		// The engine lost the model, and an old order may still load it again: the entry
		// keeps its memory and is completed.
		entry.State = vrwire.ReplicaLoading
		l.touch(s.info.ID)
	}
}

func (l *Ledger) queuedFor(s *server, entry *Entry) bool {
	return len(entry.Attempts) > 0 && !l.ownUnsent(s, entry)
}

// Tick completes orders of unknown outcome and sends fence orders.
func (l *Ledger) Tick(now time.Time, out *vrevent.Effects) {
	if !l.active {
		return
	}
	for _, id := range l.order {
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

func (l *Ledger) sendFence(now time.Time, s *server, out *vrevent.Effects) {
	if !s.info.HonorsFencing || s.fenced || s.fence != "" || now.Before(s.fenceAt) {
		return
	}
	s.fence = vrid.OrderID(fmt.Sprintf("fence-%s-%d-%s", l.opts.Boot, l.epoch, s.info.ID))
	s.fenceAt = now.Add(fenceDelay)
	l.send(now, s, vrengine.Order{OrderID: s.fence, Epoch: l.epoch, Kind: vrengine.OrderFence}, out)
}

// resend completes an order whose outcome is unknown by another attempt, which changes
// nothing if the first one was obeyed.
func (l *Ledger) resend(now time.Time, s *server) {
	if len(s.inFlight) > 0 || now.Before(s.resendAt) {
		return
	}
	for _, entry := range s.entries {
		if !l.incomplete(s, entry) || len(entry.Attempts) >= maxAttempts || l.waitsForRecord(s, entry) {
			continue
		}
		l.addAttempt(s, entry)
		l.queueOrder(s, entry)
		l.touch(s.info.ID)
		s.resendAt = now.Add(resendDelay)
		return
	}
}

// incomplete reports whether an order for the entry has to be given again. Its attempts
// may all be settled without having been obeyed, for example by a fence.
func (l *Ledger) incomplete(s *server, entry *Entry) bool {
	switch entry.State {
	case vrwire.ReplicaUnloading:
		return true
	case vrwire.ReplicaLoading:
		if len(entry.Attempts) > 0 {
			return true
		}
		return s.report != nil && s.reported.After(s.settled) && reportedState(s.report, entry) == 0
	default:
		return false
	}
}

// waitsForRecord reports whether an attempt of the entry was not sent yet because its
// record is not durable.
func (l *Ledger) waitsForRecord(s *server, entry *Entry) bool {
	c := l.chunkOf(s.info.ID)
	for _, attempt := range entry.Attempts {
		waits := func(queued queuedOrder) bool { return queued.attempt == attempt.Order }
		if slices.ContainsFunc(c.queued, waits) || slices.ContainsFunc(c.writing, waits) {
			return true
		}
	}
	return false
}

// entryName tells the entries of a server apart.
type entryName struct {
	model   vrid.ModelID
	adapter vrid.AdapterID
}

func nameOf(entry *Entry) entryName {
	return entryName{model: entry.Model, adapter: entry.Adapter}
}

// settledAt is when an order for the entry was last answered, or when this owner took
// the entry over.
func (s *server) settledAt(entry *Entry) time.Time {
	if at, known := s.entrySettled[nameOf(entry)]; known && at.After(s.adopted) {
		return at
	}
	return s.adopted
}
