// Package vrevent defines the events that the reducer takes and the effects that it
// returns, both as plain data. The runtime of the daemon turns I/O into events and
// carries out effects; tests do the same with fakes in virtual time.
package vrevent

import (
	"time"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrwire"
)

// Op names one call to the platform, so that its answer finds the state that waits.
type Op uint64

// Request is everything that the reducer knows of a caller's request.
type Request struct {
	ID     vrid.RequestID
	Caller vrid.CallerID
	Kind   vrid.KindID
	Rank   vrid.Rank
	// Arrived is set by the reducer from the event's time.
	Arrived time.Time
	// Deadline for the first token or the answer; set from the declaration.
	Deadline time.Time
	Stream   bool

	// Model is set for model requests, Service for plain services; never both.
	Model     vrid.ModelID
	Adapter   vrid.AdapterID
	MaxTokens int
	// Prefix is a hash of the first part of the prompt, for cache affinity.
	Prefix uint64

	Service vrid.ServiceID
	// Idempotent is true when the call may be sent again after an unknown outcome.
	// Model requests are idempotent until their first token reached the caller; from
	// then on they are resumed from an offset.
	Idempotent bool
	Key        vrid.IdempotencyKey
	// Digest is the hash of method, path and body.
	Digest uint64
	// OutcomePath is copied from the service's declaration.
	OutcomePath string
	Size        vrid.Bytes
}

// AttemptResult is how one attempt at a back end ended.
type AttemptResult uint8

// Results of an attempt. Only the first four prove that nothing ran.
const (
	// AttemptNotSent: no byte of the request left (for example, connection refused).
	AttemptNotSent AttemptResult = iota + 1
	// AttemptBusy: the back end refused before it started the request.
	AttemptBusy
	// AttemptNotLoaded: the model is not on the server.
	AttemptNotLoaded
	// AttemptLeaving: the server takes no new work.
	AttemptLeaving
	// AttemptAnswered: the whole answer reached the daemon.
	AttemptAnswered
	// AttemptBroken: the connection or stream ended early; the request may have run.
	AttemptBroken
	// AttemptTimedOut: no answer by the deadline; the request may have run.
	AttemptTimedOut
	// AttemptCallerGone: the caller closed its connection.
	AttemptCallerGone
	// AttemptServerError: the server's whole answer is a failure, which is held back.
	AttemptServerError
)

// String returns the name in logs.
func (r AttemptResult) String() string {
	names := [...]string{
		"none", "notSent", "busy", "notLoaded", "leaving", "answered", "broken", "timedOut", "callerGone", "serverError",
	}
	if int(r) >= len(names) {
		return names[0]
	}
	return names[r]
}

// ProvesNotRun reports whether the result proves that the back end ran nothing.
func (r AttemptResult) ProvesNotRun() bool {
	switch r {
	case AttemptNotSent, AttemptBusy, AttemptNotLoaded, AttemptLeaving:
		return true
	default:
		return false
	}
}

// Event is one thing that happened to a daemon.
type Event interface{ isEvent() }

