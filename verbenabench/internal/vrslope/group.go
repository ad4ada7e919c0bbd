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

// group simulates a record writer and its daemons on a fake platform in virtual time.
type group struct {
	now     time.Time
	random  *rand.Rand
	traffic *Traffic
	members []*member
	byID    map[vrid.DaemonID]*member
	// pendingWrites are the writes that the platform has not answered yet, in the order of
	// their answers.
	pendingWrites []pendingWrite
	// err is the error of the last message that could not be encoded.
	err           error
	endedRequests int
	writes        int
	// blockBytes is the total size of the written blocks.
	blockBytes int
}

// member is one daemon's journal. The first member of a group is the record writer.
type member struct {
	*vrjournal.Journal
	id             vrid.DaemonID
	openedRequests uint64
	effects        vrevent.Effects
	// peerBytes is the number of bytes sent to and received from other daemons.
	peerBytes float64
}

// pendingWrite is the platform's answer to a write and the time when it arrives.
type pendingWrite struct {
	at      time.Time
	to      *member
	written vrevent.ObjectWritten
}

func newGroup(seed uint64, traffic *Traffic, period time.Duration) *group {
	g := &group{
		now: startTime, random: rand.New(rand.NewPCG(seed, 2)), traffic: traffic,
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

// run simulates requests at a rate for each daemon, in requests a second, for a length of
// virtual time.
func (g *group) run(perDaemon int, length time.Duration) {
	step := vrevent.TickInterval
	perStep := float64(perDaemon) * step.Seconds()
	for end := g.now.Add(length); g.now.Before(end); g.now = g.now.Add(step) {
		g.completeWrites()
		for _, m := range g.members {
			g.endRequests(m, perStep)
			m.Tick(g.now, &m.effects)
			g.executeEffects(m)
		}
	}
}

// endRequests ends a random number of requests with the given mean.
func (g *group) endRequests(m *member, mean float64) {
	for mean > 0 {
		if g.random.Float64() < mean {
			m.openedRequests++
			g.endedRequests++
			m.SetOpened(m.openedRequests)
			m.Append(g.traffic.Entry(g.now))
		}
		mean--
	}
}

func (g *group) completeWrites() {
	for len(g.pendingWrites) > 0 && !g.pendingWrites[0].at.After(g.now) {
		due := g.pendingWrites[0]
		g.pendingWrites = g.pendingWrites[1:]
		due.to.HandleWritten(g.now, due.written, &due.to.effects)
		g.executeEffects(due.to)
	}
}

func (g *group) executeEffects(m *member) {
	effects := append([]vrevent.Effect(nil), m.effects.List...)
	m.effects.Reset()
	for _, effect := range effects {
		switch effect := effect.(type) {
		case vrevent.WriteObject:
			g.writeObject(m, effect)
		case vrevent.SendPeer:
			g.sendPeer(m, effect)
		}
	}
}

func (g *group) writeObject(m *member, effect vrevent.WriteObject) {
	g.writes++
	g.blockBytes += len(effect.Value)
	g.pendingWrites = append(g.pendingWrites, pendingWrite{
		at: g.now.Add(platformLatency), to: m,
		written: vrevent.ObjectWritten{Op: effect.Op, Key: effect.Key, Outcome: vrplatform.OutcomeOK, Version: 1},
	})
}

func (g *group) sendPeer(from *member, effect vrevent.SendPeer) {
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
	g.executeEffects(to)
}
