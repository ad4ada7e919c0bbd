// Package vrjournal writes the record of requests, as a state machine without I/O that
// the reducer drives. Each daemon numbers its entries and sends them to the writer of
// its group. The writer appends them to the platform in hash-chained blocks and
// acknowledges a number only when every entry up to it is known to be in a block.
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

// Defaults and limits.
const (
	defaultBatchInterval = time.Second
	defaultResendTimeout = 6 * time.Second
	defaultBlockAge      = 2 * time.Second
	// blockAgePerWriter limits the writers of a zone to 4 writes/s in total. At design scale
	// (21 zones) that is 84 writes/s, while one block every 2 s per writer would be 210.
	blockAgePerWriter = 250 * time.Millisecond
	// maxBlockAge is 1 s below defaultResendTimeout, so that daemons don't resend entries
	// that only wait for their block.
	maxBlockAge      = 5 * time.Second
	defaultBlockSize = 256 * vrid.KiB
	// defaultBufferLimit is enough for about 20 minutes of entries of a daemon at design
	// scale (23 requests/s, 250 bytes each) and stays far below the daemon's 256 MB.
	defaultBufferLimit = 8 * vrid.MiB
	// defaultWriterBufferLimit is enough for the same time for a group of 5 daemons.
	defaultWriterBufferLimit = 32 * vrid.MiB
	// maxBatchSize bounds the entries of a batch, so that the batch and its envelope stay
	// below vrwire.MaxFrameBytes.
	maxBatchSize = 512 * vrid.KiB
	// maxBlockSize bounds Options.BlockSize, so that a block stays below the platform's
	// largest value even when its entries don't compress.
	maxBlockSize = 768 * vrid.KiB

	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 10 * time.Second
	// maxFlushRetryDelay is the longest wait between two tries of a write during a shutdown, which leaves 10 s
	// for the record.
	maxFlushRetryDelay = time.Second
	// endingWriterTimeout is how long an ending run waits for its writer before it writes
	// its record itself. It covers the age of a block plus a write, and is far below the
	// time that a shutdown leaves for the record.
	endingWriterTimeout = 4 * time.Second
)

// Options configures a Journal. A zero duration or size takes its default, which is
// given in parentheses.
type Options struct {
	Daemon vrid.DaemonID
	Boot   vrid.BootID
	Zone   vrid.ZoneID
	Ops    *vrevent.Ops
	// Random adds jitter to the retries. It is required.
	Random *rand.Rand

	// BatchInterval is the time between two batches to the writer (1s).
	BatchInterval time.Duration
	// ResendTimeout is how long entries may stay unacknowledged before they are sent again (6s).
	ResendTimeout time.Duration
	// BlockAge and BlockSize are the age and the size at which a writer closes a block
	// (2s, 256 KiB). SetWriterCount replaces BlockAge.
	BlockAge  time.Duration
	BlockSize vrid.Bytes
	// BufferLimit is the maximum size of the daemon's own unacknowledged entries (8 MiB).
	BufferLimit vrid.Bytes
	// WriterBufferLimit is the maximum size of the entries that a writer holds and that are
	// not known to be on the platform (32 MiB).
	WriterBufferLimit vrid.Bytes
}

func (o Options) withDefaults() Options {
	o.BatchInterval = cmp.Or(o.BatchInterval, defaultBatchInterval)
	o.ResendTimeout = cmp.Or(o.ResendTimeout, defaultResendTimeout)
	o.BlockAge = cmp.Or(o.BlockAge, defaultBlockAge)
	o.BlockSize = min(cmp.Or(o.BlockSize, defaultBlockSize), maxBlockSize)
	o.BufferLimit = cmp.Or(o.BufferLimit, defaultBufferLimit)
	o.WriterBufferLimit = cmp.Or(o.WriterBufferLimit, defaultWriterBufferLimit)
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
	// lastSent is the last number sent to the current writer.
	lastSent    uint64
	lastBatchAt time.Time
	// unackedSince is the time when the oldest unacknowledged entry was sent or when the last
	// acknowledgement arrived, whichever is later.
	unackedSince time.Time
	// opened is the number of requests that the daemon has opened.
	opened uint64
	runEnd runEnd
}

