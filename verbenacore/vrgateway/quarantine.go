package vrgateway

import (
	"slices"
	"strings"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfault"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrquarantine"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// quarantineInterval is the interval at which the placement owner repeats the suspected and
	// blocked parts of prompts to the other daemons, if there are so few that it sends no heartbeats.
	// Otherwise a daemon that missed a message learns of it from the version in the heartbeats.
	quarantineInterval = time.Second
	// maxClearanceWait is how long a call waits until the suspected parts of its prompt are cleared.
	maxClearanceWait = 3 * time.Second
	// maxInitialReadWait is how long a daemon that has just started waits for the stored blocked
	// parts before it sends calls whose prompts have parts. A restarted daemon that did not wait
	// crashed a server with its first calls.
	maxInitialReadWait = time.Second
	// quarantineStoreInterval is the minimum interval between two calls to the store about the
	// blocked parts.
	quarantineStoreInterval = time.Second
	// minQuarantineInterval is the minimum interval between two messages to all daemons, so that
	// one covers what several daemons report of a crash.
	minQuarantineInterval = 20 * time.Millisecond
	// statusError is the lowest HTTP status of a failure.
	statusError = 400
)

// quarantineState holds the calls that wait for the clearance of a part of their prompt, and how
// far the blocked parts are stored.
type quarantineState struct {
	parts *vrquarantine.Quarantine
	// held are the waiting calls in the order of their arrival.
	held   []*call
	sentAt time.Time
	// loaded is set once the stored parts have been read. As the owner, the daemon reads them again.
	// known is set once they were read or the owner has told of its parts, informed in the latter case.
	loaded, known, informed bool
	version                 vrid.ObjectVersion
	// storeCallAt is when the store was last called, storeBusy is set until it has answered.
	storeCallAt time.Time
	storeBusy   bool
}

// refuseBlocked refuses a call if a part of its prompt is blocked, and reports whether it did.
func (s *State) refuseBlocked(now time.Time, c *call, out *vrevent.Effects) bool {
	verdict := s.checkPrompt(now, c)
	if verdict.State != vrquarantine.Blocked {
		return false
	}
	s.endCall(now, c, vrwire.ReasonPromptQuarantined, verdict.Until.Sub(now), out)
	return true
}

// mustHold reports whether a call for which a server is available has to wait until the parts of its
// prompt are cleared.
func (s *State) mustHold(now time.Time, c *call) bool {
	if len(c.PromptParts) > 0 && !s.quarantine.known && now.Sub(s.startedAt) < maxInitialReadWait {
		return true
	}
	return s.checkPrompt(now, c).State == vrquarantine.Suspected
}

func (s *State) checkPrompt(now time.Time, c *call) vrquarantine.Verdict {
	if c.eventsDelivered > 0 || vrfault.On(vrfault.IgnoreQuarantine) {
		// An answer to the prompt has begun, so no part of it crashes servers.
		return vrquarantine.Verdict{}
	}
	return s.quarantine.parts.Check(now, c.PromptParts)
}

// hold makes a call wait until the parts of its prompt are cleared.
func (s *State) hold(now time.Time, c *call, out *vrevent.Effects) {
	if c.heldSince.IsZero() {
		c.heldSince = now
		out.Info("call held for its prompt parts", text("request", c.Request), number("sends", uint64(c.sends)),
			text("parts", joinParts(c.PromptParts)), millis("leftMs", c.deadline.Sub(now)))
	}
	s.leaveQuota(c)
	if !c.held {
		c.held = true
		s.quarantine.held = append(s.quarantine.held, c)
	}
	s.quarantine.parts.RecordWaiting(now, c.PromptParts)
}

// release removes a call from those that wait for the clearance of a part.
func (s *State) release(c *call) {
	if !c.held {
		return
	}
	c.held = false
	s.quarantine.held = slices.DeleteFunc(s.quarantine.held, func(other *call) bool { return other == c })
}

// dispatchHeld dispatches the held calls whose parts are cleared or blocked or that may be a probe,
// and those whose server is gone, so that they wait for another one. It ends those that have waited
// for too long.
func (s *State) dispatchHeld(now time.Time, out *vrevent.Effects) {
	for _, c := range slices.Clone(s.quarantine.held) {
		server, _ := s.chooseServer(now, c)
		switch {
		case server == nil || !s.mustHold(now, c):
			s.release(c)
			s.dispatch(now, c, out)
		case now.Sub(c.heldSince) >= maxClearanceWait || !now.Before(c.abandonedAt().Add(-minServeTime)):
			s.endCall(now, c, vrwire.ReasonPromptQuarantined, shortRetryAfter, out)
		default:
			s.quarantine.parts.RecordWaiting(now, c.PromptParts)
		}
	}
}

