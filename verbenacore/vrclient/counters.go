package vrclient

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrplatform"
)

// CallKind is the kind of a call to the platform.
type CallKind uint8

// Kinds of calls to the platform.
const (
	CallRead CallKind = iota
	CallWrite
	CallList
	CallWatch
	CallVMs
	_callKindCount
)

var _callKindNames = [_callKindCount]string{"read", "write", "list", "watch", "vms"}

// String returns the value of the label "kind" in metrics.
func (k CallKind) String() string {
	if k >= _callKindCount {
		return fmt.Sprintf("call(%d)", uint8(k))
	}
	return _callKindNames[k]
}

// platformCounters holds the counters of calls to the platform. They are created once,
// because looking up a counter by name allocates.
type platformCounters struct {
	attempts [_callKindCount]*metrics.Counter
	outcomes [_callKindCount][vrplatform.OutcomeUnknown + 1]*metrics.Counter
}

func newPlatformCounters(set *metrics.Set) *platformCounters {
	set = setOrNew(set)
	counters := &platformCounters{}
	for kind := range _callKindCount {
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

// endpointCallKind is the kind of a call to a back end.
type endpointCallKind uint8

const (
	callGenerate endpointCallKind = iota
	callReport
	callOrder
	callCacheEvents
	callCancel
	callKVExport
	callKVImport
	callService
	callLookUpOutcome
	_endpointCallKindCount
)

var _endpointCallKindNames = [_endpointCallKindCount]string{
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

// endpointCounters counts the calls to back ends by kind and result.
type endpointCounters [_endpointCallKindCount][vrevent.AttemptCallerGone + 1]*metrics.Counter

func newEndpointCounters(set *metrics.Set, kinds ...endpointCallKind) *endpointCounters {
	set = setOrNew(set)
	counters := &endpointCounters{}
	for _, kind := range kinds {
		for result := vrevent.AttemptNotSent; result <= vrevent.AttemptCallerGone; result++ {
			name := fmt.Sprintf("verbena_endpoint_calls_total{call=%q,result=%q}", _endpointCallKindNames[kind], _resultNames[result])
			counters[kind][result] = set.GetOrCreateCounter(name)
		}
	}
	return counters
}

func (c *endpointCounters) count(kind endpointCallKind, result vrevent.AttemptResult) {
	if counter := c[kind][result]; counter != nil {
		counter.Inc()
	}
}
