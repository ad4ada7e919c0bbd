package vrnode

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	vmetrics "github.com/VictoriaMetrics/metrics"

	"verbenaroute.example/verbenacore/vrevent"

	"verbenaroute.example/verbenaroute/internal/vrrelay"
)

// metrics holds the counters and histograms of a gateway. Their names follow the conventions
// of Prometheus.
type metrics struct {
	set  *vmetrics.Set
	node *Node
	// droppedLines returns the number of dropped log lines by kind, which is a label value.
	droppedLines func() map[string]uint64
}

func newMetrics(n *Node, droppedLines func() map[string]uint64) *metrics {
	m := &metrics{set: vmetrics.NewSet(), node: n, droppedLines: droppedLines}
	gauge := func(name string, read func() float64) {
		m.set.NewGauge(name, func() float64 {
			n.mu.Lock()
			defer n.mu.Unlock()
			return read()
		})
	}
	gauge("verbena_calls_open", func() float64 { return float64(n.state.OpenCalls()) })
	gauge("verbena_calls_waiting", func() float64 { return float64(n.state.WaitingCalls()) })
	gauge("verbena_placement_owner", func() float64 {
		if n.state.IsPlacementOwner(n.clock.Now()) {
			return 1
		}
		return 0
	})
	gauge("verbena_calls_arrived_total", func() float64 { return float64(n.state.Counts().Arrived) })
	gauge("verbena_calls_refused_total", func() float64 { return float64(n.state.Counts().Refused) })
	gauge("verbena_calls_delivered_total", func() float64 { return float64(n.state.Counts().Delivered) })
	gauge("verbena_calls_broken_total", func() float64 { return float64(n.state.Counts().Broken) })
	gauge("verbena_calls_left_total", func() float64 { return float64(n.state.Counts().CallerGone) })
	gauge("verbena_sends_total", func() float64 { return float64(n.state.Counts().Sent) })
	gauge("verbena_resends_total", func() float64 { return float64(n.state.Counts().Resent) })
	gauge("verbena_resumes_total", func() float64 { return float64(n.state.Counts().Resumed) })
	gauge(`verbena_prompt_parts{state="suspected"}`, func() float64 { suspected, _ := n.state.PromptParts(); return float64(suspected) })
	gauge(`verbena_prompt_parts{state="blocked"}`, func() float64 { _, blocked := n.state.PromptParts(); return float64(blocked) })
	gauge("verbena_catalog_version", func() float64 {
		if catalog := n.state.Catalog(); catalog != nil {
			return float64(catalog.Version)
		}
		return 0
	})
	gauge("verbena_orders_total", func() float64 { return float64(n.state.Counts().Orders) })
	gauge("verbena_orders_unknown_total", func() float64 { return float64(n.state.Counts().OrdersUnknown) })
	gauge(`verbena_servers_leaving_total{cause="response"}`, func() float64 { return float64(n.state.Counts().LeavingByResponse) })
	gauge(`verbena_servers_leaving_total{cause="daemon"}`, func() float64 { return float64(n.state.Counts().LeavingByDaemon) })
	m.registerMemory()
	// The store's client holds its lock while it submits an event, so these gauges must not hold the
	// node's.
	m.set.NewGauge("verbena_store_restores_total", func() float64 { return float64(n.restores.Load()) })
	m.set.NewGauge("verbena_store_era", func() float64 { return float64(n.store.Era()) })
	return m
}

