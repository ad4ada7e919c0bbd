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

// runState is what a writer knows about a run and its entries.
type runState struct {
	run vrrecord.Run
	// durable is the highest number such that every number up to it is known to be in a
	// block.
	durable uint64
	// held holds the numbers that are in a block or wait for one.
	held vrrecord.NumberSet
	// written holds the numbers that are known to be in a block.
	written vrrecord.NumberSet
	// terminals counts the terminal entries that this writer received.
	terminals uint64
	// missedStart is set when this writer has not received the run's entries from the first
	// one on, so that its count of terminal entries is incomplete.
	missedStart bool
	// opened is the number of requests that the run is known to have opened.
	opened uint64
	// ended is set when the run was closed by closeRun.
	ended bool
	// final is set when the run stated that it opens no more requests, finalWritten when a
	// durable block states that.
	final        bool
	finalWritten bool
	// needsResend is set when the last batch left out earlier numbers that this writer
	// does not hold.
	needsResend bool
}

// bufferedEntry is an encoded entry that waits for a block.
type bufferedEntry struct {
	run  vrrecord.Run
	span vrrecord.Span
	at   int64
	data []byte
	// ownGap is set for a gap entry that this writer made. Its numbers don't count as
	// held: the run may only have been paused and may still deliver them.
	ownGap bool
}

// blockWrite is the write in flight. Its value never changes: after an unknown outcome
// the same value is written again under the same key.
type blockWrite struct {
	op        vrevent.Op
	key       string
	value     []byte
	entries   []bufferedEntry
	endedRuns []vrrecord.Run
	// finalRuns holds, for each of endedRuns, whether the block states that the run itself
	// announced its end.
	finalRuns      map[vrrecord.Run]bool
	awaitingResult bool
	retryAt        time.Time
	retryDelay     time.Duration
}

// writer collects the entries of a group's runs, writes them in blocks and keeps track of
// which of them are durable.
type writer struct {
	options Options
	ops     *vrevent.Ops
	random  *rand.Rand
	runs    map[vrrecord.Run]*runState
	buffer  []bufferedEntry
	// heldBytes is the size of the buffer and of the write in flight.
	heldBytes vrid.Bytes
	// oldestAt is the time from which the age of the next block counts.
	oldestAt     time.Time
	sequence     uint64
	previousHash []byte
	inFlight     *blockWrite
	// endedRuns holds the runs whose end the next block has to state.
	endedRuns []vrrecord.Run
}

func newWriter(options Options) writer {
	return writer{
		options: options,
		ops:     options.Ops,
		random:  options.Random,
		runs:    make(map[vrrecord.Run]*runState),
	}
}

// BufferFullError reports that a batch doesn't fit into the writer's buffer.
type BufferFullError struct {
	Held  vrid.Bytes
	Limit vrid.Bytes
}

func (e *BufferFullError) Error() string {
	return fmt.Sprintf("the writer's buffer has no room for the batch: %d of %d bytes are not on the platform yet", e.Held, e.Limit)
}

// acceptBatch buffers the batch's entries that the writer doesn't hold yet. It returns
// the run's state and whether an acknowledgement is due at once, because the whole batch
// was already durable or because earlier entries have to be sent again.
func (w *writer) acceptBatch(now time.Time, batch *vrwire.RecordBatch) (snapshot runState, ackNow bool, err error) {
	entries, size, err := decodeBatch(batch)
	if err != nil {
		return runState{}, false, err
	}
	if w.heldBytes+size > w.options.WriterBufferLimit {
		return runState{}, false, &BufferFullError{Held: w.heldBytes, Limit: w.options.WriterBufferLimit}
	}
	run := vrrecord.Run{Daemon: batch.Daemon, Boot: batch.Boot}
	state := w.runStateFor(run, batch.Durable)
	state.opened = max(state.opened, batch.Opened)
	w.advanceDurable(state, batch.Durable)
	state.needsResend = len(entries) > 0 && entries[0].Span().First > state.held.LastContiguous(0)+1
	if state.needsResend {
		// The batch is dropped, because buffering it could leave a hole in the run's numbers:
		// if the run died before it resent the earlier entries, no gap entry might cover them.
		return *state, true, nil
	}
	ackNow = true
	for i, entry := range entries {
		ackNow = ackNow && entry.Span().Last <= state.durable
		w.addEntry(now, state, entry, batch.Entries[i])
	}
	w.markFinal(now, state, batch.Final)
	return *state, ackNow && state.finalWritten == batch.Final, nil
}

