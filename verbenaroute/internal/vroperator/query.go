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
func (a *API) query(ctx context.Context, request authenticatedRequest) (*vrquery.Table, error) {
	queryRequest, err := decodeBody[vrquery.QueryRequest](request.body)
	if err != nil {
		return nil, err
	}
	statement, err := vrquery.Parse(queryRequest.Query)
	if err != nil {
		return nil, err
	}
	if statement.IsCommand() {
		return nil, usageError("this is a command: send it to " + vrquery.PathCommand)
	}
	ctx, cancel := context.WithTimeout(ctx, a.options.QueryTimeout)
	defer cancel()
	if err := a.acquireQuery(ctx); err != nil {
		return nil, err
	}
	defer a.releaseQuery()
	return a.runQuery(ctx, statement)
}

// acquireQuery waits until a query may run. The number of concurrent queries is limited so
// that they don't take CPU time from the callers' requests.
func (a *API) acquireQuery(ctx context.Context) error {
	select {
	case a.inFlightQueries <- struct{}{}:
		return nil
	case <-ctx.Done():
		return unavailableError("too many queries are running on this daemon; use another daemon or try again")
	}
}

func (a *API) releaseQuery() { <-a.inFlightQueries }

func (a *API) runQuery(ctx context.Context, statement *vrquery.Statement) (*vrquery.Table, error) {
	src := &querySource{ctx: ctx, api: a, now: a.options.Now(), state: a.options.Live.State()}
	timeRange, readsRecord, err := statement.RecordTimeRange(src.now)
	if err != nil {
		return nil, err
	}
	if readsRecord {
		// Unwritten entries are collected before the blocks are read: an entry that is
		// written to a block in between is then found twice instead of not at all.
		src.unwritten = a.collectUnwritten(ctx, statement.Text, src.state, &src.missing)
	}
	table, err := vrquery.Run(statement, src)
	if err != nil {
		return nil, err
	}
	slices.Sort(src.missing)
	table.Missing = slices.Compact(src.missing)
	if readsRecord && len(table.Missing) > 0 {
		table.Missing = append(table.Missing, fmt.Sprintf("the answer for the time range from %s to %s is incomplete",
			timeRange.From.UTC().Format(time.RFC3339), timeRange.Until.UTC().Format(time.RFC3339)))
	}
	return table, nil
}

// querySource implements vrquery.Source for one query.
type querySource struct {
	ctx       context.Context
	api       *API
	now       time.Time
	state     *vrquery.State
	unwritten []vrrecord.Entry
	missing   []string
}

// Now implements vrquery.Source.
func (s *querySource) Now() time.Time { return s.now }

// State implements vrquery.Source.
func (s *querySource) State() *vrquery.State { return s.state }

// Entries implements vrquery.Source. It holds the blocks of only one writer and hour in
// memory at a time.
func (s *querySource) Entries(timeRange vrquery.TimeRange, yield func(*vrrecord.Entry) bool) error {
	reader := &entryReader{source: s, timeRange: timeRange, seen: make(map[vrrecord.Run]*vrrecord.NumberSet), yield: yield}
	for i := range s.unwritten {
		if !reader.yieldOnce(&s.unwritten[i]) {
			return nil
		}
	}
	for _, hours := range groupByDay(blockHours(timeRange, s.now)) {
		for _, zone := range s.zones() {
			if !reader.readDay(zone, hours) {
				return nil
			}
		}
	}
	return nil
}

// zones lists the zones whose blocks are read: without a configuration only this daemon's.
func (s *querySource) zones() []vrid.ZoneID {
	if s.state.Fleet == nil {
		return []vrid.ZoneID{s.api.options.Zone}
	}
	return s.state.Fleet.Zones()
}

// blockHours lists the hours whose blocks may hold entries of a time range, the newest
// first. A block's key holds the hour of its last entry, so the hour after the range is
// included.
func blockHours(timeRange vrquery.TimeRange, now time.Time) []time.Time {
	last := timeRange.Until.Add(time.Hour)
	if last.After(now) {
		last = now
	}
	first := timeRange.From.UTC().Truncate(time.Hour)
	var hours []time.Time
	for hour := last.UTC().Truncate(time.Hour); !hour.Before(first); hour = hour.Add(-time.Hour) {
		hours = append(hours, hour)
	}
	return hours
}

// entryReader yields each entry of a time range once.
type entryReader struct {
	source    *querySource
	timeRange vrquery.TimeRange
	// seen holds the numbers of the yielded entries, because a daemon that changes its
	// writer sends entries twice. Numbers are nearly contiguous, so the sets stay small.
	seen  map[vrrecord.Run]*vrrecord.NumberSet
	yield func(*vrrecord.Entry) bool
}