// runEnd tracks the end of this daemon's run: Flush starts it, batches announce it to the
// writer, and the writer confirms it once a durable block states it.
type runEnd struct {
	started     bool
	announcedAt time.Time
	confirmed   bool
	startedAt   time.Time
	// ownWriter is set once the ending run writes its record itself.
	ownWriter bool
}

// announcementDue reports whether the end has to be announced to the writer. The
// announcement is repeated after each interval until the writer confirms it.
func (e *runEnd) announcementDue(now time.Time, interval time.Duration) bool {
	return e.started && !e.confirmed && now.Sub(e.announcedAt) >= interval
}

// New returns an empty journal.
func New(options Options) *Journal {
	options = options.withDefaults()
	run := vrrecord.Run{Daemon: options.Daemon, Boot: options.Boot}
	return &Journal{
		options: options,
		queue:   queue{run: run, zone: options.Zone, limit: options.BufferLimit},
		writer:  newWriter(options),
	}
}

// Append numbers the entry and keeps it until it is durable. When the buffer exceeds its
// limit, one gap entry with the bounds of the oldest entries replaces them.
func (j *Journal) Append(entry vrrecord.Entry) {
	if entry.Kind.Terminal() {
		j.queue.terminals++
	}
	j.queue.append(entry)
}

// SetOpened sets how many requests the daemon has opened, so that the record can account
// for those whose entries are lost with it. The count never decreases.
func (j *Journal) SetOpened(opened uint64) { j.opened = max(j.opened, opened) }

// Opened returns the number of opened requests that batches state. It is at least the
// number of terminal entries.
func (j *Journal) Opened() uint64 { return max(j.opened, j.queue.terminals) }

// SetWriter sets the writer of this daemon's group, which may be the daemon itself. A
// new writer is sent every entry that the previous one has not acknowledged.
func (j *Journal) SetWriter(daemon vrid.DaemonID, address string) {
	j.writerAddress = address
	if daemon == j.writerID || j.runEnd.ownWriter {
		return
	}
	j.writerID = daemon
	j.lastSent = j.queue.durable
	j.lastBatchAt = time.Time{}
}

// HandlePeerUnreachable handles the loss of the connection to a peer. A writer that
// returns under the same daemon id has lost the entries it held, so it is sent all
// unacknowledged entries again. An ending run does not wait for a new writer, because no
// daemon may be left to assign one.
func (j *Journal) HandlePeerUnreachable(peer vrid.DaemonID) {
	if peer != j.writerID || peer == j.options.Daemon {
		return
	}
	j.lastSent = j.queue.durable
	if j.runEnd.started {
		j.becomeOwnWriter()
	}
}

// becomeOwnWriter makes an ending run its own writer. The previous writer may still write
// the same entries into a block, which the record allows.
func (j *Journal) becomeOwnWriter() {
	j.SetWriter(j.options.Daemon, "")
	j.runEnd.ownWriter = true
	j.runEnd.announcedAt = time.Time{}
}

// SetWriterCount sets the block age for the number of record writers in the zone.
func (j *Journal) SetWriterCount(count int) { j.writer.options.BlockAge = BlockAge(count) }

// BlockAge returns the age at which the writers of a zone close their blocks: 2 s for up
// to 8 writers, then in proportion to their number, at most 5 s.
func BlockAge(writers int) time.Duration {
	return min(max(time.Duration(writers)*blockAgePerWriter, defaultBlockAge), maxBlockAge)
}

// HandleAck handles a writer's acknowledgement.
func (j *Journal) HandleAck(now time.Time, ack *vrwire.RecordAck) {
	if ack.Boot != j.options.Boot {
		return
	}
	j.runEnd.confirmed = j.runEnd.confirmed || ack.Final
	if ack.Resend {
		j.lastSent = j.queue.durable
		j.lastBatchAt = time.Time{}
	}
	if ack.Durable <= j.queue.durable {
		return
	}
	j.queue.dropDurable(ack.Durable)
	j.lastSent = max(j.lastSent, j.queue.durable)
	j.unackedSince = now
}