// markFinal records that the run announced its end, which the next block states.
func (w *writer) markFinal(now time.Time, state *runState, final bool) {
	if !final || state.final {
		return
	}
	state.final = true
	w.startBlockTimer(now)
	w.endedRuns = append(w.endedRuns, state.run)
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
			return nil, 0, &vrrecord.EntryError{Field: "daemon", Problem: "the daemon or boot id differs from the batch's, or the number is 0"}
		}
		entries[i] = entry
		size += vrid.Bytes(len(data))
	}
	return entries, size, nil
}

func (w *writer) runStateFor(run vrrecord.Run, durable uint64) *runState {
	state := w.runs[run]
	if state == nil {
		state = &runState{run: run, missedStart: durable > 0}
		w.runs[run] = state
	}
	return state
}

// advanceDurable raises the run's durable number to the one that the sender states, which
// may come from another writer's acknowledgements.
func (w *writer) advanceDurable(state *runState, durable uint64) {
	if durable <= state.durable {
		return
	}
	if !state.held.Has(state.durable+1, durable) {
		state.missedStart = true
	}
	state.held.Add(1, durable)
	state.written.Add(1, durable)
	state.durable = state.written.LastContiguous(0)
}

// addEntry buffers the entry unless the writer already holds its numbers.
func (w *writer) addEntry(now time.Time, state *runState, entry *vrrecord.Entry, data []byte) {
	span := entry.Span()
	if state.held.Has(span.First, span.Last) {
		return
	}
	state.held.Add(span.First, span.Last)
	if entry.Kind.Terminal() {
		state.terminals++
	}
	w.pushEntry(now, bufferedEntry{run: state.run, span: span, at: entry.At, data: data})
}

func (w *writer) pushEntry(now time.Time, entry bufferedEntry) {
	if len(w.buffer) == 0 {
		w.oldestAt = now
	}
	w.buffer = append(w.buffer, entry)
	w.heldBytes += vrid.Bytes(len(entry.data))
}

// closeRun marks the run as ended and adds a gap entry for its requests whose terminal
// entries this writer doesn't hold.
func (w *writer) closeRun(now time.Time, run vrrecord.Run, opened uint64) {
	state := w.runs[run]
	if state == nil {
		state = &runState{run: run, missedStart: true}
		w.runs[run] = state
	}
	if state.ended {
		return
	}
	state.ended = true
	state.opened = max(state.opened, opened)
	w.startBlockTimer(now)
	w.endedRuns = append(w.endedRuns, run)
	span, lost := state.lostSpan()
	if !lost {
		return
	}
	data := encodeGap(run, w.options.Zone, span, now.UnixMilli())
	w.pushEntry(now, bufferedEntry{run: run, span: span, at: now.UnixMilli(), data: data, ownGap: true})
}

// startBlockTimer starts counting the age of the next block if nothing waits for it yet.
// It is called for the end of a run, which a block states even when it holds no entry.
func (w *writer) startBlockTimer(now time.Time) {
	if len(w.buffer) == 0 && len(w.endedRuns) == 0 {
		w.oldestAt = now
	}
}

// lostSpan returns the bounds of the run's numbers whose entries are lost, and false if
// none are. A gap entry only stands for numbers within its bounds that no block holds, so
// bounds that are too wide hide nothing.
func (s *runState) lostSpan() (vrrecord.Span, bool) {
	if s.missedStart {
		// Numbers don't count requests: a placement owner's loads and takeovers have numbers
		// too, so more durable numbers than opened requests don't prove that none is lost.
		// Nor does an opened count of zero, because the count may be out of date.
		span := vrrecord.Span{First: 1, Last: max(s.opened, s.held.Last()+1)}
		return span, !s.final
	}
	holes := s.held.Missing(1, s.held.Last())
	holeNumbers := uint64(0)
	for _, hole := range holes {
		holeNumbers += hole.Len()
	}
	if s.opened <= s.terminals && len(holes) == 0 {
		return vrrecord.Span{}, false
	}
	span := vrrecord.Span{First: s.held.Last() + 1, Last: s.held.Last()}
	if missing := s.opened - min(s.opened, s.terminals); missing > holeNumbers {
		span.Last += missing - holeNumbers
	}
	if len(holes) > 0 {
		span.First = holes[0].First
	}
	return span, true
}

