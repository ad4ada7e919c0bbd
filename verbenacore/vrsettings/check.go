package vrsettings

import (
	"fmt"
	"net/netip"
	"net/url"
	"time"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
)

// Default limits, as section 6 of the design sets them.
const (
	DefaultBody                = vrid.MiB
	DefaultQueue               = 10_000
	DefaultQueueMemory         = 64 * vrid.MiB
	DefaultPlatformCallRate    = 50
	DefaultPlatformConcurrency = 4
	DefaultShutdownGrace       = vrid.Duration(30 * time.Second)
)

const (
	_allowedAddress = "an IP address with a port, for example 10.0.0.1:8080"
	_allowedURL     = "http:// or https:// with an IP address and a port, for example http://10.0.0.1:8080"
)

// WithDefaults returns a copy in which every limit that is zero is set to its default.
func (s *Settings) WithDefaults() *Settings {
	completed := *s
	setDefault(&completed.Limits.Body, DefaultBody)
	setDefault(&completed.Limits.Queue, DefaultQueue)
	setDefault(&completed.Limits.QueueMemory, DefaultQueueMemory)
	setDefault(&completed.Limits.PlatformCallRate, DefaultPlatformCallRate)
	setDefault(&completed.Limits.PlatformConcurrency, DefaultPlatformConcurrency)
	setDefault(&completed.ShutdownGrace, DefaultShutdownGrace)
	return &completed
}

// setDefault sets a field to the default value if it is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Validate checks all settings and reports every invalid field at once.
func (s *Settings) Validate() error {
	c := &vrconfig.Checker{}
	c.Require(s.Daemon != "", "daemon", "nothing", "the id of the entry VM")
	c.Require(s.Zone != "", "zone", "nothing", "an availability zone")
	s.checkAddresses(c)
	checkPlatform(c, s.Platform)
	s.checkTLS(c)
	s.checkTokens(c)
	s.checkLimits(c)
	return c.Err()
}

func (s *Settings) checkAddresses(c *vrconfig.Checker) {
	checkAddress(c, "callers", s.Callers)
	checkAddress(c, "operators", s.Operators)
	checkAddress(c, "peers", s.Peers)
	c.Require(s.Operators == "" || s.Operators != s.Callers, "operators", s.Operators, "another address than callers")
	c.Require(s.Peers == "" || s.Peers != s.Callers && s.Peers != s.Operators, "peers", s.Peers, "another address than callers and operators")
	seen := make(map[vrid.DaemonID]bool, len(s.Seeds))
	for i, seed := range s.Seeds {
		path := fmt.Sprintf("seeds[%d]", i)
		c.Require(seed.Daemon != "" && !seen[seed.Daemon], path+".daemon", fmt.Sprintf("%q", seed.Daemon), "a unique daemon id")
		seen[seed.Daemon] = true
		checkAddress(c, path+".address", seed.Address)
	}
}

func checkAddress(c *vrconfig.Checker, field, address string) {
	c.Require(isAddress(address), field, fmt.Sprintf("%q", address), _allowedAddress)
}

// isAddress reports whether the string is an IP address with a port other than 0. Host
// names are not accepted, so that a process doesn't depend on a name service to resolve the
// addresses in its settings.
func isAddress(address string) bool {
	addrPort, err := netip.ParseAddrPort(address)
	return err == nil && addrPort.Port() != 0
}

// checkPlatform checks that the string is a base URL with an IP address and a port, and
// without a path, query or credentials.
func checkPlatform(c *vrconfig.Checker, platform string) {
	parsed, err := url.Parse(platform)
	ok := err == nil && (parsed.Scheme == "http" || parsed.Scheme == "https") &&
		isAddress(parsed.Host) && parsed.User == nil && parsed.RawQuery == "" &&
		parsed.Fragment == "" && (parsed.Path == "" || parsed.Path == "/")
	c.Require(ok, "platform", fmt.Sprintf("%q", platform), _allowedURL)
}

func (s *Settings) checkTLS(c *vrconfig.Checker) {
	s.CallerTLS.checkPair(c, "callerTls")
	s.OperatorTLS.checkPair(c, "operatorTls")
	if s.InsecurePeers {
		addrPort, err := netip.ParseAddrPort(s.Peers)
		c.Require(err != nil || addrPort.Addr().IsLoopback(), "insecurePeers", "true", "true only when peers is a loopback address")
		return
	}
	checkFile(c, "peerTls.certificate", s.PeerTLS.Certificate)
	checkFile(c, "peerTls.key", s.PeerTLS.Key)
	checkFile(c, "peerTls.authority", s.PeerTLS.Authority)
}

// checkPair checks that a certificate and a key are both set or both absent.
func (f TLSFiles) checkPair(c *vrconfig.Checker, field string) {
	if f == (TLSFiles{}) {
		return
	}
	checkFile(c, field+".certificate", f.Certificate)
	checkFile(c, field+".key", f.Key)
}

func checkFile(c *vrconfig.Checker, field, path string) {
	c.Require(path != "", field, "nothing", "the path of a PEM file")
}

func (s *Settings) checkTokens(c *vrconfig.Checker) {
	seen := make(map[string]bool, len(s.OperatorTokens))
	for i, token := range s.OperatorTokens {
		path := fmt.Sprintf("operatorTokens[%d]", i)
		c.Require(token.Operator != "", path+".operator", "nothing", "the operator's name")
		c.Require(vrconfig.IsHexSHA256(token.TokenHash), path+".tokenHash", "a malformed hash", "64 hex digits")
		c.Require(token.TokenHash == "" || !seen[token.TokenHash], path+".tokenHash", "a duplicate hash", "each hash once")
		seen[token.TokenHash] = true
		c.Require(token.Role == RoleRead || token.Role == RoleCommand, path+".role", fmt.Sprintf("%q", token.Role), "read or command")
	}
}

func (s *Settings) checkLimits(c *vrconfig.Checker) {
	limits := s.Limits
	c.Require(limits.Body >= 0, "limits.body", limits.Body, "0 or more bytes")
	c.Require(limits.Queue >= 0, "limits.queue", limits.Queue, "0 or more")
	c.Require(limits.QueueMemory >= limits.Body, "limits.queueMemory", limits.QueueMemory, fmt.Sprintf("at least the %d bytes of limits.body", limits.Body))
	c.Require(limits.PlatformCallRate >= 0, "limits.platformCalls", limits.PlatformCallRate, "0 or more a second")
	c.Require(limits.PlatformConcurrency >= 0, "limits.platformConcurrency", limits.PlatformConcurrency, "0 or more")
	c.Require(s.ShutdownGrace >= 0, "shutdownGrace", s.ShutdownGrace, "0s or more")
}