// HandleBatch handles a batch that another daemon sent to this one as its writer. A batch
// that doesn't fit into the buffer is not acknowledged: its sender keeps the entries and
// sends them again.
func (j *Journal) HandleBatch(now time.Time, envelope *vrwire.Envelope, effects *vrevent.Effects) {
	if envelope.RecordBatch.Daemon != envelope.From || envelope.RecordBatch.Boot != envelope.Boot {
		effects.Warn("record batch and its envelope name different runs", vrevent.Field("peer", envelope.From))
		return
	}
	batch, err := unpackBatch(envelope.RecordBatch)
	if err != nil {
		effects.Warn("cannot unpack record batch", vrevent.Field("peer", envelope.From), vrevent.Field("error", err.Error()))
		return
	}
	state, ackNow, err := j.writer.acceptBatch(now, batch)
	if err != nil {
		effects.Warn("record batch rejected", vrevent.Field("peer", envelope.From), vrevent.Field("error", err.Error()))
		return
	}
	if ackNow {
		// Either the sender repeated durable entries, which means that an acknowledgement was
		// lost, or it has to resend entries that this writer doesn't have.
		j.acknowledge(now, state, effects)
	}
}

// HandleWritten handles the result of a write. It returns false when the write was not
// started by this journal.
func (j *Journal) HandleWritten(now time.Time, event vrevent.ObjectWritten, effects *vrevent.Effects) bool {
	advanced, handled := j.writer.handleWritten(now, event, effects)
	for _, state := range advanced {
		j.acknowledge(now, state, effects)
	}
	return handled
}

// acknowledge sends the run's daemon an acknowledgement. The message has no address: the
// runtime sends it over the session that the peer opened.
func (j *Journal) acknowledge(now time.Time, state runState, effects *vrevent.Effects) {
	ack := &vrwire.RecordAck{Boot: state.run.Boot, Durable: state.durable, Final: state.finalWritten, Resend: state.needsResend}
	if state.run == j.queue.run {
		j.HandleAck(now, ack)
		return
	}
	effects.Add(vrevent.SendPeer{
		Peer:     state.run.Daemon,
		Envelope: j.newEnvelope(func(e *vrwire.Envelope) { e.RecordAck = ack }),
	})
}

func (j *Journal) newEnvelope(set func(*vrwire.Envelope)) *vrwire.Envelope {
	envelope := &vrwire.Envelope{From: j.options.Daemon, Boot: j.options.Boot, Zone: j.options.Zone}
	set(envelope)
	return envelope
}

// CloseRun closes the record of a run that ended. One gap entry stands for the
// requests that the run opened and whose entries this writer doesn't have. The reducer
// calls it on the writer of the run's group.
func (j *Journal) CloseRun(now time.Time, daemon vrid.DaemonID, boot vrid.BootID, opened uint64) {
	j.writer.closeRun(now, vrrecord.Run{Daemon: daemon, Boot: boot}, opened)
}

// Tick sends a batch if one is due and writes a block if the next one is full or old
// enough.
func (j *Journal) Tick(now time.Time, effects *vrevent.Effects) {
	if now.Sub(j.lastBatchAt) >= j.options.BatchInterval {
		j.sendBatch(now, effects)
	}
	j.writer.tick(now, false, effects)
}

// Flush sends and writes pending entries without waiting, for a shutdown. From the first
// call on the daemon opens no more requests, and the record states that. Flush is called
// until Pending returns 0, because a batch and a block are bounded and only one write is
// in flight at a time.
func (j *Journal) Flush(now time.Time, effects *vrevent.Effects) {
	if !j.runEnd.started {
		j.runEnd.started, j.runEnd.startedAt = true, now
	}
	if !j.runEnd.ownWriter && now.Sub(j.runEnd.startedAt) >= endingWriterTimeout {
		j.becomeOwnWriter()
	}
	j.sendBatch(now, effects)
	j.writer.tick(now, true, effects)
}

