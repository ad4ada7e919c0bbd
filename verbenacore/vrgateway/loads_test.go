package vrgateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrcatalog"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// busyAtDispatch returns the requests that the daemon estimated at the server of its last dispatch.
func (d *daemon) busyAtDispatch() string {
	d.t.Helper()
	for _, effect := range d.out.List {
		log, ok := effect.(vrevent.Log)
		if !ok || log.Message != "call dispatched" {
			continue
		}
		for _, field := range log.Fields {
			if field.Name == "busy" {
				return field.Value
			}
		}
	}
	require.Fail(d.t, "nothing was dispatched")
	return ""
}

func (d *daemon) endWithLoad(send vrevent.SendCall, load vrevent.ServerLoad) {
	d.reduce(vrevent.SendEnded{Call: send.Call, Send: send.Send, Result: vrevent.AttemptAnswered, Status: 200, Load: &load})
}

// Guards against a load of a stream's head that is applied as new when the stream ends: the server then looked
// as idle as it had been seconds ago. Other deployments keep the load of the end.
func TestLoadCountsFromTheHeadWhereAdmissionIsOrdered(t *testing.T) {
	for name, test := range map[string]struct {
		load    vrevent.ServerLoad
		tenants bool
		// busy are the requests estimated before the end of the first stream and after it.
		busy [2]string
	}{
		"shared machines": {vrevent.ServerLoad{Running: 3, Slots: 40, Pace: 100}, false, [2]string{"5", "5"}},
		"tenants":         {vrevent.ServerLoad{Running: 3, Slots: 40}, true, [2]string{"5", "5"}},
		"neither":         {vrevent.ServerLoad{Running: 3, Slots: 40}, false, [2]string{"3", "4"}},
	} {
		t.Run(name, func(t *testing.T) {
			d := newReadyDaemon(t, engineEntry("e1", "m"))
			if test.tenants {
				catalog := newCatalog(2)
				catalog.Tenants = []vrcatalog.Tenant{{ID: "t"}}
				require.NoError(t, catalog.Build())
				for i := range catalog.Routes {
					catalog.Routes[i].Public = true
				}
				d.reduce(vrevent.CatalogSeen{Catalog: catalog})
			}
			first := d.requireSentOn("stream")
			d.now = d.now.Add(100 * time.Millisecond)
			d.reduce(vrevent.LoadReported{Server: "e1", Born: 1, Load: test.load})
			d.now = d.now.Add(100 * time.Millisecond)
			d.requireSentOn("stream")
			d.requireSentOn("stream")
			require.Equal(t, test.busy[0], d.busyAtDispatch())
			d.endWithLoad(first, test.load)
			d.requireSentOn("stream")
			require.Equal(t, test.busy[1], d.busyAtDispatch())
		})
	}
}

// Guards against the load of a former process that is taken for that of its successor.
func TestLoadOfAFormerProcessIsIgnored(t *testing.T) {
	d := newReadyDaemon(t, engineEntry("e1", "m"))
	d.reduce(vrevent.LoadReported{Server: "e1", Born: 1, Load: vrevent.ServerLoad{Pace: 100}})
	d.reduce(vrevent.LoadReported{Server: "e1", Born: 7, Load: vrevent.ServerLoad{Running: 30, Pace: 100}})
	d.requireSentOn("stream")
	require.Equal(t, "1", d.busyAtDispatch())
}

// Guards against a server that all daemons take for empty because each knows its own calls only: the owner adds
// up what the daemons report and leaves out the receiver's own share.
func TestOwnerSumsRequestsOfDaemons(t *testing.T) {
	owner := newReadyDaemon(t, engineEntry("e1", "m"), engineEntry("e2", "m"), engineEntry("e3", "m"))
	owner.listTwentyDaemons()
	check := func() {
		owner.reduce(vrevent.CatalogChecked{At: owner.now})
		for daemon, requests := range map[vrid.DaemonID]uint32{"d2": 4, "d3": 3} {
			owner.reduce(vrevent.PeerMessage{Envelope: &vrwire.Envelope{From: daemon, PlacementDemand: &vrwire.PlacementDemand{
				Full: true, InFlight: []vrwire.ServerInFlight{{Server: "e1", Model: "m", Running: requests}, {Server: "e2", Model: "m", Running: 1}},
			}}})
		}
	}
	for _, heartbeat := range owner.heartbeats(6*time.Second, check) {
		require.Empty(t, heartbeat.Loads, "no server has stated its pace")
	}
	owner.reduce(vrevent.LoadReported{Server: "e3", Born: 1, Load: vrevent.ServerLoad{Pace: 100}})
	heartbeats := owner.heartbeats(2*time.Second, check)
	require.NotEmpty(t, heartbeats)
	last := heartbeats[len(heartbeats)-1]
	require.Equal(t, []vrwire.ServerRequests{{Server: "e1", Requests: 3}}, last.Loads, "e2 is nearly empty")
	require.Less(t, last.LoadsAge, int64(1000))
}

