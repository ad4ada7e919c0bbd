package vrevent

import (
	"time"

	"verbenaroute.example/verbenacore/vrcatalog"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrretry"
	"verbenaroute.example/verbenacore/vrwire"
)

// CallID numbers the client attempts of one run of a daemon.
type CallID uint64

// Call is everything that the gateway knows of a client attempt when it arrives.
type Call struct {
	ID CallID
	// Request is the client's own id of this attempt.
	Request vrid.RequestID
	Host    string
	Path    string
	// Timeout is how long the client will wait; zero if it did not say.
	Timeout time.Duration
	// Model and Adapter are set for language services.
	Model   vrid.ModelID
	Adapter vrid.AdapterID
	// PromptTokens and OutputTokens are what the client declares, as upper bounds.
	PromptTokens, OutputTokens int
}

// ServerLoad is a server's own word of its load.
type ServerLoad struct{ Running, Waiting int }

// OrderKind is what a server is ordered to do.
type OrderKind uint8

// Kinds of orders.
const (
	OrderLoad OrderKind = iota + 1
	OrderUnload
)

// String returns the name in logs.
func (k OrderKind) String() string {
	if k == OrderUnload {
		return "unload"
	}
	return "load"
}

// PlacementOrder tells a server to load or unload a model, or an adapter of one.
type PlacementOrder struct {
	Server  vrid.ServerID
	Address string
	Kind    OrderKind
	Model   vrid.ModelID
	Adapter vrid.AdapterID
	// ExpectedOrders is the number of orders that the server must have accepted before; it
	// keeps an order that is carried out late from taking effect after a newer one.
	ExpectedOrders uint64
	// Epoch is the fencing number, Holder the machine that orders.
	Epoch  vrid.Epoch
	Holder vrid.DaemonID
	// LeaseExpiresAt is when the right to order ends. It is checked directly before the order is
	// written, since a machine may be suspended between the decision and the write.
	LeaseExpiresAt time.Time
}

// OrderOutcome is how an order ended.
type OrderOutcome uint8

// Outcomes of an order.
const (
	// OrderAccepted: the server carries it out.
	OrderAccepted OrderOutcome = iota + 1
	// OrderHolds: what was ordered holds already.
	OrderHolds
	// OrderConflict: another order is under way, or the count of orders differs.
	OrderConflict
	// OrderOutdated: the server has seen a higher fencing number.
	OrderOutdated
	// OrderMisdirected: another server has the address.
	OrderMisdirected
	// OrderRejected: the order does not exist or is malformed.
	OrderRejected
	// OrderNotGiven: no byte of it left.
	OrderNotGiven
	// OrderUnknown: it may have been accepted, or may be carried out later.
	OrderUnknown
)

// String returns the name in logs.
func (o OrderOutcome) String() string {
	names := [...]string{"none", "accepted", "holds", "conflict", "outdated", "misdirected", "rejected", "notGiven", "unknown"}
	if int(o) >= len(names) {
		return names[0]
	}
	return names[o]
}

// ServerStatus is a server's own report, which lags by some hundred milliseconds.
type ServerStatus struct {
	Orders          uint64
	Born            int64
	Busy            bool
	Running         int
	Waiting         int
	Holds           []vrfleet.Holding
	InHost, OnDisk  []vrid.ModelID
	PendingAdapters int
}

// Peer is another daemon.
type Peer struct {
	Daemon  vrid.DaemonID
	Address string
}

