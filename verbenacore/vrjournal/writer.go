package vrjournal

import (
	"fmt"
	"math/rand/v2"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrwire"
)

// source is how far a writer has a run's entries.
type source struct {
	run vrrecord.Run
	// durable: every number up to it is known to be in a block.
	durable uint64
	// held are the numbers that are in a block or wait for one.
	held vrrecord.Numbers
	// written are the numbers that are known to be in a block.
	written   vrrecord.Numbers
	terminals uint64
	// unknown is set when this writer met the run after its beginning, so that its
	// count of terminal entries says nothing.
	unknown bool
	opened  uint64
	ended   bool
	// final is set when the run said that it opens no further request, finalWritten when
	// a durable block says so.
	final        bool
	finalWritten bool
	// lacks is set when the last batch began after numbers that this writer does not hold.
	lacks bool
}

// taken is one entry that waits for a block.
type taken struct {
	run  vrrecord.Run
	span vrrecord.Span
	at   int64
	data []byte
	// made is set for a gap entry of this writer. Its numbers don't count as held: a
	// run that was paused and not dead may still deliver them.
	made bool
}

// blockWrite is the write in flight. Its value never changes: an unknown outcome is
// followed by the same write under the same key.
type blockWrite struct {
	op      vrevent.Op
	key     string
	value   []byte
	entries []taken
	endings []vrrecord.Run
	// finals are the endings that the block states as proper ones.
	finals  map[vrrecord.Run]bool
	waiting bool
	retryAt time.Time
	delay   time.Duration
}

type writer struct {
	options  Options
	ops      *vrevent.Ops
	random   *rand.Rand
	sources  map[vrrecord.Run]*source
	buffer   []taken
	size     vrid.Bytes
	oldest   time.Time
	sequence uint64
	previous []byte
	inFlight *blockWrite
	// endings are runs whose end the next block has to state.
	endings []vrrecord.Run
}

func newWriter(options Options) writer {
	return writer{
		options: options,
		ops:     options.Ops,
		random:  options.Random,
		sources: make(map[vrrecord.Run]*source),
	}
}

// FullError says that a writer holds as much as it may.
type FullError struct {
	Held  vrid.Bytes
	Limit vrid.Bytes
}

func (e *FullError) Error() string {
	return fmt.Sprintf("the writer holds %d of %d bytes that are not on the platform", e.Held, e.Limit)
}

// take keeps the entries that it doesn't have yet. It returns the run's state and
// whether the whole batch was durable already.
func (w *writer) take(now time.Time, batch *vrwire.RecordBatch) (state source, again bool, err error) {
	entries, size, err := decodeBatch(batch)
	if err != nil {
		return source{}, false, err
	}
	if w.size+size > w.options.WriterBuffer {
		return source{}, false, &FullError{Held: w.size, Limit: w.options.WriterBuffer}
	}
	run := vrrecord.Run{Daemon: batch.Daemon, Boot: batch.Boot}
	origin := w.source(run, batch.Durable)
	origin.opened = max(origin.opened, batch.Opened)
	w.advance(origin, batch.Durable)
	origin.lacks = len(entries) > 0 && entries[0].Covers().First > origin.held.Through(0)+1
	if origin.lacks {
		// Blocks hold each run's numbers without holes: if the run died now, a hole below
		// numbers that are in a block might be covered by no gap.
		return *origin, true, nil
	}
	again = true
	for i, entry := range entries {
		again = again && entry.Covers().Last <= origin.durable
		w.keep(now, origin, entry, batch.Entries[i])
	}
	w.takeFinal(now, origin, batch.Final)
	return *origin, again && origin.finalWritten == batch.Final, nil
}

// takeFinal notes that a run came to its proper end; the next block says so.
func (w *writer) takeFinal(now time.Time, origin *source, final bool) {
	if !final || origin.final {
		return
	}
	origin.final = true
	w.wake(now)
	w.endings = append(w.endings, origin.run)
}

func decodeBatch(batch *vrwire.RecordBatch) ([]*vrrecord.Entry, vrid.Bytes, error) {
	entries := make([]*vrrecord.Entry, len(batch.Entries))
	size := vrid.Bytes(0)
	for i, data := range batch.Entries {
		entry, err := vrwire.Unmarshal[vrrecord.Entry](data)
		if err != nil {
			return nil, 0, err
		}
		if entry.Daemon != batch.Daemon || entry.Boot != batch.Boot || entry.Number == 0 {
			return nil, 0, &vrrecord.EntryError{Field: "daemon", Problem: "is not the batch's run"}
		}
		entries[i] = entry
		size += vrid.Bytes(len(data))
	}
	return entries, size, nil
}

func (w *writer) source(run vrrecord.Run, durable uint64) *source {
	origin := w.sources[run]
	if origin == nil {
		origin = &source{run: run, unknown: durable > 0}
		w.sources[run] = origin
	}
	return origin
}

