package vrslope

import (
	"fmt"
	"math/rand/v2"
	"time"

	"verbenaroute.example/verbenabench/internal/vrcost"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrjournal"
	"verbenaroute.example/verbenacore/vrplatform"
)

// group is a record writer's daemons on a fake platform in virtual time.
type group struct {
	now     time.Time
	random  *rand.Rand
	traffic *Traffic
	members []*member
	byID    map[vrid.DaemonID]*member
	// answers are writes that the platform has not answered yet.
	answers []answer
	// err is the first message that could not be encoded.
	err      error
	requests int
	writes   int
	// stored is the bytes of the blocks.
	stored int
}

type member struct {
	*vrjournal.Journal
	id      vrid.DaemonID
	opened  uint64
	effects vrevent.Effects
	// peerBytes are the sent and received bytes on sessions with other daemons.
	peerBytes float64
}

// answer is what the platform tells at a time.
type answer struct {
	at      time.Time
	to      *member
	written vrevent.ObjectWritten
}

func newGroup(seed uint64, traffic *Traffic, period time.Duration) *group {
	g := &group{
		now: epoch, random: rand.New(rand.NewPCG(seed, 2)), traffic: traffic,
		byID: make(map[vrid.DaemonID]*member),
	}
	for i := range groupSize {
		id := vrid.DaemonID(fmt.Sprintf("daemon-%d", i+1))
		m := &member{id: id, Journal: vrjournal.New(vrjournal.Options{
			Daemon: id, Boot: vrid.BootID(fmt.Sprintf("01J0000000000000000000000%d", i)), Zone: measuredZone,
			Ops: &vrevent.Ops{}, Random: g.random, BlockAge: period,
		})}
		g.members = append(g.members, m)
		g.byID[id] = m
		m.SetWriter(g.members[0].id, "127.0.0.1:1")
	}
	return g
}

// run lets the daemons take requests at a rate for a time.
func (g *group) run(perDaemon int, length time.Duration) {
	step := vrevent.TickInterval
	perStep := float64(perDaemon) * step.Seconds()
	for end := g.now.Add(length); g.now.Before(end); g.now = g.now.Add(step) {
		g.deliverAnswers()
		for _, m := range g.members {
			g.take(m, perStep)
			m.Tick(g.now, &m.effects)
			g.execute(m)
		}
	}
}

// take ends a random number of requests with the given mean.
func (g *group) take(m *member, mean float64) {
	for mean > 0 {
		if g.random.Float64() < mean {
			m.opened++
			g.requests++
			m.SetOpened(m.opened)
			m.Append(g.traffic.Entry(g.now))
		}
		mean--
	}
}

func (g *group) deliverAnswers() {
	for len(g.answers) > 0 && !g.answers[0].at.After(g.now) {
		due := g.answers[0]
		g.answers = g.answers[1:]
		due.to.HandleWritten(g.now, due.written, &due.to.effects)
		g.execute(due.to)
	}
}

func (g *group) execute(m *member) {
	effects := append([]vrevent.Effect(nil), m.effects.List...)
	m.effects.Reset()
	for _, effect := range effects {
		switch effect := effect.(type) {
		case vrevent.WriteObject:
			g.write(m, effect)
		case vrevent.SendPeer:
			g.send(m, effect)
		}
	}
}

func (g *group) write(m *member, effect vrevent.WriteObject) {
	g.writes++
	g.stored += len(effect.Value)
	g.answers = append(g.answers, answer{
		at: g.now.Add(platformDelay), to: m,
		written: vrevent.ObjectWritten{Op: effect.Op, Key: effect.Key, Outcome: vrplatform.OutcomeOK, Version: 1},
	})
}

func (g *group) send(from *member, effect vrevent.SendPeer) {
	to := g.byID[effect.Peer]
	size, err := vrcost.FrameSize(effect.Envelope)
	if err != nil {
		g.err = err
		return
	}
	from.peerBytes += size
	to.peerBytes += size
	if effect.Envelope.RecordBatch != nil {
		to.HandleBatch(g.now, effect.Envelope, &to.effects)
	}
	if effect.Envelope.RecordAck != nil {
		to.HandleAck(g.now, effect.Envelope.RecordAck)
	}
	g.execute(to)
}
