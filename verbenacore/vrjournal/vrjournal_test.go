package vrjournal

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrwire"
)

var _start = time.UnixMilli(1_700_000_000_000)

// zone runs several journals against a fake platform in virtual time.
type zone struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	objects map[string][]byte
	nodes   map[vrid.DaemonID]*node
	// lose is the part of peer messages and of answers of the platform that get lost.
	lose float64
	down bool
}

type node struct {
	*Journal
	id       vrid.DaemonID
	boot     vrid.BootID
	effects  vrevent.Effects
	dead     bool
	appended uint64
}

func newZone(t *testing.T, seed uint64, daemons ...vrid.DaemonID) *zone {
	z := &zone{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: _start,
		objects: make(map[string][]byte), nodes: make(map[vrid.DaemonID]*node),
	}
	for _, id := range daemons {
		z.start(id, "B1", Options{})
	}
	return z
}

func (z *zone) start(id vrid.DaemonID, boot vrid.BootID, options Options) *node {
	options.Daemon, options.Boot, options.Zone = id, boot, "z1"
	options.Ops, options.Random = &vrevent.Ops{}, z.random
	n := &node{Journal: New(options), id: id, boot: boot}
	z.nodes[id] = n
	return n
}

func (z *zone) setWriter(writer vrid.DaemonID) {
	for _, n := range z.nodes {
		n.SetWriter(writer, "127.0.0.1:1")
	}
}

func (n *node) answer(z *zone) {
	n.appended++
	n.SetOpened(n.appended)
	n.Append(vrrecord.Entry{
		Kind: vrrecord.EntryAnswered, Request: vrid.RequestID(fmt.Sprintf("%s-%s-%d", n.id, n.boot, n.appended)),
		At: z.now.UnixMilli(), Ran: vrrecord.RanYes,
	})
}

func (z *zone) lost() bool { return z.random.Float64() < z.lose }

func (z *zone) run(n *node) {
	effects := append([]vrevent.Effect(nil), n.effects.List...)
	n.effects.Reset()
	for _, effect := range effects {
		switch effect := effect.(type) {
		case vrevent.WriteObject:
			z.write(n, effect)
		case vrevent.SendPeer:
			z.deliver(effect)
		}
	}
}

func (z *zone) write(n *node, effect vrevent.WriteObject) {
	require.Zero(z.t, effect.IfVersion)
	outcome := vrplatform.OutcomeUnavailable
	if !z.down {
		outcome = vrplatform.OutcomeOK
		if held, exists := z.objects[effect.Key]; exists {
			require.Equal(z.t, held, effect.Value, "another block under the same key")
			outcome = vrplatform.OutcomeConflict
		}
		z.objects[effect.Key] = effect.Value
		if z.lost() {
			outcome = vrplatform.OutcomeUnknown
		}
	}
	written := vrevent.ObjectWritten{Op: effect.Op, Key: effect.Key, Outcome: outcome}
	require.True(z.t, n.HandleWritten(z.now, written, &n.effects))
	z.run(n)
}

func (z *zone) deliver(effect vrevent.SendPeer) {
	to := z.nodes[effect.Peer]
	if to == nil || to.dead || z.lost() {
		return
	}
	data, err := vrwire.Marshal(effect.Envelope)
	require.NoError(z.t, err)
	envelope, err := vrwire.Unmarshal[vrwire.Envelope](data)
	require.NoError(z.t, err)
	if envelope.RecordBatch != nil {
		to.HandleBatch(z.now, envelope, &to.effects)
	}
	if envelope.RecordAck != nil {
		to.HandleAck(z.now, envelope.RecordAck)
	}
	z.run(to)
}

func (z *zone) live() []*node {
	var live []*node
	for _, n := range z.nodes {
		if !n.dead {
			live = append(live, n)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].id < live[j].id })
	return live
}

// pass lets time pass; each daemon answers perSecond requests a second.
func (z *zone) pass(seconds, perSecond int) {
	const ticks = 20
	for range seconds * ticks {
		z.now = z.now.Add(time.Second / ticks)
		for _, n := range z.live() {
			for range perSecond {
				if z.random.IntN(ticks) == 0 {
					n.answer(z)
				}
			}
			n.Tick(z.now, &n.effects)
			z.run(n)
		}
	}
}

