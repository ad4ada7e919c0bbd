package vrrecord

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

func testEntry(number uint64) Entry {
	return Entry{
		Kind: EntryAnswered, Number: number, Request: vrid.RequestID(fmt.Sprintf("01JREQUEST%016d", number)),
		Daemon: "vm-1", Boot: "B1", Zone: "tw-north-a", At: 1_700_000_000_000 + int64(number)*40,
		Rank: vrid.RankUrgent, Model: "summary@3", Ran: RanYes, Attempts: 1, Server: "lm-4", Total: 80_000, Config: 4,
	}
}

func encodeEntry(t testing.TB, entry Entry) []byte {
	data, err := vrwire.Marshal(&entry)
	require.NoError(t, err)
	return data
}

// buildChain returns a chain of blocks with perBlock entries each.
func buildChain(t testing.TB, blocks, perBlock int) []*Block {
	var chain []*Block
	var previous []byte
	number := uint64(0)
	for sequence := 1; sequence <= blocks; sequence++ {
		block := &Block{Zone: "tw-north-a", Writer: "vm-1", Boot: "B1", Sequence: uint64(sequence), Previous: previous}
		first := number + 1
		for range perBlock {
			number++
			block.Entries = append(block.Entries, encodeEntry(t, testEntry(number)))
		}
		block.Coverage = []Coverage{{Daemon: "vm-1", Boot: "B1", First: first, Last: number, Opened: number}}
		data, err := EncodeBlock(block)
		require.NoError(t, err)
		previous = Hash(data)
		chain = append(chain, block)
	}
	return chain
}

func encodeBlocks(t testing.TB, blocks []*Block) []StoredBlock {
	var stored []StoredBlock
	for _, block := range blocks {
		data, err := packBlock(block)
		require.NoError(t, err)
		stored = append(stored, StoredBlock{Key: block.Key(), Data: data})
	}
	return stored
}

func kindsOf(report Report) []FindingKind {
	var kinds []FindingKind
	for _, finding := range report.Findings {
		kinds = append(kinds, finding.Kind)
	}
	return kinds
}

// Guards against an audit that reports faults in an intact record.
func TestVerifyIntact(t *testing.T) {
	report := Verify(encodeBlocks(t, buildChain(t, 4, 10)))
	require.Empty(t, report.Findings)
	require.Equal(t, 40, report.Terminals)
	require.Equal(t, 1, report.Chains)
}

