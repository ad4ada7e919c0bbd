// Package vrsettings reads a daemon's settings: JSON with comments, checked as a
// whole, with unknown fields refused.
package vrsettings

import (
	"verbenaroute.example/verbenacore/vrid"
)

// Settings are what a daemon learns from its file.
type Settings struct {
	// Daemon is the id of the entry VM in the platform's list.
	Daemon vrid.DaemonID `json:"daemon"`
	Zone   vrid.ZoneID   `json:"zone"`
	// Callers, Operators and Peers are IP addresses with ports to listen on.
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
	// Platform is the base URL of the platform's API.
	Platform string `json:"platform"`
	// Seeds are peer addresses to ask when the platform does not answer.
	Seeds []Seed `json:"seeds,omitempty"`
	// PeerTLS is mutual TLS between daemons; it is required unless Insecure is set.
	PeerTLS TLSFiles `json:"peerTls"`
	// CallerTLS and OperatorTLS are optional server certificates.
	CallerTLS   TLSFiles `json:"callerTls,omitempty"`
	OperatorTLS TLSFiles `json:"operatorTls,omitempty"`
	// InsecurePeers allows plain TCP between daemons, for tests on loopback only.
	InsecurePeers bool `json:"insecurePeers,omitempty"`
	// OperatorTokens may query or command.
	OperatorTokens []OperatorToken `json:"operatorTokens,omitempty"`
	Limits         Limits          `json:"limits,omitempty"`
	// ShutdownGrace is how long a shutdown waits for running requests.
	ShutdownGrace vrid.Duration `json:"shutdownGrace,omitempty"`
}

// Seed is the peer address of a daemon that may be up.
type Seed struct {
	Daemon  vrid.DaemonID `json:"daemon"`
	Address string        `json:"address"`
}

// TLSFiles are the paths of PEM files, read again when they change.
type TLSFiles struct {
	Certificate string `json:"certificate,omitempty"`
	Key         string `json:"key,omitempty"`
	// Authority signs the peers' certificates.
	Authority string `json:"authority,omitempty"`
}

// Role is what an operator's token allows.
type Role string

// Roles of operators.
const (
	RoleRead    Role = "read"
	RoleCommand Role = "command"
)

// OperatorToken is the hash of an operator's token.
type OperatorToken struct {
	Operator string `json:"operator"`
	// TokenHash is the hex SHA-256 of the token.
	TokenHash string `json:"tokenHash"`
	Role      Role   `json:"role"`
}

// Limits bound the resources of a daemon; zero takes the default.
type Limits struct {
	// Body is the largest body of a caller's request.
	Body vrid.Bytes `json:"body,omitempty"`
	// Queue is the largest number of waiting requests.
	Queue int `json:"queue,omitempty"`
	// QueueMemory is the largest sum of waiting bodies.
	QueueMemory vrid.Bytes `json:"queueMemory,omitempty"`
	// PlatformCallRate is the largest number of calls to the platform a second.
	PlatformCallRate int `json:"platformCalls,omitempty"`
	// PlatformConcurrency is the largest number of calls to the platform at once.
	PlatformConcurrency int `json:"platformConcurrency,omitempty"`
}
