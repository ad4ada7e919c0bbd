package vrserve

import (
	"crypto/tls"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"verbenaroute.example/verbenacore/vrsettings"
)

// _reloadInterval is the minimum time between two checks of a certificate's files.
const _reloadInterval = time.Second

// listen opens a listener, with TLS if a certificate is configured. The field is the name
// of the setting, for errors.
func listen(field, address string, files vrsettings.TLSFiles) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{Field: field, Address: address, Err: err}
	}
	if files.Certificate == "" {
		return listener, nil
	}
	cert := &reloadingCertificate{files: files}
	if _, err := cert.get(nil); err != nil {
		_ = listener.Close()
		return nil, &ListenError{Field: field, Address: address, Err: err}
	}
	return tls.NewListener(listener, &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: cert.get}), nil
}

// reloadingCertificate is a TLS certificate that is reloaded when its files change.
type reloadingCertificate struct {
	files vrsettings.TLSFiles

	mu        sync.Mutex
	current   *tls.Certificate
	modTime   time.Time
	checkedAt time.Time
}

// get implements tls.Config.GetCertificate. If the files can't be loaded, for example
// between the writes of the certificate and its key, it keeps the last valid certificate.
func (c *reloadingCertificate) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.current != nil && now.Sub(c.checkedAt) < _reloadInterval {
		return c.current, nil
	}
	c.checkedAt = now
	modTime, err := latestModTime(c.files.Certificate, c.files.Key)
	if err == nil && (c.current == nil || !modTime.Equal(c.modTime)) {
		err = c.load(modTime)
	}
	if c.current == nil {
		return nil, err
	}
	return c.current, nil
}

func (c *reloadingCertificate) load(modTime time.Time) error {
	pair, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return fmt.Errorf("load certificate: %w", err)
	}
	c.current, c.modTime = &pair, modTime
	return nil
}

// latestModTime returns the newest modification time of the files.
func latestModTime(paths ...string) (latest time.Time, err error) {
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return latest, fmt.Errorf("check certificate file: %w", err)
		}
		if info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest, nil
}