// Guards against an audit that misses a changed, dropped or duplicated entry or block, or
// that doesn't report which one it is.
func TestVerifyTampered(t *testing.T) {
	cases := []struct {
		name     string
		tamper   func(t *testing.T, blocks []*Block) []*Block
		want     []FindingKind
		wantText string
	}{
		{"alter entry", func(t *testing.T, b []*Block) []*Block {
			changed := testEntry(13)
			changed.Total = 1
			b[1].Entries[2] = encodeEntry(t, changed)
			return b
		}, []FindingKind{FindingAlteredBlock, FindingAlteredEntry}, "alteredEntry record/tw-north-a/1970-01-01T00/vm-1-B1/000000000002 vm-1/B1 number 13 request 01JREQUEST0000000000000013: the entry does not match its digest"},
		{"alter entry and its digest", func(t *testing.T, b []*Block) []*Block {
			changed := testEntry(13)
			changed.Total = 1
			b[1].Entries[2] = encodeEntry(t, changed)
			_, err := EncodeBlock(b[1])
			require.NoError(t, err)
			return b
		}, []FindingKind{FindingAlteredBlock}, "alteredBlock record/tw-north-a/1970-01-01T00/vm-1-B1/000000000002: its hash differs from the previous hash in the next block"},
		{"alter entry of the last block", func(t *testing.T, b []*Block) []*Block {
			changed := testEntry(35)
			changed.Ran = RanNo
			b[3].Entries[4] = encodeEntry(t, changed)
			return b
		}, []FindingKind{FindingAlteredEntry}, "number 35"},
		{"drop entry", func(_ *testing.T, b []*Block) []*Block {
			b[1].Entries = slices.Delete(b[1].Entries, 2, 3)
			return b
		}, []FindingKind{FindingAlteredBlock, FindingAlteredBlock, FindingMissingEntry}, "missingEntry record/tw-north-a/1970-01-01T00/vm-1-B1/000000000002 vm-1/B1 number 13: the block's coverage includes the entry, but the block does not hold it"},
		{"duplicate entry", func(_ *testing.T, b []*Block) []*Block {
			b[1].Entries = append(b[1].Entries, b[1].Entries[2])
			return b
		}, []FindingKind{FindingAlteredBlock, FindingAlteredBlock, FindingDuplicateEntry}, "doubledEntry record/tw-north-a/1970-01-01T00/vm-1-B1/000000000002 vm-1/B1 number 13"},
		{"second terminal entry of a request", func(t *testing.T, b []*Block) []*Block {
			second := testEntry(31)
			second.Request = testEntry(2).Request
			b[3].Entries[0] = encodeEntry(t, second)
			_, err := EncodeBlock(b[3])
			require.NoError(t, err)
			return b
		}, []FindingKind{FindingDuplicateRequest}, "the request already has a terminal entry, vm-1/B1 number 2"},
		{"drop block", func(_ *testing.T, b []*Block) []*Block {
			return slices.Delete(b, 1, 2)
		}, []FindingKind{FindingMissingEntry, FindingMissingBlock}, "missingBlock record/tw-north-a/1970-01-01T00/vm-1-B1/000000000003: block 2 before it is missing"},
		{"drop first block", func(_ *testing.T, b []*Block) []*Block {
			return b[1:]
		}, []FindingKind{FindingMissingEntry, FindingMissingBlock}, "number 1 to 10"},
		{"duplicate block", func(_ *testing.T, b []*Block) []*Block {
			return append(b, b[1])
		}, []FindingKind{FindingDuplicateBlock}, "doubledBlock record/tw-north-a/1970-01-01T00/vm-1-B1/000000000002: sequence 2 occurs twice"},
		{"more terminal entries than requests", func(t *testing.T, b []*Block) []*Block {
			for _, block := range b {
				block.Coverage[0].Opened = min(block.Coverage[0].Opened, 39)
			}
			return b[:4]
		}, []FindingKind{FindingDuplicateRequest}, "the run opened 39 requests but has 40 terminal entries"},
		{"requests without a terminal entry", func(t *testing.T, b []*Block) []*Block {
			b[2].Coverage[0].Opened = 90
			b[2].Coverage[0].Ended = true
			return b
		}, []FindingKind{FindingMissingRequest, FindingAlteredBlock}, "the run opened 90 requests, 50 have neither"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			report := Verify(encodeBlocks(t, c.tamper(t, buildChain(t, 4, 10))))
			require.Equal(t, c.want, kindsOf(report))
			require.Contains(t, fmt.Sprint(report.Findings), c.wantText)
		})
	}
}

// Guards against an audit whose memory grows with every entry. Checked blocks and numbers
// have to be kept as ranges, and single entries in a bounded cache.
func TestVerifyBoundsMemory(t *testing.T) {
	verifier := NewVerifier(Scope{})
	for _, stored := range encodeBlocks(t, buildChain(t, 200, 5)) {
		verifier.Add(stored)
	}
	for _, chain := range verifier.chains {
		require.Len(t, chain.unlinked, 1)
		require.Len(t, chain.seen.Spans(), 1)
	}
	require.Len(t, verifier.runFor(Run{Daemon: "vm-1", Boot: "B1"}).present.Spans(), 1)
	cache := newGenerationCache[int, int](10)
	for i := range 100 {
		cache.put(i, i)
	}
	require.LessOrEqual(t, len(cache.current)+len(cache.previous), 20)
	_, found := cache.get(99)
	require.True(t, found)
}