// addMissing adds a line to the answer's list of missing data.
func (r *entryReader) addMissing(format string, args ...any) {
	r.source.missing = append(r.source.missing, fmt.Sprintf(format, args...))
}

// groupByDay groups consecutive hours by day and keeps their order.
func groupByDay(hours []time.Time) [][]time.Time {
	var days [][]time.Time
	for _, hour := range hours {
		last := len(days) - 1
		if last < 0 || hour.Day() != days[last][0].Day() {
			days = append(days, nil)
			last++
		}
		days[last] = append(days[last], hour)
	}
	return days
}

// maxHourLists is the maximum number of hours that are listed one by one. Above it, listing
// the whole day takes fewer calls to the platform.
const maxHourLists = 3

// readDay reads the blocks of a zone in hours of one day. It returns false if the query
// needs no more entries or has timed out.
func (r *entryReader) readDay(zone vrid.ZoneID, hours []time.Time) bool {
	prefixes := make(map[string]bool)
	if len(hours) > maxHourLists {
		r.listWriters(zone, vrrecord.DayPrefix(zone, hours[0]), prefixes)
	} else {
		for _, hour := range hours {
			r.listWriters(zone, vrrecord.HourPrefix(zone, hour), prefixes)
		}
	}
	newestFirst := slices.Sorted(maps.Keys(prefixes))
	slices.Reverse(newestFirst)
	wanted := inHours(zone, hours)
	for _, prefix := range newestFirst {
		if wanted(prefix) && !r.readWriter(zone, prefix) {
			return false
		}
	}
	return true
}

// inHours returns a function that reports whether a writer's prefix belongs to one of the
// hours.
func inHours(zone vrid.ZoneID, hours []time.Time) func(prefix string) bool {
	return func(prefix string) bool {
		return slices.ContainsFunc(hours, func(hour time.Time) bool {
			return strings.HasPrefix(prefix, vrrecord.HourPrefix(zone, hour))
		})
	}
}

// listWriters lists the blocks under a key prefix and adds their prefixes, one for each
// writer and hour, to the set.
func (r *entryReader) listWriters(zone vrid.ZoneID, prefix string, prefixes map[string]bool) {
	items, outcome := r.source.api.objects.List(r.source.ctx, prefix, false)
	if outcome != vrplatform.OutcomeOK {
		r.addMissing("zone %s, blocks %s: the platform's list is %s", zone, prefix, outcome)
	}
	for _, item := range items {
		if name, err := vrrecord.ParseKey(item.Key); err == nil {
			prefixes[name.Prefix()] = true
		}
	}
}

// readWriter reads the blocks of one writer and hour. It returns false if the query needs
// no more entries or has timed out.
func (r *entryReader) readWriter(zone vrid.ZoneID, prefix string) bool {
	if r.source.ctx.Err() != nil {
		r.addMissing("zone %s, blocks %s and older ones: the query timed out", zone, prefix)
		return false
	}
	blocks, outcome := r.source.api.objects.List(r.source.ctx, prefix, true)
	if outcome != vrplatform.OutcomeOK {
		r.addMissing("zone %s, blocks %s: the platform's list is %s", zone, prefix, outcome)
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
func (r *entryReader) readBlock(item *vrplatform.Item) bool {
	started := time.Now()
	block, err := vrrecord.DecodeBlock(item.Value)
	if err != nil {
		r.addMissing("block %s: %v", item.Key, err)
		return true
	}
	until := time.UnixMilli(block.Until)
	if until.Before(r.timeRange.From) || !time.UnixMilli(block.From).Before(r.timeRange.Until) {
		return true
	}
	for i := range block.Entries {
		entry, err := block.Entry(i)
		if err != nil {
			r.addMissing("block %s: %v", item.Key, err)
			continue
		}
		if !r.yieldOnce(entry) {
			return false
		}
	}
	yieldProcessor(r.source.ctx, time.Since(started))
	return true
}

// maxYieldPause is the maximum length of one pause of a query.
const maxYieldPause = 20 * time.Millisecond

// yieldProcessor pauses for as long as the work took, at most maxYieldPause, so that an
// expensive query uses about half of one core and callers' requests go first.
func yieldProcessor(ctx context.Context, busy time.Duration) {
	runtime.Gosched()
	timer := time.NewTimer(min(busy, maxYieldPause))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// yieldOnce yields an entry that is in the time range and was not yielded before. It
// returns false if the query needs no more.
func (r *entryReader) yieldOnce(entry *vrrecord.Entry) bool {
	at := time.UnixMilli(entry.At)
	if at.Before(r.timeRange.From) || !at.Before(r.timeRange.Until) {
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
