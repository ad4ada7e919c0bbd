package vrgateway_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrevent"
)

// endedFields returns the fields of the last event's "call ended" line.
func (d *daemon) endedFields() map[string]string {
	d.t.Helper()
	for _, effect := range d.out.List {
		if line, ok := effect.(vrevent.Log); ok && line.Message == "call ended" {
			fields := make(map[string]string)
			for _, field := range line.Fields {
				fields[field.Name] = field.Value
			}
			return fields
		}
	}
	require.Fail(d.t, "no call ended")
	return nil
}

// Guards against logs in which a request that was cut at its deadline, or while the daemon was
// shutting down, looks like one that was cut with time left in normal operation.
func TestEndOfCutCallTellsTimeLeftAndShutdown(t *testing.T) {
	for _, stopping := range []string{"false", "true"} {
		t.Run("stopping "+stopping, func(t *testing.T) {
			d := newReadyDaemon(t, engineEntry("e1", "m"))
			if stopping == "true" {
				d.reduce(vrevent.ShutdownRequested{})
			}
			broken, written, left := d.requireSentOn("single"), d.requireSentOn("single"), d.requireSentOn("single")
			d.now = d.now.Add(500 * time.Millisecond)
			require.Equal(t, []vrevent.Effect{vrevent.AbortCall{Call: broken.Call}},
				d.reduce(vrevent.SendEnded{Call: broken.Call, Send: 1, Result: vrevent.AttemptBroken, PartForwarded: true, Events: 3}))
			fields := d.endedFields()
			require.Equal(t, "broken", fields["outcome"])
			require.Equal(t, "1500", fields["leftMs"])
			require.Equal(t, stopping, fields["stopping"])

			d.reduce(vrevent.SendEnded{Call: written.Call, Send: 1, Result: vrevent.AttemptCallerGone, Detail: "i/o timeout"})
			fields = d.endedFields()
			require.Equal(t, "callerGone", fields["outcome"])
			require.Equal(t, "1500", fields["leftMs"])
			require.Equal(t, "e1", fields["server"])
			require.Equal(t, "i/o timeout", fields["detail"])
			require.Equal(t, stopping, fields["stopping"])

			d.reduce(vrevent.ClientGone{Call: left.Call})
			fields = d.endedFields()
			require.Equal(t, "callerGone", fields["outcome"])
			require.Equal(t, "1500", fields["leftMs"])
			require.Equal(t, stopping, fields["stopping"])
		})
	}
}
