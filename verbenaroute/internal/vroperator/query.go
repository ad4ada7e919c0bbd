package vroperator

import (
	"context"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"strings"
	"time"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrquery"
	"verbenaroute.example/verbenacore/vrrecord"
)

// query handles POST /v1/query.
func (o *Operator) query(ctx context.Context, request call) (*vrquery.Table, error) {
	body, err := decodeBody[vrquery.QueryRequest](request.body)
	if err != nil {
		return nil, err
	}
	statement, err := vrquery.Parse(body.Query)
	if err != nil {
		return nil, err
	}
	if statement.IsCommand() {
		return nil, usage("this is a command: send it to " + vrquery.PathCommand)
	}
	ctx, cancel := context.WithTimeout(ctx, o.options.QueryTime)
	defer cancel()
	if err := o.enter(ctx); err != nil {
		return nil, err
	}
	defer o.leave()
	return o.run(ctx, statement)
}

// enter waits until a query may run. The number of concurrent queries is limited so that
// they don't take CPU time from the callers' requests.
func (o *Operator) enter(ctx context.Context) error {
	select {
	case o.running <- struct{}{}:
		return nil
	case <-ctx.Done():
		return unavailable("too many queries are running on this daemon; use another daemon or try again")
	}
}

func (o *Operator) leave() { <-o.running }

func (o *Operator) run(ctx context.Context, statement *vrquery.Statement) (*vrquery.Table, error) {
	src := &source{ctx: ctx, operator: o, now: o.options.Now(), state: o.options.Live.State()}
	within, readsRecord, err := statement.RecordTimeRange(src.now)
	if err != nil {
		return nil, err
	}
	if readsRecord {
		// Unwritten entries are collected before the blocks are read: an entry that is
		// written to a block in between is then found twice instead of not at all.
		src.tail = o.askTails(ctx, statement.Text, src.state, &src.missing)
	}
	answer, err := vrquery.Run(statement, src)
	if err != nil {
		return nil, err
	}
	slices.Sort(src.missing)
	answer.Missing = slices.Compact(src.missing)
	if readsRecord && len(answer.Missing) > 0 {
		answer.Missing = append(answer.Missing, fmt.Sprintf("the answer for the time range from %s to %s is incomplete",
			within.From.UTC().Format(time.RFC3339), within.Until.UTC().Format(time.RFC3339)))
	}
	return answer, nil
}

// source implements vrquery.Source for one query.
type source struct {
	ctx      context.Context
	operator *Operator
	now      time.Time
	state    *vrquery.State
	tail     []vrrecord.Entry
	missing  []string
}

// Now implements vrquery.Source.
func (s *source) Now() time.Time { return s.now }

// State implements vrquery.Source.
func (s *source) State() *vrquery.State { return s.state }

// Entries implements vrquery.Source. It holds the blocks of one writer and hour in memory
// at a time.
func (s *source) Entries(within vrquery.TimeRange, yield func(*vrrecord.Entry) bool) error {
	reader := &reader{source: s, within: within, seen: make(map[vrrecord.Run]*vrrecord.NumberSet), yield: yield}
	for i := range s.tail {
		if !reader.take(&s.tail[i]) {
			return nil
		}
	}
	for _, hours := range days(hoursOf(within, s.now)) {
		for _, zone := range s.zones() {
			if !reader.readDay(zone, hours) {
				return nil
			}
		}
	}
	return nil
}

func (s *source) zones() []vrid.ZoneID {
	if s.state.Fleet == nil {
		return []vrid.ZoneID{s.operator.options.Zone}
	}
	return s.state.Fleet.Zones()
}

// hoursOf lists the hours whose blocks may hold entries of a time range, the newest first.
// A block's key holds the hour of its last entry, so the hour after the range is included.
func hoursOf(within vrquery.TimeRange, now time.Time) []time.Time {
	last := within.Until.Add(time.Hour)
	if last.After(now) {
		last = now
	}
	first := within.From.UTC().Truncate(time.Hour)
	var list []time.Time
	for hour := last.UTC().Truncate(time.Hour); !hour.Before(first); hour = hour.Add(-time.Hour) {
		list = append(list, hour)
	}
	return list
}

// reader yields each entry of a time range once.
type reader struct {
	source *source
	within vrquery.TimeRange
	// seen holds the numbers of the yielded entries: a daemon that changes its writer
	// sends entries twice. Numbers are nearly contiguous, so the sets stay small.
	seen  map[vrrecord.Run]*vrrecord.NumberSet
	yield func(*vrrecord.Entry) bool
}

// miss adds a line to the answer's list of missing data.
func (r *reader) miss(format string, args ...any) {
	r.source.missing = append(r.source.missing, fmt.Sprintf(format, args...))
}

