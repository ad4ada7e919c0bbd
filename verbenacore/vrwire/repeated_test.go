package vrwire

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrid"
)

func newHeartbeat(count int) *Heartbeat {
	heartbeat := &Heartbeat{}
	for i := range count {
		heartbeat.Members = append(heartbeat.Members, MemberItem{Daemon: vrid.DaemonID(fmt.Sprint("d", i)), Boot: "b"})
		report := LoadReport{Server: vrid.ServerID(fmt.Sprint("s", i))}
		for j := range count {
			report.AppliedOrders = append(report.AppliedOrders, vrid.OrderID(fmt.Sprint("o", j)))
			report.Models = append(report.Models, LoadedModel{Model: vrid.ModelID(fmt.Sprint("m", j)), Adapters: []vrid.AdapterID{"a"}})
		}
		heartbeat.Reports = append(heartbeat.Reports, report)
	}
	return heartbeat
}

// Guards against a codec fault with more than 10 elements in a repeated field, which would make
// every receiver refuse a zone with more than 10 members or a record batch with more than
// 10 entries.
func TestRepeatedFields(t *testing.T) {
	for _, count := range []int{1, 9, 10, 11, 20, 21, 100} {
		sent := &Envelope{From: "d", Boot: "b", Heartbeat: newHeartbeat(count)}
		data, err := Marshal(sent)
		require.NoError(t, err)
		received, err := Unmarshal[Envelope](data)
		require.NoError(t, err, "%d elements", count)
		require.Equal(t, sent, received)
	}
	batch := &RecordBatch{Daemon: "d", Boot: "b"}
	for i := range 300 {
		batch.Entries = append(batch.Entries, []byte{byte(i), 1})
	}
	data, err := Marshal(batch)
	require.NoError(t, err)
	received, err := Unmarshal[RecordBatch](data)
	require.NoError(t, err)
	require.Equal(t, batch, received)
}

// Guards against a crash on malformed frames for which the allocated capacity of a repeated
// field is too small, so that the codec has to grow the field.
func FuzzUnmarshalEnvelope(f *testing.F) {
	for _, count := range []int{1, 12} {
		data, err := Marshal(&Envelope{From: "d", Boot: "b", Heartbeat: newHeartbeat(count)})
		require.NoError(f, err)
		f.Add(data)
		f.Add(append(data, data...))
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Unmarshal[Envelope](data)
	})
}
