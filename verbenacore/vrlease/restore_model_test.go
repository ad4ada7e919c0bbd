package vrlease_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrlease"
	"verbenaroute.example/verbenacore/vrplatform"
)

const (
	modelStep  = 50 * time.Millisecond
	modelSteps = 1200
	// modelRuns is the number of runs of each drawn seed.
	modelRuns = 4
	// modelDraws is the number of draws of each decision of a step, so that its probability is one in
	// that many.
	modelRestoreDraws = 80
	modelRestartDraws = 200
	modelFreezeDraws  = 100
	modelReleaseDraws = 500
	modelLostDraws    = 5
	modelProofDraws   = 4
	modelRestDraws    = 60
	modelHoldDraws    = 40
	// modelCopies is the number of former states that restores and stale reads choose from.
	modelCopies = 12
)

// modelCall is a call to the store that is not complete.
type modelCall struct {
	effect     vrevent.Effect
	executeAt  time.Time
	answerAt   time.Time
	executed   bool
	lostAnswer bool
	// era is that of the answer.
	era     vrid.StoreEra
	read    vrevent.ObjectRead
	written vrevent.ObjectWritten
}

// modelDaemon is one daemon with the part of the store's client that knows the era.
type modelDaemon struct {
	id        vrid.DaemonID
	boot      int
	lease     *vrlease.Lease
	knownEra  vrid.StoreEra
	calls     []*modelCall
	frozenEnd time.Time
	released  bool
	// downEnd is the end of the time in which the daemon does not run.
	downEnd time.Time
	// restEnd is the end of a time in which the holder has no orders to give, lastOrder is this run's last one.
	restEnd, lastOrder time.Time
	// holdsLong is whether the daemon may use the long hold, where others may.
	holdsLong bool
}

func (d *modelDaemon) bootID() vrid.BootID { return vrid.BootID(fmt.Sprint("b", d.boot)) }

// model runs daemons against one store in virtual time.
type model struct {
	t       *rapid.T
	random  *rand.Rand
	now     time.Time
	store   *restoredStore
	daemons []*modelDaemon
	// orphans are calls of ended runs, which the store may still carry out.
	orphans []*modelCall
	// acquired holds the run that acquired the lease with an epoch.
	acquired map[vrid.Epoch]string
	// lastOrder holds the time of each daemon's last order.
	lastOrder    map[vrid.DaemonID]time.Time
	highestEpoch vrid.Epoch
	acquisitions int
	orders       int
	proofs       int
	// longHolds is set if holders may use the long hold.
	longHolds bool
	// calm divides the probability of disturbances.
	calm int
}

func (m *model) oneIn(n int) bool { return m.random.IntN(n) == 0 }

func (m *model) start(d *modelDaemon) {
	d.boot++
	d.released, d.lastOrder, d.holdsLong = false, time.Time{}, true
	d.knownEra = 0
	m.orphans = append(m.orphans, d.calls...)
	d.calls = nil
	d.lease = vrlease.New(vrlease.Options{
		Key: "leases/f", Daemon: d.id, Boot: d.bootID(), Ops: &vrevent.Ops{}, Random: m.random, Timing: restoreTiming,
	})
}

// call starts the calls among the effects.
func (m *model) call(d *modelDaemon, out *vrevent.Effects) {
	const maxDelay, maxLate = 200, 6000
	for _, effect := range out.List {
		c := &modelCall{effect: effect, executeAt: m.now.Add(time.Duration(m.random.IntN(maxDelay)) * time.Millisecond)}
		c.answerAt = c.executeAt.Add(time.Duration(m.random.IntN(maxDelay)) * time.Millisecond)
		write, isWrite := effect.(vrevent.WriteObject)
		switch {
		case isWrite && write.IfVersion.Revision() != 0 && write.IfVersion.Era() != d.knownEra:
			c.executed, c.written = true, vrevent.ObjectWritten{Op: write.Op, Outcome: vrplatform.OutcomeConflict}
		case isWrite && m.oneIn(modelLostDraws):
			c.lostAnswer = true
			c.written = vrevent.ObjectWritten{Op: write.Op, Outcome: vrplatform.OutcomeUnknown}
			if m.oneIn(2) {
				c.executeAt = m.now.Add(time.Duration(m.random.IntN(maxLate)) * time.Millisecond)
			}
		}
		d.calls = append(d.calls, c)
	}
}

