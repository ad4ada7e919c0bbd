package vrreducer

import (
	"bytes"
	"strconv"
	"time"

	"verbenaroute.example/verbenacore/vrcodec"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfault"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrmember"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// commitTime is how long an operator's change may take before it is reported as
	// undecided.
	commitTime = 5 * time.Second
	// commitRetry is the pause after a call to the platform that was not answered.
	commitRetry = 200 * time.Millisecond
	// ackInterval is the pause between two tries to write the zone's acknowledgement.
	ackInterval = 250 * time.Millisecond
)

// commitStep is where a change of the configuration stands.
type commitStep uint8

const (
	stepReadHead commitStep = iota + 1
	stepWriteHistory
	stepReadHistory
	stepWriteHead
	stepConfirmHead
)

// commit is one operator's change on its way to the platform.
type commit struct {
	vrevent.ConfigProposed
	step  commitStep
	op    vrevent.Op
	since time.Time
	retry time.Time
	// headVersion is the version of the head object that was read.
	headVersion vrid.ObjectVersion
	head        vrid.ConfigVersion
	// document is what goes to the head: the own change, or that of a writer who died
	// between its two writes.
	document []byte
	// own is set once the history entry is known to hold the own change.
	own bool
}

// commits holds the changes in the order of their arrival; one is worked on at a time.
type commits struct {
	queue []*commit
}

func (c *commits) current() *commit {
	if len(c.queue) == 0 {
		return nil
	}
	return c.queue[0]
}

func (c *commits) owns(op vrevent.Op) bool {
	current := c.current()
	return op != 0 && current != nil && current.op == op
}

// configSeen takes a newer configuration; an older one is ignored.
func (s *State) configSeen(now time.Time, event vrevent.ConfigSeen, out *vrevent.Effects) {
	version := event.Index.Fleet.Version
	if version == s.store.Version() {
		s.confirmed = s.confirmed || event.Confirmed
		return
	}
	if vrfault.On(vrfault.StaleConfig) && s.store.Version() > version {
		s.store.Replace(event.Index)
	} else if !s.store.Advance(event.Index) {
		return
	}
	s.document = event.Document
	s.confirmed = event.Confirmed
	s.queue.SetPolicies(event.Index.Fleet.Ranks)
	s.member.SetConfig(version)
	s.setServers(now)
	out.Info("configuration in force", vrevent.Field("version", strconv.FormatUint(uint64(version), 10)))
	for _, child := range s.member.Children() {
		s.offerConfig(child, out)
	}
}

func (s *State) offerConfig(to vrmember.Peer, out *vrevent.Effects) {
	if s.document == nil || vrfault.On(vrfault.KeepConfig) {
		return
	}
	s.send(to, &vrwire.Envelope{ConfigOffer: &vrwire.ConfigOffer{
		Version: s.store.Version(), Document: s.document, Confirmed: s.confirmed,
	}}, out)
}

func (s *State) configFetch(envelope *vrwire.Envelope, out *vrevent.Effects) {
	if envelope.ConfigFetch.Have < s.store.Version() {
		s.offerConfig(s.peerOf(envelope.From), out)
	}
}

// fetchNewer asks a peer that holds a newer configuration for it.
func (s *State) fetchNewer(version vrid.ConfigVersion, peer vrid.DaemonID, address string, out *vrevent.Effects) {
	if version > s.store.Version() {
		s.send(vrmember.Peer{Daemon: peer, Address: address}, &vrwire.Envelope{
			ConfigFetch: &vrwire.ConfigFetch{Have: s.store.Version()},
		}, out)
	}
}

// tickConfig keeps the watch on the few daemons that need it, moves changes on and
// acknowledges for the zone.
func (s *State) tickConfig(now time.Time, out *vrevent.Effects) {
	s.watchConfig(now, out)
	s.tickCommit(now, out)
	if s.lease.Holding() {
		s.ackConfig(now, out)
	}
}

// watchConfig: the owner and the next daemon in the order keep a watch, and so does a
// daemon that has no configuration or no word from its zone.
func (s *State) watchConfig(now time.Time, out *vrevent.Effects) {
	if now.Before(s.firstUse) && s.store.Current() == nil && len(s.opts.Seeds) > 0 {
		return
	}
	const watchers = 2
	order := s.member.View().TreeOrder()
	watching := !s.confirmed || len(order) == 0 || s.member.Isolated(now) || s.lease.Holding()
	for i, id := range order {
		if i < watchers && id == s.opts.Daemon {
			watching = true
		}
	}
	if watching != s.zone.watching {
		s.zone.watching = watching
		out.Add(vrevent.WatchConfig{On: watching})
	}
}

// inForce is the version that all live members of the zone hold, as far as the owner
// knows.
func (s *State) inForce() vrid.ConfigVersion {
	if !s.member.AllReporting() {
		return 0
	}
	return s.member.SubtreeConfig()
}

// ackConfig writes the version that is in force in the zone.
func (s *State) ackConfig(now time.Time, out *vrevent.Effects) {
	version := s.inForce()
	if s.zone.ackOp != 0 || version <= s.zone.ackWritten || now.Sub(s.zone.ackAt) < ackInterval {
		return
	}
	s.zone.ackAt = now
	s.zone.ackTrying = version
	s.zone.ackOp = s.ops.Next()
	out.Add(vrevent.WriteObject{
		Op: s.zone.ackOp, Key: vrplatform.PrefixConfigAck + string(s.opts.Zone), IfVersion: s.zone.ackVersion,
		Value: []byte(strconv.FormatUint(uint64(version), 10)),
	})
}

