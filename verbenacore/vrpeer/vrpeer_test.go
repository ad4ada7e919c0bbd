package vrpeer_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/binary"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrpeer"
	"verbenaroute.example/verbenacore/vrsettings"
	"verbenaroute.example/verbenacore/vrwire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// _patience only bounds a failing test.
const _patience = 20 * time.Second

// node is a hub with channels for what it tells.
type node struct {
	*vrpeer.Hub
	received    chan *vrwire.Envelope
	unreachable chan vrid.DaemonID
}

func start(t *testing.T, id vrid.DaemonID, files *vrsettings.TLSFiles) *node {
	n := &node{received: make(chan *vrwire.Envelope, 4096), unreachable: make(chan vrid.DaemonID, 4096)}
	options := vrpeer.Options{
		Self: id, Boot: "boot", Zone: "zone", Listen: "127.0.0.1:0", Insecure: files == nil,
		OnReceive:     func(e *vrwire.Envelope) { n.received <- e },
		OnUnreachable: func(peer vrid.DaemonID) { n.unreachable <- peer },
	}
	if files != nil {
		options.TLS = *files
	}
	hub, err := vrpeer.Start(t.Context(), options)
	require.NoError(t, err)
	n.Hub = hub
	t.Cleanup(hub.Close)
	return n
}

func fetch(have vrid.ConfigVersion) *vrwire.Envelope {
	return &vrwire.Envelope{ConfigFetch: &vrwire.ConfigFetch{Have: have}}
}

func next[T any](t *testing.T, source chan T) T {
	select {
	case value := <-source:
		return value
	case <-time.After(_patience):
		require.Fail(t, "nothing came")
		panic("unreachable")
	}
}

// Guards against lost order, a changed sender and a second session for the way back.
func TestExchange(t *testing.T) {
	a, b := start(t, "vm-1", nil), start(t, "vm-2", nil)
	for i := range 50 {
		a.Send("vm-2", b.Address(), fetch(vrid.ConfigVersion(i)))
	}
	for i := range 50 {
		envelope := next(t, b.received)
		require.EqualValues(t, "vm-1", envelope.From)
		require.EqualValues(t, i, envelope.ConfigFetch.Have)
	}
	b.Send("vm-1", a.Address(), fetch(7))
	require.EqualValues(t, 7, next(t, a.received).ConfigFetch.Have)
	require.Equal(t, 1, a.Stats().Sessions)
	require.EqualValues(t, 50, a.Stats().MessagesSent)
	require.EqualValues(t, 50, b.Stats().MessagesReceived)
	require.Positive(t, a.Stats().BytesSent)
}

// Guards against a sender that blocks or grows without bound on a peer that is gone, and
// against a peer that stays unreachable after it has come back.
func TestUnreachable(t *testing.T) {
	a, b := start(t, "vm-1", nil), start(t, "vm-2", nil)
	address := b.Address()
	a.Send("vm-2", address, fetch(1))
	next(t, b.received)
	b.Close()
	for len(a.unreachable) == 0 {
		a.Send("vm-2", address, fetch(2))
		<-time.After(time.Millisecond)
	}
	require.EqualValues(t, "vm-2", next(t, a.unreachable))
	require.Positive(t, a.Stats().Dropped)
	a.Send("vm-3", address, &vrwire.Envelope{ConfigOffer: &vrwire.ConfigOffer{Version: 1, Document: make([]byte, vrwire.MaxFrameBytes)}})
	for next(t, a.unreachable) != "vm-3" {
		continue
	}
	again := start(t, "vm-2", nil)
	require.Eventually(t, func() bool {
		a.Send("vm-2", again.Address(), fetch(3))
		return len(again.received) > 0
	}, _patience, 10*time.Millisecond)
}

// Guards against a peer that accepts and never reads: sending must not block, and what
// waits for the peer must stay bounded.
func TestSlowPeer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	a := start(t, "vm-1", nil)
	const large, count = vrwire.MaxFrameBytes - 1024, 20
	for range count {
		a.Send("vm-2", listener.Addr().String(), &vrwire.Envelope{ConfigOffer: &vrwire.ConfigOffer{Version: 1, Document: make([]byte, large)}})
	}
	// Four frames fit into the queue and the goroutine of the peer holds one.
	require.GreaterOrEqual(t, a.Stats().Dropped, uint64(count-5))
	require.EqualValues(t, "vm-2", next(t, a.unreachable))
}

// raw opens a session past the hub's own client.
func raw(t *testing.T, address string, config *tls.Config) (*yamux.Session, net.Conn) {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	if config != nil {
		conn = tls.Client(conn, config)
	}
	options := yamux.DefaultConfig()
	options.LogOutput = io.Discard
	session, err := yamux.Client(conn, options)
	require.NoError(t, err)
	t.Cleanup(func() { _ = session.Close() })
	stream, err := session.Open()
	require.NoError(t, err)
	return session, stream
}

func frame(payload []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(payload))), payload...)
}

func encoded(t *testing.T, from vrid.DaemonID) []byte {
	envelope := fetch(1)
	envelope.From, envelope.Boot = from, "boot"
	data, err := vrwire.Marshal(envelope)
	require.NoError(t, err)
	return frame(data)
}

func closed(t *testing.T, session *yamux.Session) {
	select {
	case <-session.CloseChan():
	case <-time.After(_patience):
		require.Fail(t, "the session is still open")
	}
}

