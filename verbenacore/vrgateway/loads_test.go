package vrgateway_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrcatalog"
	"verbenaroute.example/verbenacore/vrevent"
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
		"shared machines": {vrevent.ServerLoad{Running: 3, Slots: 4, Pace: 100}, false, [2]string{"5", "5"}},
		"tenants":         {vrevent.ServerLoad{Running: 3, Slots: 4}, true, [2]string{"5", "5"}},
		"neither":         {vrevent.ServerLoad{Running: 3, Slots: 4}, false, [2]string{"3", "4"}},
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