func (z *zone) drain() {
	for range 200 {
		pending := 0
		for _, n := range z.live() {
			pending += n.Pending()
		}
		if pending == 0 {
			return
		}
		z.pass(1, 0)
	}
	z.t.Fatal("entries are still pending after 200 s")
}

func (z *zone) audit() vrrecord.Report {
	var blocks []vrrecord.Stored
	for key, data := range z.objects {
		blocks = append(blocks, vrrecord.Stored{Key: key, Data: data})
	}
	return vrrecord.Verify(blocks)
}

// Guards against entries that are lost or doubled in normal work.
func TestNormalWork(t *testing.T) {
	z := newZone(t, 1, "d1", "d2", "d3")
	z.setWriter("d2")
	z.pass(30, 20)
	z.drain()
	report := z.audit()
	require.Empty(t, report.Findings)
	require.EqualValues(t, z.nodes["d1"].appended+z.nodes["d2"].appended+z.nodes["d3"].appended, report.Terminals)
	require.Zero(t, report.Open)
	require.Zero(t, report.Resent)
	// One block each 2 s.
	require.LessOrEqual(t, report.Blocks, 17)
}

// Guards against entries that are lost, doubled in one chain or written to another
// block when answers of the platform and messages between daemons are lost and the
// writer changes.
func TestLostAnswers(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			z := newZone(t, seed, "d1", "d2", "d3", "d4")
			z.lose = 0.3
			z.setWriter("d1")
			z.pass(20, 10)
			z.down = true
			z.pass(5, 10)
			z.down = false
			z.setWriter("d3")
			z.pass(20, 10)
			z.lose = 0
			z.drain()
			report := z.audit()
			require.Empty(t, report.Findings)
			var appended uint64
			for _, n := range z.nodes {
				appended += n.appended
			}
			require.EqualValues(t, appended, report.Terminals)
			require.Zero(t, report.Lost)
		})
	}
}

// Guards against the loss of entries that a dead writer had taken and not written.
func TestWriterDies(t *testing.T) {
	z := newZone(t, 3, "d1", "d2", "d3")
	z.setWriter("d1")
	z.pass(10, 20)
	z.down = true
	z.pass(3, 20)
	z.nodes["d1"].dead = true
	z.down = false
	z.setWriter("d2")
	z.nodes["d2"].MemberRemoved(z.now, "d1", "B1", z.nodes["d1"].Opened())
	z.pass(10, 20)
	z.drain()
	report := z.audit()
	require.Empty(t, report.Findings)
	require.EqualValues(t, z.nodes["d1"].appended+z.nodes["d2"].appended+z.nodes["d3"].appended, uint64(report.Terminals)+report.Lost)
	require.Positive(t, report.Lost, "d1's own unwritten entries")
	require.Zero(t, report.Open)
}

// Guards against requests of a dead daemon that are silently absent.
func TestDaemonDies(t *testing.T) {
	z := newZone(t, 4, "d1", "d2")
	z.setWriter("d1")
	z.pass(5, 20)
	d2 := z.nodes["d2"]
	d2.dead = true
	for range 7 {
		d2.answer(z)
	}
	d2.SetOpened(d2.appended + 3)
	z.pass(3, 5)
	z.nodes["d1"].MemberRemoved(z.now, "d2", "B1", d2.Opened())
	z.nodes["d1"].MemberRemoved(z.now, "d2", "B1", d2.Opened())
	z.drain()
	z.pass(3, 0)
	report := z.audit()
	require.Empty(t, report.Findings)
	require.Equal(t, 1, report.Gaps)
	require.Equal(t, 1, report.CutOff)
	require.EqualValues(t, z.nodes["d1"].appended+d2.appended+3, uint64(report.Terminals)+report.Lost)
	require.GreaterOrEqual(t, report.Lost, uint64(10))
}

