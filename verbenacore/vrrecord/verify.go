package vrrecord

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"verbenaroute.example/verbenacore/vrid"
)

// FindingKind says what an audit found.
type FindingKind string

// Kinds of findings.
const (
	FindingUnreadableBlock FindingKind = "unreadableBlock"
	FindingAlteredBlock    FindingKind = "alteredBlock"
	FindingMissingBlock    FindingKind = "missingBlock"
	FindingDoubledBlock    FindingKind = "doubledBlock"
	FindingMisplacedBlock  FindingKind = "misplacedBlock"
	FindingAlteredEntry    FindingKind = "alteredEntry"
	FindingMissingEntry    FindingKind = "missingEntry"
	FindingDoubledEntry    FindingKind = "doubledEntry"
	// FindingDoubledRequest: one request has two terminal entries.
	FindingDoubledRequest FindingKind = "doubledRequest"
	// FindingMissingRequest: a run that is over opened more requests than its entries
	// and gaps account for.
	FindingMissingRequest FindingKind = "missingRequest"
)

// Finding is one fault of the record.
type Finding struct {
	Kind FindingKind `json:"kind"`
	// Key is the object in which the fault shows, if there is one.
	Key     string         `json:"key,omitempty"`
	Daemon  vrid.DaemonID  `json:"daemon,omitempty"`
	Boot    vrid.BootID    `json:"boot,omitempty"`
	First   uint64         `json:"first,omitempty"`
	Last    uint64         `json:"last,omitempty"`
	Request vrid.RequestID `json:"request,omitempty"`
	Detail  string         `json:"detail"`
}

// String returns one line for a person.
func (f Finding) String() string {
	line := string(f.Kind)
	if f.Key != "" {
		line += " " + f.Key
	}
	if f.Daemon != "" {
		line += fmt.Sprintf(" %s/%s", f.Daemon, f.Boot)
	}
	if f.First != 0 {
		line += fmt.Sprintf(" number %d", f.First)
	}
	if f.Last > f.First {
		line += fmt.Sprintf(" to %d", f.Last)
	}
	if f.Request != "" {
		line += " request " + string(f.Request)
	}
	return line + ": " + f.Detail
}

// Report is the result of an audit.
type Report struct {
	Blocks    int `json:"blocks"`
	Chains    int `json:"chains"`
	Runs      int `json:"runs"`
	Entries   int `json:"entries"`
	Terminals int `json:"terminals"`
	// Resent counts entries that two writers hold with equal bytes: a daemon sent
	// them again after its first writer went away. They are no fault.
	Resent int `json:"resent"`
	// Gaps counts gap entries, Lost the requests and numbers that they stand for.
	Gaps int    `json:"gaps"`
	Lost uint64 `json:"lost"`
	// Open counts requests of runs that are not known to be over and that have no
	// terminal entry yet.
	Open uint64 `json:"open"`
	// CutOff counts runs that ended without saying so, for example with their VM. What
	// they opened after their last heartbeat is not known to anyone.
	CutOff   int       `json:"cutOff"`
	Findings []Finding `json:"findings"`
}

// OK reports whether nothing was found.
func (r *Report) OK() bool { return len(r.Findings) == 0 }

// Stored is an object of the record as it lies on the platform.
type Stored struct {
	Key  string
	Data []byte
}

// Scope says which part of the record an audit sees.
type Scope struct {
	// Partial is set when earlier blocks are left out: a chain may then begin after
	// its first block and a run after its first number.
	Partial bool
}

// Verify checks a whole record.
func Verify(blocks []Stored) Report {
	verifier := NewVerifier(Scope{})
	for _, stored := range blocks {
		verifier.Add(stored)
	}
	return verifier.Finish()
}

// Verifier checks a record block by block. Blocks may come in any order; in about the
// order of their times it needs little memory, because settled blocks and numbers are
// kept as ranges and only the newest entries one by one.
type Verifier struct {
	scope  Scope
	report Report
	chains map[string]*chainCheck
	runs   map[Run]*runCheck
	// entries tells an entry that was sent twice from a changed one.
	entries recent[entryID, seenEntry]
	// requests finds two ends of a request.
	requests recent[uint64, numberRef]
}