// Events of the gateway.
type (
	// CallArrived is a client attempt whose body was read.
	CallArrived struct{ Call Call }

	// SendEnded is the end of one send of a call.
	SendEnded struct {
		Call   CallID
		Send   int
		Result AttemptResult
		Status int
		// TimeToFirstByte is the time from the send to the first byte of the answer.
		TimeToFirstByte time.Duration
		// LongestPause is the longest pause between two reads of a stream.
		LongestPause time.Duration
		Load         *ServerLoad
		// PartForwarded is set once a part of the answer was passed to the client.
		PartForwarded bool
		// Events counts the events that were passed to the client.
		Events int
		Detail string
	}

	// FirstByteReceived says that the first bytes of an answer's body came.
	FirstByteReceived struct {
		Call            CallID
		Send            int
		TimeToFirstByte time.Duration
	}

	// ClientGone says that the client of a waiting call closed its connection.
	ClientGone struct{ Call CallID }

	// FleetListed is a full list of the registered servers.
	FleetListed struct{ Entries []vrfleet.Entry }

	// FleetChanged is what changed since the last list or change.
	FleetChanged struct {
		Entries []vrfleet.Entry
		Removed []vrid.ServerID
	}

	// CatalogSeen is a checked catalog.
	CatalogSeen struct{ Catalog *vrcatalog.Catalog }

	// StoreLost and StoreBack tell whether this daemon reaches the platform's store.
	StoreLost struct{ Detail string }
	// StoreRecovered follows StoreLost.
	StoreRecovered struct{}

	// PeersListed are the daemons that registered, alive or not.
	PeersListed struct{ Peers []Peer }

	// RetryOptionsChanged replaces the bounds of repeats after the settings changed.
	RetryOptionsChanged struct{ Options vrretry.Options }

	// OrderEnded answers GiveOrder.
	OrderEnded struct {
		Order   PlacementOrder
		Outcome OrderOutcome
		Detail  string
	}

	// GracePeriodEnding says that a shutdown is about to end: every open call gets its answer now.
	GracePeriodEnding struct{}

	// StatusRead answers ReadStatus; Status is nil when the server did not answer.
	StatusRead struct {
		Server vrid.ServerID
		Status *ServerStatus
	}
)

func (CallArrived) isEvent()         {}
func (FirstByteReceived) isEvent()   {}
func (SendEnded) isEvent()           {}
func (ClientGone) isEvent()          {}
func (FleetListed) isEvent()         {}
func (FleetChanged) isEvent()        {}
func (CatalogSeen) isEvent()         {}
func (StoreLost) isEvent()           {}
func (StoreRecovered) isEvent()      {}
func (PeersListed) isEvent()         {}
func (OrderEnded) isEvent()          {}
func (RetryOptionsChanged) isEvent() {}
func (GracePeriodEnding) isEvent()   {}
func (StatusRead) isEvent()          {}

// Effects of the gateway.
type (
	// SendCall sends a call to a server.
	SendCall struct {
		Call    CallID
		Send    int
		Server  vrid.ServerID
		Address string
		// Deadline is when the answer has to be complete.
		Deadline time.Time
		// FirstByteDeadline is when the first byte has to be there, or zero. A send that misses it
		// may be tried elsewhere.
		FirstByteDeadline time.Time
		// MaxPause is the longest silence within a stream, or zero.
		MaxPause time.Duration
		Priority int
		// Resume asks for what follows the last event that the client has.
		Resume bool
		// HoldErrors keeps a server's failure back until DeliverCall or another SendCall.
		HoldErrors bool
		Stream     bool
		// AtMostOnce is set when the call may run at most once, so that nothing may send it
		// again by itself.
		AtMostOnce bool
	}

	// RefuseCall ends a call with an answer of the system's own.
	RefuseCall struct {
		Call       CallID
		Reason     vrwire.Reason
		Detail     string
		NotRun     bool
		RetryAfter time.Duration
	}

	// ForwardFailure passes on a server's failure that was held back.
	ForwardFailure struct{ Call CallID }

	// AbortCall closes the client's connection, because part of an answer that can't be
	// completed has been passed on.
	AbortCall struct{ Call CallID }

	// SendPlacementOrder sends an order to a server.
	SendPlacementOrder struct{ Order PlacementOrder }

	// ReadStatus asks a server for its report.
	ReadStatus struct {
		Server  vrid.ServerID
		Address string
	}

	// CallEnded tells the metrics how a call ended.
	CallEnded struct {
		// Rank is the priority of the route, -1 where no route was found.
		Rank    int
		Service vrid.ServiceID
		// Outcome is the word of the log line, Reason is empty unless the daemon itself ended
		// the call.
		Outcome string
		Reason  vrwire.Reason
		// Took is the time from the arrival to the end, TimeToFirstByte that to the first byte of an
		// answer, zero without one, Waited that to the last send.
		Took, TimeToFirstByte, Waited time.Duration
	}

	// LoadEnded tells the metrics how a load ended that the placement owner ordered.
	LoadEnded struct {
		// Source is where the nearest copy of the weights was.
		Source       string
		Waited, Took time.Duration
		Succeeded    bool
	}
)

func (SendCall) isEffect()           {}
func (RefuseCall) isEffect()         {}
func (ForwardFailure) isEffect()     {}
func (AbortCall) isEffect()          {}
func (SendPlacementOrder) isEffect() {}
func (ReadStatus) isEffect()         {}
func (CallEnded) isEffect()          {}
func (LoadEnded) isEffect()          {}