// Guards against an audit whose findings depend on the order of the blocks.
func TestVerifyAnyOrder(t *testing.T) {
	stored := encodeBlocks(t, buildChain(t, 6, 5))
	random := rand.New(rand.NewPCG(4, 4))
	for range 20 {
		random.Shuffle(len(stored), func(i, j int) { stored[i], stored[j] = stored[j], stored[i] })
		require.Empty(t, Verify(stored).Findings)
	}
}

// Guards against a damaged object that stops the audit or keeps its neighbors from being
// checked.
func TestVerifyUnreadable(t *testing.T) {
	stored := encodeBlocks(t, buildChain(t, 3, 5))
	stored[1].Data = stored[1].Data[:len(stored[1].Data)/2]
	report := Verify(stored)
	require.Equal(t, []FindingKind{FindingMissingEntry, FindingUnreadableBlock}, kindsOf(report))
}

// Guards against a lost entry that is reported as a fault although a gap covers it, and
// against one that is not counted as lost.
func TestVerifyGap(t *testing.T) {
	blocks := buildChain(t, 2, 10)
	blocks[1].Entries = slices.Delete(blocks[1].Entries, 5, 10)
	gap := Entry{Kind: EntryGap, Number: 16, Daemon: "vm-1", Boot: "B1", GapFirst: 14, GapLast: 22}
	blocks[1].Entries = append(blocks[1].Entries, encodeEntry(t, gap))
	blocks[1].Coverage = []Coverage{{Daemon: "vm-1", Boot: "B1", First: 11, Last: 22, Opened: 22, Ended: true}}
	_, err := EncodeBlock(blocks[1])
	require.NoError(t, err)
	report := Verify(encodeBlocks(t, blocks))
	require.Empty(t, report.Findings)
	require.EqualValues(t, 7, report.Lost)
	require.Equal(t, 1, report.Gaps)
}

// Guards against reporting entries as duplicates that were sent again to a second writer.
func TestVerifyResent(t *testing.T) {
	blocks := buildChain(t, 2, 10)
	second := &Block{Zone: "tw-north-a", Writer: "vm-2", Boot: "B7", Sequence: 1, Entries: blocks[1].Entries, Coverage: blocks[1].Coverage}
	_, err := EncodeBlock(second)
	require.NoError(t, err)
	report := Verify(encodeBlocks(t, append(blocks, second)))
	require.Empty(t, report.Findings)
	require.Equal(t, 10, report.Resent)
	require.Equal(t, 20, report.Entries)
}

// Guards against an audit of the record from a point in time on that reports the earlier
// blocks, which it was not given, as missing.
func TestVerifyPartial(t *testing.T) {
	verifier := NewVerifier(Scope{Partial: true})
	for _, stored := range encodeBlocks(t, buildChain(t, 4, 10)[2:]) {
		verifier.Add(stored)
	}
	report := verifier.Finish()
	require.Empty(t, report.Findings)
}

// Guards against a block that takes more space on the platform than the 25 to 40 bytes
// per entry that the design states.
func TestBlockSize(t *testing.T) {
	const count = 1000
	random := rand.New(rand.NewPCG(1, 2))
	block := &Block{Zone: "tw-north-a", Writer: "vm-1", Boot: "B1", Sequence: 1}
	for i := range count {
		entry := testEntry(uint64(i + 1))
		entry.Request = vrid.RequestID(fmt.Sprintf("01JFQ8Z%03d%016x", i/50, random.Uint64()))
		entry.Queued = random.Int64N(20_000)
		entry.FirstToken = entry.Queued + random.Int64N(900_000)
		entry.Total = entry.FirstToken + random.Int64N(2_000_000)
		entry.Tokens = uint32(random.IntN(200))
		entry.Model = vrid.ModelID(fmt.Sprintf("model-%d@1", random.IntN(60)))
		entry.Server = vrid.ServerID(fmt.Sprintf("lm-%d", random.IntN(12)))
		block.Entries = append(block.Entries, encodeEntry(t, entry))
	}
	data, err := EncodeBlock(block)
	require.NoError(t, err)
	t.Logf("%.1f bytes per entry", float64(len(data))/count)
	require.LessOrEqual(t, len(data), 40*count)
	decoded, err := DecodeBlock(data)
	require.NoError(t, err)
	require.Equal(t, block, decoded)
}