// Guards against a gap that swallows entries of a daemon that was paused and not dead.
func TestPausedDaemonReturns(t *testing.T) {
	z := newZone(t, 5, "d1", "d2")
	z.setWriter("d1")
	z.pass(5, 20)
	d2 := z.nodes["d2"]
	d2.dead = true
	for range 9 {
		d2.answer(z)
	}
	z.pass(3, 0)
	z.nodes["d1"].MemberRemoved(z.now, "d2", "B1", d2.Opened())
	z.pass(5, 0)
	require.Positive(t, z.audit().Lost)
	d2.dead = false
	z.pass(5, 10)
	z.drain()
	report := z.audit()
	require.Empty(t, report.Findings)
	require.Zero(t, report.Lost)
	require.EqualValues(t, z.nodes["d1"].appended+d2.appended, report.Terminals)
}

// Guards against a clean restart that is reported as a loss.
func TestCleanRestart(t *testing.T) {
	z := newZone(t, 6, "d1", "d2")
	z.setWriter("d1")
	z.pass(5, 20)
	old := z.nodes["d2"]
	for range 200 {
		z.now = z.now.Add(50 * time.Millisecond)
		for _, n := range z.live() {
			if n == old {
				n.Flush(z.now, &n.effects)
			} else {
				n.Tick(z.now, &n.effects)
			}
			z.run(n)
		}
	}
	require.Zero(t, old.Pending())
	fresh := z.start("d2", "B2", Options{})
	fresh.SetWriter("d1", "")
	z.nodes["d1"].MemberRemoved(z.now, "d2", "B1", old.Opened())
	z.pass(5, 20)
	z.drain()
	z.pass(3, 0)
	report := z.audit()
	require.Empty(t, report.Findings)
	require.Zero(t, report.Gaps)
	require.Zero(t, report.CutOff)
	require.EqualValues(t, z.nodes["d1"].appended+old.appended+fresh.appended, report.Terminals)
}

// Guards against a writer that leaves without stating its own end, and against a
// shutdown that waits for ever when answers are lost.
func TestWriterLeaves(t *testing.T) {
	for seed := range uint64(20) {
		z := newZone(t, seed, "d1", "d2")
		z.lose = 0.3
		z.setWriter("d1")
		z.pass(5, 20)
		old := z.nodes["d1"]
		left := 0
		for ; old.Pending() > 0 || !old.ending.begun; left++ {
			require.Less(t, left, 2000, "seed %d", seed)
			z.now = z.now.Add(50 * time.Millisecond)
			old.Flush(z.now, &old.effects)
			z.run(old)
		}
		old.dead = true
		z.lose = 0
		z.nodes["d2"].SetWriter("d2", "")
		z.nodes["d2"].MemberRemoved(z.now, "d1", "B1", old.Opened())
		z.drain()
		z.pass(3, 0)
		report := z.audit()
		require.Empty(t, report.Findings, "seed %d", seed)
		require.Zero(t, report.CutOff, "seed %d", seed)
		require.Zero(t, report.Lost, "seed %d", seed)
		require.EqualValues(t, old.appended+z.nodes["d2"].appended, report.Terminals, "seed %d", seed)
	}
}

// Guards against unbounded memory in a long outage, and against losses that no gap
// entry declares.
func TestOutageOverflows(t *testing.T) {
	z := newZone(t, 7)
	z.start("d1", "B1", Options{Buffer: 4 * vrid.KiB, WriterBuffer: 6 * vrid.KiB})
	z.start("d2", "B1", Options{Buffer: 4 * vrid.KiB})
	z.setWriter("d1")
	z.down = true
	z.pass(60, 40)
	for _, n := range z.nodes {
		require.LessOrEqual(t, n.queue.size, 4*vrid.KiB)
		require.LessOrEqual(t, n.writer.size, 6*vrid.KiB)
	}
	z.down = false
	z.drain()
	z.pass(2, 5)
	z.drain()
	report := z.audit()
	require.Empty(t, report.Findings)
	require.Positive(t, report.Lost)
	require.EqualValues(t, z.nodes["d1"].appended+z.nodes["d2"].appended, uint64(report.Terminals)+report.Lost)
}

