// Package vrevent defines the events that the reducer handles and the effects that it
// returns. Both are plain data: the daemon's runtime turns I/O into events and carries out
// the effects, and tests do the same with fakes in virtual time.
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

// Op identifies one operation on the platform, so that its answer can be matched to the
// state that waits for it.
type Op uint64

// Request holds what the reducer knows about a caller's request.
type Request struct {
	ID     vrid.RequestID
	Caller vrid.CallerID
	Kind   vrid.KindID
	Rank   vrid.Rank
	// Arrived is set by the reducer from the event's time.
	Arrived time.Time
	// Deadline for the first token or the complete answer, as declared for the request.
	Deadline time.Time
	Stream   bool

	// Model is set for model requests, Service for plain services; never both.
	Model     vrid.ModelID
	Adapter   vrid.AdapterID
	MaxTokens int
	// Prefix is a hash of the first part of the prompt, used for cache affinity.
	Prefix uint64

	Service vrid.ServiceID
	// Idempotent is set if the call may be sent again after an unknown outcome. Model
	// requests are idempotent until their first token has reached the caller; after that
	// they are resumed from an offset.
	Idempotent bool
	Key        vrid.IdempotencyKey
	// Digest is the hash of method, path and body.
	Digest uint64
	// OutcomePath is the service's declared path for looking up the outcome of a call.
	OutcomePath string
	Size        vrid.Bytes
}

// AttemptResult is the result of one attempt to run a request on a back end.
type AttemptResult uint8

// Results of an attempt. Only the first four and AttemptUnauthorized prove that nothing ran.
const (
	// AttemptNotSent: no byte of the request was sent (for example, connection refused).
	AttemptNotSent AttemptResult = iota + 1
	// AttemptBusy: the back end refused the request before it started it.
	AttemptBusy
	// AttemptNotLoaded: the model is not on the server.
	AttemptNotLoaded
	// AttemptLeaving: the server is draining and takes no new work.
	AttemptLeaving
	// AttemptAnswered: the complete answer reached the daemon.
	AttemptAnswered
	// AttemptBroken: the connection or stream ended early; the request may have run.
	AttemptBroken
	// AttemptTimedOut: no answer by the deadline; the request may have run.
	AttemptTimedOut
	// AttemptCallerGone: the caller closed its connection.
	AttemptCallerGone
	// AttemptServerError: the server's complete answer is a failure, which is held back.
	AttemptServerError
	// AttemptSuperseded: another send of the same call has brought an answer, or its next event, first.
	AttemptSuperseded
	// AttemptUnauthorized: nothing was sent, because the proof of the call's API key had expired.
	AttemptUnauthorized
)

// String returns the name that logs and metrics use.
func (r AttemptResult) String() string {
	names := [...]string{
		"none", "notSent", "busy", "notLoaded", "leaving", "answered", "broken", "timedOut", "callerGone", "serverError",
		"superseded", "unauthorized",
	}
	if int(r) >= len(names) {
		return names[0]
	}
	return names[r]
}

// ProvesNotRun reports whether the result proves that the back end ran nothing.
func (r AttemptResult) ProvesNotRun() bool {
	switch r {
	case AttemptNotSent, AttemptBusy, AttemptNotLoaded, AttemptLeaving, AttemptUnauthorized:
		return true
	default:
		return false
	}
}

// Event is something that happened to a daemon: an input of the reducer.
type Event interface{ isEvent() }

