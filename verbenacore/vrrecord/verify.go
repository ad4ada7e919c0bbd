package vrrecord

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"verbenaroute.example/verbenacore/vrid"
)

// FindingKind is a kind of fault in the record.
type FindingKind string

// Kinds of findings.
const (
	FindingUnreadableBlock FindingKind = "unreadableBlock"
	FindingAlteredBlock    FindingKind = "alteredBlock"
	FindingMissingBlock    FindingKind = "missingBlock"
	FindingDuplicateBlock  FindingKind = "doubledBlock"
	FindingMisplacedBlock  FindingKind = "misplacedBlock"
	FindingAlteredEntry    FindingKind = "alteredEntry"
	FindingMissingEntry    FindingKind = "missingEntry"
	FindingDuplicateEntry  FindingKind = "doubledEntry"
	// FindingDuplicateRequest: one request has two terminal entries, or a run has more
	// terminal entries than it opened requests.
	FindingDuplicateRequest FindingKind = "doubledRequest"
	// FindingMissingRequest: a run that has ended opened more requests than its entries
	// and gaps account for.
	FindingMissingRequest FindingKind = "missingRequest"
)

// Finding is one fault of the record.
type Finding struct {
	Kind FindingKind `json:"kind"`
	// Key is the key of the object in which the fault was found, if there is one.
	Key     string         `json:"key,omitempty"`
	Daemon  vrid.DaemonID  `json:"daemon,omitempty"`
	Boot    vrid.BootID    `json:"boot,omitempty"`
	First   uint64         `json:"first,omitempty"`
	Last    uint64         `json:"last,omitempty"`
	Request vrid.RequestID `json:"request,omitempty"`
	Detail  string         `json:"detail"`
}

// String returns the finding as one line of text.
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
	// Resent counts entries that are in the chains of two writers with equal bytes, because
	// their daemon sent them again to another writer. This is not a fault.
	Resent int `json:"resent"`
	// Gaps counts gap entries, Lost the numbers and requests that they stand for.
	Gaps int    `json:"gaps"`
	Lost uint64 `json:"lost"`
	// Open counts requests without a terminal entry of runs that are not known to have
	// ended.
	Open uint64 `json:"open"`
	// CutOff counts runs that ended without stating it, for example because their VM was
	// lost. How many requests they opened after their last heartbeat is unknown.
	CutOff   int       `json:"cutOff"`
	Findings []Finding `json:"findings"`
}

// OK reports whether there are no findings.
func (r *Report) OK() bool { return len(r.Findings) == 0 }

// StoredBlock is an object of the record as it is stored on the platform.
type StoredBlock struct {
	Key  string
	Data []byte
}

// Scope is the part of the record that an audit is given.
type Scope struct {
	// Partial is set when earlier blocks are left out, so that a chain may begin after its
	// first block and a run after its first number.
	Partial bool
}

// Verify checks a whole record and returns the findings.
func Verify(blocks []StoredBlock) Report {
	verifier := NewVerifier(Scope{})
	for _, stored := range blocks {
		verifier.Add(stored)
	}
	return verifier.Finish()
}

// Verifier checks a record block by block. Blocks may be added in any order. It needs
// little memory if they are added roughly in the order of their times, because it keeps
// checked blocks and numbers as ranges and only the latest entries one by one.
type Verifier struct {
	scope  Scope
	report Report
	chains map[string]*chainState
	runs   map[Run]*runState
	// entries holds the latest entries, to distinguish an entry that was sent again from a
	// different entry with the same number.
	entries generationCache[entryID, seenEntry]
	// requests holds the latest terminal entries by the hash of their request id, to find
	// requests with two of them.
	requests generationCache[uint64, entryRef]
}

// cacheGenerationSize limits the number of entries that the verifier keeps one by one. Two
// generations of a million entries take about 200 MB.
const cacheGenerationSize = 1 << 20

// entryID identifies an entry by its run and number.
type entryID struct {
	run    *runState
	number uint64
}

// chainState is what the verifier has seen of one chain of blocks.
type chainState struct {
	id int
	// seen holds the sequence numbers of the added blocks.
	seen NumberSet
	// unlinked holds the blocks that were not yet compared with both neighbors, by sequence
	// number.
	unlinked map[uint64]*blockLink
}