// tick retries the write in flight, or writes the next block if it is due. With force a
// block is due as soon as there is something to write.
func (w *writer) tick(now time.Time, force bool, effects *vrevent.Effects) {
	if w.inFlight != nil {
		if force {
			w.inFlight.limitRetry(now)
		}
		w.retryWrite(now, effects)
		return
	}
	if len(w.buffer) == 0 && len(w.endedRuns) == 0 {
		return
	}
	if !force && w.heldBytes < w.options.BlockSize && now.Sub(w.oldestAt) < w.options.BlockAge {
		return
	}
	w.write(now, effects)
}

// write builds the next block and starts its write.
func (w *writer) write(now time.Time, effects *vrevent.Effects) {
	entries := w.nextBlockEntries()
	block := w.buildBlock(now, entries)
	value, err := vrrecord.EncodeBlock(block)
	if err != nil {
		effects.Add(vrevent.Log{Level: vrevent.LogError, Message: "cannot encode record block", Fields: []vrevent.LogField{vrevent.Field("error", err.Error())}})
		return
	}
	w.buffer = w.buffer[len(entries):]
	if len(w.buffer) == 0 {
		w.buffer = nil
	}
	w.oldestAt = now
	w.sequence = block.Sequence
	w.previousHash = vrrecord.Hash(value)
	w.inFlight = &blockWrite{key: block.Key(), value: value, entries: entries, endedRuns: w.endedRuns, finalRuns: w.finalRuns(), retryDelay: minRetryDelay}
	w.endedRuns = nil
	w.sendWrite(effects)
}

// finalRuns returns, for each of w.endedRuns, whether the run itself announced its end.
func (w *writer) finalRuns() map[vrrecord.Run]bool {
	finalRuns := make(map[vrrecord.Run]bool)
	for _, run := range w.endedRuns {
		finalRuns[run] = w.runs[run].final
	}
	return finalRuns
}

// nextBlockEntries returns the oldest buffered entries that fit into a block, at least
// one if there are any.
func (w *writer) nextBlockEntries() []bufferedEntry {
	size := vrid.Bytes(0)
	for i := range w.buffer {
		size += vrid.Bytes(len(w.buffer[i].data))
		if i > 0 && size > w.options.BlockSize {
			return w.buffer[:i:i]
		}
	}
	return w.buffer
}

// buildBlock builds the next block. A block without entries, which only states the ends of runs,
// has the time at which it is built, because its key contains the hour of that time.
func (w *writer) buildBlock(now time.Time, entries []bufferedEntry) *vrrecord.Block {
	block := &vrrecord.Block{
		Zone: w.options.Zone, Writer: w.options.Daemon, Boot: w.options.Boot,
		Sequence: w.sequence + 1, Previous: w.previousHash,
	}
	if len(entries) == 0 {
		block.From, block.Until = now.UnixMilli(), now.UnixMilli()
	}
	covered := make(map[vrrecord.Run]*vrrecord.NumberSet)
	var order []vrrecord.Run
	for _, entry := range entries {
		block.Entries = append(block.Entries, entry.data)
		if block.From == 0 || entry.at < block.From {
			block.From = entry.at
		}
		block.Until = max(block.Until, entry.at)
		if covered[entry.run] == nil {
			covered[entry.run] = &vrrecord.NumberSet{}
			order = append(order, entry.run)
		}
		covered[entry.run].Add(entry.span.First, entry.span.Last)
	}
	for _, run := range order {
		w.addCoverage(block, run, covered[run].Spans())
	}
	for _, run := range w.endedRuns {
		if covered[run] == nil {
			w.addCoverage(block, run, []vrrecord.Span{{}})
		}
	}
	return block
}

// addCoverage adds one Coverage for each span of the run's numbers that the block holds. An
// empty span only states the number of opened requests and the end of the run.
func (w *writer) addCoverage(block *vrrecord.Block, run vrrecord.Run, spans []vrrecord.Span) {
	state := w.runs[run]
	for _, span := range spans {
		block.Coverage = append(block.Coverage, vrrecord.Coverage{
			Daemon: run.Daemon, Boot: run.Boot, First: span.First, Last: span.Last,
			Opened: state.opened, Ended: state.ended, Final: state.final,
		})
	}
}

func (w *writer) sendWrite(effects *vrevent.Effects) {
	write := w.inFlight
	write.op = w.ops.Next()
	write.awaitingResult = true
	effects.Add(vrevent.WriteObject{Op: write.op, Key: write.key, IfVersion: 0, Value: write.value})
}

// limitRetry bounds the wait until the next retry by maxFlushRetryDelay. After an outage the wait may be longer than
// the time that a shutdown leaves for the record.
func (b *blockWrite) limitRetry(now time.Time) {
	if latest := now.Add(maxFlushRetryDelay); b.retryAt.After(latest) {
		b.retryAt = latest
	}
}