// registerMemory registers the gauges of the memory that grows with the load. They don't need the node's
// lock.
func (m *metrics) registerMemory() {
	gauge := func(name string, read func(vrrelay.MemoryUse) float64) {
		m.set.NewGauge(name, func() float64 { return read(m.node.proxy.MemoryUse()) })
	}
	gauge("verbena_body_bytes", func(use vrrelay.MemoryUse) float64 { return float64(use.Bodies) })
	gauge("verbena_body_bytes_limit", func(use vrrelay.MemoryUse) float64 { return float64(use.BodiesLimit) })
	gauge("verbena_response_buffer_bytes", func(use vrrelay.MemoryUse) float64 { return float64(use.Buffers) })
	gauge("verbena_response_buffer_bytes_limit", func(use vrrelay.MemoryUse) float64 { return float64(use.BuffersLimit) })
	gauge("verbena_requests_waiting_for_memory", func(use vrrelay.MemoryUse) float64 { return float64(use.Waiting) })
	gauge("verbena_memory_waits_total", func(use vrrelay.MemoryUse) float64 { return float64(use.Waits) })
	gauge("verbena_requests_refused_for_memory_total", func(use vrrelay.MemoryUse) float64 { return float64(use.Refused) })
	gauge("verbena_responses_unbuffered_total", func(use vrrelay.MemoryUse) float64 { return float64(use.Unbuffered) })
	gauge("verbena_streams_cut_for_memory_total", func(use vrrelay.MemoryUse) float64 { return float64(use.EventsCut) })
}

// storeCall records a call to the platform's store and its duration.
func (m *metrics) storeCall(kind string, status int, took time.Duration) {
	m.set.GetOrCreateCounter(`verbena_store_calls_total{kind="` + kind + `",status="` + strconv.Itoa(status) + `"}`).Inc()
	m.set.GetOrCreateHistogram(`verbena_store_call_seconds{kind="` + kind + `"}`).Update(took.Seconds())
}

// callEnded records the duration of a call, its time to first byte and its time in the queue,
// labeled by rank and service; the duration also by the outcome and its reason.
func (m *metrics) callEnded(e *vrevent.CallEnded) {
	labels := fmt.Sprintf(`rank="%d",service=%q`, e.Rank, e.Service)
	m.set.GetOrCreateHistogram(fmt.Sprintf(`verbena_call_seconds{%s,outcome=%q,reason=%q}`, labels, e.Outcome, e.Reason)).
		Update(e.Took.Seconds())
	if e.TimeToFirstByte > 0 {
		m.set.GetOrCreateHistogram(`verbena_call_first_byte_seconds{` + labels + `}`).Update(e.TimeToFirstByte.Seconds())
	}
	if e.Waited > 0 {
		m.set.GetOrCreateHistogram(`verbena_call_wait_seconds{` + labels + `}`).Update(e.Waited.Seconds())
	}
}

// loadEnded records a load that this daemon ordered as the placement owner.
func (m *metrics) loadEnded(e *vrevent.LoadEnded) {
	labels := fmt.Sprintf(`from=%q,held="%t"`, e.Source, e.Succeeded)
	m.set.GetOrCreateHistogram(`verbena_load_seconds{` + labels + `}`).Update(e.Took.Seconds())
	m.set.GetOrCreateHistogram(`verbena_load_wait_seconds{` + labels + `}`).Update(e.Waited.Seconds())
}

// orderEnded counts the end of an order.
func (m *metrics) orderEnded(kind vrevent.OrderKind, outcome vrevent.OrderOutcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`verbena_orders_ended_total{kind=%q,outcome=%q}`, kind, outcome)).Inc()
}

// sendEnded counts the end of a send.
func (m *metrics) sendEnded(result vrevent.AttemptResult) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`verbena_sends_ended_total{result=%q}`, result)).Inc()
}

// requestCut counts a request that ended without a complete response.
func (m *metrics) requestCut(cause vrrelay.CutCause) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`verbena_requests_cut_total{cause=%q}`, cause)).Inc()
}

// statusReplaced counts a server's status that was not passed on.
func (m *metrics) statusReplaced(status int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`verbena_statuses_replaced_total{status="%d"}`, status)).Inc()
}

func (m *metrics) serve(w http.ResponseWriter, _ *http.Request) {
	for kind, count := range m.droppedLines() {
		m.set.GetOrCreateCounter(fmt.Sprintf(`verbena_log_lines_dropped_total{kind=%q}`, kind)).Set(count)
	}
	m.set.WritePrometheus(w)
	vmetrics.WriteProcessMetrics(w)
}