// blockLink holds the hashes of a block that are compared with those of its neighbors. The
// hash is nil if the block can't be decoded.
type blockLink struct {
	key             string
	hash            []byte
	previousHash    []byte
	previousChecked bool
	nextChecked     bool
}

// seenEntry holds what identifies an entry that occurs again in another chain.
type seenEntry struct {
	digest uint32
	chain  int
}

// entryRef identifies the terminal entry of a request.
type entryRef struct {
	run    Run
	number uint64
}

// runState is what the verifier has seen of the entries of one run.
type runState struct {
	// present holds the numbers of entries, gaps the numbers within the bounds of gap
	// entries, and reportedMissing the numbers that a finding already reports as missing.
	present         NumberSet
	gaps            NumberSet
	reportedMissing NumberSet
	terminals       uint64
	opened          uint64
	ended           bool
	final           bool
	hasGap          bool
}

// NewVerifier returns a Verifier to which no blocks were added yet.
func NewVerifier(scope Scope) *Verifier {
	return &Verifier{
		scope:    scope,
		chains:   make(map[string]*chainState),
		runs:     make(map[Run]*runState),
		entries:  newGenerationCache[entryID, seenEntry](cacheGenerationSize),
		requests: newGenerationCache[uint64, entryRef](cacheGenerationSize),
	}
}

func (v *Verifier) addFinding(finding Finding) {
	v.report.Findings = append(v.report.Findings, finding)
}

// Add checks one object of the record.
func (v *Verifier) Add(stored StoredBlock) {
	v.report.Blocks++
	block, err := DecodeBlock(stored.Data)
	if err != nil {
		v.addFinding(Finding{Kind: FindingUnreadableBlock, Key: stored.Key, Detail: err.Error()})
		v.linkUnreadable(stored)
		return
	}
	if block.Key() != stored.Key {
		v.addFinding(Finding{Kind: FindingMisplacedBlock, Key: stored.Key, Detail: "the block belongs under " + block.Key()})
	}
	chain := v.chainFor(BlockName{Zone: block.Zone, Writer: block.Writer, Boot: block.Boot}.Chain())
	if chain.seen.Has(block.Sequence, block.Sequence) {
		v.addFinding(Finding{Kind: FindingDuplicateBlock, Key: stored.Key, Detail: fmt.Sprintf("sequence %d occurs twice in the chain", block.Sequence)})
		return
	}
	v.linkBlock(chain, block.Sequence, &blockLink{key: stored.Key, hash: Hash(stored.Data), previousHash: block.Previous})
	heldNumbers := v.addEntries(stored.Key, block, chain.id)
	v.addCoverage(stored.Key, block, heldNumbers)
}

// linkUnreadable records the sequence of a damaged block, so that it is not reported as
// missing as well.
func (v *Verifier) linkUnreadable(stored StoredBlock) {
	name, err := ParseKey(stored.Key)
	if err != nil {
		return
	}
	chain := v.chainFor(name.Chain())
	if !chain.seen.Has(name.Sequence, name.Sequence) {
		v.linkBlock(chain, name.Sequence, &blockLink{key: stored.Key})
	}
}

func (v *Verifier) chainFor(id string) *chainState {
	chain := v.chains[id]
	if chain == nil {
		chain = &chainState{id: len(v.chains) + 1, unlinked: make(map[uint64]*blockLink)}
		v.chains[id] = chain
	}
	return chain
}

// linkBlock compares a block's hashes with those of its neighbors that were added before.
// Blocks that were compared with both neighbors are dropped from chain.unlinked.
func (v *Verifier) linkBlock(chain *chainState, sequence uint64, current *blockLink) {
	chain.seen.Add(sequence, sequence)
	chain.unlinked[sequence] = current
	if sequence == 1 {
		current.previousChecked = true
		if len(current.previousHash) != 0 {
			v.addFinding(Finding{Kind: FindingAlteredBlock, Key: current.key, Detail: "the first block of the chain has a previous hash"})
		}
	}
	if previous := chain.unlinked[sequence-1]; previous != nil {
		v.checkHash(previous, current)
		chain.dropIfChecked(sequence - 1)
	}
	if next := chain.unlinked[sequence+1]; next != nil {
		v.checkHash(current, next)
		chain.dropIfChecked(sequence + 1)
	}
	chain.dropIfChecked(sequence)
}

