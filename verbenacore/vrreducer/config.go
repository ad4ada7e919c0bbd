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
	// commitTimeout is how long an operator's change may take before it is reported as
	// unavailable or undecided.
	commitTimeout = 5 * time.Second
	// commitRetryDelay is the pause after a call that the platform did not answer.
	commitRetryDelay = 200 * time.Millisecond
	// configAckInterval is the pause between two attempts to write the zone's
	// acknowledgement.
	configAckInterval = 250 * time.Millisecond
)

// commitStep is the next step of a configuration change.
type commitStep uint8

const (
	stepReadHead commitStep = iota + 1
	stepWriteHistory
	stepReadHistory
	stepWriteHead
	stepConfirmHead
)

// configCommit is one operator's change while it is written to the platform.
type configCommit struct {
	vrevent.ConfigProposed
	step      commitStep
	op        vrevent.Op
	startedAt time.Time
	retryAt   time.Time
	// headVersion is the object version of the configuration head that was read.
	headVersion       vrid.ObjectVersion
	headConfigVersion vrid.ConfigVersion
	// headDocument is what will be written to the head: this change, or that of another
	// writer who died between writing the history entry and the head.
	headDocument []byte
	// ownInHistory is set once the history entry is known to hold this change.
	ownInHistory bool
}

// configCommits is the queue of changes in the order of their arrival. Only the first
// one is processed.
type configCommits struct {
	pending []*configCommit
}

func (c *configCommits) current() *configCommit {
	if len(c.pending) == 0 {
		return nil
	}
	return c.pending[0]
}

func (c *configCommits) owns(op vrevent.Op) bool {
	current := c.current()
	return op != 0 && current != nil && current.op == op
}

// configSeen adopts a newer configuration and ignores an older one.
func (s *State) configSeen(now time.Time, event vrevent.ConfigSeen, out *vrevent.Effects) {
	version := event.Index.Fleet.Version
	if version == s.configStore.Version() {
		s.configConfirmed = s.configConfirmed || event.Confirmed
		return
	}
	if vrfault.On(vrfault.StaleConfig) && s.configStore.Version() > version {
		s.configStore.Replace(event.Index)
	} else if !s.configStore.Advance(event.Index) {
		return
	}
	s.configDocument = event.Document
	s.configConfirmed = event.Confirmed
	s.queue.SetPolicies(event.Index.Fleet.Ranks)
	s.membership.SetConfig(version)
	s.updateLedgerServers(now)
	out.Info("configuration adopted", vrevent.Field("version", strconv.FormatUint(uint64(version), 10)))
	for _, child := range s.membership.Children() {
		s.offerConfig(child, out)
	}
}

func (s *State) offerConfig(to vrmember.Peer, out *vrevent.Effects) {
	if s.configDocument == nil || vrfault.On(vrfault.KeepConfig) {
		return
	}
	s.send(to, &vrwire.Envelope{ConfigOffer: &vrwire.ConfigOffer{
		Version: s.configStore.Version(), Document: s.configDocument, Confirmed: s.configConfirmed,
	}}, out)
}

func (s *State) handleConfigFetch(envelope *vrwire.Envelope, out *vrevent.Effects) {
	if envelope.ConfigFetch.KnownVersion < s.configStore.Version() {
		s.offerConfig(s.peerOf(envelope.From), out)
	}
}

// fetchNewerConfig asks a peer for its configuration if that is newer.
func (s *State) fetchNewerConfig(version vrid.ConfigVersion, peer vrid.DaemonID, address string, out *vrevent.Effects) {
	if version > s.configStore.Version() {
		s.send(vrmember.Peer{Daemon: peer, Address: address}, &vrwire.Envelope{
			ConfigFetch: &vrwire.ConfigFetch{KnownVersion: s.configStore.Version()},
		}, out)
	}
}

// tickConfig watches the configuration if this daemon has to, continues pending changes
// and, as the zone owner, acknowledges the zone's version.
func (s *State) tickConfig(now time.Time, out *vrevent.Effects) {
	s.watchConfig(now, out)
	s.tickCommit(now, out)
	if s.lease.Holding() {
		s.ackConfig(now, out)
	}
}

// watchConfig starts or stops this daemon's watch on the configuration. The zone owner
// and the first two daemons in the dissemination order watch, and so does a daemon that
// has no confirmed configuration or hears nothing from its zone.
func (s *State) watchConfig(now time.Time, out *vrevent.Effects) {
	if now.Before(s.firstPlatformCall) && s.configStore.Current() == nil && len(s.opts.Seeds) > 0 {
		return
	}
	const watcherCount = 2
	order := s.membership.View().TreeOrder()
	watching := !s.configConfirmed || len(order) == 0 || s.membership.Isolated(now) || s.lease.Holding()
	for i, id := range order {
		if i < watcherCount && id == s.opts.Daemon {
			watching = true
		}
	}
	if watching != s.zone.watchingConfig {
		s.zone.watchingConfig = watching
		out.Add(vrevent.WatchConfig{On: watching})
	}
}

// zoneConfigVersion returns the version that all live members of the zone are known to
// hold, or 0.
func (s *State) zoneConfigVersion() vrid.ConfigVersion {
	if !s.membership.AllReporting() {
		return 0
	}
	return s.membership.SubtreeConfig()
}

