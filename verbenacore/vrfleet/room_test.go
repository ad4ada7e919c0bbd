package vrfleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrfleet"
)

// Guards against a wrong estimate of a server's load between its reports: slots would stay empty, or the server
// would get more than it can take.
func TestRoomBetweenLoadReports(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	fleet := vrfleet.New()
	fleet.Put(now, vrfleet.Entry{ID: "s", Service: "lm", Slots: 8, State: vrfleet.StateReady, Born: 1})
	server := fleet.Server("s")
	need := vrfleet.RoomNeed{Checked: true, CacheTokens: 1000, MeanTokens: 50}
	first := server.Place(now, 300)
	require.Equal(t, -1, server.FreeTokens(now, &need), "the first request obtains a report")
	server.SetLoad(now, 7, 0)
	require.Equal(t, 400, server.FreeTokens(now, &need), "six requests of others")
	second := server.Place(now, 200)
	require.Equal(t, -1, server.FreeTokens(now, &need))
	urgent := need
	urgent.Urgent, urgent.Daemons = true, 2
	require.Equal(t, 200, server.FreeTokens(now, &urgent), "the ninth request")
	fleet.RecordRequestEnd(server, now, true)
	server.EndPlacement(&first)
	require.Equal(t, 500, server.FreeTokens(now, &need), "the report counts the ended request")
	server.EndPlacement(&second)
	fleet.RecordStated(server, 2, 0)
	require.Equal(t, -1, server.FreeTokens(now, &need), "it states fewer slots")
	server.RecordTurnedAway(now)
	require.Equal(t, -1, server.FreeTokens(now.Add(100*time.Millisecond), &urgent))
	later := now.Add(3 * time.Second)
	require.Equal(t, 1000, server.FreeTokens(later, &need), "the report is too old")

	before := server.Place(later, 400)
	fleet.Put(later, vrfleet.Entry{ID: "s", Service: "lm", Slots: 8, State: vrfleet.StateReady, Born: 2})
	server.Place(later, 100)
	server.EndPlacement(&before)
	require.Equal(t, 1, server.OwnRequests(), "a request to an earlier process does not count")
	server.SetLoad(later, 1, 0)
	require.Equal(t, 900, server.FreeTokens(later, &need))
}

// Guards against a service that counts as one on shared machines though no server of it has stated its pace.
func TestServicesOnSharedMachines(t *testing.T) {
	fleet := vrfleet.New()
	fleet.Put(time.Time{}, vrfleet.Entry{ID: "s", Service: "lm", State: vrfleet.StateReady})
	server := fleet.Server("s")
	fleet.RecordStated(server, 12, 0)
	require.False(t, fleet.SharesMachines("lm"))
	fleet.RecordStated(server, 12, 100)
	fleet.Put(time.Time{}, vrfleet.Entry{ID: "s", Service: "lm", State: vrfleet.StateReady, Born: 2})
	require.True(t, fleet.SharesMachines("lm"), "a restart changes nothing")
	require.False(t, fleet.SharesMachines("app"))
}

// Guards against a server that gets more tokens than its cache holds, because its registration was lost for a
// moment and the requests in flight at the same process were forgotten.
func TestRoomOfProcessThatIsRegisteredAgain(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	fleet := vrfleet.New()
	entry := vrfleet.Entry{ID: "s", Service: "lm", Slots: 8, State: vrfleet.StateReady, Born: 1}
	fleet.Put(now, entry)
	former := fleet.Server("s")
	former.SetLoad(now, 0, 0)
	former.RecordSend()
	placement := former.Place(now, 900)
	fleet.Remove("s")
	entry.Beat++
	require.Equal(t, vrfleet.ChangeAdded, fleet.Put(now, entry))
	server := fleet.Server("s")
	need := vrfleet.RoomNeed{Checked: true, CacheTokens: 1000, MeanTokens: 50}
	require.Equal(t, 100, server.FreeTokens(now, &need))
	server.SetLoad(now, 1, 0)
	require.Equal(t, 100, server.FreeTokens(now, &need))
	fleet.RecordRequestEnd(former, now, true)
	former.EndPlacement(&placement)
	require.Equal(t, 1000, server.FreeTokens(now, &need))
}