// checkHash compares the hash of a block with the previous hash in the next block.
func (v *Verifier) checkHash(first, second *blockLink) {
	first.nextChecked, second.previousChecked = true, true
	if first.hash != nil && second.hash != nil && !equalHash(first.hash, second.previousHash) {
		v.addFinding(Finding{Kind: FindingAlteredBlock, Key: first.key, Detail: "its hash differs from the previous hash in the next block"})
	}
}

func (c *chainState) dropIfChecked(sequence uint64) {
	if block := c.unlinked[sequence]; block.previousChecked && block.nextChecked {
		delete(c.unlinked, sequence)
	}
}

func (v *Verifier) runFor(id Run) *runState {
	run := v.runs[id]
	if run == nil {
		run = &runState{}
		v.runs[id] = run
	}
	return run
}

// addCoverage compares the block's coverage with the numbers that it really holds.
func (v *Verifier) addCoverage(key string, block *Block, heldNumbers map[Run]*NumberSet) {
	for i := range block.Coverage {
		coverage := &block.Coverage[i]
		run := v.runFor(coverage.Run())
		run.opened = max(run.opened, coverage.Opened)
		run.ended = run.ended || coverage.Ended
		run.final = run.final || coverage.Final
		if coverage.First == 0 {
			continue
		}
		numbers := heldNumbers[coverage.Run()]
		if numbers == nil {
			numbers = &NumberSet{}
		}
		for _, missing := range numbers.Missing(coverage.First, coverage.Last) {
			run.reportedMissing.Add(missing.First, missing.Last)
			v.addMissingEntries(coverage.Run(), missing, key, "the block's coverage includes the entry, but the block does not hold it")
		}
	}
}

// addEntries checks the block's entries and returns the numbers that it holds of each run.
func (v *Verifier) addEntries(key string, block *Block, chain int) map[Run]*NumberSet {
	heldNumbers := make(map[Run]*NumberSet)
	digestsComplete := len(block.Digests) == digestSize*len(block.Entries)
	if !digestsComplete {
		v.addFinding(Finding{Kind: FindingAlteredBlock, Key: key, Detail: fmt.Sprintf("the block has %d entries, but digests for %d", len(block.Entries), len(block.Digests)/digestSize)})
	}
	for i, data := range block.Entries {
		digest := digestOf(data)
		entry, err := block.Entry(i)
		if err != nil {
			v.addFinding(Finding{Kind: FindingAlteredEntry, Key: key, Detail: fmt.Sprintf("entry %d of the block can't be read: %v", i, err)})
			continue
		}
		if digestsComplete && binary.BigEndian.Uint32(block.Digests[digestSize*i:]) != digest {
			v.addFinding(entryFinding(FindingAlteredEntry, key, entry, "the entry does not match its digest"))
		}
		if heldNumbers[entry.Run()] == nil {
			heldNumbers[entry.Run()] = &NumberSet{}
		}
		span := entry.Span()
		heldNumbers[entry.Run()].Add(span.First, span.Last)
		v.addEntry(key, entry, digest, chain)
	}
	return heldNumbers
}

func entryFinding(kind FindingKind, key string, entry *Entry, detail string) Finding {
	span := entry.Span()
	return Finding{
		Kind: kind, Key: key, Daemon: entry.Daemon, Boot: entry.Boot,
		First: span.First, Last: span.Last, Request: entry.Request, Detail: detail,
	}
}

func (v *Verifier) addEntry(key string, entry *Entry, digest uint32, chain int) {
	run := v.runFor(entry.Run())
	if entry.Kind == EntryGap {
		v.report.Gaps++
		run.hasGap = true
		run.gaps.Add(entry.GapFirst, entry.GapLast)
		return
	}
	id := entryID{run: run, number: entry.Number}
	if run.present.Has(entry.Number, entry.Number) {
		v.addDuplicate(key, entry, digest, chain, id)
		return
	}
	v.report.Entries++
	v.entries.put(id, seenEntry{digest: digest, chain: chain})
	run.present.Add(entry.Number, entry.Number)
	if entry.Kind.Terminal() {
		v.addTerminal(key, entry, run)
	}
}