// Guards against sums that outlive what they were added up from: a later report of the server, a later sum
// without it, and their age end them.
func TestSumsOfRequestsAreALowerBoundWhileFresh(t *testing.T) {
	heartbeat := func(d *daemon, loads ...vrwire.ServerRequests) {
		d.reduce(vrevent.PeerMessage{Envelope: &vrwire.Envelope{From: "d2", Notices: &vrwire.Notices{
			Epoch: 1, CatalogVersion: 1, ReportBoot: "b1", ReportSentAt: 4000, ReportAge: d.now.Sub(time.Unix(1_790_000_004, 0)).Milliseconds(),
			Loads: loads, LoadsAge: 500,
		}}})
	}
	for name, test := range map[string]struct {
		then func(*daemon)
		busy string
	}{
		"at once": {func(*daemon) {}, "9"},
		"later report": {func(d *daemon) {
			d.reduce(vrevent.LoadReported{Server: "e1", Born: 1, Load: vrevent.ServerLoad{Running: 4}})
		}, "5"},
		"later sums without it": {func(d *daemon) { d.now = d.now.Add(800 * time.Millisecond); heartbeat(d) }, "3"},
		"old":                   {func(d *daemon) { d.now = d.now.Add(1600 * time.Millisecond) }, "3"},
	} {
		t.Run(name, func(t *testing.T) {
			d := newReadyDaemon(t, engineEntry("e1", "m"))
			d.listTwentyDaemons()
			d.now = d.now.Add(5 * time.Second)
			d.reduce(vrevent.LoadReported{Server: "e1", Born: 1, Load: vrevent.ServerLoad{Slots: 40, Pace: 100}})
			d.requireSentOn("stream")
			d.requireSentOn("stream")
			d.now = d.now.Add(time.Second)
			heartbeat(d, vrwire.ServerRequests{Server: "e1", Requests: 6})
			test.then(d)
			d.requireSentOn("stream")
			require.Equal(t, test.busy, d.busyAtDispatch())
		})
	}
}

// Guards against a hedge to a server that is expected to answer even later, and against none beside a server that
// has gone silent although its last report was good.
func TestHedgeGoesOnlyToASoonerServer(t *testing.T) {
	for name, test := range map[string]struct {
		other, present int
		hedges         int
	}{
		"other is full":        {60, 0, 0},
		"other is idle":        {0, 0, 1},
		"present is fuller":    {30, 200, 1},
		"both are overcrowded": {60, 60, 0},
	} {
		t.Run(name, func(t *testing.T) {
			d := newReadyDaemon(t, engineEntry("e1", "m"))
			d.reduce(vrevent.LoadReported{Server: "e1", Born: 1, Load: vrevent.ServerLoad{Pace: 100}})
			send := d.requireSentOn("stream")
			d.reduce(vrevent.FleetListed{Entries: []vrfleet.Entry{engineEntry("e1", "m"), engineEntry("e2", "m")}})
			d.now = send.FirstByteDeadline
			d.reduce(vrevent.LoadReported{Server: "e1", Born: 1, Load: vrevent.ServerLoad{Running: test.present, Slots: 40, Pace: 100}})
			d.reduce(vrevent.LoadReported{Server: "e2", Born: 1, Load: vrevent.ServerLoad{Running: test.other, Slots: 40, Pace: 100}})
			effects := d.reduce(vrevent.SendStalled{Call: send.Call, Send: send.Send, Silence: 500 * time.Millisecond})
			require.Len(t, sends(effects), test.hedges)
		})
	}
}

