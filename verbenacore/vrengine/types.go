// Package vrengine holds the types of the back ends' interfaces and a client for
// language servers and application servers.
package vrengine

import (
	"fmt"

	"verbenaroute.example/verbenacore/vrid"
)

// OrderKind says what a language server is told to do.
type OrderKind string

// Kinds of orders.
const (
	OrderLoad          OrderKind = "load"
	OrderUnload        OrderKind = "unload"
	OrderLoadAdapter   OrderKind = "loadAdapter"
	OrderUnloadAdapter OrderKind = "unloadAdapter"
	OrderRole          OrderKind = "role"
	OrderFence         OrderKind = "fence"
)

// Order is the body of POST /v1/orders.
type Order struct {
	OrderID  vrid.OrderID   `json:"orderId"`
	Epoch    vrid.Epoch     `json:"epoch"`
	Sequence uint64         `json:"sequence"`
	Kind     OrderKind      `json:"kind"`
	Model    vrid.ModelID   `json:"model,omitempty"`
	Adapter  vrid.AdapterID `json:"adapter,omitempty"`
	Bytes    vrid.Bytes     `json:"bytes,omitempty"`
	// Source is "memory", "disk", "peer" or "remote": where the nearest copy is.
	Source string `json:"source,omitempty"`
	Role   string `json:"role,omitempty"`
}

// Validate checks that the order names what its kind needs.
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
			return &FieldError{Message: "order", Field: "adapter", Problem: "model or adapter is empty"}
		}
	case OrderRole, OrderFence:
	default:
		return &FieldError{Message: "order", Field: "kind", Problem: fmt.Sprintf("%q is unknown", o.Kind)}
	}
	return nil
}

// FieldError says which field of a back end's message broke a rule.
type FieldError struct {
	Message string
	Field   string
	Problem string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("%s.%s: %s", e.Message, e.Field, e.Problem)
}

// OrderStatus is how an order ended.
type OrderStatus uint8

// Ends of an order. OrderDone also stands for a load that was accepted and goes on.
// OrderOutcomeUnknown means that nothing is known.
const (
	OrderDone OrderStatus = iota + 1
	OrderFenced
	OrderNoMemory
	OrderRefused
	OrderOutcomeUnknown
	// OrderNotSent means that no byte of the order left.
	OrderNotSent
)

// OrderAnswer is the body of the answer to an order.
type OrderAnswer struct {
	// State is "loading", "loaded", "unloading" or "unloaded" after the order.
	State           string     `json:"state,omitempty"`
	HighestEpoch    vrid.Epoch `json:"highestEpoch,omitempty"`
	HighestSequence uint64     `json:"highestSequence,omitempty"`
	Error           string     `json:"error,omitempty"`
}

// ModelReport is a model in a load report.
type ModelReport struct {
	Model vrid.ModelID `json:"model"`
	// State is "loading", "loaded" or "unloading".
	State    string           `json:"state"`
	Adapters []vrid.AdapterID `json:"adapters,omitempty"`
}

// CacheReport lists checkpoints that are close to the server.
type CacheReport struct {
	Memory []vrid.ModelID `json:"memory,omitempty"`
	Disk   []vrid.ModelID `json:"disk,omitempty"`
}

// Report is the body of GET /v1/report. It lags behind the engine's state.
type Report struct {
	Server        vrid.ServerID  `json:"server"`
	Boot          vrid.BootID    `json:"boot"`
	Leaving       bool           `json:"leaving"`
	Role          string         `json:"role,omitempty"`
	Running       int            `json:"running"`
	Waiting       int            `json:"waiting"`
	Slots         int            `json:"slots"`
	Memory        vrid.Bytes     `json:"memory"`
	MemoryUsed    vrid.Bytes     `json:"memoryUsed"`
	Models        []ModelReport  `json:"models"`
	Cached        CacheReport    `json:"cached"`
	AppliedOrders []vrid.OrderID `json:"appliedOrders,omitempty"`
	HighestEpoch  vrid.Epoch     `json:"highestEpoch,omitempty"`
}

// Validate checks the names and counts.
func (r *Report) Validate() error {
	if r.Server == "" || r.Boot == "" {
		return &FieldError{Message: "report", Field: "server", Problem: "server or boot id is empty"}
	}
	if r.Running < 0 || r.Waiting < 0 || r.Slots < 0 {
		return &FieldError{Message: "report", Field: "running", Problem: "a count is negative"}
	}
	return nil
}

// GenerateRequest is the body of POST /v1/generate.
type GenerateRequest struct {
	RequestID vrid.RequestID `json:"requestId"`
	Model     vrid.ModelID   `json:"model"`
	Adapter   vrid.AdapterID `json:"adapter,omitempty"`
	Prompt    string         `json:"prompt"`
	MaxTokens int            `json:"maxTokens"`
	// Priority is 0 for urgent, 1 for normal, 2 for deferred.
	Priority int `json:"priority"`
	// ResumeFrom is the offset of the first token that the caller does not have.
	ResumeFrom int `json:"resumeFrom,omitempty"`
}

// Token is one line of the answer to POST /v1/generate.
type Token struct {
	RequestID    vrid.RequestID `json:"requestId"`
	Offset       int            `json:"offset"`
	Token        string         `json:"token,omitempty"`
	Done         bool           `json:"done,omitempty"`
	FinishReason string         `json:"finishReason,omitempty"`
	Error        string         `json:"error,omitempty"`
}

// States of a model in an OrderAnswer and in a ModelReport.
const (
	StateLoading   = "loading"
	StateLoaded    = "loaded"
	StateUnloading = "unloading"
	StateUnloaded  = "unloaded"
)

// Error codes of POST /v1/generate before any token: the request did not run.
const (
	ErrorNotLoaded = "notLoaded"
	ErrorBusy      = "busy"
	ErrorLeaving   = "leaving"
)

// CacheEvent tells that a prompt prefix entered or left a server's cache.
type CacheEvent struct {
	Number  uint64       `json:"number"`
	Model   vrid.ModelID `json:"model"`
	Prefix  uint64       `json:"prefix"`
	Tokens  int          `json:"tokens"`
	Evicted bool         `json:"evicted,omitempty"`
}

// CacheEvents is the body of GET /v1/cacheEvents; numbers may have gaps.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}
