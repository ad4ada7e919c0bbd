package vrengine

import "verbenaroute.example/verbenacore/vrid"

// Paths of the language servers' HTTP interface.
const (
	PathGenerate    = "/v1/generate"
	PathCancel      = "/v1/cancel"
	PathOrders      = "/v1/orders"
	PathReport      = "/v1/report"
	PathCacheEvents = "/v1/cacheEvents"
	PathKVExport    = "/v1/kv/export"
	PathKVImport    = "/v1/kv/import"
)

// Headers of a call to an application server.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// MaxTokenLineBytes is the maximum length of a line, with its newline, in the response to
// POST /v1/generate. It limits what a client buffers when a server sends no newline.
const MaxTokenLineBytes = 64 << 10

// CancelRequest is the request body of POST /v1/cancel.
type CancelRequest struct {
	RequestID vrid.RequestID `json:"requestId"`
}

// KVExportRequest is the request body of POST /v1/kv/export. The response body is the raw
// KV cache.
type KVExportRequest struct {
	RequestID vrid.RequestID `json:"requestId"`
}

// KVImportRequest is the request body of POST /v1/kv/import.
type KVImportRequest struct {
	RequestID vrid.RequestID `json:"requestId"`
	// Bytes is the KV cache that POST /v1/kv/export returned.
	Bytes []byte `json:"bytes"`
}

// Validate checks that each event has a model and no negative token count. It doesn't check
// the order of the numbers, because they have gaps and start again when the server restarts.
func (c *CacheEvents) Validate() error {
	for _, event := range c.Events {
		if event.Model == "" {
			return &FieldError{Message: "cacheEvents", Field: "model", Problem: "is empty"}
		}
		if event.Tokens < 0 {
			return &FieldError{Message: "cacheEvents", Field: "tokens", Problem: "is negative"}
		}
	}
	return nil
}