// recentEntries bounds what the verifier knows of single entries: two generations of a
// million take about 200 MB.
const recentEntries = 1 << 20

type entryID struct {
	run    *runCheck
	number uint64
}

type chainCheck struct {
	id int
	// present are the sequences that were seen.
	present Numbers
	// open are the blocks whose neighbors were not both seen.
	open map[uint64]*link
}

type link struct {
	key      string
	hash     []byte
	previous []byte
	before   bool
	after    bool
}

type seenEntry struct {
	digest uint32
	chain  int
}

type numberRef struct {
	run    Run
	number uint64
}

type runCheck struct {
	covered   Numbers
	gaps      Numbers
	reported  Numbers
	terminals uint64
	opened    uint64
	ended     bool
	final     bool
	hasGap    bool
}

// NewVerifier returns a verifier that has seen nothing.
func NewVerifier(scope Scope) *Verifier {
	return &Verifier{
		scope:    scope,
		chains:   make(map[string]*chainCheck),
		runs:     make(map[Run]*runCheck),
		entries:  newRecent[entryID, seenEntry](recentEntries),
		requests: newRecent[uint64, numberRef](recentEntries),
	}
}

func (v *Verifier) find(finding Finding) {
	v.report.Findings = append(v.report.Findings, finding)
}

// Add checks one object.
func (v *Verifier) Add(stored Stored) {
	v.report.Blocks++
	block, err := DecodeBlock(stored.Data)
	if err != nil {
		v.find(Finding{Kind: FindingUnreadableBlock, Key: stored.Key, Detail: err.Error()})
		v.linkUnreadable(stored)
		return
	}
	if block.Key() != stored.Key {
		v.find(Finding{Kind: FindingMisplacedBlock, Key: stored.Key, Detail: "the block belongs under " + block.Key()})
	}
	chain := v.chain(BlockName{Zone: block.Zone, Writer: block.Writer, Boot: block.Boot}.Chain())
	if chain.present.Has(block.Sequence, block.Sequence) {
		v.find(Finding{Kind: FindingDoubledBlock, Key: stored.Key, Detail: fmt.Sprintf("sequence %d stands twice in the chain", block.Sequence)})
		return
	}
	v.link(chain, block.Sequence, &link{key: stored.Key, hash: Hash(stored.Data), previous: block.Previous})
	held := v.addEntries(stored.Key, block, chain.id)
	v.addCoverage(stored.Key, block, held)
}

// linkUnreadable keeps the place of a damaged block, so that it is not reported as
// missing too.
func (v *Verifier) linkUnreadable(stored Stored) {
	name, err := ParseKey(stored.Key)
	if err != nil {
		return
	}
	chain := v.chain(name.Chain())
	if !chain.present.Has(name.Sequence, name.Sequence) {
		v.link(chain, name.Sequence, &link{key: stored.Key})
	}
}

func (v *Verifier) chain(id string) *chainCheck {
	chain := v.chains[id]
	if chain == nil {
		chain = &chainCheck{id: len(v.chains) + 1, open: make(map[uint64]*link)}
		v.chains[id] = chain
	}
	return chain
}

// link compares a block with the neighbors that were seen. A block whose neighbors were
// both compared is forgotten.
func (v *Verifier) link(chain *chainCheck, sequence uint64, here *link) {
	chain.present.Add(sequence, sequence)
	chain.open[sequence] = here
	if sequence == 1 {
		here.before = true
		if len(here.previous) != 0 {
			v.find(Finding{Kind: FindingAlteredBlock, Key: here.key, Detail: "the first block names a block before it"})
		}
	}
	if before := chain.open[sequence-1]; before != nil {
		v.compare(before, here)
		chain.settle(sequence - 1)
	}
	if after := chain.open[sequence+1]; after != nil {
		v.compare(here, after)
		chain.settle(sequence + 1)
	}
	chain.settle(sequence)
}

func (v *Verifier) compare(first, second *link) {
	first.after, second.before = true, true
	if first.hash != nil && second.hash != nil && !sameHash(first.hash, second.previous) {
		v.find(Finding{Kind: FindingAlteredBlock, Key: first.key, Detail: "its hash is not the one that the next block names"})
	}
}