// Events.
type (
	// Started is the first event of a daemon.
	Started struct{}

	// Tick comes at least each TickInterval.
	Tick struct{}

	// RequestArrived is a caller's request after its fields were parsed.
	RequestArrived struct{ Request Request }

	// RequestRejected is a request that the front refused before it was parsed; it
	// only needs a terminal entry.
	RequestRejected struct {
		Request Request
		Reason  vrwire.Reason
	}

	// FirstToken says that the first token of an attempt reached the daemon.
	FirstToken struct {
		Request vrid.RequestID
		Attempt int
	}

	// AttemptEnded is the end of a dispatch.
	AttemptEnded struct {
		Request vrid.RequestID
		Attempt int
		Server  vrid.ServerID
		Result  AttemptResult
		// Tokens that reached the caller in all attempts so far.
		Tokens int
		// Status, ContentType and Body of a service's answer.
		Status      int
		ContentType string
		Body        []byte
	}

	// OutcomeLookedUp answers LookUpOutcome.
	OutcomeLookedUp struct {
		Request     vrid.RequestID
		Found       bool
		Status      int
		ContentType string
		Body        []byte
	}

	// CallerGone says that the caller of a waiting request closed its connection.
	CallerGone struct{ Request vrid.RequestID }

	// ObjectRead answers ReadObject.
	ObjectRead struct {
		Op      Op
		Key     string
		Outcome vrplatform.Outcome
		Version vrid.ObjectVersion
		Value   []byte
	}

	// ObjectWritten answers WriteObject. Version is the new version after OutcomeOK and
	// the standing one after OutcomeConflict.
	ObjectWritten struct {
		Op      Op
		Key     string
		Outcome vrplatform.Outcome
		Version vrid.ObjectVersion
	}

	// ObjectsListed answers ListObjects.
	ObjectsListed struct {
		Op      Op
		Prefix  string
		Outcome vrplatform.Outcome
		Items   []vrplatform.Item
	}

	// VMsListed answers ListVMs.
	VMsListed struct {
		Outcome vrplatform.Outcome
		VMs     []vrplatform.VM
	}

	// ConfigSeen is a decoded and checked configuration from the platform or a peer.
	ConfigSeen struct {
		Index *vrconfig.Index
		// Document is the compressed form, to pass on to peers.
		Document []byte
		// Confirmed is set when it came from the platform, directly or not.
		Confirmed bool
	}

	// ReportReceived answers PollServer.
	ReportReceived struct {
		Server vrid.ServerID
		Report vrengine.Report
	}

	// ReportFailed answers PollServer when no report came.
	ReportFailed struct{ Server vrid.ServerID }

	// CacheEventsReceived are prefix-cache events of a server.
	CacheEventsReceived struct {
		Server vrid.ServerID
		Events []vrengine.CacheEvent
		Next   uint64
	}

	// OrderAnswered answers SendOrder.
	OrderAnswered struct {
		Server vrid.ServerID
		Order  vrengine.Order
		Status vrengine.OrderStatus
		Answer vrengine.OrderAnswer
	}

	// PeerMessage is a checked message of another daemon.
	PeerMessage struct{ Envelope *vrwire.Envelope }

	// PeerUnreachable says that a message to a peer could not be delivered.
	PeerUnreachable struct{ Peer vrid.DaemonID }

	// ConfigProposed is an operator's checked change of the configuration.
	ConfigProposed struct {
		Proposal uint64
		// Base is the version that the change was made from.
		Base     vrid.ConfigVersion
		Index    *vrconfig.Index
		Document []byte
		Operator string
		Command  string
	}

	// DrainServer is the operator's order to stop new work on a server at once; the
	// configuration that makes it last follows.
	DrainServer struct{ Server vrid.ServerID }

	// ShutdownRequested starts a graceful shutdown.
	ShutdownRequested struct{}

	// CallersClosed answers CloseCallers: no request can arrive any more.
	CallersClosed struct{}
)

func (Started) isEvent()             {}
func (Tick) isEvent()                {}
func (RequestArrived) isEvent()      {}
func (RequestRejected) isEvent()     {}
func (FirstToken) isEvent()          {}
func (AttemptEnded) isEvent()        {}
func (OutcomeLookedUp) isEvent()     {}
func (CallerGone) isEvent()          {}
func (ObjectRead) isEvent()          {}
func (ObjectWritten) isEvent()       {}
func (ObjectsListed) isEvent()       {}
func (VMsListed) isEvent()           {}
func (ConfigSeen) isEvent()          {}
func (ReportReceived) isEvent()      {}
func (ReportFailed) isEvent()        {}
func (CacheEventsReceived) isEvent() {}
func (OrderAnswered) isEvent()       {}
func (PeerMessage) isEvent()         {}
func (PeerUnreachable) isEvent()     {}
func (ConfigProposed) isEvent()      {}
func (DrainServer) isEvent()         {}
func (ShutdownRequested) isEvent()   {}
func (CallersClosed) isEvent()       {}

// ConfigDecision is how a proposed configuration ended.
type ConfigDecision uint8

// Decisions on a proposed configuration. ConfigUndecided is returned when the
// platform did not answer in time: the change may still take effect.
const (
	ConfigAccepted ConfigDecision = iota + 1
	ConfigConflict
	ConfigUnavailable
	ConfigUndecided
)

// Ops hands out numbers for calls to the platform.
type Ops struct{ last Op }

// Next returns a number that was not handed out before.
func (o *Ops) Next() Op {
	o.last++
	return o.last
}

// TickInterval is the longest time between two Tick events.
const TickInterval = 50 * time.Millisecond

// Effect is one thing that the runtime has to do.
type Effect interface{ isEffect() }