// A server on a machine that is slow at the moment must not be ejected for it, but one that is silent must.
func TestSlowPaceIsNoFailure(t *testing.T) {
	for pace, sent := range map[int]int{250: 1, 100: 0} {
		d := newReadyDaemon(t, engineEntry("e1", "m"))
		for range 3 {
			d.reduce(vrevent.LoadReported{Server: "e1", Born: 1, Load: vrevent.ServerLoad{Pace: pace}})
			if effects := sends(d.arrive("stream")); len(effects) == 1 {
				d.now = d.now.Add(500 * time.Millisecond)
				d.endSend(effects[0], vrevent.AttemptTimedOut)
			}
		}
		require.Len(t, sends(d.arrive("stream")), sent, "pace %d", pace)
	}
}

// Guards against a server that hangs and is never ejected because its average pace excuses each silence. Silences at
// the same time are excused together.
func TestPaceExcusesNoRepeatedSilence(t *testing.T) {
	d := newReadyDaemon(t, engineEntry("e1", "m"))
	d.reduce(vrevent.LoadReported{Server: "e1", Born: 1, Load: vrevent.ServerLoad{Pace: 250}})
	silence := func(calls int) {
		var silent []vrevent.SendCall
		for range calls {
			silent = append(silent, d.requireSentOn("stream"))
		}
		d.now = d.now.Add(320 * time.Millisecond)
		for _, send := range silent {
			d.reduce(vrevent.SendEnded{Call: send.Call, Send: send.Send, Result: vrevent.AttemptTimedOut})
		}
	}
	silence(4)
	silence(1)
	silence(1)
	require.Empty(t, sends(d.arrive("stream")))
}

// The last sound server stays in use when it answers errors, but not when it breaks connections: those do not follow
// from the request.
func TestLastServerIsEjectedForBrokenConnections(t *testing.T) {
	for result, sent := range map[vrevent.AttemptResult]int{vrevent.AttemptServerError: 1, vrevent.AttemptBroken: 0} {
		d := newReadyDaemon(t, engineEntry("e1", "m"))
		for range 2 {
			d.endSend(d.requireSentOn("stream"), result)
		}
		require.Len(t, sends(d.arrive("stream")), sent, result.String())
	}
}

// Guards against a server whose quick errors look like a success: it was always idle and got the calls of all daemons.
func TestErrorsOfAnAtMostOnceCallMakeAServerLessAttractive(t *testing.T) {
	d := newReadyDaemon(t, appEntry("a1"), appEntry("a2"), appEntry("a3"))
	d.reduce(vrevent.LoadReported{Server: "a1", Born: 1, Load: vrevent.ServerLoad{Pace: 100}})
	counts := make(map[vrid.ServerID]int)
	for range 60 {
		send := d.requireSentOn("once")
		counts[send.Server]++
		d.now = d.now.Add(10 * time.Millisecond)
		status := 200
		if send.Server == "a1" {
			status = 500
		}
		d.reduce(vrevent.SendEnded{Call: send.Call, Send: send.Send, Result: vrevent.AttemptAnswered, Status: status})
	}
	require.Less(t, counts["a1"], 10, "%v", counts)
}

// Guards against servers that look empty because a full list of sums leaves them out.
func TestServersLeftOutOfAFullListAreNotEmpty(t *testing.T) {
	const servers, listed = 100, 64
	var entries []vrfleet.Entry
	for i := range servers {
		entries = append(entries, engineEntry(vrid.ServerID(fmt.Sprintf("e%02d", i)), "m"))
	}
	d := newReadyDaemon(t, entries...)
	d.listTwentyDaemons()
	var loads []vrwire.ServerRequests
	for i, entry := range entries {
		d.reduce(vrevent.LoadReported{Server: entry.ID, Born: 1, Load: vrevent.ServerLoad{Running: 8, Pace: 100, Slots: 12}})
		if i < listed {
			loads = append(loads, vrwire.ServerRequests{Server: entry.ID, Requests: 8})
		}
	}
	d.now = d.now.Add(5 * time.Second)
	d.reduce(vrevent.PeerMessage{Envelope: &vrwire.Envelope{From: "d2", Notices: &vrwire.Notices{
		Epoch: 1, CatalogVersion: 1, ReportBoot: "b1", ReportSentAt: 5000, Loads: loads,
	}}})
	leftOut := 0
	for range 60 {
		if d.requireSentOn("stream").Server >= entries[listed].ID {
			leftOut++
		}
	}
	require.Less(t, leftOut, 40)
}
