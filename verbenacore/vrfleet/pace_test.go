package vrfleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrfleet"
)

// Guards against a service that counts as sharing its machines although its servers state no pace, and
// against one that stops doing so with each restart of a server.
func TestPaceShowsSharedMachines(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	fleet := vrfleet.New()
	fleet.Put(now, vrfleet.Entry{ID: "a", Service: "lm", State: vrfleet.StateReady, Born: 1})
	fleet.RecordPace(fleet.Server("a"), 0)
	require.False(t, fleet.SharesMachines("lm"))
	fleet.RecordPace(fleet.Server("a"), 250)
	fleet.Put(now, vrfleet.Entry{ID: "a", Service: "lm", State: vrfleet.StateReady, Born: 2})
	require.True(t, fleet.SharesMachines("lm"))
	require.False(t, fleet.SharesMachines("app"))
}
