package vrrecovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenabench/internal/vrworld"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
)

// grant is the part of a zone's capacity that its owner granted to the others.
type grant struct {
	at   time.Time
	part float64
}

// grants notes what one zone's owner tells the other zones.
type grants struct {
	loads
	zone   vrid.ZoneID
	others int
	world  *vrworld.World
	seen   []grant
}

func (g *grants) Effect(p *vrworld.Process, effect vrevent.Effect) {
	send, ok := effect.(vrevent.SendPeer)
	if !ok || send.Envelope.ZoneSummary == nil || p.Daemon.Zone != g.zone {
		return
	}
	const whole = 1000
	g.seen = append(g.seen, grant{at: g.world.Now(), part: float64(send.Envelope.ZoneSummary.RemoteSlotShare) * float64(g.others) / whole})
}

// A zone that returns from a partition must not open its servers to the others at once:
// at most 10% of its capacity more each second.
func TestReturningZoneRampsUp(t *testing.T) {
	seen := &grants{zone: vrworld.ZoneName(0), others: 6}
	w := vrworld.New(vrworld.Options{Seed: 1, Observer: seen})
	seen.world = w
	w.Advance(_warmUp)
	for z := range 2 {
		w.Net.SetCut(seen.zone, vrworld.ZoneName(z+1), true)
	}
	w.Advance(_warmUp)
	for z := range 2 {
		w.Net.SetCut(seen.zone, vrworld.ZoneName(z+1), false)
	}
	healed, before := w.Now(), len(seen.seen)
	for range 20 {
		for _, model := range urgentModels(w) {
			w.Send(w.Daemons[len(w.Daemons)-1], prompt(model))
		}
		w.Advance(500 * time.Millisecond)
	}
	require.NotEmpty(t, seen.seen[before:])
	for _, one := range seen.seen[before:] {
		after := one.at.Sub(healed)
		require.LessOrEqual(t, one.part, 0.1*float64(1+after/time.Second), "after %s", after)
	}
	last := seen.seen[len(seen.seen)-1].part
	require.Greater(t, last, 0.1, "the ramp ends")
}