// Guards against bytes on the port that end the process, hold a session for ever or
// reach the receiver.
func TestGarbage(t *testing.T) {
	n := start(t, "vm-1", nil)
	t.Run("not yamux", func(t *testing.T) {
		conn, err := net.Dial("tcp", n.Address())
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		_, _ = conn.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
		_, _ = io.Copy(io.Discard, conn)
	})
	t.Run("oversized frame", func(t *testing.T) {
		session, stream := raw(t, n.Address(), nil)
		_, _ = stream.Write([]byte{0xff, 0xff, 0xff, 0xff})
		closed(t, session)
	})
	t.Run("garbage frames", func(t *testing.T) {
		session, stream := raw(t, n.Address(), nil)
		for range 8 {
			_, _ = stream.Write(frame([]byte{0xff, 0x01, 0x02}))
		}
		closed(t, session)
	})
	t.Run("one bad frame among good ones", func(t *testing.T) {
		_, stream := raw(t, n.Address(), nil)
		for _, data := range [][]byte{encoded(t, "vm-9"), frame([]byte{0xff}), encoded(t, "vm-8"), encoded(t, "vm-9")} {
			_, _ = stream.Write(data)
		}
		require.EqualValues(t, "vm-9", next(t, n.received).From)
		require.EqualValues(t, "vm-9", next(t, n.received).From)
	})
	t.Run("silent", func(t *testing.T) {
		session, _ := raw(t, n.Address(), nil)
		closed(t, session)
	})
	require.Empty(t, n.received)
	require.GreaterOrEqual(t, n.Stats().Refused, uint64(12))
}

// authority signs certificates of daemons.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	require.NoError(t, err)
	certificate, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &authority{certificate: certificate, key: key}
}

// write puts a certificate for a daemon into a folder.
func (a *authority) write(t *testing.T, folder string, id vrid.DaemonID) *vrsettings.TLSFiles {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: string(id)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	require.NoError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	files := &vrsettings.TLSFiles{
		Certificate: filepath.Join(folder, "peer.pem"), Key: filepath.Join(folder, "peer.key"), Authority: filepath.Join(folder, "ca.pem"),
	}
	for path, block := range map[string]*pem.Block{
		files.Certificate: {Type: "CERTIFICATE", Bytes: der},
		files.Key:         {Type: "PRIVATE KEY", Bytes: private},
		files.Authority:   {Type: "CERTIFICATE", Bytes: a.certificate.Raw},
	} {
		require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(block), 0o600))
	}
	return files
}

// Guards against a daemon that speaks for another one, and against a certificate of
// another authority.
func TestMutualTLS(t *testing.T) {
	ca, stranger := newAuthority(t), newAuthority(t)
	a := start(t, "vm-1", ca.write(t, t.TempDir(), "vm-1"))
	b := start(t, "vm-2", ca.write(t, t.TempDir(), "vm-2"))
	x := start(t, "vm-9", stranger.write(t, t.TempDir(), "vm-9"))
	a.Send("vm-2", b.Address(), fetch(1))
	require.EqualValues(t, "vm-1", next(t, b.received).From)

	a.Send("vm-3", b.Address(), fetch(2))
	require.EqualValues(t, "vm-3", next(t, a.unreachable))
	x.Send("vm-2", b.Address(), fetch(3))
	require.EqualValues(t, "vm-2", next(t, x.unreachable))
	a.Send("vm-9", x.Address(), fetch(4))
	require.EqualValues(t, "vm-9", next(t, a.unreachable))

	files := ca.write(t, t.TempDir(), "vm-4")
	pair, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	require.NoError(t, err)
	_, stream := raw(t, b.Address(), &tls.Config{Certificates: []tls.Certificate{pair}, InsecureSkipVerify: true})
	_, _ = stream.Write(append(encoded(t, "vm-1"), encoded(t, "vm-4")...))
	require.EqualValues(t, "vm-4", next(t, b.received).From)
	require.Empty(t, b.received)

	plain, _ := net.Dial("tcp", b.Address())
	_, _ = plain.Write([]byte("garbage in place of a handshake"))
	_, _ = io.Copy(io.Discard, plain)
	_ = plain.Close()
}

// Guards against a restart for new certificates, and against an outage while a file is
// half written.
func TestCertificateReplaced(t *testing.T) {
	former, later := newAuthority(t), newAuthority(t)
	folder := t.TempDir()
	b := start(t, "vm-2", former.write(t, folder, "vm-2"))
	a := start(t, "vm-1", former.write(t, t.TempDir(), "vm-1"))
	require.NoError(t, os.WriteFile(filepath.Join(folder, "peer.pem"), []byte("half"), 0o600))
	a.Send("vm-2", b.Address(), fetch(1))
	require.EqualValues(t, "vm-1", next(t, b.received).From)

	later.write(t, folder, "vm-2")
	c := start(t, "vm-3", later.write(t, t.TempDir(), "vm-3"))
	c.Send("vm-2", b.Address(), fetch(2))
	require.EqualValues(t, "vm-3", next(t, b.received).From)
	_, err := vrpeer.Start(t.Context(), vrpeer.Options{Self: "vm-5", Listen: "127.0.0.1:0"})
	require.ErrorIs(t, err, os.ErrNotExist)
}
