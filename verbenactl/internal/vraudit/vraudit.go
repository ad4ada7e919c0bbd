// Package vraudit verifies the whole record independently of the daemons that wrote it. It
// recomputes the hash chains from the raw blocks and compares the claims of idempotency keys with
// the recorded outcomes.
package vraudit

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrquery"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrwire"
)

// Source reads the raw record.
type Source interface {
	// Configuration returns the configuration in force.
	Configuration(ctx context.Context) (*vrconfig.Fleet, error)
	// BlockKeys returns the blocks of a zone and day without their contents.
	BlockKeys(ctx context.Context, zone vrid.ZoneID, day time.Time) ([]vrquery.RawBlock, error)
	// Blocks returns the blocks of one writer and hour.
	Blocks(ctx context.Context, prefix string) ([]vrquery.RawBlock, error)
	// Claims returns one page of the claims of a shard, starting after the given key.
	Claims(ctx context.Context, shard int, after string) (*vrquery.ClaimsResponse, error)
}

// Options selects what to check.
type Options struct {
	// Since excludes the blocks of earlier hours. If it is zero, the whole record is checked.
	Since time.Time
	// Zones limits the check to these zones. If it is empty, all zones are checked.
	Zones []vrid.ZoneID
	// Now is the end of the checked time range.
	Now time.Time
	// Progress receives one line for each checked zone. It may be nil.
	Progress io.Writer
}

// Result is the outcome of an audit.
type Result struct {
	Zones []vrid.ZoneID `json:"zones"`
	// Since is the start of the checked time range, zero if the whole record was checked.
	Since  time.Time               `json:"since"`
	Record vrrecord.Report         `json:"record"`
	Claims vrrecord.Reconciliation `json:"claims"`
}

// OK reports whether the audit found no fault.
func (r *Result) OK() bool { return r.Record.OK() && r.Claims.OK() }

// Run audits the record. It holds the blocks of only one writer and hour in memory at a time.
func Run(ctx context.Context, source Source, options Options) (*Result, error) {
	fleet, err := source.Configuration(ctx)
	if err != nil {
		return nil, err
	}
	result := &Result{Zones: options.Zones, Since: options.Since}
	if len(result.Zones) == 0 {
		result.Zones = fleet.Zones()
	}
	// The claims are read before the record, so that a call that is claimed while the record is
	// read is not reported as a claim without an entry.
	claims, err := fetchClaims(ctx, source, fleet.Claims.Shards, options.Since)
	if err != nil {
		return nil, err
	}
	a := &auditor{
		ctx: ctx, source: source, options: options, days: daysToCheck(fleet, options),
		verifier: vrrecord.NewVerifier(vrrecord.Scope{Partial: !options.Since.IsZero()}),
	}
	result.Claims = vrrecord.Reconcile(func(yield func(*vrrecord.Entry) bool) {
		for _, zone := range result.Zones {
			if a.err == nil {
				a.err = a.auditZone(zone, yield)
			}
		}
	}, claims)
	if a.err != nil {
		return nil, a.err
	}
	result.Record = a.verifier.Finish()
	return result, nil
}

// daysToCheck returns the days to check, in order. If options.Since is zero, they cover the
// retention time of the record and one more day.
func daysToCheck(fleet *vrconfig.Fleet, options Options) []time.Time {
	const day = 24 * time.Hour
	start := options.Since
	if start.IsZero() {
		start = options.Now.Add(-fleet.Record.Retention.Std() - day)
	}
	var days []time.Time
	for current := start.UTC().Truncate(day); !current.After(options.Now); current = current.Add(day) {
		days = append(days, current)
	}
	return days
}

// fetchClaims reads the claims of all shards and drops those from before since.
func fetchClaims(ctx context.Context, source Source, shards int, since time.Time) ([]vrwire.ClaimEntry, error) {
	var claims []vrwire.ClaimEntry
	for shard := range shards {
		for after, hasMore := "", true; hasMore; {
			response, err := source.Claims(ctx, shard, after)
			if err != nil {
				return nil, err
			}
			for _, claim := range response.Claims {
				if since.IsZero() || claim.At >= since.UnixMilli() {
					claims = append(claims, claim)
				}
			}
			after, hasMore = response.Next, response.Next != ""
		}
	}
	return claims, nil
}

// auditor holds the state of a running audit.
type auditor struct {
	ctx      context.Context
	source   Source
	options  Options
	days     []time.Time
	verifier *vrrecord.Verifier
	// err is the first error; the zones after it are skipped.
	err error
}

