package vrevent

import (
	"time"

	"verbenaroute.example/verbenacore/vrcatalog"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrretry"
	"verbenaroute.example/verbenacore/vrwire"
)

// CallID identifies a client attempt within one run of a daemon.
type CallID uint64

// Call holds what the gateway knows about a client attempt when it arrives.
type Call struct {
	ID CallID
	// Request is the client's own id of this attempt.
	Request vrid.RequestID
	Host    string
	Path    string
	// Timeout is the client's timeout, zero if it gave none.
	Timeout time.Duration
	// Model and Adapter are set for language services.
	Model   vrid.ModelID
	Adapter vrid.AdapterID
	// PromptTokens and OutputTokens are the upper bounds that the client declares.
	PromptTokens, OutputTokens int
	// DeclaresTokens is set if the client declares PromptTokens and OutputTokens.
	DeclaresTokens bool
	// Key is the digest of the client's API key, if HasKey is set.
	Key    vrid.KeyDigest
	HasKey bool
	// PromptParts are the parts of the prompt that other requests may share.
	PromptParts []vrid.PromptPartID
}

// ServerLoad is the load that a server reports.
type ServerLoad struct {
	// Running and Waiting are the numbers of its requests.
	Running, Waiting int
	// Slots is the number of requests that it can run at once, zero if it is not stated.
	Slots int
	// Pace is how long work takes on the server's machine at this moment, in percent of the usual time. It
	// is zero if the server does not state it.
	Pace int
}

// OrderKind says whether a placement order loads or unloads.
type OrderKind uint8

// Kinds of orders.
const (
	OrderLoad OrderKind = iota + 1
	OrderUnload
)

// String returns the name that logs and metrics use.
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
	// ExpectedOrders is the number of orders that the server must have accepted before this
	// one. It keeps a delayed order from taking effect after a newer one.
	ExpectedOrders uint64
	// Born is the start of the server's process in Unix milliseconds.
	Born int64
	// Epoch is the fencing token, Holder the daemon that gives the order.
	Epoch  vrid.Epoch
	Holder vrid.DaemonID
	// LeaseExpiresAt is when the holder's lease, and with it the right to give orders,
	// expires. It is checked directly before the order is written to the connection, since
	// the machine may be suspended between the decision and the write.
	LeaseExpiresAt time.Time
}

// OrderOutcome is the result of a placement order.
type OrderOutcome uint8

// Outcomes of a placement order.
const (
	// OrderAccepted: the server carries the order out.
	OrderAccepted OrderOutcome = iota + 1
	// OrderAlreadyApplied: the server is already in the ordered state.
	OrderAlreadyApplied
	// OrderConflict: another order is in progress, or the count of accepted orders differs.
	OrderConflict
	// OrderOutdated: the server has seen a higher fencing token.
	OrderOutdated
	// OrderMisdirected: the address now belongs to another server.
	OrderMisdirected
	// OrderRejected: the server does not know such an order, or it is malformed.
	OrderRejected
	// OrderNotSent: no byte of the order was sent.
	OrderNotSent
	// OrderUnknown: the order may have been accepted or may still be carried out later.
	OrderUnknown
)

// String returns the name that logs and metrics use.
func (o OrderOutcome) String() string {
	names := [...]string{"none", "accepted", "holds", "conflict", "outdated", "misdirected", "rejected", "notGiven", "unknown"}
	if int(o) >= len(names) {
		return names[0]
	}
	return names[o]
}

// ServerStatus is a server's report of its state, which lags by some hundred milliseconds.
type ServerStatus struct {
	// Orders is the number of orders that this run of the server has accepted.
	Orders uint64
	// Born is the start of this run of the server in Unix milliseconds.
	Born int64
	// Busy is set while the server carries out an order.
	Busy bool
	// Running and Waiting are the server's numbers of running and waiting requests.
	Running int
	Waiting int
	// Holds are the models in the accelerators' memory, with their adapters.
	Holds []vrfleet.LoadedModel
	// InHost and OnDisk are the models of which the server has a copy in its host memory or
	// on its disk.
	InHost, OnDisk []vrid.ModelID
	// PendingAdapters is the number of adapters that are being loaded.
	PendingAdapters int
}

// Peer is a registered daemon and its address.
type Peer struct {
	Daemon  vrid.DaemonID
	Address string
	// Zone is empty if the daemon's version does not register it.
	Zone vrid.ZoneID
	// KnowsHold is set if the daemon's version states in its registration that it knows vrlease.Record.Hold.
	KnowsHold bool
}

// CatalogRead describes the call to the store that returned a catalog.
type CatalogRead struct {
	// Call is "list" or "watch", or "peer" if another daemon sent the catalog.
	Call string
	// Receiving is the time from the first byte of the last response until it was decoded.
	Receiving time.Duration
}

