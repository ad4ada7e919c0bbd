package vrnode

import (
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"

	"verbenaroute.example/verbenaroute/internal/vrrelay"
)

// plannedWork holds the times of the last planned changes of the daemon, each nil if there was
// none. A request that is cut soon after such a change may have been cut because of it.
type plannedWork struct {
	stoppedAt, reloadedAt, catalogAt atomic.Pointer[time.Time]
}

// markNow sets a time to the present.
func markNow(at *atomic.Pointer[time.Time]) {
	now := time.Now()
	at.Store(&now)
}

// requestCut counts and logs a request that ended without a complete response. A cut on the
// client's side is logged at the info level, to which the rate limit of the log applies, because
// clients may leave in large numbers.
func (n *Node) requestCut(cut vrrelay.CutRequest) {
	n.metrics.requestCut(cut.Cause)
	fields := make([]zap.Field, 0, 16)
	text := func(name, value string) {
		if value != "" {
			fields = append(fields, zap.String(name, value))
		}
	}
	// Numbers are written as strings, as in the lines of the reducer.
	number := func(name string, value int64) { text(name, strconv.FormatInt(value, 10)) }
	since := func(name string, at *time.Time) {
		if at != nil {
			number(name, time.Since(*at).Milliseconds())
		}
	}
	text("request", string(cut.Request))
	text("cause", cut.Cause.String())
	text("detail", cut.Detail)
	number("tookMs", cut.Took.Milliseconds())
	number("sends", int64(cut.Sends))
	text("server", string(cut.Server))
	text("result", cut.Result)
	number("responseBytes", cut.ResponseBytes)
	number("servedBefore", int64(cut.ServedBefore))
	since("stoppingMs", n.planned.stoppedAt.Load())
	since("reloadedMs", n.planned.reloadedAt.Load())
	since("catalogMs", n.planned.catalogAt.Load())
	if catalog := n.catalog.Load(); catalog != nil {
		number("version", int64(catalog.Version))
	}
	if cut.Cause.IsClientSide() {
		n.log.Info("request cut", fields...)
		return
	}
	n.log.Warn("request cut", fields...)
}

// requestWithoutMemory logs a request that was refused because there was no memory for its body.
func (n *Node) requestWithoutMemory(request vrid.RequestID, waited time.Duration) {
	n.log.Info("request refused, no memory for its body", zap.String("request", string(request)),
		zap.String("waitedMs", strconv.FormatInt(waited.Milliseconds(), 10)), zap.String("reason", string(vrwire.ReasonQueueFull)))
}

// statusReplaced counts and logs a server's response whose status would have promised the client, without
// proof, that its request has not run.
func (n *Node) statusReplaced(e vrrelay.ReplacedStatus) {
	n.metrics.statusReplaced(e.Status)
	n.log.Warn("status of server replaced", zap.String("request", string(e.Request)), zap.String("server", string(e.Server)),
		zap.String("status", strconv.Itoa(e.Status)), zap.String("sent", strconv.Itoa(e.Sent)))
}
