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

// _reloadInterval is how often the files of a certificate are looked at.
const _reloadInterval = time.Second

// listen opens an address, with TLS when there is a certificate.
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

// certificate reads its files again when they change.
type certificate struct {
	files vrsettings.TLSFiles

	mu      sync.Mutex
	held    *tls.Certificate
	changed time.Time
	looked  time.Time
}

// get implements tls.Config.GetCertificate. A pair that can't be read, for example
// between the writes of its two files, leaves the held one in place.
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

func lastChange(paths ...string) (last time.Time, err error) {
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return last, fmt.Errorf("look at certificate: %w", err)
		}
		if info.ModTime().After(last) {
			last = info.ModTime()
		}
	}
	return last, nil
}