func (c *chainCheck) settle(sequence uint64) {
	if here := c.open[sequence]; here.before && here.after {
		delete(c.open, sequence)
	}
}

func (v *Verifier) run(id Run) *runCheck {
	run := v.runs[id]
	if run == nil {
		run = &runCheck{}
		v.runs[id] = run
	}
	return run
}

// addCoverage compares what the block says that it holds with what it holds.
func (v *Verifier) addCoverage(key string, block *Block, held map[Run]*Numbers) {
	for i := range block.Coverage {
		line := &block.Coverage[i]
		run := v.run(line.Run())
		run.opened = max(run.opened, line.Opened)
		run.ended = run.ended || line.Ended
		run.final = run.final || line.Final
		if line.First == 0 {
			continue
		}
		numbers := held[line.Run()]
		if numbers == nil {
			numbers = &Numbers{}
		}
		for _, missing := range numbers.Missing(line.First, line.Last) {
			run.reported.Add(missing.First, missing.Last)
			v.findMissing(line.Run(), missing, key, "the block says that it holds the entry")
		}
	}
}

// addEntries returns the numbers that the block holds of each run.
func (v *Verifier) addEntries(key string, block *Block, chain int) map[Run]*Numbers {
	held := make(map[Run]*Numbers)
	inPlace := len(block.Digests) == digestSize*len(block.Entries)
	if !inPlace {
		v.find(Finding{Kind: FindingAlteredBlock, Key: key, Detail: fmt.Sprintf("%d entries, but digests for %d", len(block.Entries), len(block.Digests)/digestSize)})
	}
	for i, data := range block.Entries {
		digest := digestOf(data)
		entry, err := block.Entry(i)
		if err != nil {
			v.find(Finding{Kind: FindingAlteredEntry, Key: key, Detail: fmt.Sprintf("entry %d of the block can't be read: %v", i, err)})
			continue
		}
		if inPlace && binary.BigEndian.Uint32(block.Digests[digestSize*i:]) != digest {
			v.find(entryFinding(FindingAlteredEntry, key, entry, "its digest differs"))
		}
		if held[entry.RunOf()] == nil {
			held[entry.RunOf()] = &Numbers{}
		}
		span := entry.Covers()
		held[entry.RunOf()].Add(span.First, span.Last)
		v.addEntry(key, entry, digest, chain)
	}
	return held
}

func entryFinding(kind FindingKind, key string, entry *Entry, detail string) Finding {
	span := entry.Covers()
	return Finding{
		Kind: kind, Key: key, Daemon: entry.Daemon, Boot: entry.Boot,
		First: span.First, Last: span.Last, Request: entry.Request, Detail: detail,
	}
}

func (v *Verifier) addEntry(key string, entry *Entry, digest uint32, chain int) {
	run := v.run(entry.RunOf())
	if entry.Kind == EntryGap {
		v.report.Gaps++
		run.hasGap = true
		run.gaps.Add(entry.GapFirst, entry.GapLast)
		return
	}
	id := entryID{run: run, number: entry.Number}
	if run.covered.Has(entry.Number, entry.Number) {
		v.addDoubled(key, entry, digest, chain, id)
		return
	}
	v.report.Entries++
	v.entries.put(id, seenEntry{digest: digest, chain: chain})
	run.covered.Add(entry.Number, entry.Number)
	if entry.Kind.Terminal() {
		v.addTerminal(key, entry, run)
	}
}

func (v *Verifier) addTerminal(key string, entry *Entry, run *runCheck) {
	v.report.Terminals++
	run.terminals++
	id := xxhash.Sum64String(string(entry.Request))
	if first, doubled := v.requests.get(id); doubled {
		v.find(entryFinding(FindingDoubledRequest, key, entry,
			fmt.Sprintf("the request ended already in %s number %d", first.run, first.number)))
		return
	}
	v.requests.put(id, numberRef{run: entry.RunOf(), number: entry.Number})
}