// Effects.
type (
	// Dispatch sends a request to a back end.
	Dispatch struct {
		Request vrid.RequestID
		Attempt int
		Server  vrid.ServerID
		Address string
		Model   vrid.ModelID
		Adapter vrid.AdapterID
		// Resume is set when earlier attempts passed tokens on: the runtime asks for
		// the offset after the last token that it wrote to the caller.
		Resume bool
		// Deadline for the first token or the answer.
		Deadline time.Time
		// CrossRegion is set when the bytes count against the budget.
		CrossRegion bool
		// Priority at the engine: the rank, or that of urgent work when the request's rank is
		// below its floor.
		Priority vrid.Rank
	}

	// Refuse ends a request without an answer.
	Refuse struct {
		Request    vrid.RequestID
		Reason     vrwire.Reason
		Detail     string
		Ran        vrrecord.Ran
		RetryAfter time.Duration
	}

	// Replay ends a request with the stored answer of the first call with its key.
	Replay struct {
		Request     vrid.RequestID
		Status      int
		ContentType string
		Body        []byte
	}

	// Complete lets the runtime end a request whose answer it holds.
	Complete struct{ Request vrid.RequestID }

	// CancelAttempt stops an attempt, for example the slower of two hedged ones.
	CancelAttempt struct {
		Request vrid.RequestID
		Attempt int
		Server  vrid.ServerID
		Address string
	}

	// LookUpOutcome asks an application server how the call with a key ended.
	LookUpOutcome struct {
		Request vrid.RequestID
		Address string
		Path    string
		Key     vrid.IdempotencyKey
	}

	// ReadObject reads an object of the platform.
	ReadObject struct {
		Op  Op
		Key string
		// Fresh asks for the object as of now; otherwise it may be seconds old, which costs
		// less.
		Fresh bool
	}

	// WriteObject writes an object if its version is still IfVersion; 0 means that it
	// must not exist.
	WriteObject struct {
		Op        Op
		Key       string
		IfVersion vrid.ObjectVersion
		Value     []byte
	}

	// ListObjects lists keys with versions, and values too if Values is set.
	ListObjects struct {
		Op     Op
		Prefix string
		Values bool
	}

	// ListVMs reads the platform's list of VMs.
	ListVMs struct{}

	// WatchConfig starts or stops the daemon's watch of the configuration.
	WatchConfig struct{ On bool }

	// PollServer asks a server for its load report.
	PollServer struct {
		Server  vrid.ServerID
		Address string
	}

	// SendOrder gives an order to a language server. It is only returned after the
	// decision behind it is known to be on the platform.
	SendOrder struct {
		Server  vrid.ServerID
		Address string
		Order   vrengine.Order
	}

	// SendPeer sends a message to another daemon.
	SendPeer struct {
		Peer     vrid.DaemonID
		Address  string
		Envelope *vrwire.Envelope
	}

	// ConfigDecided answers ConfigProposed.
	ConfigDecided struct {
		Proposal uint64
		Decision ConfigDecision
		// Version that is now at the head, as far as it is known.
		Version vrid.ConfigVersion
	}

	// AppendEntry hands an entry to the record.
	AppendEntry struct{ Entry vrrecord.Entry }

	// SetReady tells the balancer whether this daemon takes requests.
	SetReady struct {
		Ready  bool
		Reason string
	}

	// CloseCallers closes the callers' port during a shutdown, once nothing is running.
	CloseCallers struct{}

	// Stopped says that the shutdown is complete: what remained is durable.
	Stopped struct{}

	// Log writes a log line.
	Log struct {
		Level   LogLevel
		Message string
		Fields  []LogField
	}
)

// LogLevel is the severity of a log line.
type LogLevel uint8

// Levels of log lines.
const (
	LogInfo LogLevel = iota + 1
	LogWarn
	LogError
)

// LogField is one named value of a log line.
type LogField struct {
	Name  string
	Value string
}

func (Dispatch) isEffect()      {}
func (Refuse) isEffect()        {}
func (Replay) isEffect()        {}
func (Complete) isEffect()      {}
func (CancelAttempt) isEffect() {}
func (LookUpOutcome) isEffect() {}
func (ReadObject) isEffect()    {}
func (WriteObject) isEffect()   {}
func (ListObjects) isEffect()   {}
func (ListVMs) isEffect()       {}
func (WatchConfig) isEffect()   {}
func (PollServer) isEffect()    {}
func (SendOrder) isEffect()     {}
func (SendPeer) isEffect()      {}
func (ConfigDecided) isEffect() {}
func (AppendEntry) isEffect()   {}
func (SetReady) isEffect()      {}
func (CloseCallers) isEffect()  {}
func (Stopped) isEffect()       {}
func (Log) isEffect()           {}

// Effects collects the effects of one event. It is reused between events.
type Effects struct {
	List []Effect
}

// Add appends an effect.
func (e *Effects) Add(effect Effect) { e.List = append(e.List, effect) }

// Reset forgets the effects and keeps the memory.
func (e *Effects) Reset() {
	clear(e.List)
	e.List = e.List[:0]
}

// Info appends a log line.
func (e *Effects) Info(message string, fields ...LogField) {
	e.Add(Log{Level: LogInfo, Message: message, Fields: fields})
}

// Warn appends a log line at warning level.
func (e *Effects) Warn(message string, fields ...LogField) {
	e.Add(Log{Level: LogWarn, Message: message, Fields: fields})
}

// Field makes a named value of a log line.
func Field[T ~string](name string, value T) LogField {
	return LogField{Name: name, Value: string(value)}
}
