package vrpeer

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"

	"go.uber.org/zap"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrsettings"
)

// IdentityError reports that a certificate or a frame names another daemon than expected.
type IdentityError struct {
	Found, Want vrid.DaemonID
}

func (e *IdentityError) Error() string {
	return fmt.Sprintf("the peer identifies itself as %q, want %q", e.Found, e.Want)
}

// credentials are the certificate, key and authority read from the TLS files. The files
// are read again at each handshake, so that a replaced certificate takes effect without a
// restart; handshakes are rare enough for that.
type credentials struct {
	files vrsettings.TLSFiles
	log   *zap.Logger

	mu sync.Mutex
	// pemFiles are the contents of the certificate, key and authority files at the last
	// successful reload.
	pemFiles    [3][]byte
	certificate tls.Certificate
	authorities *x509.CertPool
}

func newCredentials(files vrsettings.TLSFiles, log *zap.Logger) (*credentials, error) {
	c := &credentials{files: files, log: log}
	if err := c.reload(); err != nil {
		return nil, err
	}
	return c, nil
}

// reload reads the files and replaces the credentials if a file has changed.
func (c *credentials) reload() error {
	var pemFiles [3][]byte
	for i, path := range [...]string{c.files.Certificate, c.files.Key, c.files.Authority} {
		data, err := os.ReadFile(path)
		if err != nil {
			return fmt.Errorf("read peer TLS file: %w", err)
		}
		pemFiles[i] = data
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if equalFiles(pemFiles, c.pemFiles) {
		return nil
	}
	certificate, err := tls.X509KeyPair(pemFiles[0], pemFiles[1])
	if err != nil {
		return fmt.Errorf("peer certificate %s: %w", c.files.Certificate, err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pemFiles[2]) {
		return fmt.Errorf("peer authority %s: no certificate in the file", c.files.Authority)
	}
	c.pemFiles, c.certificate, c.authorities = pemFiles, certificate, authorities
	return nil
}

func equalFiles(a, b [3][]byte) bool {
	for i := range a {
		if !bytes.Equal(a[i], b[i]) {
			return false
		}
	}
	return true
}

// config returns the TLS configuration of one handshake, in which verify checks the daemon
// that the other side's certificate names. The previous certificate stays in use while a
// file is being replaced and can't be read.
func (c *credentials) config(verify func(vrid.DaemonID) error) *tls.Config {
	if err := c.reload(); err != nil {
		c.log.Warn("cannot reload peer TLS files, using the previous ones", zap.Error(err))
	}
	c.mu.Lock()
	certificate, authorities := c.certificate, c.authorities
	c.mu.Unlock()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{certificate},
		ClientAuth:             tls.RequireAnyClientCert,
		SessionTicketsDisabled: true,
		// Daemons are identified by the common name and reached by IP address, so
		// VerifyConnection, which verifies the chain, replaces the host name check.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			peer, err := verifyChain(state.PeerCertificates, authorities)
			if err != nil {
				return err
			}
			return verify(peer)
		},
	}
}

// verifyChain verifies a certificate chain and returns the daemon that its first
// certificate names.
func verifyChain(chain []*x509.Certificate, authorities *x509.CertPool) (vrid.DaemonID, error) {
	if len(chain) == 0 {
		return "", &IdentityError{Want: "a certificate"}
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range chain[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots: authorities, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return "", fmt.Errorf("verify peer certificate: %w", err)
	}
	return vrid.DaemonID(chain[0].Subject.CommonName), nil
}