func (s *State) ackWritten(_ time.Time, event vrevent.ObjectWritten) {
	s.zone.ackOp = 0
	switch event.Outcome {
	case vrplatform.OutcomeOK:
		s.zone.ackVersion = event.Version
		s.zone.ackWritten = s.zone.ackTrying
	case vrplatform.OutcomeConflict:
		s.zone.ackVersion = event.Version
	default:
	}
}

// configProposed starts an operator's change.
func (s *State) configProposed(now time.Time, event vrevent.ConfigProposed, out *vrevent.Effects) {
	s.commits.queue = append(s.commits.queue, &commit{ConfigProposed: event, step: stepReadHead, since: now})
	s.tickCommit(now, out)
}

// tickCommit moves the first change on.
func (s *State) tickCommit(now time.Time, out *vrevent.Effects) {
	c := s.commits.current()
	if c == nil {
		return
	}
	if now.Sub(c.since) > commitTime {
		decision := vrevent.ConfigUnavailable
		if c.step > stepReadHead {
			decision = vrevent.ConfigUndecided
		}
		s.decide(now, c, decision, out)
		return
	}
	if c.op != 0 || now.Before(c.retry) {
		return
	}
	c.op = s.ops.Next()
	switch c.step {
	case stepReadHead, stepConfirmHead:
		out.Add(vrevent.ReadObject{Op: c.op, Key: vrplatform.KeyConfigHead})
	case stepWriteHistory:
		out.Add(vrevent.WriteObject{Op: c.op, Key: vrplatform.HistoryKey(c.Base + 1), Value: c.Document})
	case stepReadHistory:
		out.Add(vrevent.ReadObject{Op: c.op, Key: vrplatform.HistoryKey(c.Base + 1)})
	case stepWriteHead:
		out.Add(vrevent.WriteObject{
			Op: c.op, Key: vrplatform.KeyConfigHead, IfVersion: c.headVersion, Value: c.document,
		})
		if vrfault.On(vrfault.AcceptEarly) {
			s.decide(now, c, vrevent.ConfigAccepted, out)
		}
	}
}

func (s *State) commitRead(now time.Time, event vrevent.ObjectRead, out *vrevent.Effects) {
	c := s.commits.current()
	c.op = 0
	if event.Outcome != vrplatform.OutcomeOK && event.Outcome != vrplatform.OutcomeNotFound {
		c.retry = now.Add(commitRetry)
		return
	}
	switch c.step {
	case stepReadHead, stepConfirmHead:
		s.headRead(now, c, event, out)
	case stepReadHistory:
		s.historyRead(c, event)
	default:
	}
	s.tickCommit(now, out)
}

// headRead compares the head with the change's base.
func (s *State) headRead(now time.Time, c *commit, event vrevent.ObjectRead, out *vrevent.Effects) {
	c.headVersion = event.Version
	c.head = 0
	if event.Outcome == vrplatform.OutcomeOK {
		index, err := vrcodec.DecodeFleet(event.Value)
		if err != nil {
			out.Warn("configuration head is malformed", vrevent.Field("error", err.Error()))
			c.retry = now.Add(commitRetry)
			return
		}
		c.head = index.Fleet.Version
		s.configSeen(now, vrevent.ConfigSeen{Index: index, Document: event.Value, Confirmed: true}, out)
	}
	switch {
	case c.head > c.Base && c.own:
		s.decide(now, c, vrevent.ConfigAccepted, out)
	case c.head > c.Base || c.head < c.Base:
		s.decide(now, c, vrevent.ConfigConflict, out)
	case c.document != nil:
		c.step = stepWriteHead
	default:
		c.step = stepWriteHistory
	}
}

// historyRead learns whose change has the next version. A change of another writer
// that never reached the head is moved there first.
func (s *State) historyRead(c *commit, event vrevent.ObjectRead) {
	if event.Outcome == vrplatform.OutcomeNotFound {
		c.step = stepWriteHistory
		return
	}
	c.own = bytes.Equal(event.Value, c.Document)
	c.document = event.Value
	c.step = stepWriteHead
}

func (s *State) commitWritten(now time.Time, event vrevent.ObjectWritten, out *vrevent.Effects) {
	c := s.commits.current()
	c.op = 0
	if event.Outcome == vrplatform.OutcomeUnavailable {
		c.retry = now.Add(commitRetry)
		return
	}
	switch {
	case c.step == stepWriteHistory && event.Outcome == vrplatform.OutcomeOK:
		c.own = true
		c.document = c.Document
		c.step = stepWriteHead
	case c.step == stepWriteHistory:
		c.step = stepReadHistory
	case c.step == stepWriteHead:
		// The read also brings the new head into force here.
		c.step = stepConfirmHead
	}
	s.tickCommit(now, out)
}

func (s *State) decide(now time.Time, c *commit, decision vrevent.ConfigDecision, out *vrevent.Effects) {
	s.commits.queue = s.commits.queue[1:]
	out.Add(vrevent.ConfigDecided{Proposal: c.Proposal, Decision: decision, Version: max(c.head, s.store.Version())})
	if decision == vrevent.ConfigAccepted {
		s.appendOwn(now, vrrecord.Entry{
			Kind: vrrecord.EntryCommand, Text: c.Command, Operator: c.Operator, Ran: vrrecord.RanYes, FromConfig: c.Base,
		}, out)
	}
}
