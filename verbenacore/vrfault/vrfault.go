// Package vrfault defines the faults that fuzz tests inject to check that they are detected.
// In a normal build On always returns false and the compiler removes the code of every
// fault. Only the build tag vrfault, which tests use, allows a fault to be activated.
package vrfault

// Fault identifies a violation of one safety rule that a fuzz test can inject.
type Fault uint8

// Injected faults.
const (
	None Fault = iota
	// SendBeforeDurable sends an order before its record is on the platform.
	SendBeforeDurable
	// ForgetUnknown removes an entry whose order's outcome is unknown.
	ForgetUnknown
	// SkipTakeoverWrite treats a ledger chunk as taken over after reading it, without the
	// write that would fence the previous owner.
	SkipTakeoverWrite
	// IgnorePin unloads entries that have unsettled attempts.
	IgnorePin
	// IgnoreCap loads more replicas than were decided.
	IgnoreCap
	// TrustFencing treats every engine as if it rejected orders with old fencing tokens.
	TrustFencing
	// IgnoreMemory loads without reserving memory for orders of unknown outcome.
	IgnoreMemory
	// ActAfterLapse keeps acting as the owner after the lease was lost.
	ActAfterLapse
	// DispatchBeforeClaim sends a non-idempotent call before its claim is durable.
	DispatchBeforeClaim
	// RetryUnknown repeats a non-idempotent call after an unknown outcome.
	RetryUnknown
	// FalseNotRun refuses with notRun after a dispatch.
	FalseNotRun
	// ForgetClaims starts a claim log without reading its segments.
	ForgetClaims
	// StaleConfig replaces the configuration with an older one.
	StaleConfig
	// DropOnPeerLoss forgets a waiting request when a peer is lost.
	DropOnPeerLoss
	// RouteToLeaving sends new work to draining servers.
	RouteToLeaving
	// AcceptEarly accepts a configuration before the platform acknowledged it.
	AcceptEarly
	// RestartStream sends a broken stream again from its first token.
	RestartStream
	// LoseEntry leaves expired requests out of the record.
	LoseEntry
	// StopEarly completes a shutdown while requests are still open.
	StopEarly
	// KeepConfig does not forward configurations to other daemons.
	KeepConfig
	// AckWithOrders acknowledges a newer epoch while orders are still in flight.
	AckWithOrders

	// The faults below apply to gateways, whose servers register themselves.

	// TrustUnansweredLease treats a write of the lease that got no response as successful.
	TrustUnansweredLease
	// OrderAtOnce gives orders as soon as the lease is acquired, without waiting for the
	// orders of the previous holder to expire.
	OrderAtOnce
	// OrderPastLease writes orders after the lease that permits them has ended.
	OrderPastLease
	// RepeatOnce retries calls that may run at most once, although they may have run.
	RepeatOnce
	// PromiseNotRun refuses with notRun after a send that may have run.
	PromiseNotRun
	// SendToLeaving sends calls to draining servers.
	SendToLeaving
	// TakeOldCatalog replaces the catalog with an older one.
	TakeOldCatalog
	// IgnoreBudget retries calls beyond the retry budget.
	IgnoreBudget
	// IgnoreAttempts sends a call to more servers than its route allows.
	IgnoreAttempts
	// IgnoreCeiling loads from the weight store beyond the rate limit.
	IgnoreCeiling
	// ForgetLoads ignores the loads that a server accepted but has not reported yet.
	ForgetLoads
	// TrustBusyReports plans from the report of a server while it is executing an order.
	TrustBusyReports
	// RestartEvents resumes a broken stream from its first event.
	RestartEvents
	// JoinBodies sends a call again after part of a body that is no stream was forwarded.
	JoinBodies
	// KeepLeft keeps a waiting call after its client disconnected.
	KeepLeft
	// HoldPastLimit lets calls wait beyond their time limit.
	HoldPastLimit
	// IgnoreQuarantine sends calls whose prompts crash servers.
	IgnoreQuarantine
	// IgnoreEras compares the versions of server lists by revision only.
	IgnoreEras
	// ReuseEpochs takes the next epoch from the current lease record, which a restore may have set back.
	ReuseEpochs
	// TrustRestoredLease gives orders without waiting for a holder whose lease a restore has undone.
	TrustRestoredLease
	// TrustCopies brings back the state of servers from a restored store.
	TrustCopies
	// VouchByLease tells the other daemons that the catalog is the newest while only the lease is renewed.
	VouchByLease
	// IgnoreHold acquires the lease after its default duration, whatever hold its record states.
	IgnoreHold
	// TrustAnyDial takes any result of a dial of the lease's holder as a proof that its process has ended.
	TrustAnyDial
	// DropSocketError forgets the failure of a connection that another call than a read has met.
	DropSocketError
	// TrustAcceptedUnloads takes an accepted unload of an adapter for a done one.
	TrustAcceptedUnloads
	// IgnoreRoom plans the load of an adapter at a server that has no room for it.
	IgnoreRoom
)

// Names maps the faults that do not belong to gateways to their names.
var Names = map[Fault]string{
	SendBeforeDurable:   "sendBeforeDurable",
	ForgetUnknown:       "forgetUnknown",
	SkipTakeoverWrite:   "skipTakeoverWrite",
	IgnorePin:           "ignorePin",
	IgnoreCap:           "ignoreCap",
	TrustFencing:        "trustFencing",
	IgnoreMemory:        "ignoreMemory",
	ActAfterLapse:       "actAfterLapse",
	DispatchBeforeClaim: "dispatchBeforeClaim",
	RetryUnknown:        "retryUnknown",
	FalseNotRun:         "falseNotRun",
	ForgetClaims:        "forgetClaims",
	StaleConfig:         "staleConfig",
	DropOnPeerLoss:      "dropOnPeerLoss",
	RouteToLeaving:      "routeToLeaving",
	AcceptEarly:         "acceptEarly",
	RestartStream:       "restartStream",
	LoseEntry:           "loseEntry",
	StopEarly:           "stopEarly",
	KeepConfig:          "keepConfig",
	AckWithOrders:       "ackWithOrders",
}

// GatewayNames maps the faults of gateways to their names.
var GatewayNames = map[Fault]string{
	TrustUnansweredLease: "trustUnansweredLease",
	OrderAtOnce:          "orderAtOnce",
	OrderPastLease:       "orderPastLease",
	RepeatOnce:           "repeatOnce",
	PromiseNotRun:        "promiseNotRun",
	SendToLeaving:        "sendToLeaving",
	TakeOldCatalog:       "takeOldCatalog",
	IgnoreBudget:         "ignoreBudget",
	IgnoreAttempts:       "ignoreAttempts",
	IgnoreCeiling:        "ignoreCeiling",
	ForgetLoads:          "forgetLoads",
	TrustBusyReports:     "trustBusyReports",
	RestartEvents:        "restartEvents",
	JoinBodies:           "joinBodies",
	KeepLeft:             "keepLeft",
	HoldPastLimit:        "holdPastLimit",
	IgnoreQuarantine:     "ignoreQuarantine",
	IgnoreEras:           "ignoreEras",
	ReuseEpochs:          "reuseEpochs",
	TrustRestoredLease:   "trustRestoredLease",
	TrustCopies:          "trustCopies",
	VouchByLease:         "vouchByLease",
	IgnoreHold:           "ignoreHold",
	TrustAnyDial:         "trustAnyDial",
	DropSocketError:      "dropSocketError",
	TrustAcceptedUnloads: "trustAcceptedUnloads",
	IgnoreRoom:           "ignoreRoom",
}
