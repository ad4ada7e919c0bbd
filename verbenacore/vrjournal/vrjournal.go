// Package vrjournal is the reducer's part for the record, as a state machine without
// I/O. Each daemon numbers its entries and sends them to the writer of its group; the
// writer appends them to the platform in hash-chained blocks and acknowledges a
// number only when every entry up to it is known to be in a block.
package vrjournal

import (
	"cmp"
	"math/rand/v2"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrwire"
)

// Defaults of the options.
const (
	defaultBatchEvery  = time.Second
	defaultResendAfter = 6 * time.Second
	defaultBlockAge    = 2 * time.Second
	// writerSpacing lets the writers of a zone make 4 writes/s together: 84 writes/s for
	// the 21 zones of the design scale, where a block each 2 s would cost 210.
	writerSpacing = 250 * time.Millisecond
	// maxBlockAge leaves a second before a daemon sends its entries again.
	maxBlockAge      = 5 * time.Second
	defaultBlockSize = 256 * vrid.KiB
	// defaultBuffer holds about 20 minutes of entries of a daemon at design scale
	// (23 requests/s, 250 bytes each) and stays far below the daemon's 256 MB.
	defaultBuffer = 8 * vrid.MiB
	// defaultWriterBuffer holds the same for a group of 5 daemons.
	defaultWriterBuffer = 32 * vrid.MiB
	// maxBatch keeps a batch with its envelope below vrwire.MaxFrame.
	maxBatch = 512 * vrid.KiB
	// maxBlockSize keeps a block below the platform's largest value even when its
	// entries don't compress.
	maxBlockSize = 768 * vrid.KiB

	firstRetry = 250 * time.Millisecond
	lastRetry  = 10 * time.Second
	// aloneAfter is how long an ending run waits for its writer: a block's age and a write,
	// far below the time that a shutdown leaves for the record.
	aloneAfter = 4 * time.Second
)

// Options configure a journal. Zero values of the times and sizes take defaults.
type Options struct {
	Daemon vrid.DaemonID
	Boot   vrid.BootID
	Zone   vrid.ZoneID
	Ops    *vrevent.Ops
	// Random spreads the retries; it is required.
	Random *rand.Rand

	// BatchEvery is the time between two batches to the writer (1s).
	BatchEvery time.Duration
	// ResendAfter is how long a batch may stay unacknowledged (6s).
	ResendAfter time.Duration
	// BlockAge and BlockSize say when a writer closes a block (2s until SetWriters, 256 KiB).
	BlockAge  time.Duration
	BlockSize vrid.Bytes
	// Buffer bounds the daemon's own entries without acknowledgement (8 MiB).
	Buffer vrid.Bytes
	// WriterBuffer bounds what a writer holds that is not on the platform (32 MiB).
	WriterBuffer vrid.Bytes
}

func (o Options) withDefaults() Options {
	o.BatchEvery = cmp.Or(o.BatchEvery, defaultBatchEvery)
	o.ResendAfter = cmp.Or(o.ResendAfter, defaultResendAfter)
	o.BlockAge = cmp.Or(o.BlockAge, defaultBlockAge)
	o.BlockSize = min(cmp.Or(o.BlockSize, defaultBlockSize), maxBlockSize)
	o.Buffer = cmp.Or(o.Buffer, defaultBuffer)
	o.WriterBuffer = cmp.Or(o.WriterBuffer, defaultWriterBuffer)
	return o
}

// Journal keeps the entries of one daemon until they are durable and, as a writer,
// those of its group. It is not safe for concurrent use.
type Journal struct {
	options Options
	queue   queue
	writer  writer

	writerID      vrid.DaemonID
	writerAddress string
	// sent is the last number given to the present writer.
	sent      uint64
	lastBatch time.Time
	// waitingSince is when the oldest entry without acknowledgement was sent.
	waitingSince time.Time
	opened       uint64
	ending       ending
}

// ending is how far the journal has told its writer that the run ends.
type ending struct {
	begun    bool
	toldAt   time.Time
	recorded bool
	// begunAt is when the end began; alone is set once the run writes its record itself.
	begunAt time.Time
	alone   bool
}

// due reports whether the writer has to be told, again after a while.
func (e *ending) due(now time.Time, again time.Duration) bool {
	return e.begun && !e.recorded && now.Sub(e.toldAt) >= again
}

// New returns a journal without entries.
func New(options Options) *Journal {
	options = options.withDefaults()
	run := vrrecord.Run{Daemon: options.Daemon, Boot: options.Boot}
	return &Journal{
		options: options,
		queue:   queue{run: run, zone: options.Zone, limit: options.Buffer},
		writer:  newWriter(options),
	}
}