// execute carries out a call that is due at the store.
func (m *model) execute(c *modelCall) {
	if c.executed || m.now.Before(c.executeAt) {
		return
	}
	c.executed = true
	switch e := c.effect.(type) {
	case vrevent.ReadObject:
		state := m.store.state
		if history := m.store.history; !e.Fresh && len(history) > 0 && m.oneIn(3) {
			state = history[len(history)-1-m.random.IntN(min(len(history), modelCopies))]
			if m.oneIn(2) {
				// A replica that lags may state the new era with an object of the former one.
				state.era = m.store.era
			}
		}
		c.read = m.store.readState(e, state)
		c.era = state.era
	case vrevent.WriteObject:
		applied := m.store.write(e)
		if !c.lostAnswer {
			c.written = m.store.written(e, applied)
			c.era = m.store.era
		}
	}
}

// answer passes on the results of complete calls.
func (m *model) answer(d *modelDaemon) {
	calls := d.calls
	d.calls = nil
	for _, c := range calls {
		if m.now.Before(c.answerAt) {
			d.calls = append(d.calls, c)
			continue
		}
		if !c.executed {
			m.orphans = append(m.orphans, c)
		}
		d.knownEra = max(d.knownEra, c.era)
		out := &vrevent.Effects{}
		change := vrlease.ChangeNone
		switch c.effect.(type) {
		case vrevent.ReadObject:
			change = d.lease.HandleRead(m.now, c.read, out)
		case vrevent.WriteObject:
			change = d.lease.HandleWritten(m.now, c.written, out)
		}
		if change == vrlease.ChangeAcquired {
			m.checkAcquired(d)
		}
		m.call(d, out)
	}
}

func (m *model) checkAcquired(d *modelDaemon) {
	m.acquisitions++
	run := fmt.Sprint(d.id, " run ", d.boot)
	if other, ok := m.acquired[d.lease.Epoch()]; ok {
		m.t.Fatalf("%s acquired the lease with epoch %d, as %s did before", run, d.lease.Epoch(), other)
	}
	m.acquired[d.lease.Epoch()] = run
}

// checkOrders checks rule ONE for the daemons that may give orders now.
func (m *model) checkOrders() {
	for _, d := range m.daemons {
		// The reducers give no orders once they have released the lease, whatever came of it.
		if d.released || !d.lease.Confirmed(m.now) || m.now.Before(d.lease.OrdersAllowedAt()) || m.now.Before(later(d.downEnd, later(d.restEnd, d.frozenEnd))) {
			continue
		}
		m.orders++
		for other, at := range m.lastOrder {
			if other != d.id && m.now.Sub(at) < restoreTiming.QuietPeriod {
				m.t.Fatalf("%s may give orders %s after %s at %s", d.id, m.now.Sub(at), other, m.now.Sub(modelStart))
			}
		}
		if epoch := d.lease.Epoch(); epoch < m.highestEpoch {
			m.t.Fatalf("%s may give orders with epoch %d after %d at %s", d.id, epoch, m.highestEpoch, m.now.Sub(modelStart))
		}
		m.lastOrder[d.id], m.highestEpoch = m.now, d.lease.Epoch()
		d.lastOrder = m.now
	}
}

var modelStart = time.Unix(1_790_000_000, 0)