// ackConfig writes the version that is in force in the zone to the platform.
func (s *State) ackConfig(now time.Time, out *vrevent.Effects) {
	version := s.zoneConfigVersion()
	if s.zone.configAckOp != 0 || version <= s.zone.configAcked || now.Sub(s.zone.configAckSentAt) < configAckInterval {
		return
	}
	s.zone.configAckSentAt = now
	s.zone.configAckPending = version
	s.zone.configAckOp = s.ops.Next()
	out.Add(vrevent.WriteObject{
		Op: s.zone.configAckOp, Key: vrplatform.PrefixConfigAck + string(s.opts.Zone), IfVersion: s.zone.configAckObjectVersion,
		Value: []byte(strconv.FormatUint(uint64(version), 10)),
	})
}

func (s *State) configAckWritten(_ time.Time, event vrevent.ObjectWritten) {
	s.zone.configAckOp = 0
	switch event.Outcome {
	case vrplatform.OutcomeOK:
		s.zone.configAckObjectVersion = event.Version
		s.zone.configAcked = s.zone.configAckPending
	case vrplatform.OutcomeConflict:
		s.zone.configAckObjectVersion = event.Version
	default:
	}
}

// configProposed queues an operator's change.
func (s *State) configProposed(now time.Time, event vrevent.ConfigProposed, out *vrevent.Effects) {
	s.configCommits.pending = append(s.configCommits.pending, &configCommit{ConfigProposed: event, step: stepReadHead, startedAt: now})
	s.tickCommit(now, out)
}

// tickCommit continues the first change in the queue.
func (s *State) tickCommit(now time.Time, out *vrevent.Effects) {
	c := s.configCommits.current()
	if c == nil {
		return
	}
	if now.Sub(c.startedAt) > commitTimeout {
		decision := vrevent.ConfigUnavailable
		if c.step > stepReadHead {
			decision = vrevent.ConfigUndecided
		}
		s.finishCommit(now, c, decision, out)
		return
	}
	if c.op != 0 || now.Before(c.retryAt) {
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
			Op: c.op, Key: vrplatform.KeyConfigHead, IfVersion: c.headVersion, Value: c.headDocument,
		})
		if vrfault.On(vrfault.AcceptEarly) {
			s.finishCommit(now, c, vrevent.ConfigAccepted, out)
		}
	}
}

func (s *State) commitRead(now time.Time, event vrevent.ObjectRead, out *vrevent.Effects) {
	c := s.configCommits.current()
	c.op = 0
	if event.Outcome != vrplatform.OutcomeOK && event.Outcome != vrplatform.OutcomeNotFound {
		c.retryAt = now.Add(commitRetryDelay)
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

// headRead adopts the head as configuration and compares it with the change's base
// version.
func (s *State) headRead(now time.Time, c *configCommit, event vrevent.ObjectRead, out *vrevent.Effects) {
	c.headVersion = event.Version
	c.headConfigVersion = 0
	if event.Outcome == vrplatform.OutcomeOK {
		index, err := vrcodec.DecodeFleet(event.Value)
		if err != nil {
			out.Warn("configuration head is malformed", vrevent.Field("error", err.Error()))
			c.retryAt = now.Add(commitRetryDelay)
			return
		}
		c.headConfigVersion = index.Fleet.Version
		s.configSeen(now, vrevent.ConfigSeen{Index: index, Document: event.Value, Confirmed: true}, out)
	}
	switch {
	case c.headConfigVersion > c.Base && c.ownInHistory:
		s.finishCommit(now, c, vrevent.ConfigAccepted, out)
	case c.headConfigVersion > c.Base || c.headConfigVersion < c.Base:
		s.finishCommit(now, c, vrevent.ConfigConflict, out)
	case c.headDocument != nil:
		c.step = stepWriteHead
	default:
		c.step = stepWriteHistory
	}
}

// historyRead checks whose change the history holds as the next version. If another
// writer's change never reached the head, it is written there first.
func (s *State) historyRead(c *configCommit, event vrevent.ObjectRead) {
	if event.Outcome == vrplatform.OutcomeNotFound {
		c.step = stepWriteHistory
		return
	}
	c.ownInHistory = bytes.Equal(event.Value, c.Document)
	c.headDocument = event.Value
	c.step = stepWriteHead
}

func (s *State) commitWritten(now time.Time, event vrevent.ObjectWritten, out *vrevent.Effects) {
	c := s.configCommits.current()
	c.op = 0
	if event.Outcome == vrplatform.OutcomeUnavailable {
		c.retryAt = now.Add(commitRetryDelay)
		return
	}
	switch {
	case c.step == stepWriteHistory && event.Outcome == vrplatform.OutcomeOK:
		c.ownInHistory = true
		c.headDocument = c.Document
		c.step = stepWriteHead
	case c.step == stepWriteHistory:
		c.step = stepReadHistory
	case c.step == stepWriteHead:
		// Reading the head back also makes this daemon adopt it.
		c.step = stepConfirmHead
	}
	s.tickCommit(now, out)
}

func (s *State) finishCommit(now time.Time, c *configCommit, decision vrevent.ConfigDecision, out *vrevent.Effects) {
	s.configCommits.pending = s.configCommits.pending[1:]
	out.Add(vrevent.ConfigDecided{Proposal: c.Proposal, Decision: decision, Version: max(c.headConfigVersion, s.configStore.Version())})
	if decision == vrevent.ConfigAccepted {
		s.appendSystemEntry(now, vrrecord.Entry{
			Kind: vrrecord.EntryCommand, Text: c.Command, Operator: c.Operator, Ran: vrrecord.RanYes, FromConfig: c.Base,
		}, out)
	}
}