// advance takes over what the sender knows to be durable from another writer.
func (w *writer) advance(origin *source, durable uint64) {
	if durable <= origin.durable {
		return
	}
	if !origin.held.Has(origin.durable+1, durable) {
		origin.unknown = true
	}
	origin.held.Add(1, durable)
	origin.written.Add(1, durable)
	origin.durable = origin.written.Through(0)
}

func (w *writer) keep(now time.Time, origin *source, entry *vrrecord.Entry, data []byte) {
	span := entry.Covers()
	if origin.held.Has(span.First, span.Last) {
		return
	}
	origin.held.Add(span.First, span.Last)
	if entry.Kind.Terminal() {
		origin.terminals++
	}
	w.put(now, taken{run: origin.run, span: span, at: entry.At, data: data})
}

func (w *writer) put(now time.Time, entry taken) {
	if len(w.buffer) == 0 {
		w.oldest = now
	}
	w.buffer = append(w.buffer, entry)
	w.size += vrid.Bytes(len(entry.data))
}

// endRun adds a gap entry for the requests of a run that have no terminal entry here.
func (w *writer) endRun(now time.Time, run vrrecord.Run, opened uint64) {
	origin := w.sources[run]
	if origin == nil {
		origin = &source{run: run, unknown: true}
		w.sources[run] = origin
	}
	if origin.ended {
		return
	}
	origin.ended = true
	origin.opened = max(origin.opened, opened)
	w.wake(now)
	w.endings = append(w.endings, run)
	span, lacking := origin.lacking()
	if !lacking {
		return
	}
	data := encodeGap(run, w.options.Zone, span, now.UnixMilli())
	w.put(now, taken{run: run, span: span, at: now.UnixMilli(), data: data, made: true})
}

// wake makes a block due although it may hold no entry: it states that a run ended.
func (w *writer) wake(now time.Time) {
	if len(w.buffer) == 0 && len(w.endings) == 0 {
		w.oldest = now
	}
}

// lacking returns the bounds of the numbers that the run's lost entries had. A gap
// only stands for numbers within its bounds that no block holds, so bounds that are
// too wide hide nothing.
func (s *source) lacking() (vrrecord.Span, bool) {
	if s.unknown {
		// Numbers are no count of requests: an owner's loads and takeovers have numbers
		// too, so durable numbers beyond the opened requests prove nothing.
		// The count of opened requests may be old, so a count of zero proves nothing either.
		bound := vrrecord.Span{First: 1, Last: max(s.opened, s.held.Last()+1)}
		return bound, !s.final
	}
	holes := s.held.Missing(1, s.held.Last())
	inHoles := uint64(0)
	for _, hole := range holes {
		inHoles += hole.Len()
	}
	if s.opened <= s.terminals && len(holes) == 0 {
		return vrrecord.Span{}, false
	}
	span := vrrecord.Span{First: s.held.Last() + 1, Last: s.held.Last()}
	if missing := s.opened - min(s.opened, s.terminals); missing > inHoles {
		span.Last += missing - inHoles
	}
	if len(holes) > 0 {
		span.First = holes[0].First
	}
	return span, true
}

func (w *writer) tick(now time.Time, force bool, effects *vrevent.Effects) {
	if w.inFlight != nil {
		w.retry(now, effects)
		return
	}
	if len(w.buffer) == 0 && len(w.endings) == 0 {
		return
	}
	if !force && w.size < w.options.BlockSize && now.Sub(w.oldest) < w.options.BlockAge {
		return
	}
	w.write(now, effects)
}

// write closes a block and starts its write.
func (w *writer) write(now time.Time, effects *vrevent.Effects) {
	entries := w.cut()
	block := w.block(entries)
	value, err := vrrecord.EncodeBlock(block)
	if err != nil {
		effects.Add(vrevent.Log{Level: vrevent.LogError, Message: "record block can't be encoded", Fields: []vrevent.LogField{vrevent.Field("error", err.Error())}})
		return
	}
	w.buffer = w.buffer[len(entries):]
	if len(w.buffer) == 0 {
		w.buffer = nil
	}
	w.oldest = now
	w.sequence = block.Sequence
	w.previous = vrrecord.Hash(value)
	w.inFlight = &blockWrite{key: block.Key(), value: value, entries: entries, endings: w.endings, finals: w.finals(), delay: firstRetry}
	w.endings = nil
	w.send(effects)
}

func (w *writer) finals() map[vrrecord.Run]bool {
	finals := make(map[vrrecord.Run]bool)
	for _, run := range w.endings {
		finals[run] = w.sources[run].final
	}
	return finals
}

// cut returns the entries of the next block.
func (w *writer) cut() []taken {
	size := vrid.Bytes(0)
	for i := range w.buffer {
		size += vrid.Bytes(len(w.buffer[i].data))
		if i > 0 && size > w.options.BlockSize {
			return w.buffer[:i:i]
		}
	}
	return w.buffer
}

