package vrquery

import (
	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// Paths of the operators' interface.
const (
	PathQuery         = "/v1/query"
	PathCommand       = "/v1/command"
	PathConfiguration = "/v1/configuration"
	PathBlocks        = "/v1/record/blocks"
	PathClaims        = "/v1/record/claims"
)

// QueryCall is the body of POST /v1/query.
type QueryCall struct {
	Query string `json:"query"`
}

// CommandCall is the body of POST /v1/command. Either Command or Document is set.
type CommandCall struct {
	Command string `json:"command,omitempty"`
	// Document replaces the whole configuration, or is the first one. Its version is
	// ignored.
	Document *vrconfig.Fleet `json:"document,omitempty"`
	// NoWait answers as soon as the change is accepted.
	NoWait bool `json:"noWait,omitempty"`
}

// CommandState is how a command ended.
type CommandState string

// Ends of a command.
const (
	// CommandInForce: accepted and in force in every zone.
	CommandInForce CommandState = "inForce"
	// CommandAccepted: accepted, and not yet known to be in force in every zone.
	CommandAccepted CommandState = "accepted"
	// CommandUnchanged: the configuration is already so.
	CommandUnchanged CommandState = "unchanged"
	// CommandExplained: nothing was changed; the answer shows what would change.
	CommandExplained CommandState = "explained"
)

// CommandAnswer is the answer to a command.
type CommandAnswer struct {
	State   CommandState       `json:"state"`
	From    vrid.ConfigVersion `json:"from"`
	To      vrid.ConfigVersion `json:"to"`
	Changes []Change           `json:"changes"`
	// Zones say which version is in force where.
	Zones []ZoneVersion `json:"zones,omitempty"`
}

// ZoneVersion is the version that all live daemons of a zone hold.
type ZoneVersion struct {
	Zone    vrid.ZoneID        `json:"zone"`
	Version vrid.ConfigVersion `json:"version"`
	InForce bool               `json:"inForce"`
}

// FailureKind says of which kind a failed call is; verbenactl derives its exit status
// from it.
type FailureKind string

// Kinds of failures.
const (
	// FailureUsage: the statement is malformed.
	FailureUsage FailureKind = "usage"
	// FailureRefused: the token doesn't allow it, or the configuration would be wrong.
	FailureRefused FailureKind = "refused"
	// FailureConflict: another operator's change came first.
	FailureConflict FailureKind = "conflict"
	// FailureUnavailable: nothing was changed or read; try again.
	FailureUnavailable FailureKind = "unavailable"
	// FailureUndecided: the change may still take effect.
	FailureUndecided FailureKind = "undecided"
)

// Failure is the body of a call that failed.
type Failure struct {
	Kind    FailureKind `json:"kind"`
	Message string      `json:"message"`
	// Version and Winner say what another operator changed meanwhile.
	Version vrid.ConfigVersion `json:"version,omitempty"`
	Winner  []Change           `json:"winner,omitempty"`
}

func (f *Failure) Error() string { return f.Message }

// BlocksAnswer is the body of GET /v1/record/blocks: raw objects, so that the reader
// checks the hashes itself.
type BlocksAnswer struct {
	Blocks []RawBlock `json:"blocks"`
}

// RawBlock is one object of the record.
type RawBlock struct {
	Key  string `json:"key"`
	Data []byte `json:"data,omitempty"`
}

// ClaimsAnswer is the body of GET /v1/record/claims. Stored answers are left out.
type ClaimsAnswer struct {
	Claims []vrwire.ClaimEntry `json:"claims"`
	// Next is the parameter after of the next part, empty after the last one.
	Next string `json:"next,omitempty"`
}