// joinParts lists the parts of a prompt in logs.
func joinParts(parts []vrid.PromptPartID) string {
	names := make([]string, len(parts))
	for i, part := range parts {
		names[i] = string(part)
	}
	return strings.Join(names, ",")
}

// recordPromptOutcome records what the end of a send shows about the parts of the prompt.
func (s *State) recordPromptOutcome(now time.Time, c *call, a *attempt, e *vrevent.SendEnded, out *vrevent.Effects) {
	probe := a.probe
	switch {
	case e.Result == vrevent.AttemptAnswered && e.Status < statusError:
		s.quarantine.parts.RecordAnswer(now, c.PromptParts)
	case e.Result == vrevent.AttemptBroken && e.ServerDown && !a.answerBegan && c.eventsDelivered == 0:
		out.Info("server crashed before its answer began", text("request", c.Request), text("server", a.server.ID),
			text("parts", joinParts(c.PromptParts)), number("probe", uint64(probe.Number)))
		s.quarantine.parts.RecordCrash(now, vrquarantine.CrashedRequest{Request: c.Request, Parts: c.PromptParts, Probe: probe})
	default:
		s.quarantine.parts.RecordProbeEnd(probe)
	}
}

// decidesQuarantine reports whether this daemon decides about parts of prompts for all daemons. The
// last placement owner goes on deciding while the store is down: two daemons that decide for a moment
// permit two probes, and orders are not at stake.
func (s *State) decidesQuarantine() bool { return s.owner.daemon == s.opts.Daemon }

// tickQuarantine passes on what this daemon observed, applies what was decided, and keeps the
// blocked parts in the store.
func (s *State) tickQuarantine(now time.Time, out *vrevent.Effects) {
	q := s.quarantine.parts
	s.reportPrompts(now, out)
	if s.decidesQuarantine() || s.decidesAlone(now) {
		q.Tick(now)
	}
	s.logQuarantine(out)
	s.dispatchHeld(now, out)
	if s.decidesQuarantine() {
		s.sendQuarantine(now, out)
	}
	s.storeQuarantine(now, out)
}

// decidesAlone reports whether this daemon decides about parts of prompts for itself, because no
// placement owner has answered its reports.
func (s *State) decidesAlone(now time.Time) bool {
	return !s.decidesQuarantine() && s.quarantine.parts.OwnerSilent(now)
}

// reportPrompts applies this daemon's observations at the placement owner.
func (s *State) reportPrompts(now time.Time, out *vrevent.Effects) {
	q := s.quarantine.parts
	q.SetAlone(now, s.decidesAlone(now))
	report := q.Report(now)
	switch {
	case report == nil:
	case s.decidesQuarantine():
		q.HandleReport(now, s.opts.Daemon, report)
		q.AcknowledgeAll()
	case s.owner.address != "" && s.owner.daemon != s.opts.Daemon:
		out.Add(vrevent.SendPeer{Peer: s.owner.daemon, Address: s.owner.address, Envelope: &vrwire.Envelope{
			Notices: &vrwire.Notices{PromptReport: report},
		}})
	}
}

func (s *State) logQuarantine(out *vrevent.Effects) {
	for _, change := range s.quarantine.parts.TakeChanges() {
		out.Info("prompt part "+change.State.String(), text("part", joinParts(change.Parts)))
	}
}

// sendQuarantine tells the other daemons of the suspected and blocked parts after a change and at
// intervals, and acknowledges their reports.
func (s *State) sendQuarantine(now time.Time, out *vrevent.Effects) {
	q := s.quarantine.parts
	age := now.Sub(s.quarantine.sentAt)
	repeats := !s.inLargeFleet() && !q.Empty()
	due := (q.Changed() && age >= minQuarantineInterval) || (repeats && age >= quarantineInterval)
	if due {
		s.quarantine.sentAt = now
		q.MessageSent()
	}
	for _, peer := range s.peers {
		if peer.Daemon == s.opts.Daemon || (!due && !q.Unacknowledged(peer.Daemon)) {
			continue
		}
		out.Add(vrevent.SendPeer{Peer: peer.Daemon, Address: peer.Address, Envelope: &vrwire.Envelope{
			Notices: &vrwire.Notices{Epoch: s.owner.epoch, Quarantine: q.Message(now, peer.Daemon, s.owner.epoch)},
		}})
	}
}

// handlePromptMessages applies what an envelope holds about parts of prompts.
func (s *State) handlePromptMessages(now time.Time, envelope *vrwire.Envelope, out *vrevent.Effects) {
	if report := envelope.Notices.PromptReport; report != nil && s.decidesQuarantine() {
		s.quarantine.parts.HandleReport(now, envelope.From, report)
		s.tickQuarantine(now, out)
	}
	if envelope.Notices.Quarantine != nil {
		s.handleQuarantine(now, envelope, out)
	}
}