func (v *Verifier) addDoubled(key string, entry *Entry, digest uint32, chain int, id entryID) {
	before, known := v.entries.get(id)
	switch {
	case !known:
		// A daemon sends an entry again within minutes, long before it is forgotten here.
		v.find(entryFinding(FindingDoubledEntry, key, entry, "a much earlier block holds this number"))
	case before.digest != digest:
		v.find(entryFinding(FindingDoubledEntry, key, entry, "another entry has this number"))
	case before.chain == chain:
		v.find(entryFinding(FindingDoubledEntry, key, entry, "it stands twice in one chain"))
	default:
		v.report.Resent++
	}
}

// Finish checks what needs the whole record and returns the report.
func (v *Verifier) Finish() Report {
	for _, chain := range v.chains {
		v.finishChain(chain)
	}
	for id, run := range v.runs {
		v.finishRun(id, run)
	}
	v.report.Chains = len(v.chains)
	v.report.Runs = len(v.runs)
	slices.SortFunc(v.report.Findings, compareFindings)
	return v.report
}

func compareFindings(a, b Finding) int {
	return cmp.Or(
		cmp.Compare(a.Key, b.Key),
		cmp.Compare(a.Daemon, b.Daemon),
		cmp.Compare(a.Boot, b.Boot),
		cmp.Compare(a.First, b.First),
		cmp.Compare(a.Kind, b.Kind),
	)
}

// finishChain finds holes: a block beside a hole is still open.
func (v *Verifier) finishChain(chain *chainCheck) {
	next := uint64(1)
	if v.scope.Partial {
		next = firstOf(&chain.present)
	}
	for _, hole := range chain.present.Missing(next, chain.present.Last()) {
		after := chain.open[hole.Last+1]
		v.find(Finding{Kind: FindingMissingBlock, Key: after.key, Detail: missingBlocks(hole)})
	}
}

func missingBlocks(hole Span) string {
	if hole.Len() == 1 {
		return fmt.Sprintf("block %d before it is missing", hole.First)
	}
	return fmt.Sprintf("blocks %d to %d before it are missing", hole.First, hole.Last)
}

func (v *Verifier) finishRun(id Run, run *runCheck) {
	first := uint64(1)
	if v.scope.Partial {
		first = firstOf(&run.covered)
	}
	for _, missing := range run.covered.Missing(first, run.covered.Last()) {
		if !run.gaps.Has(missing.First, missing.Last) && !run.reported.Has(missing.First, missing.Last) {
			v.findMissing(id, missing, "", "no block holds the entry and no gap covers its number")
		}
	}
	if run.ended && !run.final {
		v.report.CutOff++
	}
	v.countRequests(id, run)
}

func firstOf(numbers *Numbers) uint64 {
	if spans := numbers.Spans(); len(spans) > 0 {
		return spans[0].First
	}
	return 1
}

func (v *Verifier) findMissing(id Run, missing Span, key, detail string) {
	v.find(Finding{
		Kind: FindingMissingEntry, Key: key, Daemon: id.Daemon, Boot: id.Boot,
		First: missing.First, Last: missing.Last, Detail: detail,
	})
}

// countRequests compares what the run opened with what it ended. A gap accounts for
// the difference: its numbers may stand for requests.
func (v *Verifier) countRequests(id Run, run *runCheck) {
	var lost uint64
	for _, gap := range run.gaps.Spans() {
		for _, missing := range run.covered.Missing(gap.First, gap.Last) {
			lost += missing.Len()
		}
	}
	v.report.Lost += lost
	if run.opened > 0 && run.terminals > run.opened {
		v.find(Finding{
			Kind: FindingDoubledRequest, Daemon: id.Daemon, Boot: id.Boot,
			Detail: fmt.Sprintf("the run opened %d requests, and %d ended", run.opened, run.terminals),
		})
	}
	if v.scope.Partial || run.opened <= run.terminals+lost {
		return
	}
	missing := run.opened - run.terminals - lost
	switch {
	case !run.ended:
		v.report.Open += missing
		return
	case run.hasGap:
		// The writer that closed the run had not seen its beginning, so the bounds of
		// its gap entry are not exact.
		v.report.Lost += missing
		return
	}
	v.find(Finding{
		Kind: FindingMissingRequest, Daemon: id.Daemon, Boot: id.Boot,
		Detail: fmt.Sprintf("the run opened %d requests, %d have neither a terminal entry nor a gap", run.opened, missing),
	})
}