// disturb restores the store and restarts, freezes or stops daemons at random.
func (m *model) disturb() {
	const maxFreeze, maxDown, maxRest = 9000, 4000, 6000
	if history := m.store.history; len(history) > 0 && m.oneIn(m.calm*m.calm*modelRestoreDraws) {
		m.store.restore(history[len(history)-1-m.random.IntN(min(len(history), modelCopies))])
	}
	for _, d := range m.daemons {
		switch {
		case m.oneIn(m.calm * modelRestartDraws):
			m.start(d)
			if m.longHolds {
				d.downEnd = m.now.Add(time.Duration(m.random.IntN(maxDown)) * time.Millisecond)
			}
		case m.longHolds && m.oneIn(modelRestDraws):
			d.restEnd = m.now.Add(time.Duration(m.random.IntN(maxRest)) * time.Millisecond)
		case m.longHolds && m.oneIn(modelHoldDraws):
			d.holdsLong = !d.holdsLong
		case m.oneIn(m.calm * modelFreezeDraws):
			d.frozenEnd = m.now.Add(time.Duration(m.random.IntN(maxFreeze)) * time.Millisecond)
		case m.oneIn(m.calm * modelReleaseDraws):
			d.released = true
			out := &vrevent.Effects{}
			d.lease.SetOrdersEnded(d.lastOrder)
			d.lease.Release(m.now, out)
			m.call(d, out)
		}
	}
}

// dialHolder lets a daemon dial the holder that it knows of. Only a daemon that is down refuses: its next run
// and a frozen one don't.
func (m *model) dialHolder(d *modelDaemon) {
	record, known := d.lease.Latest()
	if !m.longHolds || !known || !m.oneIn(modelProofDraws) {
		return
	}
	for _, other := range m.daemons {
		if other.id == record.Holder && other.id != d.id && m.now.Before(other.downEnd) && d.lease.HolderEnded(m.now, record.Holder, record.Boot) {
			m.proofs++
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (m *model) run() {
	for range modelSteps {
		m.now = m.now.Add(modelStep)
		m.disturb()
		for _, c := range m.orphans {
			m.execute(c)
		}
		for _, i := range m.random.Perm(len(m.daemons)) {
			d := m.daemons[i]
			for _, c := range d.calls {
				m.execute(c)
			}
			if m.now.Before(later(d.frozenEnd, d.downEnd)) {
				continue
			}
			m.answer(d)
			m.dialHolder(d)
			out := &vrevent.Effects{}
			d.lease.Tick(m.now, vrlease.TickParams{
				Observe: true, Candidate: !d.released, LongHolds: m.longHolds, HoldLong: d.holdsLong,
			}, out)
			m.call(d, out)
		}
		m.checkOrders()
	}
}

// checkModel runs the model for drawn seeds.
func checkModel(t *testing.T, longHolds bool) {
	acquisitions, orders, proofs := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		daemons := rapid.IntRange(2, 4).Draw(t, "daemons")
		calm := 1
		if longHolds {
			calm = rapid.IntRange(1, 6).Draw(t, "calm")
		}
		for stream := range uint64(modelRuns) {
			m := &model{
				t: t, random: rand.New(rand.NewPCG(seed, stream)), now: modelStart, store: newRestoredStore(), longHolds: longHolds, calm: calm,
				acquired: make(map[vrid.Epoch]string), lastOrder: make(map[vrid.DaemonID]time.Time),
			}
			for i := range daemons {
				d := &modelDaemon{id: vrid.DaemonID(fmt.Sprint("d", i))}
				m.daemons = append(m.daemons, d)
				m.start(d)
			}
			m.run()
			acquisitions += m.acquisitions
			orders += m.orders
			proofs += m.proofs
		}
	})
	t.Logf("%d acquisitions, %d steps with orders, %d proofs of an end", acquisitions, orders, proofs)
}

// TestRestoresKeepRuleOne guards against two daemons that give orders within the quiet period of each
// other, and against epochs that are given out twice or fall, across restores of the store, lost
// answers, late writes, stale reads, restarts and freezes.
func TestRestoresKeepRuleOne(t *testing.T) { checkModel(t, false) }

// TestLongHoldsKeepRuleOne guards against the same where holders use a long hold, which they lengthen and
// shorten, where a daemon that is down for a while proves by that that its run has ended, and where a release
// states when the last order ended.
func TestLongHoldsKeepRuleOne(t *testing.T) { checkModel(t, true) }
