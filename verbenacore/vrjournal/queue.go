package vrjournal

import (
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrwire"
)

// item is one encoded entry that is not known to be durable.
type item struct {
	span vrrecord.Span
	data []byte
}

// queue holds a daemon's own entries in the order of their numbers, without gaps
// between the spans.
type queue struct {
	run   vrrecord.Run
	zone  vrid.ZoneID
	limit vrid.Bytes
	items []item
	size  vrid.Bytes
	// last is the highest number given out, durable the last acknowledged one.
	last      uint64
	durable   uint64
	terminals uint64
	// lostAt is the time of the newest entry that a gap replaced.
	lostAt int64
}

// shrinkParts is the part of a full buffer that is given up at once, so that the gap
// entry is not encoded again for each new entry.
const shrinkParts = 8

func (q *queue) append(entry vrrecord.Entry) {
	q.last++
	entry.Number = q.last
	entry.Daemon = q.run.Daemon
	entry.Boot = q.run.Boot
	if entry.Zone == "" {
		entry.Zone = q.zone
	}
	data, err := vrwire.Marshal(&entry)
	if err != nil || entry.Validate() != nil || vrid.Bytes(len(data)) > maxBatch/2 {
		// An entry that no reader would take must not hold up those after it.
		data = q.encodeGap(vrrecord.Span{First: q.last, Last: q.last}, entry.At)
	}
	q.push(item{span: vrrecord.Span{First: q.last, Last: q.last}, data: data})
	if q.size > q.limit {
		q.shrink(entry.At)
	}
}

func (q *queue) push(added item) {
	q.items = append(q.items, added)
	q.size += vrid.Bytes(len(added.data))
}

// shrink replaces the oldest entries by one gap entry. Entries that a writer already
// has may be among them: a gap only stands for numbers that no block holds.
func (q *queue) shrink(at int64) {
	target := q.limit - q.limit/shrinkParts
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
	q.lostAt = at
	q.items = q.items[count-1:]
	q.items[0] = item{span: span, data: q.encodeGap(span, at)}
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
		// Plain numbers and strings always encode.
		panic(err)
	}
	return data
}

// release drops what is durable.
func (q *queue) release(durable uint64) {
	q.durable = min(durable, q.last)
	count := 0
	for count < len(q.items) && q.items[count].span.Last <= q.durable {
		q.size -= vrid.Bytes(len(q.items[count].data))
		count++
	}
	clear(q.items[:count])
	q.items = q.items[count:]
	q.trimGap()
}

// trimGap shortens a gap that grew after it was sent.
func (q *queue) trimGap() {
	if len(q.items) == 0 || q.items[0].span.First > q.durable {
		return
	}
	span := vrrecord.Span{First: q.durable + 1, Last: q.items[0].span.Last}
	q.size -= vrid.Bytes(len(q.items[0].data))
	q.items[0] = item{span: span, data: q.encodeGap(span, q.lostAt)}
	q.size += vrid.Bytes(len(q.items[0].data))
}

// batch returns the entries after a number, as many as fit into a frame.
func (q *queue) batch(after uint64) *vrwire.RecordBatch {
	batch := &vrwire.RecordBatch{Daemon: q.run.Daemon, Boot: q.run.Boot, Durable: q.durable}
	size := vrid.Bytes(0)
	for _, held := range q.items {
		if held.span.Last <= after {
			continue
		}
		size += vrid.Bytes(len(held.data))
		if size > maxBatch {
			break
		}
		if batch.First == 0 {
			batch.First = held.span.First
		}
		batch.Entries = append(batch.Entries, held.data)
	}
	return batch
}

// lastOf returns the last number that a batch made by this queue covers.
func (q *queue) lastOf(batch *vrwire.RecordBatch) uint64 {
	left := len(batch.Entries)
	if left == 0 {
		return q.durable
	}
	for _, held := range q.items {
		if held.span.First < batch.First {
			continue
		}
		if left--; left == 0 {
			return held.span.Last
		}
	}
	return q.durable
}