// Guards against a key that ParseKey does not parse back into its BlockName.
func TestKey(t *testing.T) {
	name := BlockName{Zone: "tw-north-a", Hour: "2026-12-04T03", Writer: "vm-1", Boot: "01J", Sequence: 7}
	require.Equal(t, "record/tw-north-a/2026-12-04T03/vm-1-01J/000000000007", name.Key())
	parsed, err := ParseKey(name.Key())
	require.NoError(t, err)
	require.Equal(t, name, parsed)
	for _, bad := range []string{"", "record/z/w-b", "record/z/w-b/1", "record/z/h/wb/1", "record/z/h/w-b/x", "claims/z/h/w-b/1"} {
		_, err := ParseKey(bad)
		require.Error(t, err, bad)
	}
}

// Guards against crafted blocks that cause a panic or exhaust memory.
func FuzzDecodeBlock(f *testing.F) {
	for _, stored := range encodeBlocks(f, buildChain(f, 1, 3)) {
		f.Add(stored.Data)
	}
	f.Add([]byte{})
	f.Fuzz(func(_ *testing.T, data []byte) {
		Verify([]StoredBlock{{Key: "record/z/h/w-b/000000000001", Data: data}})
		_, _ = UnpackEntries(data)
	})
}

func testClaim(number uint64, state vrwire.ClaimState) vrwire.ClaimEntry {
	entry := testEntry(number)
	return vrwire.ClaimEntry{
		Service: "circles", Key: vrid.IdempotencyKey(fmt.Sprint("k", number)), State: state,
		Daemon: entry.Daemon, Boot: entry.Boot, Request: entry.Request, At: entry.At,
	}
}

func testCall(number uint64, change func(*Entry)) *Entry {
	entry := testEntry(number)
	entry.Service, entry.Key = "circles", vrid.IdempotencyKey(fmt.Sprint("k", number))
	if change != nil {
		change(&entry)
	}
	return &entry
}

// Guards against an audit that doesn't report a call that ran twice, ran without a claim,
// was refused as not run although it ran, was released although it ran, or has no entry.
func TestReconcile(t *testing.T) {
	refused := func(e *Entry) { e.Kind, e.Reason, e.Ran, e.Attempts = EntryRefused, "claimUnavailable", RanNo, 0 }
	entries := []*Entry{
		testCall(1, nil),
		testCall(2, refused),
		testCall(3, refused),
		testCall(4, nil),
		testCall(5, nil),
		testCall(6, func(e *Entry) { e.Key = "k1" }),
		testCall(9, nil),
	}
	claims := []vrwire.ClaimEntry{
		testClaim(1, vrwire.ClaimClaimed), testClaim(1, vrwire.ClaimDone),
		testClaim(2, vrwire.ClaimReleased),
		testClaim(3, vrwire.ClaimDone),
		testClaim(4, vrwire.ClaimReleased),
		testClaim(6, vrwire.ClaimDone),
		testClaim(7, vrwire.ClaimDone),
		testClaim(9, vrwire.ClaimDone),
		testClaim(90, vrwire.ClaimDone),
	}
	result := Reconcile(slices.Values(entries), claims)
	var found []string
	for _, mismatch := range result.Mismatches {
		found = append(found, fmt.Sprintf("%s %s", mismatch.Kind, mismatch.Request[len(mismatch.Request)-1:]))
	}
	require.Equal(t, []string{"ranTwice 6", "falseNotRun 3", "releasedButRan 4", "unclaimed 5", "noEntry 7"}, found)
	require.Equal(t, 4, result.Matched)
	require.Equal(t, 1, result.Outside)
}
