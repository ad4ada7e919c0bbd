package vrinvariant

import (
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrwire"
)

// firstBlock returns the first block of a writer, with one entry of the run daemon-5/b.
func firstBlock(t *testing.T, writer vrid.DaemonID, entry vrrecord.Entry) vrplatform.Item {
	t.Helper()
	entry.Daemon, entry.Boot, entry.Zone, entry.At = "daemon-5", "b", "tw-north-a", at(1).UnixMilli()
	data, err := vrwire.Marshal(&entry)
	require.NoError(t, err)
	span := entry.Span()
	block := &vrrecord.Block{
		Zone: "tw-north-a", Writer: writer, Boot: "w", Sequence: 1, From: entry.At, Until: entry.At,
		Entries:  [][]byte{data},
		Coverage: []vrrecord.Coverage{{Daemon: entry.Daemon, Boot: entry.Boot, First: span.First, Last: span.Last}},
	}
	value, err := vrrecord.EncodeBlock(block)
	require.NoError(t, err)
	return vrplatform.Item{Key: block.Key(), Value: value}
}

// Guards against treating a gap as a duplicate. A gap in one writer's block can carry the
// number of an entry that another writer's block contains. Deduplication by number then
// dropped the entry, and `verbenabench try` reported a missing terminal entry.
func TestGapDoesNotHideEntry(t *testing.T) {
	terminal := vrrecord.Entry{Kind: vrrecord.EntryAnswered, Number: 61, Request: "r61", Ran: vrrecord.RanYes, Config: 1}
	gap := vrrecord.Entry{Kind: vrrecord.EntryGap, Number: 61, GapFirst: 61, GapLast: 81}
	e := Evidence{}
	require.NoError(t, e.ReadRecord([]vrplatform.Item{
		firstBlock(t, "daemon-1", gap), firstBlock(t, "daemon-4", terminal), firstBlock(t, "daemon-6", terminal),
	}))
	check := Check{}
	require.Contains(t, e.terminalEntries(&check), vrid.RequestID("r61"))
	require.Len(t, e.Record, 2, "the gap and one copy of the repeated entry are kept")
	require.True(t, check.Held(), check.Violations)
}
