package vrserve

import (
	"fmt"
	"io"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrreducer"
)

// writeScrapeMetrics writes the metrics that are computed on each scrape: those of the
// reducer, read under the runtime's lock, and those of the front and the peer hub.
func (d *Daemon) writeScrapeMetrics(out io.Writer) {
	var status vrreducer.Status
	d.Runtime.Inspect(func() { status = d.State.Status() })
	for _, rank := range vrid.Ranks() {
		fmt.Fprintf(out, "verbenaroute_queue_length{rank=%q} %d\n", rank.String(), status.Queued[rank])
	}
	leaseHeld := 0
	if status.Holding {
		leaseHeld = 1
	}
	fmt.Fprintf(out, "verbenaroute_lease_held{zone=%q} %d\n", status.Zone, leaseHeld)
	fmt.Fprintf(out, "verbenaroute_lease_epoch{zone=%q} %d\n", status.Zone, status.Epoch)
	fmt.Fprintf(out, "verbenaroute_open_requests %d\n", status.Requests)
	fmt.Fprintf(out, "verbenaroute_zone_members %d\n", len(status.Members))
	fmt.Fprintf(out, "verbenaroute_zone_servers %d\n", len(status.Servers))
	fmt.Fprintf(out, "verbenaroute_running_requests %d\n", d.front.Running())
	fmt.Fprintf(out, "verbenaroute_events_total %d\n", d.Runtime.EventCount())
	peerStats := d.peers.Stats()
	fmt.Fprintf(out, "verbenaroute_peer_bytes_total{direction=\"sent\"} %d\n", peerStats.BytesSent)
	fmt.Fprintf(out, "verbenaroute_peer_bytes_total{direction=\"received\"} %d\n", peerStats.BytesReceived)
	fmt.Fprintf(out, "verbenaroute_peer_messages_total{direction=\"sent\"} %d\n", peerStats.MessagesSent)
	fmt.Fprintf(out, "verbenaroute_peer_messages_total{direction=\"received\"} %d\n", peerStats.MessagesReceived)
	fmt.Fprintf(out, "verbenaroute_peer_messages_total{direction=\"dropped\"} %d\n", peerStats.Dropped)
	fmt.Fprintf(out, "verbenaroute_peer_sessions %d\n", peerStats.Sessions)
	fmt.Fprintf(out, "verbenaroute_front_panics_total %d\n", d.front.Panics())
}
