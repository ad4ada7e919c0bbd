package vrdeploy

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"math/big"
	mathrand "math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrsettings"
)

// Operator tokens in the settings files. The daemons listen on loopback only, so the
// tokens don't have to be secret.
const (
	CommandToken = "verbenabench-command"
	ReadToken    = "verbenabench-read"
)

// Ports holds the addresses that a daemon listens on for callers, operators and peers.
type Ports struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
}

// The port range of the daemons ends below the ephemeral ports of Linux, which start at 32768.
// An outgoing connection therefore can't occupy the port of a daemon that is down.
const (
	_firstPort       = 10_240
	_lastPort        = 32_000
	_maxPortAttempts = 1000
)

// _nextPort is the offset of the next port to try. It starts at a random value and only
// increases: fleets of one process get different ports until the range wraps around, and
// fleets of two processes rarely collide.
var _nextPort = func() *atomic.Int64 {
	start := &atomic.Int64{}
	start.Store(int64(mathrand.IntN(_lastPort - _firstPort)))
	return start
}()

// ReservePorts finds free loopback ports for each daemon. It closes all ports before it
// returns, so that the daemons can listen on them.
func ReservePorts(daemons []Daemon) (map[vrid.DaemonID]Ports, error) {
	const addressesPerDaemon = 3
	var listeners []net.Listener
	defer func() {
		for _, listener := range listeners {
			_ = listener.Close()
		}
	}()
	ports := make(map[vrid.DaemonID]Ports, len(daemons))
	for _, daemon := range daemons {
		var addresses [addressesPerDaemon]string
		for i := range addresses {
			listener, err := listenOnFreePort()
			if err != nil {
				return nil, fmt.Errorf("reserve a port for %s: %w", daemon.ID, err)
			}
			listeners = append(listeners, listener)
			addresses[i] = listener.Addr().String()
		}
		ports[daemon.ID] = Ports{Callers: addresses[0], Operators: addresses[1], Peers: addresses[2]}
	}
	return ports, nil
}

// listenOnFreePort listens on the next free port of the range.
func listenOnFreePort() (net.Listener, error) {
	var lastErr error
	for range _maxPortAttempts {
		port := _firstPort + _nextPort.Add(1)%(_lastPort-_firstPort)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			return listener, nil
		}
		lastErr = err
	}
	return nil, lastErr
}

// SettingsOptions configures WriteSettings.
type SettingsOptions struct {
	// Dir is the directory for settings files, certificates and keys.
	Dir string
	// Platforms maps each zone to the platform's base URL for it.
	Platforms map[vrid.ZoneID]string
	Ports     map[vrid.DaemonID]Ports
	// InsecurePeers disables mutual TLS between peers; no certificates are written.
	InsecurePeers bool
	// ShutdownGrace of zero selects the daemon's default.
	ShutdownGrace vrid.Duration
}

// WriteSettings writes a settings file for each daemon and returns the path of each.
func (d *Deployment) WriteSettings(options SettingsOptions) (map[vrid.DaemonID]string, error) {
	var authority *authority
	if !options.InsecurePeers {
		created, err := newAuthority(options.Dir)
		if err != nil {
			return nil, err
		}
		authority = created
	}
	paths := make(map[vrid.DaemonID]string, len(d.Daemons))
	for _, daemon := range d.Daemons {
		settings := d.settingsFor(daemon, options)
		if authority != nil {
			files, err := authority.issue(string(daemon.ID))
			if err != nil {
				return nil, err
			}
			settings.PeerTLS = files
		}
		path := filepath.Join(options.Dir, string(daemon.ID)+".json")
		if err := writeJSON(path, settings); err != nil {
			return nil, err
		}
		paths[daemon.ID] = path
	}
	return paths, nil
}

func (d *Deployment) settingsFor(daemon Daemon, options SettingsOptions) vrsettings.Settings {
	ports := options.Ports[daemon.ID]
	settings := vrsettings.Settings{
		Daemon:        daemon.ID,
		Zone:          daemon.Zone,
		Callers:       ports.Callers,
		Operators:     ports.Operators,
		Peers:         ports.Peers,
		Platform:      options.Platforms[daemon.Zone],
		InsecurePeers: options.InsecurePeers,
		ShutdownGrace: options.ShutdownGrace,
		OperatorTokens: []vrsettings.OperatorToken{
			{Operator: "bench", TokenHash: tokenHash(CommandToken), Role: vrsettings.RoleCommand},
			{Operator: "reader", TokenHash: tokenHash(ReadToken), Role: vrsettings.RoleRead},
		},
	}
	for _, peer := range d.Daemons {
		if peer.ID != daemon.ID {
			settings.Seeds = append(settings.Seeds, vrsettings.Seed{Daemon: peer.ID, Address: options.Ports[peer.ID].Peers})
		}
	}
	return settings
}

func tokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

const (
	_dirMode             = 0o700
	_fileMode            = 0o600
	_certificateLifetime = 48 * time.Hour
	_clockSkew           = time.Hour
)

func writeJSON(path string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return fmt.Errorf("encode %s: %w", path, err)
	}
	return os.WriteFile(path, data, _fileMode)
}

// authority is a certificate authority that issues the peer certificates of one fleet.
type authority struct {
	dir         string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	path        string
	serial      int64
}

func newAuthority(dir string) (*authority, error) {
	if err := os.MkdirAll(dir, _dirMode); err != nil {
		return nil, err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate key of certificate authority: %w", err)
	}
	template := certificateTemplate("verbenabench authority", 1)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, fmt.Errorf("create certificate of certificate authority: %w", err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse certificate of certificate authority: %w", err)
	}
	a := &authority{dir: dir, certificate: certificate, key: key, path: filepath.Join(dir, "authority.pem"), serial: 1}
	return a, writePEM(a.path, "CERTIFICATE", der)
}

func certificateTemplate(name string, serial int64) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-_clockSkew),
		NotAfter:     now.Add(_certificateLifetime),
	}
}

// issue writes a certificate and its key. The certificate is valid for client and server
// authentication, under the given name (the daemon's ID) and the loopback address.
func (a *authority) issue(name string) (vrsettings.TLSFiles, error) {
	files := vrsettings.TLSFiles{
		Certificate: filepath.Join(a.dir, name+".pem"),
		Key:         filepath.Join(a.dir, name+"-key.pem"),
		Authority:   a.path,
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, fmt.Errorf("generate key of %s: %w", name, err)
	}
	a.serial++
	template := certificateTemplate(name, a.serial)
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.DNSNames = []string{name}
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return files, fmt.Errorf("create certificate of %s: %w", name, err)
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return files, fmt.Errorf("encode key of %s: %w", name, err)
	}
	if err := writePEM(files.Certificate, "CERTIFICATE", der); err != nil {
		return files, err
	}
	return files, writePEM(files.Key, "PRIVATE KEY", encoded)
}

func writePEM(path, kind string, der []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), _fileMode)
}