func (w *writer) retryWrite(now time.Time, effects *vrevent.Effects) {
	if w.inFlight.awaitingResult || now.Before(w.inFlight.retryAt) {
		return
	}
	w.sendWrite(effects)
}

// handleWritten handles the result of a write. It returns the state of the runs whose
// durable number grew or whose end is durable now, and whether the write was this
// writer's.
func (w *writer) handleWritten(now time.Time, event vrevent.ObjectWritten, effects *vrevent.Effects) (advanced []runState, handled bool) {
	write := w.inFlight
	if write == nil || !write.awaitingResult || write.op != event.Op {
		return nil, false
	}
	write.awaitingResult = false
	switch event.Outcome {
	case vrplatform.OutcomeOK, vrplatform.OutcomeConflict:
		// Only this run of this daemon writes under the key, so a conflict means that an
		// earlier attempt took effect although its result was lost.
		w.inFlight = nil
		return w.finishWrite(write), true
	default:
		write.retryAt = now.Add(w.jitter(write.retryDelay))
		write.retryDelay = min(2*write.retryDelay, maxRetryDelay)
		effects.Warn("record block write not confirmed, will retry", vrevent.Field("key", write.key), vrevent.Field("outcome", event.Outcome.String()))
		return nil, true
	}
}

// jitter returns a random delay between 0.5 and 1.5 times the given one, so that many
// writers don't retry at once after an outage.
func (w *writer) jitter(delay time.Duration) time.Duration {
	return delay/2 + time.Duration(w.random.Int64N(int64(delay)))
}

// finishWrite marks the entries of a confirmed write as written. It returns the state of
// the runs whose durable number grew or whose end is durable now.
func (w *writer) finishWrite(write *blockWrite) []runState {
	visited := make(map[vrrecord.Run]bool)
	var advanced []runState
	for _, entry := range write.entries {
		w.heldBytes -= vrid.Bytes(len(entry.data))
		if !entry.ownGap {
			w.runs[entry.run].written.Add(entry.span.First, entry.span.Last)
		}
	}
	for _, run := range write.endedRuns {
		state := w.runs[run]
		state.finalWritten = state.finalWritten || write.finalRuns[run]
		visited[run] = true
		// The end is acknowledged even if the durable number did not grow.
		if state.updateDurable() || state.finalWritten {
			advanced = append(advanced, *state)
		}
	}
	for _, entry := range write.entries {
		if visited[entry.run] {
			continue
		}
		visited[entry.run] = true
		if state := w.runs[entry.run]; state.updateDurable() {
			advanced = append(advanced, *state)
		}
	}
	w.dropEndedRuns()
	return advanced
}

// updateDurable recomputes the durable number and reports whether it grew.
func (s *runState) updateDurable() bool {
	durable := s.written.LastContiguous(0)
	if durable <= s.durable {
		return false
	}
	s.durable = durable
	return true
}

// runCleanupThreshold is the number of runs above which the state of ended runs is
// dropped, which bounds its memory. That state is only needed to keep a late batch from
// being written twice.
const runCleanupThreshold = 64

// dropEndedRuns drops the state of ended runs that no buffered entry and no unwritten end
// refers to.
func (w *writer) dropEndedRuns() {
	if len(w.runs) <= runCleanupThreshold {
		return
	}
	inUse := make(map[vrrecord.Run]bool)
	for _, run := range w.endedRuns {
		inUse[run] = true
	}
	for _, entry := range w.buffer {
		inUse[entry.run] = true
	}
	for run, state := range w.runs {
		if state.ended && !inUse[run] && state.held.Last() <= state.written.Last() {
			delete(w.runs, run)
		}
	}
}

// pending returns the number of entries and of ends of runs that are not known to be
// durable.
func (w *writer) pending() int {
	if w.inFlight == nil {
		return len(w.buffer) + len(w.endedRuns)
	}
	return len(w.buffer) + len(w.endedRuns) + len(w.inFlight.entries) + len(w.inFlight.endedRuns)
}

// appendUnwritten appends the encoded entries of all runs except one that are not yet
// known to be in a block.
func (w *writer) appendUnwritten(except vrrecord.Run, entries [][]byte) [][]byte {
	lists := [][]bufferedEntry{w.buffer}
	if w.inFlight != nil {
		lists = append(lists, w.inFlight.entries)
	}
	for _, list := range lists {
		for _, entry := range list {
			if entry.run != except {
				entries = append(entries, entry.data)
			}
		}
	}
	return entries
}
