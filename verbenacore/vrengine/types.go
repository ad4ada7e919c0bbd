// Package vrengine defines the messages and paths of the language servers' HTTP interface
// and the headers of a call to an application server. Package vrclient holds the clients.
package vrengine

import (
	"fmt"

	"verbenaroute.example/verbenacore/vrid"
)

// OrderKind is the operation that an order asks a language server to perform.
type OrderKind string

// Operations that an order can request.
const (
	OrderLoad          OrderKind = "load"
	OrderUnload        OrderKind = "unload"
	OrderLoadAdapter   OrderKind = "loadAdapter"
	OrderUnloadAdapter OrderKind = "unloadAdapter"
	// OrderRole sets the role that the server names in its load reports.
	OrderRole OrderKind = "role"
	// OrderFence changes nothing but the highest fencing token that the server has seen, so
	// that it refuses orders with lower ones.
	OrderFence OrderKind = "fence"
)

// Order is the request body of POST /v1/orders.
type Order struct {
	OrderID vrid.OrderID `json:"orderId"`
	// Epoch and Sequence are the order's fencing token; see vrid.FencingToken.
	Epoch    vrid.Epoch     `json:"epoch"`
	Sequence uint64         `json:"sequence"`
	Kind     OrderKind      `json:"kind"`
	Model    vrid.ModelID   `json:"model,omitempty"`
	Adapter  vrid.AdapterID `json:"adapter,omitempty"`
	// Bytes is the memory that the model or adapter occupies.
	Bytes vrid.Bytes `json:"bytes,omitempty"`
	// Source is "memory", "disk", "peer" or "remote": where the nearest copy of the
	// checkpoint is.
	Source string `json:"source,omitempty"`
	// Role is used only by OrderRole.
	Role string `json:"role,omitempty"`
}

// Validate checks that the order has an ID, a known kind and the model and adapter that
// its kind requires.
func (o *Order) Validate() error {
	if o.OrderID == "" {
		return &FieldError{Message: "order", Field: "orderId", Problem: "is empty"}
	}
	switch o.Kind {
	case OrderLoad, OrderUnload:
		if o.Model == "" {
			return &FieldError{Message: "order", Field: "model", Problem: "is empty"}
		}
	case OrderLoadAdapter, OrderUnloadAdapter:
		if o.Model == "" || o.Adapter == "" {
			return &FieldError{Message: "order", Field: "adapter", Problem: "model or adapter ID is empty"}
		}
	case OrderRole, OrderFence:
	default:
		return &FieldError{Message: "order", Field: "kind", Problem: fmt.Sprintf("%q is unknown", o.Kind)}
	}
	return nil
}

// FieldError reports an invalid field in a message to or from a language server.
type FieldError struct {
	// Message is the kind of message, for example "order".
	Message string
	Field   string
	Problem string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("%s.%s: %s", e.Message, e.Field, e.Problem)
}

// OrderStatus is the outcome of an order.
type OrderStatus uint8

// Outcomes of an order.
const (
	// OrderDone means that the server accepted the order. A load or unload may still be in
	// progress; OrderAnswer.State then says so.
	OrderDone OrderStatus = iota + 1
	// OrderFenced means that the server refused the order because it has seen a higher
	// fencing token.
	OrderFenced
	// OrderNoMemory means that the server refused a load because it lacks the memory.
	OrderNoMemory
	// OrderRefused means that the server refused the order for any other reason.
	OrderRefused
	// OrderOutcomeUnknown means that no usable response arrived. The server may have
	// executed the order or may still execute it.
	OrderOutcomeUnknown
	// OrderNotSent means that no byte of the order left this process. The client in package
	// vrclient doesn't use it: it returns OrderOutcomeUnknown with AttemptNotSent.
	OrderNotSent
)

// OrderAnswer is the response body of POST /v1/orders.
type OrderAnswer struct {
	// State is the state of the model after the order: "loading", "loaded", "unloading"
	// or "unloaded".
	State string `json:"state,omitempty"`
	// HighestEpoch and HighestSequence are the highest fencing token that the server has
	// seen. They are set when it refuses an order because of a lower one.
	HighestEpoch    vrid.Epoch `json:"highestEpoch,omitempty"`
	HighestSequence uint64     `json:"highestSequence,omitempty"`
	Error           string     `json:"error,omitempty"`
}