// Events.
type (
	// Started is the first event of a daemon.
	Started struct{}

	// Tick comes at least once per TickInterval.
	Tick struct{}

	// RequestArrived carries a caller's request whose fields have been parsed.
	RequestArrived struct{ Request Request }

	// RequestRejected reports a request that the HTTP front end refused before it was
	// parsed. It only needs a terminal entry in the record.
	RequestRejected struct {
		Request Request
		Reason  vrwire.Reason
	}

	// FirstToken reports that the first token of an attempt reached the daemon.
	FirstToken struct {
		Request vrid.RequestID
		Attempt int
	}

	// AttemptEnded reports the end of a Dispatch.
	AttemptEnded struct {
		Request vrid.RequestID
		Attempt int
		Server  vrid.ServerID
		Result  AttemptResult
		// Tokens is the number of tokens that reached the caller in all attempts so far.
		Tokens int
		// Status, ContentType and Body are those of a service's answer.
		Status      int
		ContentType string
		Body        []byte
	}

	// OutcomeLookedUp is the answer to LookUpOutcome.
	OutcomeLookedUp struct {
		Request     vrid.RequestID
		Found       bool
		Status      int
		ContentType string
		Body        []byte
	}

	// CallerGone reports that the caller of a waiting request closed its connection.
	CallerGone struct{ Request vrid.RequestID }

	// ObjectRead is the answer to ReadObject.
	ObjectRead struct {
		Op      Op
		Key     string
		Outcome vrplatform.Outcome
		Version vrid.ObjectVersion
		Value   []byte
	}

	// ObjectWritten is the answer to WriteObject. Version is the new version after OutcomeOK
	// and the existing version after OutcomeConflict.
	ObjectWritten struct {
		Op      Op
		Key     string
		Outcome vrplatform.Outcome
		Version vrid.ObjectVersion
	}

	// ObjectsListed is the answer to ListObjects.
	ObjectsListed struct {
		Op      Op
		Prefix  string
		Outcome vrplatform.Outcome
		Items   []vrplatform.Item
	}

	// VMsListed is the answer to ListVMs.
	VMsListed struct {
		Outcome vrplatform.Outcome
		VMs     []vrplatform.VM
	}

	// ConfigSeen carries a decoded and validated configuration from the platform or a peer.
	ConfigSeen struct {
		Index *vrconfig.Index
		// Document is the compressed form, to be sent to peers.
		Document []byte
		// Confirmed is set if it came from the platform, directly or through a peer.
		Confirmed bool
	}

	// ReportReceived is the answer to PollServer.
	ReportReceived struct {
		Server vrid.ServerID
		Report vrengine.Report
	}

	// ReportFailed is the answer to PollServer if no report arrived.
	ReportFailed struct{ Server vrid.ServerID }

	// CacheEventsReceived carries prefix-cache events of a server.
	CacheEventsReceived struct {
		Server vrid.ServerID
		Events []vrengine.CacheEvent
		Next   uint64
	}

	// OrderAnswered is the answer to SendOrder.
	OrderAnswered struct {
		Server vrid.ServerID
		Order  vrengine.Order
		Status vrengine.OrderStatus
		Answer vrengine.OrderAnswer
	}

	// PeerMessage carries a validated message from another daemon.
	PeerMessage struct{ Envelope *vrwire.Envelope }

	// PeerUnreachable reports that a message to a peer could not be delivered.
	PeerUnreachable struct {
		Peer vrid.DaemonID
		// Refused is set if its machine refused the connection, because no process listens there.
		Refused bool
	}

	// ConfigProposed carries an operator's validated change of the configuration.
	ConfigProposed struct {
		Proposal uint64
		// Base is the version that the change is based on.
		Base     vrid.ConfigVersion
		Index    *vrconfig.Index
		Document []byte
		Operator string
		Command  string
	}

	// DrainServer is an operator's command to send a server no new work from now on. The
	// configuration that makes this permanent follows.
	DrainServer struct{ Server vrid.ServerID }

	// ShutdownRequested starts a graceful shutdown. AnswerBy is when all calls of a gateway have to be
	// answered, zero if that is unknown.
	ShutdownRequested struct{ AnswerBy time.Time }

	// CallersClosed is the answer to CloseCallers: no more requests can arrive.
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

// ConfigDecision is the result of a proposed configuration.
type ConfigDecision uint8

// Results of a proposed configuration. ConfigUndecided means that the platform did not
// answer in time, so that the change may still take effect.
const (
	ConfigAccepted ConfigDecision = iota + 1
	ConfigConflict
	ConfigUnavailable
	ConfigUndecided
)

// Ops allocates the identifiers of operations on the platform.
type Ops struct{ last Op }

// Next returns an identifier that was not allocated before.
func (o *Ops) Next() Op {
	o.last++
	return o.last
}

// TickInterval is the maximum time between two Tick events.
const TickInterval = 50 * time.Millisecond

// Effect is something that the runtime has to do: an output of the reducer.
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
		// Resume is set if earlier attempts have already sent tokens to the caller. The
		// runtime then asks for the offset after the last token that it wrote.
		Resume bool
		// Deadline for the first token or the complete answer.
		Deadline time.Time
		// CrossRegion is set if the bytes count against the cross-region budget.
		CrossRegion bool
		// Priority at the engine: the request's rank, or the urgent rank if the request's
		// rank currently gets less than its floor.
		Priority vrid.Rank
	}

	// Refuse ends a request with a refusal.
	Refuse struct {
		Request    vrid.RequestID
		Reason     vrwire.Reason
		Detail     string
		Ran        vrrecord.Ran
		RetryAfter time.Duration
	}

	// Replay ends a request with the stored answer of the first call that had the same
	// idempotency key.
	Replay struct {
		Request     vrid.RequestID
		Status      int
		ContentType string
		Body        []byte
	}

	// Complete makes the runtime end a request whose answer it has.
	Complete struct{ Request vrid.RequestID }

	// CancelAttempt stops an attempt, for example the slower of two hedged ones.
	CancelAttempt struct {
		Request vrid.RequestID
		Attempt int
		Server  vrid.ServerID
		Address string
	}

	// LookUpOutcome asks an application server for the outcome of the call with a key.
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
		// Fresh asks for the current object. Other reads are cheaper but may be seconds old.
		Fresh bool
	}

	// WriteObject writes an object if its version is still IfVersion; zero means that the
	// object must not exist.
	WriteObject struct {
		Op        Op
		Key       string
		IfVersion vrid.ObjectVersion
		Value     []byte
	}

	// ListObjects lists keys and versions, and the values too if Values is set.
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

	// SendOrder sends an order to a language server. It is returned only after the decision
	// behind it is known to be stored on the platform.
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

	// ConfigDecided is the answer to ConfigProposed.
	ConfigDecided struct {
		Proposal uint64
		Decision ConfigDecision
		// Version is the version now at the head, as far as it is known.
		Version vrid.ConfigVersion
	}

	// AppendEntry appends an entry to the record.
	AppendEntry struct{ Entry vrrecord.Entry }

	// SetReady tells the load balancer whether this daemon accepts requests.
	SetReady struct {
		Ready  bool
		Reason string
	}

	// CloseCallers closes the callers' port during a shutdown, once no request is running.
	CloseCallers struct{}

	// Stopped reports that the shutdown is complete: everything that remained is durable.
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

// LogField is a named value of a log line.
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

// Effects collects the effects of one event. It may be reused for the next event.
type Effects struct {
	List []Effect
}

// Add appends an effect.
func (e *Effects) Add(effect Effect) { e.List = append(e.List, effect) }

// Reset removes all effects and keeps the allocated memory.
func (e *Effects) Reset() {
	clear(e.List)
	e.List = e.List[:0]
}

// Info appends a log line at info level.
func (e *Effects) Info(message string, fields ...LogField) {
	e.Add(Log{Level: LogInfo, Message: message, Fields: fields})
}

// Warn appends a log line at warning level.
func (e *Effects) Warn(message string, fields ...LogField) {
	e.Add(Log{Level: LogWarn, Message: message, Fields: fields})
}

// Field returns a named value of a log line.
func Field[T ~string](name string, value T) LogField {
	return LogField{Name: name, Value: string(value)}
}
