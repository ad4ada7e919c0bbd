package vrlease

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrwire"
)

var _start = time.Unix(1_700_000_000, 0)

// observer is a candidate that read a record of holder d1 at a version at _start.
func observer(t *testing.T) *Lease {
	t.Helper()
	l := New(Options{Key: "leases/z", Daemon: "d2", Boot: "b2", Ops: &vrevent.Ops{}, Random: rand.New(rand.NewPCG(1, 1))})
	read(t, l, _start, 1)
	return l
}

func read(t *testing.T, l *Lease, now time.Time, renewal uint64) {
	t.Helper()
	value, err := vrwire.Marshal(&Record{Holder: "d1", Boot: "b1", Epoch: 1, Renewal: renewal, Chunks: 1})
	require.NoError(t, err)
	l.HandleRead(now, vrevent.ObjectRead{Outcome: vrplatform.OutcomeOK, Version: vrid.ObjectVersion(renewal), Value: value}, &vrevent.Effects{})
}

// acquires reports whether the candidate tries at a time.
func acquires(l *Lease, after time.Duration) bool {
	out := &vrevent.Effects{}
	l.Tick(_start.Add(after), Request{Candidate: true}, out)
	for _, effect := range out.List {
		if _, ok := effect.(vrevent.WriteObject); ok {
			return true
		}
	}
	return false
}

// A candidate that waits for the lapse although the holder is known to be unreachable
// serves the zone's cold requests more than 5 s after the holder's death.
func TestSuspectedHolderIsReplacedEarly(t *testing.T) {
	l := observer(t)
	l.Suspect(_start, "d1")
	require.False(t, acquires(l, SuspectTime-time.Millisecond))
	require.True(t, acquires(l, SuspectTime+maxStagger))
}

// A holder whose connection broke and that still renews must keep the lease; a word on
// another daemon says nothing about the holder.
func TestRenewalClearsSuspicion(t *testing.T) {
	l := observer(t)
	l.Suspect(_start, "d1")
	read(t, l, _start.Add(RenewInterval), 2)
	require.False(t, acquires(l, Duration))
	other := observer(t)
	other.Suspect(_start, "d3")
	require.False(t, acquires(other, Duration-time.Millisecond))
}