// Events of the gateway.
type (
	// CallArrived reports a client attempt whose body has been read.
	CallArrived struct{ Call Call }

	// SendEnded reports the end of one send of a call to a server.
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
		// PartForwarded is set once a part of the answer was forwarded to the client.
		PartForwarded bool
		// Events is the number of events that were forwarded to the client.
		Events int
		// ServerDown is set if the connection broke and the server accepted no other one.
		ServerDown bool
		Detail     string
	}

	// FirstByteReceived reports that the first bytes of an answer's body arrived. If they hold no
	// event of a stream, it is repeated with the first event.
	FirstByteReceived struct {
		Call            CallID
		Send            int
		TimeToFirstByte time.Duration
		// Answer is set if the bytes hold an event. A comment alone is no answer.
		Answer bool
	}

	// SendStalled reports that a send has no first byte by SendCall.FirstByteDeadline, or that its
	// stream has had no event for SendCall.MaxPause. It is repeated while the silence goes on.
	SendStalled struct {
		Call CallID
		Send int
		// Silence is the time since the last event, or since the send if there was none.
		Silence time.Duration
	}

	// LoadReported carries the load that a server states in the head of a response. It is submitted as soon as
	// the head was read, because a stream may go on for seconds.
	LoadReported struct {
		Server vrid.ServerID
		// Born is the start of the process that the request was meant for, in Unix milliseconds.
		Born int64
		Load ServerLoad
	}

	// PeerDialed is the answer to DialPeer.
	PeerDialed struct {
		Peer vrid.DaemonID
		Boot vrid.BootID
		// Replaced is set if another process than that of Boot listens at the peer's address. This proves that the
		// process of Boot has ended: it listens from before it first writes the lease until after its last order.
		// A refused connection proves nothing: a path that is cut may refuse it, too.
		Replaced bool
	}

	// ServerLeaving reports that a response to a send, an order, a reservation or a read of the status
	// states that its server takes no new work.
	ServerLeaving struct {
		Server vrid.ServerID
		// Born is the start of the process that the request was meant for, in Unix milliseconds.
		Born int64
	}

	// LeavingChecked is the answer to CheckLeaving of a process that answered without stating that it
	// leaves.
	LeavingChecked struct {
		Server vrid.ServerID
		Born   int64
	}

	// PlaceReserved is the answer to ReservePlace. Reservation is empty if the server reserved no
	// place.
	PlaceReserved struct {
		Call        CallID
		Send        int
		Server      vrid.ServerID
		Reservation vrid.ReservationID
		Detail      string
	}

	// ClientGone reports that the client of a waiting call closed its connection.
	ClientGone struct{ Call CallID }

	// FleetListed carries the full list of the registered servers and the store's version of it,
	// zero if it is unknown.
	FleetListed struct {
		Entries []vrfleet.Entry
		Version vrid.ObjectVersion
	}

	// FleetChanged carries what changed between two versions of the store, which are zero if they
	// are unknown.
	FleetChanged struct {
		Entries        []vrfleet.Entry
		Removed        []vrid.ServerID
		After, Version vrid.ObjectVersion
	}

	// CatalogSeen carries a validated catalog.
	CatalogSeen struct {
		Catalog *vrcatalog.Catalog
		// Read says how the catalog was read, for logs.
		Read CatalogRead
	}

	// CatalogChecked reports that at the time At the store, in the given era, had no valid catalog newer
	// than the last CatalogSeen. At is when the call that proved it was sent.
	CatalogChecked struct {
		At  time.Time
		Era vrid.StoreEra
	}

	// StoreLost reports that this daemon no longer reaches the platform's store.
	StoreLost struct{ Detail string }
	// StoreRecovered reports that this daemon reaches the store again after StoreLost.
	StoreRecovered struct{}
	// StoreRestored reports that the platform's store was restored from a copy: the latest writes are
	// lost, including this project's own. It comes before all events with versions of the new era.
	StoreRestored struct{ Era vrid.StoreEra }

	// PeersListed carries the registered daemons, whether alive or not.
	PeersListed struct{ Peers []Peer }

	// RetryOptionsChanged replaces the limits of retries after the settings changed.
	RetryOptionsChanged struct{ Options vrretry.Options }

	// OrderEnded is the answer to SendPlacementOrder.
	OrderEnded struct {
		Order   PlacementOrder
		Outcome OrderOutcome
		Detail  string
	}

	// GracePeriodEnding reports that the grace period of a shutdown is about to end: every
	// open call has to be answered now.
	GracePeriodEnding struct{}

	// StatusRead is the answer to ReadStatus. Status is nil if the server did not answer.
	StatusRead struct {
		Server vrid.ServerID
		Status *ServerStatus
	}
)

