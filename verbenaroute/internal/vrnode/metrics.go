package vrnode

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	vmetrics "github.com/VictoriaMetrics/metrics"

	"verbenaroute.example/verbenacore/vradmit"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrgateway"
	"verbenaroute.example/verbenacore/vrid"

	"verbenaroute.example/verbenaroute/internal/vrrelay"
)

// metrics holds the counters and histograms of a gateway. Their names follow the conventions
// of Prometheus.
type metrics struct {
	set  *vmetrics.Set
	node *Node
	// droppedLines returns the number of dropped log lines by kind, which is a label value.
	droppedLines func() map[string]uint64
	// tenants are those with metrics of their own. Calls end under the node's lock.
	tenants map[vrid.TenantID]bool
}

// maxTenantMetrics is the maximum number of tenants with metrics of their own. The others are counted under
// otherTenants, because each one costs memory and a line for every outcome.
const (
	maxTenantMetrics = 32
	otherTenants     = "other"
)

func newMetrics(n *Node, droppedLines func() map[string]uint64) *metrics {
	m := &metrics{set: vmetrics.NewSet(), node: n, droppedLines: droppedLines, tenants: make(map[vrid.TenantID]bool)}
	gauge := func(name string, read func() float64) {
		m.set.NewGauge(name, func() float64 {
			n.mu.Lock()
			defer n.mu.Unlock()
			return read()
		})
	}
	gauge("verbena_calls_open", func() float64 { return float64(n.state.OpenCalls()) })
	gauge("verbena_calls_waiting", func() float64 { return float64(n.state.WaitingCalls()) })
	for level := range vradmit.MaxLevels {
		gauge(fmt.Sprintf(`verbena_calls_waiting_by_level{level="%d"}`, level), func() float64 {
			return float64(n.state.WaitingByLevel()[level])
		})
	}
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
	gauge("verbena_catalog_proof_age_seconds", func() float64 { return n.state.CatalogProofAge(n.clock.Now()).Seconds() })
	gauge("verbena_orders_total", func() float64 { return float64(n.state.Counts().Orders) })
	gauge("verbena_loads_unfit_total", func() float64 { return float64(n.state.Counts().UnfitLoads) })
	gauge("verbena_plans_total", func() float64 { return float64(n.state.Counts().Plans) })
	gauge("verbena_plan_servers_examined_total", func() float64 { return float64(n.state.Counts().ServersExamined) })
	gauge("verbena_orders_unknown_total", func() float64 { return float64(n.state.Counts().OrdersUnknown) })
	gauge(`verbena_servers_leaving_total{cause="response"}`, func() float64 { return float64(n.state.Counts().LeavingByResponse) })
	gauge(`verbena_servers_leaving_total{cause="daemon"}`, func() float64 { return float64(n.state.Counts().LeavingByDaemon) })
	gauge("verbena_quota_share", func() float64 { return n.state.QuotaShare(n.clock.Now()) })
	gauge("verbena_quota_grants_total", func() float64 { return float64(n.state.QuotaCounts().Grants) })
	gauge("verbena_quota_denials_total", func() float64 { return float64(n.state.QuotaCounts().Denials) })
	gauge("verbena_quota_grants_expired_total", func() float64 { return float64(n.state.QuotaCounts().Expired) })
	gauge("verbena_quota_refused_total", func() float64 { return float64(n.state.QuotaCounts().Refused) })
	m.registerMemory()
	m.registerConnections()
	// The store's client holds its lock while it submits an event, so these gauges must not hold the
	// node's.
	m.set.NewGauge("verbena_store_restores_total", func() float64 { return float64(n.restores.Load()) })
	m.set.NewGauge("verbena_store_era", func() float64 { return float64(n.store.Era()) })
	return m
}

// registerConnections registers the gauges of the connections. They don't need the node's lock.
func (m *metrics) registerConnections() {
	m.set.NewGauge("verbena_server_connections_idle", func() float64 { return float64(m.node.proxy.Connections().Idle) })
	m.set.NewGauge("verbena_bodies_unfinished", func() float64 { return float64(m.node.proxy.Connections().Unfinished) })
	m.set.NewGauge("verbena_accept_failures_total", func() float64 { return float64(m.node.proxy.Connections().AcceptFailures) })
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
	m.tenantCallEnded(e)
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

// tenantCallEnded counts a call of a tenant by its outcome and reason.
func (m *metrics) tenantCallEnded(e *vrevent.CallEnded) {
	if e.Tenant == "" {
		return
	}
	label := string(e.Tenant)
	if !m.tenants[e.Tenant] {
		if len(m.tenants) < maxTenantMetrics {
			m.tenants[e.Tenant] = true
		} else {
			label = otherTenants
		}
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`verbena_tenant_calls_total{tenant=%q,outcome=%q,reason=%q}`, label, e.Outcome, e.Reason)).Inc()
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

// quotaCredits returns the credit of tenants at this daemon.
func (m *metrics) quotaCredits() []vrgateway.QuotaCredit {
	m.node.mu.Lock()
	defer m.node.mu.Unlock()
	return m.node.state.QuotaCredits(m.node.clock.Now())
}

// writeQuotaCredits writes the credit of tenants at an allocator. The tenants change with the catalog and with
// the allocator, so the gauges are not registered.
func writeQuotaCredits(w io.Writer, credits []vrgateway.QuotaCredit) {
	for _, c := range credits {
		fmt.Fprintf(w, "verbena_quota_credit{tenant=%q} %g\n", c.Tenant, c.Credit)
	}
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
	writeQuotaCredits(w, m.quotaCredits())
	vmetrics.WriteProcessMetrics(w)
}
