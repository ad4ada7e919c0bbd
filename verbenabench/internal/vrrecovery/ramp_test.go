package vrrecovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenabench/internal/vrworld"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
)

// grant is the fraction of a zone's capacity that its owner granted to all daemons of the
// other zones together.
type grant struct {
	at       time.Time
	fraction float64
}

// grantRecorder records the capacity that one zone's owner grants to the other zones.
type grantRecorder struct {
	loadRecorder
	zone vrid.ZoneID
	// remoteDaemons is the number of daemons in the other zones.
	remoteDaemons int
	world         *vrworld.World
	grants        []grant
}

func (g *grantRecorder) Effect(p *vrworld.Process, effect vrevent.Effect) {
	send, ok := effect.(vrevent.SendPeer)
	if !ok || send.Envelope.ZoneSummary == nil || p.Daemon.Zone != g.zone {
		return
	}
	const perMille = 1000
	g.grants = append(g.grants, grant{at: g.world.Now(), fraction: float64(send.Envelope.ZoneSummary.RemoteSlotShare) * float64(g.remoteDaemons) / perMille})
}

// Guards against a zone that offers its whole capacity to the other zones at once when it
// returns from a partition: the work waiting in those zones would fill its servers. The
// granted fraction may grow by at most 10% of the capacity per second.
func TestReturningZoneRampsUp(t *testing.T) {
	recorder := &grantRecorder{zone: vrworld.ZoneName(0), remoteDaemons: 6}
	w := vrworld.New(vrworld.Options{Seed: 1, Observer: recorder})
	recorder.world = w
	w.Advance(_warmUp)
	for z := range 2 {
		w.Net.SetCut(recorder.zone, vrworld.ZoneName(z+1), true)
	}
	w.Advance(_warmUp)
	for z := range 2 {
		w.Net.SetCut(recorder.zone, vrworld.ZoneName(z+1), false)
	}
	healed, before := w.Now(), len(recorder.grants)
	for range 20 {
		for _, model := range urgentModels(w) {
			w.Send(w.Daemons[len(w.Daemons)-1], urgentRequest(model))
		}
		w.Advance(500 * time.Millisecond)
	}
	require.NotEmpty(t, recorder.grants[before:])
	for _, granted := range recorder.grants[before:] {
		after := granted.at.Sub(healed)
		require.LessOrEqual(t, granted.fraction, 0.1*float64(1+after/time.Second), "after %s", after)
	}
	last := recorder.grants[len(recorder.grants)-1].fraction
	require.Greater(t, last, 0.1, "the ramp goes beyond its first step")
}
