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

// fakeStore is a fake platform that stores one segment and answers the calls of the log under
// test.
type fakeStore struct {
	t       *testing.T
	now     time.Time
	log     *vrclaim.Log
	value   []byte
	version vrid.ObjectVersion
}

func newFakeStore(t *testing.T) *fakeStore {
	return &fakeStore{t: t, now: time.Unix(1_790_000_000, 0), log: vrclaim.NewLog(0, time.Hour, &vrevent.Ops{})}
}

func newEntry(request vrid.RequestID, state vrwire.ClaimState) vrwire.ClaimEntry {
	return vrwire.ClaimEntry{Service: "orders", Key: "k", State: state, Daemon: "d", Boot: "b", Request: request, Digest: 1}
}

// writeElsewhere replaces the segment as a conditional write of another daemon does.
func (s *fakeStore) writeElsewhere(entries ...vrwire.ClaimEntry) {
	for i := range entries {
		entries[i].At = s.now.UnixMilli()
	}
	value, err := vrwire.Marshal(&vrwire.ClaimSegment{Entries: entries})
	require.NoError(s.t, err)
	s.value, s.version = value, s.version+1
}

// advance moves the clock forward by 2 s in steps of 100 ms, answers the log's platform calls
// and returns the log's answers.
func (s *fakeStore) advance() []vrclaim.Answer {
	var answers []vrclaim.Answer
	for range 20 {
		s.now = s.now.Add(100 * time.Millisecond)
		out := &vrevent.Effects{}
		s.log.Tick(s.now, out)
		for len(out.List) > 0 {
			effect := out.List[0]
			out.List = out.List[1:]
			s.handleEffect(effect, out)
		}
		answers = append(answers, s.log.TakeAnswers()...)
	}
	return answers
}

func (s *fakeStore) handleEffect(effect vrevent.Effect, out *vrevent.Effects) {
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

// lastEntry returns the last entry of the stored segment.
func (s *fakeStore) lastEntry() vrwire.ClaimEntry {
	segment, err := vrwire.Unmarshal[vrwire.ClaimSegment](s.value)
	require.NoError(s.t, err)
	return segment.Entries[len(segment.Entries)-1]
}

func (s *fakeStore) claim(request vrid.RequestID) []vrclaim.Answer {
	s.log.Claim(s.now, newEntry(request, vrwire.ClaimClaimed), "d", s.now.Add(time.Minute))
	return s.advance()
}

func (s *fakeStore) recordOutcome(request vrid.RequestID, state vrwire.ClaimState) []vrclaim.Answer {
	s.log.RecordOutcome(s.now, newEntry(request, state), "d")
	return s.advance()
}

// TestOutcomeOfClaimWrittenByAnotherDaemonIsKept guards against a log that acknowledged and
// dropped the outcome of a claim that it had not read: the key stayed claimed forever.
func TestOutcomeOfClaimWrittenByAnotherDaemonIsKept(t *testing.T) {
	s := newFakeStore(t)
	s.claim("r0")
	s.recordOutcome("r0", vrwire.ClaimReleased)
	s.writeElsewhere(newEntry("r1", vrwire.ClaimClaimed))
	answers := s.recordOutcome("r1", vrwire.ClaimDone)
	require.Len(t, answers, 1)
	require.Equal(t, vrwire.ClaimDone, s.lastEntry().State)
}

// TestLateClaimAfterReleaseIsRefused guards against a delayed duplicate of a claim that its
// request had already released: it held the key although no call used it.
func TestLateClaimAfterReleaseIsRefused(t *testing.T) {
	s := newFakeStore(t)
	s.recordOutcome("r1", vrwire.ClaimReleased)
	answers := s.claim("r1")
	require.Len(t, answers, 1)
	require.Equal(t, vrwire.ClaimReleased, answers[0].State)
	require.Equal(t, vrwire.ClaimReleased, s.lastEntry().State)
	granted := s.claim("r2")
	require.Equal(t, vrwire.ClaimGranted, granted[0].State)
}

// TestLookedUpOutcomeReplacesUnknown guards against a log that did not replace the state
// unknown by an outcome that a later lookup found.
func TestLookedUpOutcomeReplacesUnknown(t *testing.T) {
	s := newFakeStore(t)
	s.claim("r1")
	s.recordOutcome("r1", vrwire.ClaimUnknown)
	s.recordOutcome("r1", vrwire.ClaimDone)
	require.Equal(t, vrwire.ClaimDone, s.lastEntry().State)
}

// TestOutcomeOfAnotherRequestIsDropped checks that the outcome of a request that does not hold
// the key leaves the claim of the request that holds it unchanged.
func TestOutcomeOfAnotherRequestIsDropped(t *testing.T) {
	s := newFakeStore(t)
	s.claim("r1")
	answers := s.recordOutcome("r2", vrwire.ClaimReleased)
	require.Len(t, answers, 1)
	require.Equal(t, vrid.RequestID("r1"), s.lastEntry().Request)
	require.Equal(t, vrwire.ClaimClaimed, s.lastEntry().State)
}
