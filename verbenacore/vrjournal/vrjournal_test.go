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

var _startTime = time.UnixMilli(1_700_000_000_000)

// zone runs several journals against a simulated platform in virtual time.
type zone struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	objects map[string][]byte
	nodes   map[vrid.DaemonID]*node
	// lossRate is the fraction of peer messages and of platform answers that are lost.
	lossRate     float64
	platformDown bool
}

type node struct {
	*Journal
	id       vrid.DaemonID
	boot     vrid.BootID
	effects  vrevent.Effects
	stopped  bool
	appended uint64
}

func newZone(t *testing.T, seed uint64, daemons ...vrid.DaemonID) *zone {
	z := &zone{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: _startTime,
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

func (n *node) appendAnswered(z *zone) {
	n.appended++
	n.SetOpened(n.appended)
	n.Append(vrrecord.Entry{
		Kind: vrrecord.EntryAnswered, Request: vrid.RequestID(fmt.Sprintf("%s-%s-%d", n.id, n.boot, n.appended)),
		At: z.now.UnixMilli(), Ran: vrrecord.RanYes,
	})
}

// randomLoss draws whether the next message or platform answer is lost.
func (z *zone) randomLoss() bool { return z.random.Float64() < z.lossRate }

func (z *zone) runEffects(n *node) {
	effects := append([]vrevent.Effect(nil), n.effects.List...)
	n.effects.Reset()
	for _, effect := range effects {
		switch effect := effect.(type) {
		case vrevent.WriteObject:
			z.writeObject(n, effect)
		case vrevent.SendPeer:
			z.deliverMessage(effect)
		}
	}
}

func (z *zone) writeObject(n *node, effect vrevent.WriteObject) {
	require.Zero(z.t, effect.IfVersion)
	outcome := vrplatform.OutcomeUnavailable
	if !z.platformDown {
		outcome = vrplatform.OutcomeOK
		if stored, exists := z.objects[effect.Key]; exists {
			require.Equal(z.t, stored, effect.Value, "another block under the same key")
			outcome = vrplatform.OutcomeConflict
		}
		z.objects[effect.Key] = effect.Value
		if z.randomLoss() {
			outcome = vrplatform.OutcomeUnknown
		}
	}
	written := vrevent.ObjectWritten{Op: effect.Op, Key: effect.Key, Outcome: outcome}
	require.True(z.t, n.HandleWritten(z.now, written, &n.effects))
	z.runEffects(n)
}

func (z *zone) deliverMessage(effect vrevent.SendPeer) {
	receiver := z.nodes[effect.Peer]
	if receiver == nil || receiver.stopped || z.randomLoss() {
		return
	}
	data, err := vrwire.Marshal(effect.Envelope)
	require.NoError(z.t, err)
	envelope, err := vrwire.Unmarshal[vrwire.Envelope](data)
	require.NoError(z.t, err)
	if envelope.RecordBatch != nil {
		receiver.HandleBatch(z.now, envelope, &receiver.effects)
	}
	if envelope.RecordAck != nil {
		receiver.HandleAck(z.now, envelope.RecordAck)
	}
	z.runEffects(receiver)
}

func (z *zone) liveNodes() []*node {
	var live []*node
	for _, n := range z.nodes {
		if !n.stopped {
			live = append(live, n)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].id < live[j].id })
	return live
}

// advance runs the zone for the given time in virtual seconds. Each daemon answers about
// perSecond requests a second.
func (z *zone) advance(seconds, perSecond int) {
	const ticksPerSecond = 20
	for range seconds * ticksPerSecond {
		z.now = z.now.Add(time.Second / ticksPerSecond)
		for _, n := range z.liveNodes() {
			for range perSecond {
				if z.random.IntN(ticksPerSecond) == 0 {
					n.appendAnswered(z)
				}
			}
			n.Tick(z.now, &n.effects)
			z.runEffects(n)
		}
	}
}

func (z *zone) advanceUntilDurable() {
	for range 200 {
		pending := 0
		for _, n := range z.liveNodes() {
			pending += n.Pending()
		}
		if pending == 0 {
			return
		}
		z.advance(1, 0)
	}
	z.t.Fatal("entries are still pending after 200 s")
}

func (z *zone) verifyRecord() vrrecord.Report {
	var blocks []vrrecord.StoredBlock
	for key, data := range z.objects {
		blocks = append(blocks, vrrecord.StoredBlock{Key: key, Data: data})
	}
	return vrrecord.Verify(blocks)
}

// Guards against entries that are lost or duplicated when nothing fails.
func TestNoFailures(t *testing.T) {
	z := newZone(t, 1, "d1", "d2", "d3")
	z.setWriter("d2")
	z.advance(30, 20)
	z.advanceUntilDurable()
	report := z.verifyRecord()
	require.Empty(t, report.Findings)
	require.EqualValues(t, z.nodes["d1"].appended+z.nodes["d2"].appended+z.nodes["d3"].appended, report.Terminals)
	require.Zero(t, report.Open)
	require.Zero(t, report.Resent)
	// One block every 2 s.
	require.LessOrEqual(t, report.Blocks, 17)
}

// Guards against lost entries, entries that are twice in one chain and different blocks
// under the same key, when the platform's answers and messages between daemons are lost
// and the writer changes.
func TestLostMessagesAndWriterChange(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			z := newZone(t, seed, "d1", "d2", "d3", "d4")
			z.lossRate = 0.3
			z.setWriter("d1")
			z.advance(20, 10)
			z.platformDown = true
			z.advance(5, 10)
			z.platformDown = false
			z.setWriter("d3")
			z.advance(20, 10)
			z.lossRate = 0
			z.advanceUntilDurable()
			report := z.verifyRecord()
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

// Guards against entries that a writer had buffered but not written when it died, and that
// are then neither sent to the next writer nor counted as lost.
func TestWriterDies(t *testing.T) {
	z := newZone(t, 3, "d1", "d2", "d3")
	z.setWriter("d1")
	z.advance(10, 20)
	z.platformDown = true
	z.advance(3, 20)
	z.nodes["d1"].stopped = true
	z.platformDown = false
	z.setWriter("d2")
	z.nodes["d2"].CloseRun(z.now, "d1", "B1", z.nodes["d1"].Opened())
	z.advance(10, 20)
	z.advanceUntilDurable()
	report := z.verifyRecord()
	require.Empty(t, report.Findings)
	require.EqualValues(t, z.nodes["d1"].appended+z.nodes["d2"].appended+z.nodes["d3"].appended, uint64(report.Terminals)+report.Lost)
	require.Positive(t, report.Lost, "d1's own unwritten entries")
	require.Zero(t, report.Open)
}

// Guards against requests of a dead daemon that neither an entry nor a gap accounts for.
func TestDaemonDies(t *testing.T) {
	z := newZone(t, 4, "d1", "d2")
	z.setWriter("d1")
	z.advance(5, 20)
	d2 := z.nodes["d2"]
	d2.stopped = true
	for range 7 {
		d2.appendAnswered(z)
	}
	d2.SetOpened(d2.appended + 3)
	z.advance(3, 5)
	z.nodes["d1"].CloseRun(z.now, "d2", "B1", d2.Opened())
	z.nodes["d1"].CloseRun(z.now, "d2", "B1", d2.Opened())
	z.advanceUntilDurable()
	z.advance(3, 0)
	report := z.verifyRecord()
	require.Empty(t, report.Findings)
	require.Equal(t, 1, report.Gaps)
	require.Equal(t, 1, report.CutOff)
	require.EqualValues(t, z.nodes["d1"].appended+d2.appended+3, uint64(report.Terminals)+report.Lost)
	require.GreaterOrEqual(t, report.Lost, uint64(10))
}

// Guards against a gap that hides the entries of a daemon that was only paused: once it
// returns, its entries have to be in the record.
func TestPausedDaemonReturns(t *testing.T) {
	z := newZone(t, 5, "d1", "d2")
	z.setWriter("d1")
	z.advance(5, 20)
	d2 := z.nodes["d2"]
	d2.stopped = true
	for range 9 {
		d2.appendAnswered(z)
	}
	z.advance(3, 0)
	z.nodes["d1"].CloseRun(z.now, "d2", "B1", d2.Opened())
	z.advance(5, 0)
	require.Positive(t, z.verifyRecord().Lost)
	d2.stopped = false
	z.advance(5, 10)
	z.advanceUntilDurable()
	report := z.verifyRecord()
	require.Empty(t, report.Findings)
	require.Zero(t, report.Lost)
	require.EqualValues(t, z.nodes["d1"].appended+d2.appended, report.Terminals)
}

// Guards against reporting a clean restart as a loss.
func TestCleanRestart(t *testing.T) {
	z := newZone(t, 6, "d1", "d2")
	z.setWriter("d1")
	z.advance(5, 20)
	old := z.nodes["d2"]
	for range 200 {
		z.now = z.now.Add(50 * time.Millisecond)
		for _, n := range z.liveNodes() {
			if n == old {
				n.Flush(z.now, &n.effects)
			} else {
				n.Tick(z.now, &n.effects)
			}
			z.runEffects(n)
		}
	}
	require.Zero(t, old.Pending())
	restarted := z.start("d2", "B2", Options{})
	restarted.SetWriter("d1", "")
	z.nodes["d1"].CloseRun(z.now, "d2", "B1", old.Opened())
	z.advance(5, 20)
	z.advanceUntilDurable()
	z.advance(3, 0)
	report := z.verifyRecord()
	require.Empty(t, report.Findings)
	require.Zero(t, report.Gaps)
	require.Zero(t, report.CutOff)
	require.EqualValues(t, z.nodes["d1"].appended+old.appended+restarted.appended, report.Terminals)
}

// Guards against a writer that shuts down without stating its own end, and against a
// shutdown that never finishes when answers are lost.
func TestWriterShutsDown(t *testing.T) {
	for seed := range uint64(20) {
		z := newZone(t, seed, "d1", "d2")
		z.lossRate = 0.3
		z.setWriter("d1")
		z.advance(5, 20)
		old := z.nodes["d1"]
		flushes := 0
		for ; old.Pending() > 0 || !old.runEnd.started; flushes++ {
			require.Less(t, flushes, 2000, "seed %d", seed)
			z.now = z.now.Add(50 * time.Millisecond)
			old.Flush(z.now, &old.effects)
			z.runEffects(old)
		}
		old.stopped = true
		z.lossRate = 0
		z.nodes["d2"].SetWriter("d2", "")
		z.nodes["d2"].CloseRun(z.now, "d1", "B1", old.Opened())
		z.advanceUntilDurable()
		z.advance(3, 0)
		report := z.verifyRecord()
		require.Empty(t, report.Findings, "seed %d", seed)
		require.Zero(t, report.CutOff, "seed %d", seed)
		require.Zero(t, report.Lost, "seed %d", seed)
		require.EqualValues(t, old.appended+z.nodes["d2"].appended, report.Terminals, "seed %d", seed)
	}
}

// Guards against unbounded memory use in a long outage, and against evicted entries that
// no gap entry covers.
func TestOutageOverflowsBuffers(t *testing.T) {
	z := newZone(t, 7)
	z.start("d1", "B1", Options{BufferLimit: 4 * vrid.KiB, WriterBufferLimit: 6 * vrid.KiB})
	z.start("d2", "B1", Options{BufferLimit: 4 * vrid.KiB})
	z.setWriter("d1")
	z.platformDown = true
	z.advance(60, 40)
	for _, n := range z.nodes {
		require.LessOrEqual(t, n.queue.size, 4*vrid.KiB)
		require.LessOrEqual(t, n.writer.heldBytes, 6*vrid.KiB)
	}
	z.platformDown = false
	z.advanceUntilDurable()
	z.advance(2, 5)
	z.advanceUntilDurable()
	report := z.verifyRecord()
	require.Empty(t, report.Findings)
	require.Positive(t, report.Lost)
	require.EqualValues(t, z.nodes["d1"].appended+z.nodes["d2"].appended, uint64(report.Terminals)+report.Lost)
}

// Guards against a daemon that sends entries under another daemon's id.
func TestForeignEntriesRejected(t *testing.T) {
	z := newZone(t, 8, "d1", "d2")
	entry := vrrecord.Entry{Kind: vrrecord.EntryAnswered, Number: 1, Request: "r", Daemon: "d9", Boot: "B1"}
	data, err := vrwire.Marshal(&entry)
	require.NoError(t, err)
	d1 := z.nodes["d1"]
	for _, daemon := range []vrid.DaemonID{"d2", "d9"} {
		d1.HandleBatch(z.now, &vrwire.Envelope{
			From: "d2", Boot: "B1",
			RecordBatch: &vrwire.RecordBatch{Daemon: daemon, Boot: "B1", FirstNumber: 1, Entries: [][]byte{data}},
		}, &d1.effects)
	}
	require.Zero(t, d1.Pending())
}

// Guards against a packed batch that unpacks to other entries, and against one that can't
// be unpacked and is treated as empty.
func TestPackedBatch(t *testing.T) {
	z := newZone(t, 11, "d1", "d2")
	z.nodes["d2"].SetWriter("d1", "")
	for range 40 {
		z.nodes["d2"].appendAnswered(z)
	}
	batch := z.nodes["d2"].queue.batchAfter(0)
	packed := packBatch(batch)
	require.Empty(t, packed.Entries)
	unpacked, err := unpackBatch(packed)
	require.NoError(t, err)
	require.Equal(t, batch, unpacked)

	malformed := &vrwire.RecordBatch{Daemon: "d2", Boot: "B1", FirstNumber: 1, Final: true, Packed: []byte("no frame")}
	d1 := z.nodes["d1"]
	d1.HandleBatch(z.now, &vrwire.Envelope{From: "d2", Boot: "B1", RecordBatch: malformed}, &d1.effects)
	require.Zero(t, d1.Pending())
	require.IsType(t, vrevent.Log{}, d1.effects.List[0])
}

// Guards against a large zone whose writers exceed the platform's write rate, and against
// blocks that are closed so late that daemons resend entries that are not lost.
func TestBlockAge(t *testing.T) {
	for writers, want := range map[int]time.Duration{
		0: 2 * time.Second, 1: 2 * time.Second, 8: 2 * time.Second, 12: 3 * time.Second, 20: 5 * time.Second, 100: 5 * time.Second,
	} {
		require.Equal(t, want, BlockAge(writers), "%d writers", writers)
	}
	require.Less(t, BlockAge(1000)+defaultBatchInterval, defaultResendTimeout+time.Millisecond)
}

// Guards against a query that misses entries that are in no block yet, or returns one of
// them twice.
func TestUnwritten(t *testing.T) {
	z := newZone(t, 9, "d1", "d2")
	z.setWriter("d1")
	z.platformDown = true
	z.advance(4, 10)
	seen := make(map[vrid.RequestID]bool)
	for _, data := range z.nodes["d1"].Unwritten() {
		entry, err := vrwire.Unmarshal[vrrecord.Entry](data)
		require.NoError(t, err)
		require.False(t, seen[entry.Request])
		seen[entry.Request] = true
	}
	require.GreaterOrEqual(t, len(seen), int(z.nodes["d1"].appended))
}

// Guards against a writer that drops the state of a run whose end it still has to write.
// The case arises when many daemons end while a write is in flight.
func TestManyRunsEnd(t *testing.T) {
	z := newZone(t, 10, "d1")
	z.setWriter("d1")
	for i := range 3 * runCleanupThreshold {
		ended := z.start(vrid.DaemonID(fmt.Sprint("e", i)), "B1", Options{})
		ended.SetWriter("d1", "")
		ended.appendAnswered(z)
		z.advance(1, 0)
		ended.stopped = true
		z.nodes["d1"].CloseRun(z.now, ended.id, "B1", ended.Opened()+uint64(i%2))
	}
	z.advanceUntilDurable()
	z.advance(3, 0)
	report := z.verifyRecord()
	require.Empty(t, report.Findings)
	require.EqualValues(t, 3*runCleanupThreshold, report.Terminals)
	require.EqualValues(t, 3*runCleanupThreshold/2, report.Lost)
	require.LessOrEqual(t, len(z.nodes["d1"].writer.runs), runCleanupThreshold+1)
}

// Guards against blocks that the audit does not find. A block that only states the end of a run
// has no entry and was stored under the hour 1970-01-01T00, so that the next block's predecessor
// seemed to be missing (missingBlock after a rolling restart).
func TestBlockWithoutEntriesIsStoredUnderItsHour(t *testing.T) {
	z := newZone(t, 1, "d1", "d2")
	z.setWriter("d1")
	z.advance(5, 20)
	z.advanceUntilDurable()
	z.advance(3, 0)
	z.nodes["d2"].stopped = true
	z.nodes["d1"].CloseRun(z.now, "d2", "B1", z.nodes["d2"].Opened())
	z.advance(5, 0)
	empty := 0
	for key, data := range z.objects {
		block, err := vrrecord.DecodeBlock(data)
		require.NoError(t, err)
		name, err := vrrecord.ParseKey(key)
		require.NoError(t, err)
		hour, err := name.HourStart()
		require.NoError(t, err)
		require.WithinDuration(t, z.now, hour, time.Hour, key)
		if len(block.Entries) == 0 {
			empty++
		}
	}
	require.Positive(t, empty, "no block without entries was written")
	require.Empty(t, z.verifyRecord().Findings)
}
