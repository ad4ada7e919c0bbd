package vrnode

import (
	"net/http"
	"strconv"
	"time"

	vmetrics "github.com/VictoriaMetrics/metrics"
)

// metrics are the counters and histograms of a gateway, named by Prometheus' conventions.
type metrics struct {
	set  *vmetrics.Set
	node *Node
}

func newMetrics(n *Node, dropped func() uint64) *metrics {
	m := &metrics{set: vmetrics.NewSet(), node: n}
	m.set.NewGauge("verbena_log_lines_dropped_total", func() float64 { return float64(dropped()) })
	gauge := func(name string, read func() float64) {
		m.set.NewGauge(name, func() float64 {
			n.mu.Lock()
			defer n.mu.Unlock()
			return read()
		})
	}
	gauge("verbena_calls_open", func() float64 { return float64(n.state.Open()) })
	gauge("verbena_calls_waiting", func() float64 { return float64(n.state.Waiting()) })
	gauge("verbena_placement_owner", func() float64 {
		if n.state.Owns(n.clock.Now()) {
			return 1
		}
		return 0
	})
	gauge("verbena_calls_arrived_total", func() float64 { return float64(n.state.Counts().Arrived) })
	gauge("verbena_calls_refused_total", func() float64 { return float64(n.state.Counts().Refused) })
	gauge("verbena_calls_delivered_total", func() float64 { return float64(n.state.Counts().Delivered) })
	gauge("verbena_calls_broken_total", func() float64 { return float64(n.state.Counts().Broken) })
	gauge("verbena_calls_left_total", func() float64 { return float64(n.state.Counts().Left) })
	gauge("verbena_sends_total", func() float64 { return float64(n.state.Counts().Sent) })
	gauge("verbena_resends_total", func() float64 { return float64(n.state.Counts().Resent) })
	gauge("verbena_resumes_total", func() float64 { return float64(n.state.Counts().Resumed) })
	gauge("verbena_orders_total", func() float64 { return float64(n.state.Counts().Orders) })
	gauge("verbena_orders_unknown_total", func() float64 { return float64(n.state.Counts().OrdersUnknown) })
	return m
}

// storeCall counts one call to the platform's store.
func (m *metrics) storeCall(kind string, status int, took time.Duration) {
	m.set.GetOrCreateCounter(`verbena_store_calls_total{kind="` + kind + `",status="` + strconv.Itoa(status) + `"}`).Inc()
	m.set.GetOrCreateHistogram(`verbena_store_call_seconds{kind="` + kind + `"}`).Update(took.Seconds())
}

func (m *metrics) serve(w http.ResponseWriter, _ *http.Request) {
	m.set.WritePrometheus(w)
	vmetrics.WriteProcessMetrics(w)
}
