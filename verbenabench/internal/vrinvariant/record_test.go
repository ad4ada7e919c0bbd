package vrinvariant

import (
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrwire"
)

// blockOf is the first block of a writer with one entry of the run daemon-5/b.
func blockOf(t *testing.T, writer vrid.DaemonID, entry vrrecord.Entry) vrplatform.Item {
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

// A gap of one writer has the number of the first entry that another writer's block
// holds. Taken for that entry it made try report a missing terminal entry.
func TestGapHidesNoEntry(t *testing.T) {
	terminal := vrrecord.Entry{Kind: vrrecord.EntryAnswered, Number: 61, Request: "r61", Ran: vrrecord.RanYes, Config: 1}
	gap := vrrecord.Entry{Kind: vrrecord.EntryGap, Number: 61, GapFirst: 61, GapLast: 81}
	e := Evidence{}
	require.NoError(t, e.ReadRecord([]vrplatform.Item{
		blockOf(t, "daemon-1", gap), blockOf(t, "daemon-4", terminal), blockOf(t, "daemon-6", terminal),
	}))
	check := Check{}
	require.Contains(t, e.terminalEntries(&check), vrid.RequestID("r61"))
	require.Len(t, e.Record, 2, "the repeated entry stands once beside the gap")
	require.True(t, check.Held(), check.Violations)
}
