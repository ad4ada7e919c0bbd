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

// Tokens of the operators in written settings. They protect nothing but loopback.
const (
	CommandToken = "verbenabench-command"
	ReadToken    = "verbenabench-read"
)

// Ports are the addresses that a daemon listens on.
type Ports struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
}

// Ports of daemons lie below those that outgoing connections take on their own, which
// begin at 32768: a daemon that is down for a while finds its ports free again.
const (
	_firstPort = 10_240
	_lastPort  = 32_000
	_portTries = 1000
)

// _ports walks through the range from a random start, so that fleets of one process
// never get the same port and those of two processes seldom do.
var _ports = func() *atomic.Int64 {
	start := &atomic.Int64{}
	start.Store(int64(mathrand.IntN(_lastPort - _firstPort)))
	return start
}()

// ReservePorts finds free loopback ports for each daemon. Each port is closed again
// before the daemon opens it.
func ReservePorts(daemons []Daemon) (map[vrid.DaemonID]Ports, error) {
	const kinds = 3
	var open []net.Listener
	defer func() {
		for _, listener := range open {
			_ = listener.Close()
		}
	}()
	ports := make(map[vrid.DaemonID]Ports, len(daemons))
	for _, daemon := range daemons {
		var addresses [kinds]string
		for i := range addresses {
			listener, err := listenAnywhere()
			if err != nil {
				return nil, fmt.Errorf("reserve a port for %s: %w", daemon.ID, err)
			}
			open = append(open, listener)
			addresses[i] = listener.Addr().String()
		}
		ports[daemon.ID] = Ports{Callers: addresses[0], Operators: addresses[1], Peers: addresses[2]}
	}
	return ports, nil
}

// listenAnywhere takes the next port that is free.
func listenAnywhere() (net.Listener, error) {
	var failure error
	for range _portTries {
		port := _firstPort + _ports.Add(1)%(_lastPort-_firstPort)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			return listener, nil
		}
		failure = err
	}
	return nil, failure
}

// SettingsOptions says where daemons find each other and the platform.
type SettingsOptions struct {
	Dir string
	// Platforms are the platform's base URLs by zone.
	Platforms map[vrid.ZoneID]string
	Ports     map[vrid.DaemonID]Ports
	// InsecurePeers writes no certificates; the default is mutual TLS.
	InsecurePeers bool
	// ShutdownGrace is zero for the daemon's own default.
	ShutdownGrace vrid.Duration
}

// WriteSettings writes one settings file for each daemon and returns their paths.
func (d *Deployment) WriteSettings(options SettingsOptions) (map[vrid.DaemonID]string, error) {
	var authority *authority
	if !options.InsecurePeers {
		made, err := newAuthority(options.Dir)
		if err != nil {
			return nil, err
		}
		authority = made
	}
	paths := make(map[vrid.DaemonID]string, len(d.Daemons))
	for _, daemon := range d.Daemons {
		settings := d.settingsOf(daemon, options)
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

func (d *Deployment) settingsOf(daemon Daemon, options SettingsOptions) vrsettings.Settings {
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
			{Operator: "bench", TokenHash: hashOf(CommandToken), Role: vrsettings.RoleCommand},
			{Operator: "reader", TokenHash: hashOf(ReadToken), Role: vrsettings.RoleRead},
		},
	}
	for _, peer := range d.Daemons {
		if peer.ID != daemon.ID {
			settings.Seeds = append(settings.Seeds, vrsettings.Seed{Daemon: peer.ID, Address: options.Ports[peer.ID].Peers})
		}
	}
	return settings
}

func hashOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

const (
	_dirMode    = 0o700
	_fileMode   = 0o600
	_validFor   = 48 * time.Hour
	_clockSlack = time.Hour
)

func writeJSON(path string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return fmt.Errorf("encode %s: %w", path, err)
	}
	return os.WriteFile(path, data, _fileMode)
}

// authority is a small certificate authority for the daemons of one directory.
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
		return nil, fmt.Errorf("authority key: %w", err)
	}
	template := template("verbenabench authority", 1)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, fmt.Errorf("authority certificate: %w", err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("authority certificate: %w", err)
	}
	a := &authority{dir: dir, certificate: certificate, key: key, path: filepath.Join(dir, "authority.pem"), serial: 1}
	return a, writePEM(a.path, "CERTIFICATE", der)
}

func template(name string, serial int64) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-_clockSlack),
		NotAfter:     now.Add(_validFor),
	}
}

// issue writes a certificate that serves both ends of a session, named by the
// daemon's id and the loopback address.
func (a *authority) issue(name string) (vrsettings.TLSFiles, error) {
	files := vrsettings.TLSFiles{
		Certificate: filepath.Join(a.dir, name+".pem"),
		Key:         filepath.Join(a.dir, name+"-key.pem"),
		Authority:   a.path,
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, fmt.Errorf("key of %s: %w", name, err)
	}
	a.serial++
	template := template(name, a.serial)
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.DNSNames = []string{name}
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return files, fmt.Errorf("certificate of %s: %w", name, err)
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return files, fmt.Errorf("key of %s: %w", name, err)
	}
	if err := writePEM(files.Certificate, "CERTIFICATE", der); err != nil {
		return files, err
	}
	return files, writePEM(files.Key, "PRIVATE KEY", encoded)
}

func writePEM(path, kind string, der []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), _fileMode)
}