// auditZone checks the blocks of a zone in the order of their hours, and yields their entries.
func (a *auditor) auditZone(zone vrid.ZoneID, yield func(*vrrecord.Entry) bool) error {
	prefixes, err := a.listPrefixes(zone)
	if err != nil {
		return err
	}
	count := 0
	for _, prefix := range prefixes {
		blocks, err := a.source.Blocks(a.ctx, prefix)
		if err != nil {
			return err
		}
		for _, block := range blocks {
			count++
			a.verifier.Add(vrrecord.StoredBlock{Key: block.Key, Data: block.Data})
			yieldEntries(block.Data, yield)
		}
	}
	if a.options.Progress != nil {
		fmt.Fprintf(a.options.Progress, "zone %s: %d blocks of %d writers and hours\n", zone, count, len(prefixes))
	}
	return nil
}

// maxEmptyDays is the number of consecutive days without blocks after which the search for older
// blocks stops. If there are older blocks nevertheless, the chains and runs that began in them are
// reported as incomplete, so that no fault is hidden.
const maxEmptyDays = 31

// listPrefixes returns the key prefixes of the writers and hours to check, in the order of the
// hours. It searches from the newest day backwards.
func (a *auditor) listPrefixes(zone vrid.ZoneID) ([]string, error) {
	prefixSet := make(map[string]bool)
	emptyDays := 0
	for _, day := range slices.Backward(a.days) {
		blocks, err := a.source.BlockKeys(a.ctx, zone, day)
		if err != nil {
			return nil, err
		}
		emptyDays++
		if len(blocks) > 0 {
			emptyDays = 0
		}
		a.addPrefixes(blocks, prefixSet)
		if emptyDays == maxEmptyDays {
			break
		}
	}
	if a.options.Since.IsZero() {
		// Earlier versions stored blocks without entries under the start of Unix time.
		blocks, err := a.source.BlockKeys(a.ctx, zone, time.Unix(0, 0).UTC())
		if err != nil {
			return nil, err
		}
		a.addPrefixes(blocks, prefixSet)
	}
	return slices.Sorted(maps.Keys(prefixSet)), nil
}

// addPrefixes adds the key prefixes of the given blocks to prefixSet, except those of hours before
// options.Since. It passes malformed keys, which no writer creates, to the verifier, which reports
// them.
func (a *auditor) addPrefixes(blocks []vrquery.RawBlock, prefixSet map[string]bool) {
	since := a.options.Since.UTC().Truncate(time.Hour)
	for _, block := range blocks {
		name, err := vrrecord.ParseKey(block.Key)
		hour, hourErr := name.HourStart()
		switch {
		case err != nil || hourErr != nil:
			a.verifier.Add(vrrecord.StoredBlock{Key: block.Key})
		case !hour.Before(since):
			prefixSet[name.Prefix()] = true
		}
	}
}

// yieldEntries yields the entries of a block that can be decoded. The verifier reports
// the others.
func yieldEntries(data []byte, yield func(*vrrecord.Entry) bool) {
	block, err := vrrecord.DecodeBlock(data)
	if err != nil {
		return
	}
	for i := range block.Entries {
		if entry, err := block.Entry(i); err == nil && !yield(entry) {
			return
		}
	}
}

// Write writes the result as text.
func (r *Result) Write(w io.Writer) {
	scope := "the whole record"
	if !r.Since.IsZero() {
		scope = "the record since " + r.Since.UTC().Format(time.RFC3339)
	}
	fmt.Fprintf(w, "audit of %s in %d zones\n", scope, len(r.Zones))
	fmt.Fprintf(w, "  blocks %d in %d chains, runs of daemons %d\n", r.Record.Blocks, r.Record.Chains, r.Record.Runs)
	fmt.Fprintf(w, "  entries %d, of them ends of requests %d, sent twice after a change of the writer %d\n", r.Record.Entries, r.Record.Terminals, r.Record.Resent)
	fmt.Fprintf(w, "  declared gaps %d, numbers lost in them %d, requests still open %d\n", r.Record.Gaps, r.Record.Lost, r.Record.Open)
	fmt.Fprintf(w, "  runs cut off %d: what they opened after their last heartbeat is not known\n", r.Record.CutOff)
	fmt.Fprintf(w, "  idempotency keys %d, claims that agree with the record %d, in gaps %d, outside of the range %d\n", r.Claims.Keys, r.Claims.Matched, r.Claims.InGap, r.Claims.Outside)
	for _, finding := range r.Record.Findings {
		fmt.Fprintf(w, "FAULT %s\n", finding)
	}
	for _, mismatch := range r.Claims.Mismatches {
		fmt.Fprintf(w, "FAULT %s\n", mismatch)
	}
	if r.OK() {
		fmt.Fprintln(w, "no fault was found")
	}
}
