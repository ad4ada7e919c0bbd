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
	Open     uint64    `json:"open"`
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

// Verifier checks a record block by block, in any order. It keeps a few bytes for
// each entry, not the blocks.
type Verifier struct {
	scope    Scope
	report   Report
	chains   map[string]*chainCheck
	runs     map[Run]*runCheck
	requests map[uint64]numberRef
	keys     map[string]bool
}

type chainCheck struct {
	id    int
	links map[uint64]link
}

type link struct {
	key      string
	hash     []byte
	previous []byte
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
	seen      map[uint64]seenEntry
	covered   Numbers
	gaps      Numbers
	claimed   []claimedSpan
	terminals uint64
	opened    uint64
	ended     bool
	hasGap    bool
}

type claimedSpan struct {
	Span
	key string
}

// NewVerifier returns a verifier that has seen nothing.
func NewVerifier(scope Scope) *Verifier {
	return &Verifier{
		scope:    scope,
		chains:   make(map[string]*chainCheck),
		runs:     make(map[Run]*runCheck),
		requests: make(map[uint64]numberRef),
		keys:     make(map[string]bool),
	}
}

func (v *Verifier) find(finding Finding) {
	v.report.Findings = append(v.report.Findings, finding)
}

// Add checks one object.
func (v *Verifier) Add(stored Stored) {
	v.report.Blocks++
	if v.keys[stored.Key] {
		v.find(Finding{Kind: FindingDoubledBlock, Key: stored.Key, Detail: "the key stands twice"})
		return
	}
	v.keys[stored.Key] = true
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
	if _, doubled := chain.links[block.Sequence]; doubled {
		v.find(Finding{Kind: FindingDoubledBlock, Key: stored.Key, Detail: fmt.Sprintf("sequence %d stands twice in the chain", block.Sequence)})
		return
	}
	chain.links[block.Sequence] = link{key: stored.Key, hash: Hash(stored.Data), previous: block.Previous}
	v.addCoverage(stored.Key, block)
	v.addEntries(stored.Key, block, chain.id)
}

// linkUnreadable keeps the place of a damaged block, so that it is not reported as
// missing too.
func (v *Verifier) linkUnreadable(stored Stored) {
	name, err := ParseKey(stored.Key)
	if err != nil {
		return
	}
	v.chain(name.Chain()).links[name.Sequence] = link{key: stored.Key}
}

func (v *Verifier) chain(id string) *chainCheck {
	chain := v.chains[id]
	if chain == nil {
		chain = &chainCheck{id: len(v.chains) + 1, links: make(map[uint64]link)}
		v.chains[id] = chain
	}
	return chain
}

func (v *Verifier) run(id Run) *runCheck {
	run := v.runs[id]
	if run == nil {
		run = &runCheck{seen: make(map[uint64]seenEntry)}
		v.runs[id] = run
	}
	return run
}

func (v *Verifier) addCoverage(key string, block *Block) {
	for i := range block.Coverage {
		line := &block.Coverage[i]
		run := v.run(line.Run())
		if line.First > 0 {
			run.claimed = append(run.claimed, claimedSpan{Span: Span{First: line.First, Last: line.Last}, key: key})
		}
		run.opened = max(run.opened, line.Opened)
		run.ended = run.ended || line.Ended
	}
}

func (v *Verifier) addEntries(key string, block *Block, chain int) {
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
		v.addEntry(key, entry, digest, chain)
	}
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
	if before, doubled := run.seen[entry.Number]; doubled {
		v.addDoubled(key, entry, digest, chain, before)
		return
	}
	v.report.Entries++
	run.seen[entry.Number] = seenEntry{digest: digest, chain: chain}
	run.covered.Add(entry.Number, entry.Number)
	if !entry.Kind.Terminal() {
		return
	}
	v.report.Terminals++
	run.terminals++
	id := xxhash.Sum64String(string(entry.Request))
	if first, doubled := v.requests[id]; doubled {
		v.find(entryFinding(FindingDoubledRequest, key, entry,
			fmt.Sprintf("the request ended already in %s number %d", first.run, first.number)))
		return
	}
	v.requests[id] = numberRef{run: entry.RunOf(), number: entry.Number}
}

func (v *Verifier) addDoubled(key string, entry *Entry, digest uint32, chain int, before seenEntry) {
	switch {
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

func (v *Verifier) finishChain(chain *chainCheck) {
	sequences := make([]uint64, 0, len(chain.links))
	for sequence := range chain.links {
		sequences = append(sequences, sequence)
	}
	slices.Sort(sequences)
	next := uint64(1)
	if v.scope.Partial {
		next = sequences[0]
	}
	for _, sequence := range sequences {
		here := chain.links[sequence]
		if sequence > next {
			v.find(Finding{Kind: FindingMissingBlock, Key: here.key, Detail: missingBlocks(next, sequence-1)})
		}
		v.checkLink(chain, sequence, here)
		next = sequence + 1
	}
}

func missingBlocks(first, last uint64) string {
	if first == last {
		return fmt.Sprintf("block %d before it is missing", first)
	}
	return fmt.Sprintf("blocks %d to %d before it are missing", first, last)
}

func (v *Verifier) checkLink(chain *chainCheck, sequence uint64, here link) {
	if sequence == 1 {
		if len(here.previous) != 0 {
			v.find(Finding{Kind: FindingAlteredBlock, Key: here.key, Detail: "the first block names a block before it"})
		}
		return
	}
	before, present := chain.links[sequence-1]
	if !present || before.hash == nil || here.hash == nil {
		return
	}
	if !sameHash(before.hash, here.previous) {
		v.find(Finding{Kind: FindingAlteredBlock, Key: before.key, Detail: "its hash is not the one that the next block names"})
	}
}

func (v *Verifier) finishRun(id Run, run *runCheck) {
	reported := &Numbers{}
	for _, claimed := range run.claimed {
		for _, missing := range run.covered.Missing(claimed.First, claimed.Last) {
			if run.gaps.Has(missing.First, missing.Last) || reported.Has(missing.First, missing.Last) {
				continue
			}
			reported.Add(missing.First, missing.Last)
			v.findMissing(id, missing, claimed.key, "the block says that it holds the entry")
		}
	}
	first := uint64(1)
	if v.scope.Partial {
		first = firstOf(&run.covered)
	}
	for _, missing := range run.covered.Missing(first, run.covered.Last()) {
		if !run.gaps.Has(missing.First, missing.Last) && !reported.Has(missing.First, missing.Last) {
			v.findMissing(id, missing, "", "no block holds the entry and no gap covers its number")
		}
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