// Append numbers the entry and keeps it until it is durable. When the buffer is full
// the oldest entries become one gap entry with their bounds.
func (j *Journal) Append(entry vrrecord.Entry) {
	if entry.Kind.Terminal() {
		j.queue.terminals++
	}
	j.queue.append(entry)
}

// SetOpened tells how many requests the daemon has opened, so that the record can
// account for those whose entries die with it.
func (j *Journal) SetOpened(opened uint64) { j.opened = max(j.opened, opened) }

// Opened returns the count of opened requests that batches carry.
func (j *Journal) Opened() uint64 { return max(j.opened, j.queue.terminals) }

// SetWriter names the writer of this daemon's group, which may be the daemon itself.
// A new writer gets every entry that the one before has not acknowledged.
func (j *Journal) SetWriter(daemon vrid.DaemonID, address string) {
	j.writerAddress = address
	if daemon == j.writerID || j.ending.alone {
		return
	}
	j.writerID = daemon
	j.sent = j.queue.durable
	j.lastBatch = time.Time{}
}

// PeerLost takes word that a peer can't be reached. A writer that comes back under the
// same name has lost what it held, so it gets everything again. A run that ends does not
// wait for it: nobody may be left to name another writer.
func (j *Journal) PeerLost(peer vrid.DaemonID) {
	if peer != j.writerID || peer == j.options.Daemon {
		return
	}
	j.sent = j.queue.durable
	if j.ending.begun {
		j.writeAlone()
	}
}

// writeAlone makes an ending run its own writer. An entry that both writers put into a
// block stands twice, which the record allows.
func (j *Journal) writeAlone() {
	j.SetWriter(j.options.Daemon, "")
	j.ending.alone = true
	j.ending.toldAt = time.Time{}
}

// SetWriters tells how many record writers the zone has.
func (j *Journal) SetWriters(count int) { j.writer.options.BlockAge = BlockAge(count) }

// BlockAge is the age at which the writers of a zone close their blocks: 2 s up to 8
// writers, then in proportion to their number, at most 5 s.
func BlockAge(writers int) time.Duration {
	return min(max(time.Duration(writers)*writerSpacing, defaultBlockAge), maxBlockAge)
}

// HandleAck takes a writer's acknowledgement.
func (j *Journal) HandleAck(now time.Time, ack *vrwire.RecordAck) {
	if ack.Boot != j.options.Boot {
		return
	}
	j.ending.recorded = j.ending.recorded || ack.Final
	if ack.Again {
		j.sent = j.queue.durable
		j.lastBatch = time.Time{}
	}
	if ack.Durable <= j.queue.durable {
		return
	}
	j.queue.release(ack.Durable)
	j.sent = max(j.sent, j.queue.durable)
	j.waitingSince = now
}

// HandleBatch takes entries as a writer. A batch that doesn't fit into the buffer is
// left unanswered: its sender keeps the entries and sends them again.
func (j *Journal) HandleBatch(now time.Time, from *vrwire.Envelope, effects *vrevent.Effects) {
	if from.RecordBatch.Daemon != from.From || from.RecordBatch.Boot != from.Boot {
		effects.Warn("record batch names another run than its envelope", vrevent.Field("peer", from.From))
		return
	}
	batch, err := unpack(from.RecordBatch)
	if err != nil {
		effects.Warn("record batch can't be unpacked", vrevent.Field("peer", from.From), vrevent.Field("error", err.Error()))
		return
	}
	origin, again, err := j.writer.take(now, batch)
	if err != nil {
		effects.Warn("record batch refused", vrevent.Field("peer", from.From), vrevent.Field("error", err.Error()))
		return
	}
	if again {
		// The sender repeats what is durable, so the acknowledgement was lost, or it has to
		// repeat what this writer lacks.
		j.acknowledgeTo(now, origin, effects)
	}
}

// HandleWritten takes the result of a write. It returns false when the write was not
// the journal's.
func (j *Journal) HandleWritten(now time.Time, event vrevent.ObjectWritten, effects *vrevent.Effects) bool {
	done, ours := j.writer.written(now, event, effects)
	for _, progress := range done {
		j.acknowledgeTo(now, progress, effects)
	}
	return ours
}

// acknowledgeTo answers over the session that the peer opened: the runtime knows its
// address.
func (j *Journal) acknowledgeTo(now time.Time, to source, effects *vrevent.Effects) {
	ack := &vrwire.RecordAck{Boot: to.run.Boot, Durable: to.durable, Final: to.finalWritten, Again: to.lacks}
	if to.run == j.queue.run {
		j.HandleAck(now, ack)
		return
	}
	effects.Add(vrevent.SendPeer{
		Peer:     to.run.Daemon,
		Envelope: j.envelope(func(e *vrwire.Envelope) { e.RecordAck = ack }),
	})
}