// Guards against a daemon that writes entries under another daemon's name.
func TestForeignEntriesRefused(t *testing.T) {
	z := newZone(t, 8, "d1", "d2")
	entry := vrrecord.Entry{Kind: vrrecord.EntryAnswered, Number: 1, Request: "r", Daemon: "d9", Boot: "B1"}
	data, err := vrwire.Marshal(&entry)
	require.NoError(t, err)
	d1 := z.nodes["d1"]
	for _, daemon := range []vrid.DaemonID{"d2", "d9"} {
		d1.HandleBatch(z.now, &vrwire.Envelope{
			From: "d2", Boot: "B1",
			RecordBatch: &vrwire.RecordBatch{Daemon: daemon, Boot: "B1", First: 1, Entries: [][]byte{data}},
		}, &d1.effects)
	}
	require.Zero(t, d1.Pending())
}

// Guards against a packed batch that differs from its entries, and against one that
// can't be unpacked and is taken as empty.
func TestPackedBatch(t *testing.T) {
	z := newZone(t, 11, "d1", "d2")
	z.nodes["d2"].SetWriter("d1", "")
	for range 40 {
		z.nodes["d2"].answer(z)
	}
	batch := z.nodes["d2"].queue.batch(0)
	packed := pack(batch)
	require.Empty(t, packed.Entries)
	whole, err := unpack(packed)
	require.NoError(t, err)
	require.Equal(t, batch, whole)

	broken := &vrwire.RecordBatch{Daemon: "d2", Boot: "B1", First: 1, Final: true, Packed: []byte("no frame")}
	d1 := z.nodes["d1"]
	d1.HandleBatch(z.now, &vrwire.Envelope{From: "d2", Boot: "B1", RecordBatch: broken}, &d1.effects)
	require.Zero(t, d1.Pending())
	require.IsType(t, vrevent.Log{}, d1.effects.List[0])
}

// Guards against a large zone whose writers use up the platform's writes, and against
// blocks so old that daemons send again what is not lost.
func TestBlockAge(t *testing.T) {
	for writers, want := range map[int]time.Duration{
		0: 2 * time.Second, 1: 2 * time.Second, 8: 2 * time.Second, 12: 3 * time.Second, 20: 5 * time.Second, 100: 5 * time.Second,
	} {
		require.Equal(t, want, BlockAge(writers), "%d writers", writers)
	}
	require.Less(t, BlockAge(1000)+defaultBatchEvery, defaultResendAfter+time.Millisecond)
}

// Guards against a query that misses the entries which are in no block yet.
func TestUnwritten(t *testing.T) {
	z := newZone(t, 9, "d1", "d2")
	z.setWriter("d1")
	z.down = true
	z.pass(4, 10)
	seen := make(map[vrid.RequestID]bool)
	for _, data := range z.nodes["d1"].Unwritten() {
		entry, err := vrwire.Unmarshal[vrrecord.Entry](data)
		require.NoError(t, err)
		require.False(t, seen[entry.Request])
		seen[entry.Request] = true
	}
	require.GreaterOrEqual(t, len(seen), int(z.nodes["d1"].appended))
}

// Guards against a writer that forgets a run whose end it still has to write: many
// daemons end while a write is in flight.
func TestManyRunsEnd(t *testing.T) {
	z := newZone(t, 10, "d1")
	z.setWriter("d1")
	for i := range 3 * endedRuns {
		fresh := z.start(vrid.DaemonID(fmt.Sprint("e", i)), "B1", Options{})
		fresh.SetWriter("d1", "")
		fresh.answer(z)
		z.pass(1, 0)
		fresh.dead = true
		z.nodes["d1"].MemberRemoved(z.now, fresh.id, "B1", fresh.Opened()+uint64(i%2))
	}
	z.drain()
	z.pass(3, 0)
	report := z.audit()
	require.Empty(t, report.Findings)
	require.EqualValues(t, 3*endedRuns, report.Terminals)
	require.EqualValues(t, 3*endedRuns/2, report.Lost)
	require.LessOrEqual(t, len(z.nodes["d1"].writer.sources), endedRuns+1)
}
