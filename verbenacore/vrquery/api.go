package vrquery

import (
	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// HTTP paths of the operator API.
const (
	PathQuery         = "/v1/query"
	PathCommand       = "/v1/command"
	PathConfiguration = "/v1/configuration"
	PathBlocks        = "/v1/record/blocks"
	PathClaims        = "/v1/record/claims"
)

// QueryRequest is the body of POST /v1/query.
type QueryRequest struct {
	Query string `json:"query"`
}

// CommandRequest is the body of POST /v1/command. Exactly one of Command and Document is
// set.
type CommandRequest struct {
	Command string `json:"command,omitempty"`
	// Document is a complete configuration that replaces the current one or is stored as
	// the first one. Its version is ignored.
	Document *vrconfig.Fleet `json:"document,omitempty"`
	// NoWait requests a response as soon as the change is accepted, without waiting until
	// it is in force.
	NoWait bool `json:"noWait,omitempty"`
}

// CommandState is the result of a command.
type CommandState string

// Results of a command.
const (
	// CommandInForce: the change was accepted and is in force in every zone.
	CommandInForce CommandState = "inForce"
	// CommandAccepted: the change was accepted but is not yet known to be in force in
	// every zone.
	CommandAccepted CommandState = "accepted"
	// CommandUnchanged: the configuration already has the requested values.
	CommandUnchanged CommandState = "unchanged"
	// CommandExplained: nothing was changed; the response lists what would change.
	CommandExplained CommandState = "explained"
)

// CommandResponse is the response to a command.
type CommandResponse struct {
	State   CommandState       `json:"state"`
	From    vrid.ConfigVersion `json:"from"`
	To      vrid.ConfigVersion `json:"to"`
	Changes []Change           `json:"changes"`
	// Zones lists the version that each zone holds.
	Zones []ZoneVersion `json:"zones,omitempty"`
}

// ZoneVersion is the configuration version that all live daemons of a zone hold.
type ZoneVersion struct {
	Zone    vrid.ZoneID        `json:"zone"`
	Version vrid.ConfigVersion `json:"version"`
	InForce bool               `json:"inForce"`
}

// FailureKind classifies a failed request. verbenactl derives its exit status from it.
type FailureKind string

// Kinds of failures.
const (
	// FailureUsage: the statement is invalid.
	FailureUsage FailureKind = "usage"
	// FailureRefused: the token lacks the permission, or the resulting configuration
	// would be invalid.
	FailureRefused FailureKind = "refused"
	// FailureConflict: another operator's concurrent change was applied first.
	FailureConflict FailureKind = "conflict"
	// FailureUnavailable: nothing was changed or read; the request can be retried.
	FailureUnavailable FailureKind = "unavailable"
	// FailureUndecided: the outcome is unknown, the change may still take effect.
	FailureUndecided FailureKind = "undecided"
)

// Failure is the response body of a failed request.
type Failure struct {
	Kind    FailureKind `json:"kind"`
	Message string      `json:"message"`
	// Version and WinningChanges are the version and the changes of the operator whose
	// concurrent change was applied instead.
	Version        vrid.ConfigVersion `json:"version,omitempty"`
	WinningChanges []Change           `json:"winner,omitempty"`
}

func (f *Failure) Error() string { return f.Message }

// BlocksResponse is the response body of GET /v1/record/blocks. It contains raw objects so
// that the client can verify the hashes itself.
type BlocksResponse struct {
	Blocks []RawBlock `json:"blocks"`
}

// RawBlock is one stored object of the record.
type RawBlock struct {
	Key  string `json:"key"`
	Data []byte `json:"data,omitempty"`
}

// ClaimsResponse is the response body of GET /v1/record/claims. Stored responses are
// omitted.
type ClaimsResponse struct {
	Claims []vrwire.ClaimEntry `json:"claims"`
	// Next is the value of the query parameter "after" for the next page, empty on the
	// last page.
	Next string `json:"next,omitempty"`
}