func (v *Verifier) addTerminal(key string, entry *Entry, run *runState) {
	v.report.Terminals++
	run.terminals++
	id := xxhash.Sum64String(string(entry.Request))
	if first, duplicate := v.requests.get(id); duplicate {
		v.addFinding(entryFinding(FindingDuplicateRequest, key, entry,
			fmt.Sprintf("the request already has a terminal entry, %s number %d", first.run, first.number)))
		return
	}
	v.requests.put(id, entryRef{run: entry.Run(), number: entry.Number})
}

func (v *Verifier) addDuplicate(key string, entry *Entry, digest uint32, chain int, id entryID) {
	earlier, known := v.entries.get(id)
	switch {
	case !known:
		// A daemon resends an entry within minutes, long before the cache drops it, so this
		// entry was not resent.
		v.addFinding(entryFinding(FindingDuplicateEntry, key, entry, "a much earlier block holds this number"))
	case earlier.digest != digest:
		v.addFinding(entryFinding(FindingDuplicateEntry, key, entry, "another entry has this number"))
	case earlier.chain == chain:
		v.addFinding(entryFinding(FindingDuplicateEntry, key, entry, "the entry occurs twice in one chain"))
	default:
		v.report.Resent++
	}
}

// Finish does the checks that need the whole record and returns the report.
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

// finishChain reports missing blocks. The block after a missing one is still in unlinked,
// because it was not compared with both neighbors.
func (v *Verifier) finishChain(chain *chainState) {
	first := uint64(1)
	if v.scope.Partial {
		first = firstNumber(&chain.seen)
	}
	for _, missing := range chain.seen.Missing(first, chain.seen.Last()) {
		next := chain.unlinked[missing.Last+1]
		v.addFinding(Finding{Kind: FindingMissingBlock, Key: next.key, Detail: missingBlocksDetail(missing)})
	}
}

func missingBlocksDetail(missing Span) string {
	if missing.Len() == 1 {
		return fmt.Sprintf("block %d before it is missing", missing.First)
	}
	return fmt.Sprintf("blocks %d to %d before it are missing", missing.First, missing.Last)
}

func (v *Verifier) finishRun(id Run, run *runState) {
	first := uint64(1)
	if v.scope.Partial {
		first = firstNumber(&run.present)
	}
	for _, missing := range run.present.Missing(first, run.present.Last()) {
		if !run.gaps.Has(missing.First, missing.Last) && !run.reportedMissing.Has(missing.First, missing.Last) {
			v.addMissingEntries(id, missing, "", "no block holds the entry and no gap covers its number")
		}
	}
	if run.ended && !run.final {
		v.report.CutOff++
	}
	v.checkRequestCounts(id, run)
}

func firstNumber(numbers *NumberSet) uint64 {
	if spans := numbers.Spans(); len(spans) > 0 {
		return spans[0].First
	}
	return 1
}

func (v *Verifier) addMissingEntries(id Run, missing Span, key, detail string) {
	v.addFinding(Finding{
		Kind: FindingMissingEntry, Key: key, Daemon: id.Daemon, Boot: id.Boot,
		First: missing.First, Last: missing.Last, Detail: detail,
	})
}

// checkRequestCounts compares the number of requests that the run opened with the number of
// its terminal entries. Each number that only a gap covers may be that of a request, so it
// counts as lost.
func (v *Verifier) checkRequestCounts(id Run, run *runState) {
	var lost uint64
	for _, gap := range run.gaps.Spans() {
		for _, missing := range run.present.Missing(gap.First, gap.Last) {
			lost += missing.Len()
		}
	}
	v.report.Lost += lost
	if run.opened > 0 && run.terminals > run.opened {
		v.addFinding(Finding{
			Kind: FindingDuplicateRequest, Daemon: id.Daemon, Boot: id.Boot,
			Detail: fmt.Sprintf("the run opened %d requests but has %d terminal entries", run.opened, run.terminals),
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
		// The writer that closed the run had not received the run's first entries, so the
		// bounds of its gap entry are not exact.
		v.report.Lost += missing
		return
	}
	v.addFinding(Finding{
		Kind: FindingMissingRequest, Daemon: id.Daemon, Boot: id.Boot,
		Detail: fmt.Sprintf("the run opened %d requests, %d have neither a terminal entry nor a gap", run.opened, missing),
	})
}