// Pending returns the number of entries that are not known to be durable: the daemon's
// own and those it holds as a writer. After Flush the statement of the run's end counts
// as one more until it is durable.
func (j *Journal) Pending() int {
	pending := len(j.queue.items) + j.writer.pending()
	if j.runEnd.started && !j.runEnd.confirmed {
		pending++
	}
	return pending
}

// Unwritten returns the encoded entries that are not yet known to be in a block; a query
// adds them to the entries of the blocks. The bytes are shared and must not be changed.
// They are returned encoded so that the caller can decode them without the lock of the
// journal's owner.
func (j *Journal) Unwritten() [][]byte {
	entries := make([][]byte, 0, j.Pending())
	for _, queued := range j.queue.items {
		entries = append(entries, queued.data)
	}
	return j.writer.appendUnwritten(j.queue.run, entries)
}

// sendBatch sends the writer the entries that it was not sent yet. Once ResendTimeout has
// passed, it sends all unacknowledged entries again.
func (j *Journal) sendBatch(now time.Time, effects *vrevent.Effects) {
	if j.writerID == "" {
		return
	}
	j.lastBatchAt = now
	if j.lastSent > j.queue.durable && now.Sub(j.unackedSince) >= j.options.ResendTimeout {
		j.lastSent = j.queue.durable
	}
	batch := j.queue.batchAfter(j.lastSent)
	announceEnd := j.runEnd.announcementDue(now, j.options.BatchInterval)
	if len(batch.Entries) == 0 && !announceEnd {
		return
	}
	batch.Opened = j.Opened()
	batch.Final = j.runEnd.started
	if announceEnd {
		j.runEnd.announcedAt = now
	}
	if j.lastSent == j.queue.durable {
		j.unackedSince = now
	}
	if j.writerID == j.options.Daemon {
		j.acceptOwnBatch(now, batch, effects)
		return
	}
	j.lastSent = max(j.lastSent, j.queue.lastNumberIn(batch))
	effects.Add(vrevent.SendPeer{
		Peer:     j.writerID,
		Address:  j.writerAddress,
		Envelope: j.newEnvelope(func(e *vrwire.Envelope) { e.RecordBatch = packBatch(batch) }),
	})
}

// packBatch returns the batch with its entries compressed if that makes it smaller.
func packBatch(batch *vrwire.RecordBatch) *vrwire.RecordBatch {
	size := 0
	for _, entry := range batch.Entries {
		size += len(entry)
	}
	packed, err := vrrecord.PackEntries(batch.Entries)
	if err != nil || len(packed) >= size {
		return batch
	}
	result := *batch
	result.Packed, result.Entries = packed, nil
	return &result
}

// unpackBatch reverses packBatch.
func unpackBatch(batch *vrwire.RecordBatch) (*vrwire.RecordBatch, error) {
	if len(batch.Packed) == 0 {
		return batch, nil
	}
	entries, err := vrrecord.UnpackEntries(batch.Packed)
	if err != nil {
		return nil, err
	}
	result := *batch
	result.Packed, result.Entries = nil, entries
	return &result, nil
}

// acceptOwnBatch passes the batch to this daemon's own writer. The entries of a rejected
// batch are in the next one again, because lastSent is not advanced.
func (j *Journal) acceptOwnBatch(now time.Time, batch *vrwire.RecordBatch, effects *vrevent.Effects) {
	state, ackNow, err := j.writer.acceptBatch(now, batch)
	if err != nil {
		effects.Warn("local writer rejected record entries, will retry", vrevent.Field("error", err.Error()))
		return
	}
	j.lastSent = max(j.lastSent, j.queue.lastNumberIn(batch))
	if ackNow {
		j.acknowledge(now, state, effects)
	}
}
