package vrclaim_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrclaim"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrwire"
)

// store is one segment object and the log that extends it.
type store struct {
	t       *testing.T
	now     time.Time
	log     *vrclaim.Log
	value   []byte
	version vrid.ObjectVersion
}

func newStore(t *testing.T) *store {
	return &store{t: t, now: time.Unix(1_790_000_000, 0), log: vrclaim.NewLog(0, time.Hour, &vrevent.Ops{})}
}

func entryOf(request vrid.RequestID, state vrwire.ClaimState) vrwire.ClaimEntry {
	return vrwire.ClaimEntry{Service: "orders", Key: "k", State: state, Daemon: "d", Boot: "b", Request: request, Digest: 1}
}

// writeElsewhere is a conditional write of another daemon.
func (s *store) writeElsewhere(entries ...vrwire.ClaimEntry) {
	for i := range entries {
		entries[i].At = s.now.UnixMilli()
	}
	value, err := vrwire.Marshal(&vrwire.ClaimSegment{Entries: entries})
	require.NoError(s.t, err)
	s.value, s.version = value, s.version+1
}

// settle lets time pass and answers the log's calls until it is idle.
func (s *store) settle() []vrclaim.Answer {
	var answers []vrclaim.Answer
	for range 20 {
		s.now = s.now.Add(100 * time.Millisecond)
		out := &vrevent.Effects{}
		s.log.Tick(s.now, out)
		for len(out.List) > 0 {
			effect := out.List[0]
			out.List = out.List[1:]
			s.answer(effect, out)
		}
		answers = append(answers, s.log.TakeAnswers()...)
	}
	return answers
}

func (s *store) answer(effect vrevent.Effect, out *vrevent.Effects) {
	switch e := effect.(type) {
	case vrevent.ListObjects:
		listed := vrevent.ObjectsListed{Op: e.Op, Outcome: vrplatform.OutcomeOK}
		if s.version > 0 {
			listed.Items = []vrplatform.Item{{Key: vrplatform.ClaimKey(0, 1), Version: s.version, Value: s.value}}
		}
		s.log.HandleListed(s.now, listed, out)
	case vrevent.ReadObject:
		read := vrevent.ObjectRead{Op: e.Op, Key: e.Key, Outcome: vrplatform.OutcomeNotFound}
		if s.version > 0 {
			read = vrevent.ObjectRead{Op: e.Op, Key: e.Key, Outcome: vrplatform.OutcomeOK, Version: s.version, Value: s.value}
		}
		s.log.HandleRead(s.now, read, out)
	case vrevent.WriteObject:
		written := vrevent.ObjectWritten{Op: e.Op, Key: e.Key, Outcome: vrplatform.OutcomeConflict, Version: s.version}
		if e.IfVersion == s.version {
			s.value, s.version = e.Value, s.version+1
			written.Outcome, written.Version = vrplatform.OutcomeOK, s.version
		}
		s.log.HandleWritten(s.now, written, out)
	}
}

// last is the newest durable entry.
func (s *store) last() vrwire.ClaimEntry {
	segment, err := vrwire.Unmarshal[vrwire.ClaimSegment](s.value)
	require.NoError(s.t, err)
	return segment.Entries[len(segment.Entries)-1]
}

func (s *store) claim(request vrid.RequestID) []vrclaim.Answer {
	s.log.Claim(s.now, entryOf(request, vrwire.ClaimClaimed), "d", s.now.Add(time.Minute))
	return s.settle()
}

func (s *store) report(request vrid.RequestID, state vrwire.ClaimState) []vrclaim.Answer {
	s.log.RecordOutcome(s.now, entryOf(request, state), "d")
	return s.settle()
}

// A log acknowledged the outcome of a claim that it had not read and dropped it: the key
// stayed claimed for good.
func TestReportOfClaimInAnotherLogIsKept(t *testing.T) {
	s := newStore(t)
	s.claim("r0")
	s.report("r0", vrwire.ClaimReleased)
	s.writeElsewhere(entryOf("r1", vrwire.ClaimClaimed))
	answers := s.report("r1", vrwire.ClaimDone)
	require.Len(t, answers, 1)
	require.Equal(t, vrwire.ClaimDone, s.last().State)
}

// A late copy of a claim that its request gave up held the key for nobody.
func TestLateClaimAfterReleaseIsRefused(t *testing.T) {
	s := newStore(t)
	s.report("r1", vrwire.ClaimReleased)
	answers := s.claim("r1")
	require.Len(t, answers, 1)
	require.Equal(t, vrwire.ClaimReleased, answers[0].State)
	require.Equal(t, vrwire.ClaimReleased, s.last().State)
	granted := s.claim("r2")
	require.Equal(t, vrwire.ClaimGranted, granted[0].State)
}

// The outcome that a lookup found could not replace the state unknown.
func TestFoundOutcomeReplacesUnknown(t *testing.T) {
	s := newStore(t)
	s.claim("r1")
	s.report("r1", vrwire.ClaimUnknown)
	s.report("r1", vrwire.ClaimDone)
	require.Equal(t, vrwire.ClaimDone, s.last().State)
}

// A report of a call that does not hold the key must not end the call that does.
func TestReportOfAnotherCallIsDropped(t *testing.T) {
	s := newStore(t)
	s.claim("r1")
	answers := s.report("r2", vrwire.ClaimReleased)
	require.Len(t, answers, 1)
	require.Equal(t, vrid.RequestID("r1"), s.last().Request)
	require.Equal(t, vrwire.ClaimClaimed, s.last().State)
}
