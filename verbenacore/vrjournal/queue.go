package vrjournal

import (
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrwire"
)

// queuedEntry is an encoded entry, or a gap entry, that is not known to be durable.
type queuedEntry struct {
	span vrrecord.Span
	data []byte
}

// queue holds the daemon's own unacknowledged entries in the order of their numbers.
// Their spans are contiguous.
type queue struct {
	run   vrrecord.Run
	zone  vrid.ZoneID
	limit vrid.Bytes
	items []queuedEntry
	size  vrid.Bytes
	// lastNumber is the highest number assigned, durable the highest acknowledged one.
	lastNumber uint64
	durable    uint64
	// terminals counts the terminal entries of the run.
	terminals uint64
	// gapAt is the time of the newest gap entry that evictOldest made. It is the time of the
	// entry that exceeded the limit.
	gapAt int64
}

// evictionDivisor sets how much of a full queue is evicted at once: 1/8 of the limit, so
// that the gap entry is not encoded again for each new entry.
const evictionDivisor = 8

func (q *queue) append(entry vrrecord.Entry) {
	q.lastNumber++
	entry.Number = q.lastNumber
	entry.Daemon = q.run.Daemon
	entry.Boot = q.run.Boot
	if entry.Zone == "" {
		entry.Zone = q.zone
	}
	data, err := vrwire.Marshal(&entry)
	if err != nil || entry.Validate() != nil || vrid.Bytes(len(data)) > maxBatchSize/2 {
		// An entry that readers would reject must not block the entries after it.
		data = q.encodeGap(vrrecord.Span{First: q.lastNumber, Last: q.lastNumber}, entry.At)
	}
	q.push(queuedEntry{span: vrrecord.Span{First: q.lastNumber, Last: q.lastNumber}, data: data})
	if q.size > q.limit {
		q.evictOldest(entry.At)
	}
}

func (q *queue) push(entry queuedEntry) {
	q.items = append(q.items, entry)
	q.size += vrid.Bytes(len(entry.data))
}

// evictOldest replaces the oldest entries with one gap entry. The writer may already have
// some of them. This hides nothing, because a gap entry only stands for the numbers within
// its bounds that no block holds.
func (q *queue) evictOldest(at int64) {
	target := q.limit - q.limit/evictionDivisor
	span := q.items[0].span
	count := 0
	for count < len(q.items)-1 && q.size > target {
		q.size -= vrid.Bytes(len(q.items[count].data))
		span.Last = q.items[count].span.Last
		count++
	}
	if count == 0 {
		return
	}
	q.gapAt = at
	q.items = q.items[count-1:]
	q.items[0] = queuedEntry{span: span, data: q.encodeGap(span, at)}
	q.size += vrid.Bytes(len(q.items[0].data))
}

func (q *queue) encodeGap(span vrrecord.Span, at int64) []byte {
	return encodeGap(q.run, q.zone, span, at)
}

func encodeGap(run vrrecord.Run, zone vrid.ZoneID, span vrrecord.Span, at int64) []byte {
	gap := vrrecord.Entry{
		Kind: vrrecord.EntryGap, Number: span.First, Daemon: run.Daemon, Boot: run.Boot,
		Zone: zone, At: at, GapFirst: span.First, GapLast: span.Last,
	}
	data, err := vrwire.Marshal(&gap)
	if err != nil {
		// Marshal can't fail for an entry of plain numbers and strings.
		panic(err)
	}
	return data
}

// dropDurable removes the entries up to the number durable.
func (q *queue) dropDurable(durable uint64) {
	q.durable = min(durable, q.lastNumber)
	count := 0
	for count < len(q.items) && q.items[count].span.Last <= q.durable {
		q.size -= vrid.Bytes(len(q.items[count].data))
		count++
	}
	clear(q.items[:count])
	q.items = q.items[count:]
	q.trimGap()
}

// trimGap removes durable numbers from the first gap entry. They remain in it when the gap
// grew after it was sent.
func (q *queue) trimGap() {
	if len(q.items) == 0 || q.items[0].span.First > q.durable {
		return
	}
	span := vrrecord.Span{First: q.durable + 1, Last: q.items[0].span.Last}
	q.size -= vrid.Bytes(len(q.items[0].data))
	q.items[0] = queuedEntry{span: span, data: q.encodeGap(span, q.gapAt)}
	q.size += vrid.Bytes(len(q.items[0].data))
}

// batchAfter returns a batch of the entries whose numbers are above after, at most
// maxBatchSize bytes.
func (q *queue) batchAfter(after uint64) *vrwire.RecordBatch {
	batch := &vrwire.RecordBatch{Daemon: q.run.Daemon, Boot: q.run.Boot, Durable: q.durable}
	size := vrid.Bytes(0)
	for _, queued := range q.items {
		if queued.span.Last <= after {
			continue
		}
		size += vrid.Bytes(len(queued.data))
		if size > maxBatchSize {
			break
		}
		if batch.FirstNumber == 0 {
			batch.FirstNumber = queued.span.First
		}
		batch.Entries = append(batch.Entries, queued.data)
	}
	return batch
}

// lastNumberIn returns the last number that a batch from batchAfter covers.
func (q *queue) lastNumberIn(batch *vrwire.RecordBatch) uint64 {
	remaining := len(batch.Entries)
	if remaining == 0 {
		return q.durable
	}
	for _, queued := range q.items {
		if queued.span.First < batch.FirstNumber {
			continue
		}
		if remaining--; remaining == 0 {
			return queued.span.Last
		}
	}
	return q.durable
}