// days groups consecutive hours by their day.
func days(hours []time.Time) [][]time.Time {
	var list [][]time.Time
	for _, hour := range hours {
		last := len(list) - 1
		if last < 0 || hour.Day() != list[last][0].Day() {
			list = append(list, nil)
			last++
		}
		list[last] = append(list[last], hour)
	}
	return list
}

// fewHours is the maximum number of hours that are listed one by one. Above it, listing
// the whole day takes fewer calls to the platform.
const fewHours = 3

// readDay reads the blocks of a zone in hours of one day. It returns false if the query
// needs no more entries or has timed out.
func (r *reader) readDay(zone vrid.ZoneID, hours []time.Time) bool {
	prefixes := make(map[string]bool)
	if len(hours) > fewHours {
		r.list(zone, vrrecord.DayPrefix(zone, hours[0]), prefixes)
	} else {
		for _, hour := range hours {
			r.list(zone, vrrecord.HourPrefix(zone, hour), prefixes)
		}
	}
	newest := slices.Sorted(maps.Keys(prefixes))
	slices.Reverse(newest)
	wanted := hourSet(zone, hours)
	for _, prefix := range newest {
		if wanted(prefix) && !r.readWriter(zone, prefix) {
			return false
		}
	}
	return true
}

// hourSet returns a function that reports whether a writer's prefix belongs to one of the
// hours.
func hourSet(zone vrid.ZoneID, hours []time.Time) func(prefix string) bool {
	return func(prefix string) bool {
		return slices.ContainsFunc(hours, func(hour time.Time) bool {
			return strings.HasPrefix(prefix, vrrecord.HourPrefix(zone, hour))
		})
	}
}

// list lists the blocks under a key prefix and adds their prefixes, one for each writer
// and hour, to the set.
func (r *reader) list(zone vrid.ZoneID, under string, prefixes map[string]bool) {
	items, outcome := r.source.operator.objects.List(r.source.ctx, under, false)
	if outcome != vrplatform.OutcomeOK {
		r.miss("zone %s, blocks %s: the platform's list is %s", zone, under, outcome)
	}
	for _, item := range items {
		if name, err := vrrecord.ParseKey(item.Key); err == nil {
			prefixes[name.Prefix()] = true
		}
	}
}

// readWriter reads the blocks of one writer and hour. It returns false if the query needs
// no more entries or has timed out.
func (r *reader) readWriter(zone vrid.ZoneID, prefix string) bool {
	if r.source.ctx.Err() != nil {
		r.miss("zone %s, blocks %s and older ones: the query timed out", zone, prefix)
		return false
	}
	blocks, outcome := r.source.operator.objects.List(r.source.ctx, prefix, true)
	if outcome != vrplatform.OutcomeOK {
		r.miss("zone %s, blocks %s: the platform's list is %s", zone, prefix, outcome)
		return true
	}
	for i := range blocks {
		if !r.readBlock(&blocks[i]) {
			return false
		}
	}
	return true
}

// readBlock yields the entries of a block. It returns false if the query needs no more.
func (r *reader) readBlock(item *vrplatform.Item) bool {
	started := time.Now()
	block, err := vrrecord.DecodeBlock(item.Value)
	if err != nil {
		r.miss("block %s: %v", item.Key, err)
		return true
	}
	until := time.UnixMilli(block.Until)
	if until.Before(r.within.From) || !time.UnixMilli(block.From).Before(r.within.Until) {
		return true
	}
	for i := range block.Entries {
		entry, err := block.Entry(i)
		if err != nil {
			r.miss("block %s: %v", item.Key, err)
			continue
		}
		if !r.take(entry) {
			return false
		}
	}
	yieldProcessor(r.source.ctx, time.Since(started))
	return true
}

// longestPause is the maximum length of one pause of a query.
const longestPause = 20 * time.Millisecond

// yieldProcessor pauses for as long as the work took, at most longestPause, so that an
// expensive query uses about half of one core and callers' requests go first.
func yieldProcessor(ctx context.Context, worked time.Duration) {
	runtime.Gosched()
	timer := time.NewTimer(min(worked, longestPause))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// take yields an entry that is in the time range and was not yielded before. It returns
// false if the query needs no more.
func (r *reader) take(entry *vrrecord.Entry) bool {
	at := time.UnixMilli(entry.At)
	if at.Before(r.within.From) || !at.Before(r.within.Until) {
		return true
	}
	if entry.Kind != vrrecord.EntryGap {
		seen := r.seen[entry.Run()]
		if seen == nil {
			seen = &vrrecord.NumberSet{}
			r.seen[entry.Run()] = seen
		}
		if seen.Has(entry.Number, entry.Number) {
			return true
		}
		seen.Add(entry.Number, entry.Number)
	}
	return r.yield(entry)
}
