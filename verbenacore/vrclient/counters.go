package vrclient

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrplatform"
)

// CallKind is a kind of call to the platform.
type CallKind uint8

// Kinds of calls.
const (
	CallRead CallKind = iota
	CallWrite
	CallList
	CallWatch
	CallVMs
	_callKinds
)

var _callNames = [_callKinds]string{"read", "write", "list", "watch", "vms"}

// String returns the name in metrics.
func (k CallKind) String() string {
	if k >= _callKinds {
		return fmt.Sprintf("call(%d)", uint8(k))
	}
	return _callNames[k]
}

// platformCounters are created once, because looking a counter up by its name
// allocates.
type platformCounters struct {
	attempts [_callKinds]*metrics.Counter
	outcomes [_callKinds][vrplatform.OutcomeUnknown + 1]*metrics.Counter
}

func newPlatformCounters(set *metrics.Set) *platformCounters {
	set = setOrNew(set)
	counters := &platformCounters{}
	for kind := range _callKinds {
		counters.attempts[kind] = set.GetOrCreateCounter(fmt.Sprintf("verbena_platform_attempts_total{kind=%q}", kind))
		for outcome := vrplatform.OutcomeOK; outcome <= vrplatform.OutcomeUnknown; outcome++ {
			name := fmt.Sprintf("verbena_platform_calls_total{kind=%q,outcome=%q}", kind, outcome)
			counters.outcomes[kind][outcome] = set.GetOrCreateCounter(name)
		}
	}
	return counters
}

func (c *platformCounters) count(kind CallKind, outcome vrplatform.Outcome) {
	if counter := c.outcomes[kind][outcome]; counter != nil {
		counter.Inc()
	}
}

func setOrNew(set *metrics.Set) *metrics.Set {
	if set == nil {
		return metrics.NewSet()
	}
	return set
}

// endpointCall is a kind of call to a back end.
type endpointCall uint8

const (
	callGenerate endpointCall = iota
	callReport
	callOrder
	callCacheEvents
	callCancel
	callKVExport
	callKVImport
	callService
	callOutcome
	_endpointCalls
)

var _endpointNames = [_endpointCalls]string{
	"generate", "report", "order", "cacheEvents", "cancel", "kvExport", "kvImport", "service", "outcome",
}

var _resultNames = [vrevent.AttemptCallerGone + 1]string{
	vrevent.AttemptNotSent:    "notSent",
	vrevent.AttemptBusy:       "busy",
	vrevent.AttemptNotLoaded:  "notLoaded",
	vrevent.AttemptLeaving:    "leaving",
	vrevent.AttemptAnswered:   "answered",
	vrevent.AttemptBroken:     "broken",
	vrevent.AttemptTimedOut:   "timedOut",
	vrevent.AttemptCallerGone: "callerGone",
}

// endpointCounters count the calls to back ends by result.
type endpointCounters [_endpointCalls][vrevent.AttemptCallerGone + 1]*metrics.Counter

func newEndpointCounters(set *metrics.Set, calls ...endpointCall) *endpointCounters {
	set = setOrNew(set)
	counters := &endpointCounters{}
	for _, call := range calls {
		for result := vrevent.AttemptNotSent; result <= vrevent.AttemptCallerGone; result++ {
			name := fmt.Sprintf("verbena_endpoint_calls_total{call=%q,result=%q}", _endpointNames[call], _resultNames[result])
			counters[call][result] = set.GetOrCreateCounter(name)
		}
	}
	return counters
}

func (c *endpointCounters) count(call endpointCall, result vrevent.AttemptResult) {
	if counter := c[call][result]; counter != nil {
		counter.Inc()
	}
}
