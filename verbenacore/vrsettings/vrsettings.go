// Package vrsettings reads the settings file of a daemon or gateway: JSON with comments, in
// which unknown fields are errors and every invalid field is reported at once.
package vrsettings

import (
	"verbenaroute.example/verbenacore/vrid"
)

// Settings are the contents of a daemon's settings file.
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
	// Seeds are the peers to contact when the platform does not answer.
	Seeds []Seed `json:"seeds,omitempty"`
	// PeerTLS configures mutual TLS between daemons; it is required unless InsecurePeers
	// is set.
	PeerTLS TLSFiles `json:"peerTls"`
	// CallerTLS and OperatorTLS are the optional server certificates for callers and
	// operators.
	CallerTLS   TLSFiles `json:"callerTls,omitempty"`
	OperatorTLS TLSFiles `json:"operatorTls,omitempty"`
	// InsecurePeers allows plain TCP between daemons, for tests on loopback only.
	InsecurePeers bool `json:"insecurePeers,omitempty"`
	// OperatorTokens are the tokens of operators, each with its role.
	OperatorTokens []OperatorToken `json:"operatorTokens,omitempty"`
	Limits         Limits          `json:"limits,omitempty"`
	// ShutdownGrace is the maximum time that a shutdown waits for running requests.
	ShutdownGrace vrid.Duration `json:"shutdownGrace,omitempty"`
}

// Seed is the peer address of a daemon that may be running.
type Seed struct {
	Daemon  vrid.DaemonID `json:"daemon"`
	Address string        `json:"address"`
}

// TLSFiles are the paths of PEM files. Changes to the files take effect without a restart.
type TLSFiles struct {
	Certificate string `json:"certificate,omitempty"`
	Key         string `json:"key,omitempty"`
	// Authority is the certificate of the authority that signs the peers' certificates.
	Authority string `json:"authority,omitempty"`
}

// Role is what an operator's token allows.
type Role string

// Operator roles. RoleRead allows queries; RoleCommand also allows commands.
const (
	RoleRead    Role = "read"
	RoleCommand Role = "command"
)

// OperatorToken is an operator's token, stored as a hash, and its role.
type OperatorToken struct {
	Operator string `json:"operator"`
	// TokenHash is the hex SHA-256 of the token.
	TokenHash string `json:"tokenHash"`
	Role      Role   `json:"role"`
}

// Limits bound the resources of a daemon; zero means the default.
type Limits struct {
	// Body is the maximum size of the body of a caller's request.
	Body vrid.Bytes `json:"body,omitempty"`
	// Queue is the maximum number of waiting requests.
	Queue int `json:"queue,omitempty"`
	// QueueMemory is the maximum total size of the bodies of waiting requests.
	QueueMemory vrid.Bytes `json:"queueMemory,omitempty"`
	// PlatformCallRate is the maximum number of calls to the platform per second.
	PlatformCallRate int `json:"platformCalls,omitempty"`
	// PlatformConcurrency is the maximum number of concurrent calls to the platform.
	PlatformConcurrency int `json:"platformConcurrency,omitempty"`
}