// ModelReport is the state of one model in a load report.
type ModelReport struct {
	Model vrid.ModelID `json:"model"`
	// State is "loading", "loaded" or "unloading".
	State    string           `json:"state"`
	Adapters []vrid.AdapterID `json:"adapters,omitempty"`
}

// CacheReport lists the models whose checkpoints are in the server's memory or on its disk.
type CacheReport struct {
	Memory []vrid.ModelID `json:"memory,omitempty"`
	Disk   []vrid.ModelID `json:"disk,omitempty"`
}

// Report is the load report that GET /v1/report returns. It lags behind the server's state.
type Report struct {
	Server vrid.ServerID `json:"server"`
	// Boot identifies the run of the server process; it changes with each restart.
	Boot    vrid.BootID `json:"boot"`
	Leaving bool        `json:"leaving"`
	Role    string      `json:"role,omitempty"`
	// Running and Waiting are numbers of requests; at most Slots requests run at a time.
	Running    int           `json:"running"`
	Waiting    int           `json:"waiting"`
	Slots      int           `json:"slots"`
	Memory     vrid.Bytes    `json:"memory"`
	MemoryUsed vrid.Bytes    `json:"memoryUsed"`
	Models     []ModelReport `json:"models"`
	Cached     CacheReport   `json:"cached"`
	// AppliedOrders are the orders that this run of the server executed most recently.
	AppliedOrders []vrid.OrderID `json:"appliedOrders,omitempty"`
	// HighestEpoch is the epoch of the highest fencing token that the server has seen.
	HighestEpoch vrid.Epoch `json:"highestEpoch,omitempty"`
}

// Validate checks that the server and boot IDs are set and that no count is negative.
func (r *Report) Validate() error {
	if r.Server == "" || r.Boot == "" {
		return &FieldError{Message: "report", Field: "server", Problem: "server or boot ID is empty"}
	}
	if r.Running < 0 || r.Waiting < 0 || r.Slots < 0 {
		return &FieldError{Message: "report", Field: "running", Problem: "a count is negative"}
	}
	return nil
}

// GenerateRequest is the request body of POST /v1/generate.
type GenerateRequest struct {
	RequestID vrid.RequestID `json:"requestId"`
	Model     vrid.ModelID   `json:"model"`
	Adapter   vrid.AdapterID `json:"adapter,omitempty"`
	Prompt    string         `json:"prompt"`
	MaxTokens int            `json:"maxTokens"`
	// Priority is 0 for urgent, 1 for normal, 2 for deferred.
	Priority int `json:"priority"`
	// ResumeFrom is the offset of the first token that the caller has not received yet.
	ResumeFrom int `json:"resumeFrom,omitempty"`
}

// Token is one line of the response to POST /v1/generate: a token, the end of the stream
// or an error.
type Token struct {
	RequestID vrid.RequestID `json:"requestId"`
	// Offset is the number of tokens of the answer before this line. It counts from the
	// start of the answer also when the request resumes an earlier one.
	Offset int    `json:"offset"`
	Token  string `json:"token,omitempty"`
	// Done is set in the last line, which carries no token.
	Done         bool   `json:"done,omitempty"`
	FinishReason string `json:"finishReason,omitempty"`
	Error        string `json:"error,omitempty"`
}

// States of a model in an OrderAnswer and in a ModelReport.
const (
	StateLoading   = "loading"
	StateLoaded    = "loaded"
	StateUnloading = "unloading"
	StateUnloaded  = "unloaded"
)

// Error codes of POST /v1/generate that may come before the first token. They prove that
// the request did not run.
const (
	ErrorNotLoaded = "notLoaded"
	ErrorBusy      = "busy"
	ErrorLeaving   = "leaving"
)

// CacheEvent reports that a prompt prefix entered or, if Evicted is set, left a server's
// cache.
type CacheEvent struct {
	// Number increases with each event until the server restarts.
	Number uint64       `json:"number"`
	Model  vrid.ModelID `json:"model"`
	// Prefix is a hash of the prompt prefix.
	Prefix  uint64 `json:"prefix"`
	Tokens  int    `json:"tokens"`
	Evicted bool   `json:"evicted,omitempty"`
}

// CacheEvents is the response body of GET /v1/cacheEvents. The event numbers may have gaps.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	// Next is the event number after which the next request continues.
	Next uint64 `json:"next"`
}