func (w *writer) block(entries []taken) *vrrecord.Block {
	block := &vrrecord.Block{
		Zone: w.options.Zone, Writer: w.options.Daemon, Boot: w.options.Boot,
		Sequence: w.sequence + 1, Previous: w.previous,
	}
	covered := make(map[vrrecord.Run]*vrrecord.Numbers)
	var order []vrrecord.Run
	for _, entry := range entries {
		block.Entries = append(block.Entries, entry.data)
		if block.From == 0 || entry.at < block.From {
			block.From = entry.at
		}
		block.Until = max(block.Until, entry.at)
		if covered[entry.run] == nil {
			covered[entry.run] = &vrrecord.Numbers{}
			order = append(order, entry.run)
		}
		covered[entry.run].Add(entry.span.First, entry.span.Last)
	}
	for _, run := range order {
		w.cover(block, run, covered[run].Spans())
	}
	for _, run := range w.endings {
		if covered[run] == nil {
			w.cover(block, run, []vrrecord.Span{{}})
		}
	}
	return block
}

// cover states what the block holds of a run. An empty span states only the count of
// opened requests and whether the run is over.
func (w *writer) cover(block *vrrecord.Block, run vrrecord.Run, spans []vrrecord.Span) {
	origin := w.sources[run]
	for _, span := range spans {
		block.Coverage = append(block.Coverage, vrrecord.Coverage{
			Daemon: run.Daemon, Boot: run.Boot, First: span.First, Last: span.Last,
			Opened: origin.opened, Ended: origin.ended, Final: origin.final,
		})
	}
}

func (w *writer) send(effects *vrevent.Effects) {
	write := w.inFlight
	write.op = w.ops.Next()
	write.waiting = true
	effects.Add(vrevent.WriteObject{Op: write.op, Key: write.key, IfVersion: 0, Value: write.value})
}

func (w *writer) retry(now time.Time, effects *vrevent.Effects) {
	if w.inFlight.waiting || now.Before(w.inFlight.retryAt) {
		return
	}
	w.send(effects)
}

// written takes the end of a write. It returns the runs whose durable number grew.
func (w *writer) written(now time.Time, event vrevent.ObjectWritten, effects *vrevent.Effects) (progress []source, ours bool) {
	write := w.inFlight
	if write == nil || !write.waiting || write.op != event.Op {
		return nil, false
	}
	write.waiting = false
	switch event.Outcome {
	case vrplatform.OutcomeOK, vrplatform.OutcomeConflict:
		// Only this run of this daemon writes under the key, so a conflict means that
		// an earlier attempt took effect although its answer was lost.
		w.inFlight = nil
		return w.settle(write), true
	default:
		write.retryAt = now.Add(w.jitter(write.delay))
		write.delay = min(2*write.delay, lastRetry)
		effects.Warn("record block not written", vrevent.Field("key", write.key), vrevent.Field("outcome", event.Outcome.String()))
		return nil, true
	}
}

// jitter spreads the retries of many writers after an outage.
func (w *writer) jitter(delay time.Duration) time.Duration {
	return delay/2 + time.Duration(w.random.Int64N(int64(delay)))
}

func (w *writer) settle(write *blockWrite) []source {
	touched := make(map[vrrecord.Run]bool)
	var progress []source
	for _, entry := range write.entries {
		w.size -= vrid.Bytes(len(entry.data))
		if !entry.made {
			w.sources[entry.run].written.Add(entry.span.First, entry.span.Last)
		}
	}
	for _, run := range write.endings {
		origin := w.sources[run]
		origin.finalWritten = origin.finalWritten || write.finals[run]
		touched[run] = true
		// The acknowledgement of an end is due even when no number is new.
		if origin.settle() || origin.finalWritten {
			progress = append(progress, *origin)
		}
	}
	for _, entry := range write.entries {
		if touched[entry.run] {
			continue
		}
		touched[entry.run] = true
		if origin := w.sources[entry.run]; origin.settle() {
			progress = append(progress, *origin)
		}
	}
	w.forget()
	return progress
}

func (s *source) settle() bool {
	durable := s.written.Through(0)
	if durable <= s.durable {
		return false
	}
	s.durable = durable
	return true
}

// endedRuns bounds the memory for runs that are over; their state only keeps a late
// batch from being written twice.
const endedRuns = 64

func (w *writer) forget() {
	if len(w.sources) <= endedRuns {
		return
	}
	used := make(map[vrrecord.Run]bool)
	for _, run := range w.endings {
		used[run] = true
	}
	for _, entry := range w.buffer {
		used[entry.run] = true
	}
	for run, origin := range w.sources {
		if origin.ended && !used[run] && origin.held.Last() <= origin.written.Last() {
			delete(w.sources, run)
		}
	}
}

func (w *writer) pending() int {
	if w.inFlight == nil {
		return len(w.buffer) + len(w.endings)
	}
	return len(w.buffer) + len(w.endings) + len(w.inFlight.entries) + len(w.inFlight.endings)
}

// unwritten appends the entries of other runs that are in no block yet.
func (w *writer) unwritten(except vrrecord.Run, entries [][]byte) [][]byte {
	lists := [][]taken{w.buffer}
	if w.inFlight != nil {
		lists = append(lists, w.inFlight.entries)
	}
	for _, list := range lists {
		for _, held := range list {
			if held.run != except {
				entries = append(entries, held.data)
			}
		}
	}
	return entries
}
