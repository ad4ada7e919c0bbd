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
	holder := &certificate{files: files}
	if _, err := holder.get(nil); err != nil {
		_ = listener.Close()
		return nil, &ListenError{Field: field, Address: address, Err: err}
	}
	return tls.NewListener(listener, &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: holder.get}), nil
}

// certificate is a TLS certificate that is reloaded when its files change.
type certificate struct {
	files vrsettings.TLSFiles

	mu      sync.Mutex
	held    *tls.Certificate
	changed time.Time
	looked  time.Time
}

// get implements tls.Config.GetCertificate. If the files can't be loaded, for example
// between the writes of the certificate and its key, it keeps the last one that could.
func (c *certificate) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.held != nil && now.Sub(c.looked) < _reloadInterval {
		return c.held, nil
	}
	c.looked = now
	changed, err := lastChange(c.files.Certificate, c.files.Key)
	if err == nil && (c.held == nil || !changed.Equal(c.changed)) {
		err = c.load(changed)
	}
	if c.held == nil {
		return nil, err
	}
	return c.held, nil
}

func (c *certificate) load(changed time.Time) error {
	pair, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return fmt.Errorf("load certificate: %w", err)
	}
	c.held, c.changed = &pair, changed
	return nil
}

// lastChange returns the newest modification time of the files.
func lastChange(paths ...string) (last time.Time, err error) {
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return last, fmt.Errorf("check certificate file: %w", err)
		}
		if info.ModTime().After(last) {
			last = info.ModTime()
		}
	}
	return last, nil
}