func (CallArrived) isEvent()         {}
func (FirstByteReceived) isEvent()   {}
func (SendEnded) isEvent()           {}
func (SendStalled) isEvent()         {}
func (LoadReported) isEvent()        {}
func (PeerDialed) isEvent()          {}
func (ServerLeaving) isEvent()       {}
func (LeavingChecked) isEvent()      {}
func (PlaceReserved) isEvent()       {}
func (ClientGone) isEvent()          {}
func (FleetListed) isEvent()         {}
func (FleetChanged) isEvent()        {}
func (CatalogSeen) isEvent()         {}
func (CatalogChecked) isEvent()      {}
func (StoreLost) isEvent()           {}
func (StoreRecovered) isEvent()      {}
func (StoreRestored) isEvent()       {}
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
		// Born is the start of the server's process in Unix milliseconds.
		Born int64
		// Deadline is when the answer has to be complete.
		Deadline time.Time
		// BeginDeadline is when a stream has to have brought its first event, because its client leaves
		// soon after, or zero.
		BeginDeadline time.Time
		// FirstByteDeadline is when a send without a first byte counts as stalled, or zero.
		FirstByteDeadline time.Time
		// MaxPause is the pause between two events of a stream, or after its head, after which it
		// counts as stalled, or zero. A stalled send goes on unless a hedge supersedes it.
		MaxPause time.Duration
		// Reservation is the place that the server reserved for the call, or empty.
		Reservation vrid.ReservationID
		Priority    int
		// HasTenants is set if the catalog has tenants. The client's API key and tenant are then not passed
		// on. Tenant is that of the call, empty for a public route.
		HasTenants bool
		Tenant     vrid.TenantID
		// AuthorizedUntil is when the proof expires that the call's API key is valid, or zero if none is
		// needed. It is checked directly before the request is written, since the machine may be suspended
		// between the decision and the write.
		AuthorizedUntil time.Time
		// Resume asks for what follows the last event that the client has received.
		Resume bool
		// HoldErrors holds a server's failure back until ForwardFailure or another response.
		HoldErrors bool
		Stream     bool
		// AtMostOnce is set if the call may run at most once, so that no lower layer, such as the
		// HTTP client, may send it again on its own.
		AtMostOnce bool
		// Hedge sends the call to a second server while its present send goes on. The first of the two
		// to bring an answer, or the next event of a stream, is forwarded, and the other one ends as
		// AttemptSuperseded.
		Hedge bool
	}

	// RefuseCall ends a call with an answer that the daemon generates.
	RefuseCall struct {
		Call       CallID
		Reason     vrwire.Reason
		Detail     string
		NotRun     bool
		RetryAfter time.Duration
	}

	// ForwardFailure forwards to the client a server's failure that was held back.
	ForwardFailure struct{ Call CallID }

	// ReservePlace asks a server for a place for a call whose send has stalled at another one.
	ReservePlace struct {
		Call    CallID
		Send    int
		Server  vrid.ServerID
		Address string
		// Born is the start of the server's process in Unix milliseconds.
		Born int64
		// Tokens is the size of the call, and Duration how long the place is needed.
		Tokens   int
		Duration time.Duration
	}

	// AbortCall closes the client's connection, because part of an answer that can't be
	// completed has already been forwarded.
	AbortCall struct{ Call CallID }

	// SendPlacementOrder sends a placement order to a server.
	SendPlacementOrder struct{ Order PlacementOrder }

	// StopOrders keeps orders that are not written to a connection yet from being written, for good. It
	// stands before the write that releases the lease.
	StopOrders struct{}

	// DialPeer asks the process that listens at a peer's address who it is, to find out whether the process of Boot
	// has ended. Its answer is PeerDialed.
	DialPeer struct {
		Peer    vrid.DaemonID
		Address string
		Boot    vrid.BootID
	}

	// ReadStatus asks a server for its status report.
	ReadStatus struct {
		Server  vrid.ServerID
		Address string
		// Born is the start of the server's process in Unix milliseconds.
		Born int64
	}

	// CheckLeaving asks a server whether it leaves. The answer is ServerLeaving, LeavingChecked, or nothing.
	CheckLeaving struct {
		Server  vrid.ServerID
		Address string
		// Born is the start of the server's process in Unix milliseconds.
		Born int64
	}

	// CallEnded updates the metrics with the end of a call.
	CallEnded struct {
		// Rank is the priority of the route, -1 if no route was found.
		Rank    int
		Service vrid.ServiceID
		// Tenant is the tenant of the call, empty if it has none.
		Tenant vrid.TenantID
		// Outcome is the outcome that the log line names. Reason is empty unless the daemon
		// itself ended the call.
		Outcome string
		Reason  vrwire.Reason
		// Took is the time from the call's arrival to its end, TimeToFirstByte the time from
		// its arrival to the first byte of an answer (zero without one), Waited the time from
		// its arrival to the last send.
		Took, TimeToFirstByte, Waited time.Duration
	}

	// LoadEnded updates the metrics with the end of a load that the placement owner ordered.
	LoadEnded struct {
		// Source is where the server's nearest copy of the weights was: memory, disk or store.
		Source string
		// Waited is the time from the decision to the accepted load, Took the time from then
		// to its end.
		Waited, Took time.Duration
		// Succeeded is set if the server held the model in the end.
		Succeeded bool
	}
)

func (SendCall) isEffect()           {}
func (RefuseCall) isEffect()         {}
func (ForwardFailure) isEffect()     {}
func (ReservePlace) isEffect()       {}
func (AbortCall) isEffect()          {}
func (SendPlacementOrder) isEffect() {}
func (StopOrders) isEffect()         {}
func (DialPeer) isEffect()           {}
func (ReadStatus) isEffect()         {}
func (CheckLeaving) isEffect()       {}
func (CallEnded) isEffect()          {}
func (LoadEnded) isEffect()          {}