func (j *Journal) envelope(set func(*vrwire.Envelope)) *vrwire.Envelope {
	envelope := &vrwire.Envelope{From: j.options.Daemon, Boot: j.options.Boot, Zone: j.options.Zone}
	set(envelope)
	return envelope
}

// MemberRemoved closes the record of a run that ended: requests that it opened and
// whose entries this writer lacks become a gap entry. The reducer calls it on the
// writer of the run's group.
func (j *Journal) MemberRemoved(now time.Time, daemon vrid.DaemonID, boot vrid.BootID, opened uint64) {
	j.writer.endRun(now, vrrecord.Run{Daemon: daemon, Boot: boot}, opened)
}

// Tick sends a batch when it is due and writes a block when one is full or old enough.
func (j *Journal) Tick(now time.Time, effects *vrevent.Effects) {
	if now.Sub(j.lastBatch) >= j.options.BatchEvery {
		j.sendBatch(now, effects)
	}
	j.writer.tick(now, false, effects)
}

// Flush sends and writes at once what is pending, for a shutdown: from then on the
// daemon opens no request, and the record says so. It is called again until Pending is
// 0: a frame and a block are bounded, and one write is in flight.
func (j *Journal) Flush(now time.Time, effects *vrevent.Effects) {
	if !j.ending.begun {
		j.ending.begun, j.ending.begunAt = true, now
	}
	if !j.ending.alone && now.Sub(j.ending.begunAt) >= aloneAfter {
		j.writeAlone()
	}
	j.sendBatch(now, effects)
	j.writer.tick(now, true, effects)
}

// Pending counts the entries that are not known to be durable: the daemon's own and
// those that it holds as a writer. After Flush the statement of the run's end counts
// as one more.
func (j *Journal) Pending() int {
	pending := len(j.queue.items) + j.writer.pending()
	if j.ending.begun && !j.ending.recorded {
		pending++
	}
	return pending
}

// Unwritten returns the encoded entries that are not yet known to be in a block: the
// tail that a query adds to the blocks. The bytes are shared and must not be changed;
// decoding them is left to the caller, so that it needs no lock of the journal's owner.
func (j *Journal) Unwritten() [][]byte {
	entries := make([][]byte, 0, j.Pending())
	for _, held := range j.queue.items {
		entries = append(entries, held.data)
	}
	return j.writer.unwritten(j.queue.run, entries)
}

func (j *Journal) sendBatch(now time.Time, effects *vrevent.Effects) {
	if j.writerID == "" {
		return
	}
	j.lastBatch = now
	if j.sent > j.queue.durable && now.Sub(j.waitingSince) >= j.options.ResendAfter {
		j.sent = j.queue.durable
	}
	batch := j.queue.batch(j.sent)
	telling := j.ending.due(now, j.options.BatchEvery)
	if len(batch.Entries) == 0 && !telling {
		return
	}
	batch.Opened = j.Opened()
	batch.Final = j.ending.begun
	if telling {
		j.ending.toldAt = now
	}
	if j.sent == j.queue.durable {
		j.waitingSince = now
	}
	if j.writerID == j.options.Daemon {
		j.takeOwn(now, batch, effects)
		return
	}
	j.sent = max(j.sent, j.queue.lastOf(batch))
	effects.Add(vrevent.SendPeer{
		Peer:     j.writerID,
		Address:  j.writerAddress,
		Envelope: j.envelope(func(e *vrwire.Envelope) { e.RecordBatch = pack(batch) }),
	})
}

// pack compresses the entries of a batch where that makes it smaller.
func pack(batch *vrwire.RecordBatch) *vrwire.RecordBatch {
	size := 0
	for _, entry := range batch.Entries {
		size += len(entry)
	}
	packed, err := vrrecord.PackEntries(batch.Entries)
	if err != nil || len(packed) >= size {
		return batch
	}
	smaller := *batch
	smaller.Packed, smaller.Entries = packed, nil
	return &smaller
}

// unpack is the opposite of pack.
func unpack(batch *vrwire.RecordBatch) (*vrwire.RecordBatch, error) {
	if len(batch.Packed) == 0 {
		return batch, nil
	}
	entries, err := vrrecord.UnpackEntries(batch.Packed)
	if err != nil {
		return nil, err
	}
	whole := *batch
	whole.Packed, whole.Entries = nil, entries
	return &whole, nil
}

func (j *Journal) takeOwn(now time.Time, batch *vrwire.RecordBatch, effects *vrevent.Effects) {
	origin, again, err := j.writer.take(now, batch)
	if err != nil {
		effects.Warn("record entries kept back", vrevent.Field("error", err.Error()))
		return
	}
	j.sent = max(j.sent, j.queue.lastOf(batch))
	if again {
		j.acknowledgeTo(now, origin, effects)
	}
}