// handleQuarantine applies the placement owner's message about parts of prompts.
func (s *State) handleQuarantine(now time.Time, envelope *vrwire.Envelope, out *vrevent.Effects) {
	message := envelope.Notices.Quarantine
	if message.Epoch < s.owner.epoch || (message.Epoch == s.owner.epoch && s.decidesQuarantine()) {
		return
	}
	if message.Epoch > s.owner.epoch {
		s.setAnnouncedOwner(envelope.From, message.Epoch, out)
	}
	s.quarantine.parts.SetAlone(now, false)
	s.quarantine.parts.HandleMessage(now, message)
	s.quarantine.known, s.quarantine.informed = true, true
	s.logQuarantine(out)
	s.dispatchHeld(now, out)
	s.reportPrompts(now, out)
}

// becomeQuarantineOwner makes this daemon decide about parts of prompts for all. It reads what its
// predecessor stored, because it may have started after the predecessor's last message.
func (s *State) becomeQuarantineOwner() {
	s.quarantine.parts.BecomeOwner()
	s.quarantine.loaded, s.quarantine.storeCallAt = false, time.Time{}
}

// storeQuarantine reads the stored blocked parts after the start, after this daemon became the
// placement owner and, as the owner, after a restore of the store. It writes them as the owner after a
// change and if the stored ones differ.
func (s *State) storeQuarantine(now time.Time, out *vrevent.Effects) {
	state := &s.quarantine
	if state.storeBusy || s.store.lost || now.Sub(state.storeCallAt) < quarantineStoreInterval {
		return
	}
	owner := s.lease.Holding()
	switch {
	case !state.loaded:
		state.storeCallAt, state.storeBusy = now, true
		out.Add(vrevent.ReadObject{Key: vrplatform.KeyQuarantine, Fresh: owner})
	case owner && state.parts.StoreChanged():
		value, err := vrwire.Marshal(state.parts.Stored(now))
		if err != nil {
			out.Warn("blocked prompt parts cannot be encoded", text("error", err.Error()))
			return
		}
		state.storeCallAt, state.storeBusy = now, true
		out.Add(vrevent.WriteObject{Key: vrplatform.KeyQuarantine, IfVersion: state.version, Value: value})
	}
}

// rereadQuarantine makes the owner read the stored blocked parts again, because a restore of the store
// may have undone its last write.
func (s *State) rereadQuarantine() {
	if s.lease.Holding() {
		s.quarantine.loaded = false
	}
}

// handleQuarantineRead adds the blocked parts that an owner has stored.
func (s *State) handleQuarantineRead(now time.Time, e vrevent.ObjectRead, out *vrevent.Effects) {
	state := &s.quarantine
	state.storeBusy = false
	switch e.Outcome {
	case vrplatform.OutcomeNotFound:
		state.loaded, state.known, state.version = true, true, 0
		s.compareStoredQuarantine(now, &vrwire.Quarantine{})
	case vrplatform.OutcomeOK:
		// The version of an object read before a restore is of no use.
		state.loaded, state.known, state.version = e.Version.Era() >= s.store.era, true, e.Version
		stored, err := vrwire.Unmarshal[vrwire.Quarantine](e.Value)
		if err != nil {
			out.Warn("stored prompt parts are malformed", text("error", err.Error()))
			return
		}
		if !state.informed || s.decidesQuarantine() {
			// A read may be older than the owner's message, in which other parts are clear.
			state.parts.HandleStored(now, stored)
		}
		s.compareStoredQuarantine(now, stored)
		s.logQuarantine(out)
	default:
	}
	s.dispatchHeld(now, out)
}

// compareStoredQuarantine makes the owner write the blocked parts again if the stored ones differ.
func (s *State) compareStoredQuarantine(now time.Time, stored *vrwire.Quarantine) {
	if s.lease.Holding() {
		s.quarantine.parts.CompareStored(now, stored)
	}
}

// handleQuarantineWritten records the outcome of a write. After one that failed, or that a restore of
// the store may have undone, the object is read again, because the write may have taken effect or
// another owner may have written.
func (s *State) handleQuarantineWritten(e vrevent.ObjectWritten) {
	state := &s.quarantine
	state.storeBusy = false
	if e.Outcome == vrplatform.OutcomeOK && e.Version.Era() >= s.store.era {
		state.version = e.Version
		return
	}
	state.loaded = false
	state.parts.StoreFailed()
}

// PromptParts returns the numbers of suspected and blocked parts of prompts.
func (s *State) PromptParts() (suspected, blocked int) {
	return s.quarantine.parts.Count(vrquarantine.Suspected), s.quarantine.parts.Count(vrquarantine.Blocked)
}
