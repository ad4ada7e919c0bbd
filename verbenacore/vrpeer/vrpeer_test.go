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
	"sync/atomic"
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

// _testTimeout only bounds a failing test.
const _testTimeout = 20 * time.Second

// node is a hub and channels with the envelopes and the unreachable peers that it reports.
type node struct {
	*vrpeer.Hub
	received    chan *vrwire.Envelope
	unreachable chan vrid.DaemonID
	refused     atomic.Bool
}

func startNode(t *testing.T, id vrid.DaemonID, files *vrsettings.TLSFiles) *node {
	n := &node{received: make(chan *vrwire.Envelope, 4096), unreachable: make(chan vrid.DaemonID, 4096)}
	options := vrpeer.Options{
		Self: id, Boot: "boot", Zone: "zone", Listen: "127.0.0.1:0", Insecure: files == nil,
		OnReceive: func(e *vrwire.Envelope) { n.received <- e },
		OnUnreachable: func(peer vrid.DaemonID, refused bool) {
			n.refused.Store(refused)
			n.unreachable <- peer
		},
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

func configFetch(knownVersion vrid.ConfigVersion) *vrwire.Envelope {
	return &vrwire.Envelope{ConfigFetch: &vrwire.ConfigFetch{KnownVersion: knownVersion}}
}

func receive[T any](t *testing.T, source chan T) T {
	select {
	case value := <-source:
		return value
	case <-time.After(_testTimeout):
		require.Fail(t, "nothing was received in time")
		panic("unreachable")
	}
}

// Guards against reordered messages, a changed sender and a second session for messages in
// the opposite direction.
func TestOrderedDeliveryOverOneSession(t *testing.T) {
	a, b := startNode(t, "vm-1", nil), startNode(t, "vm-2", nil)
	for i := range 50 {
		a.Send("vm-2", b.Address(), configFetch(vrid.ConfigVersion(i)))
	}
	for i := range 50 {
		envelope := receive(t, b.received)
		require.EqualValues(t, "vm-1", envelope.From)
		require.EqualValues(t, i, envelope.ConfigFetch.KnownVersion)
	}
	b.Send("vm-1", a.Address(), configFetch(7))
	require.EqualValues(t, 7, receive(t, a.received).ConfigFetch.KnownVersion)
	require.Equal(t, 1, a.Stats().Sessions)
	require.EqualValues(t, 50, a.Stats().MessagesSent)
	require.EqualValues(t, 50, b.Stats().MessagesReceived)
	require.Positive(t, a.Stats().BytesSent)
}

// Guards against a sender that blocks or queues without limit for a peer that is gone, and
// against a peer that is not reached again after its restart.
func TestUnreachablePeerAndRecovery(t *testing.T) {
	a, b := startNode(t, "vm-1", nil), startNode(t, "vm-2", nil)
	address := b.Address()
	a.Send("vm-2", address, configFetch(1))
	receive(t, b.received)
	b.Close()
	for len(a.unreachable) == 0 {
		a.Send("vm-2", address, configFetch(2))
		<-time.After(time.Millisecond)
	}
	require.EqualValues(t, "vm-2", receive(t, a.unreachable))
	require.Eventually(t, func() bool {
		a.Send("vm-2", address, configFetch(2))
		return a.refused.Load()
	}, _testTimeout, 10*time.Millisecond, "a machine without a listener refuses connections")
	require.Positive(t, a.Stats().Dropped)
	a.Send("vm-3", address, &vrwire.Envelope{ConfigOffer: &vrwire.ConfigOffer{Version: 1, Document: make([]byte, vrwire.MaxFrameBytes)}})
	for receive(t, a.unreachable) != "vm-3" {
		continue
	}
	restarted := startNode(t, "vm-2", nil)
	require.Eventually(t, func() bool {
		a.Send("vm-2", restarted.Address(), configFetch(3))
		return len(restarted.received) > 0
	}, _testTimeout, 10*time.Millisecond)
}

// Guards against a peer that accepts connections and never reads: sending must not block,
// and the queue for the peer must stay bounded.
func TestSlowPeer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	a := startNode(t, "vm-1", nil)
	const large, count = vrwire.MaxFrameBytes - 1024, 20
	for range count {
		a.Send("vm-2", listener.Addr().String(), &vrwire.Envelope{ConfigOffer: &vrwire.ConfigOffer{Version: 1, Document: make([]byte, large)}})
	}
	// Four frames fit into the queue, and the peer's goroutine holds one.
	require.GreaterOrEqual(t, a.Stats().Dropped, uint64(count-5))
	require.EqualValues(t, "vm-2", receive(t, a.unreachable))
}

// openRawSession opens a session and a stream without a Hub, so that a test can write
// arbitrary bytes to them.
func openRawSession(t *testing.T, address string, config *tls.Config) (*yamux.Session, net.Conn) {
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

func frameOf(payload []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(payload))), payload...)
}

func encodedFrame(t *testing.T, from vrid.DaemonID) []byte {
	envelope := configFetch(1)
	envelope.From, envelope.Boot = from, "boot"
	data, err := vrwire.Marshal(envelope)
	require.NoError(t, err)
	return frameOf(data)
}

func requireClosed(t *testing.T, session *yamux.Session) {
	select {
	case <-session.CloseChan():
	case <-time.After(_testTimeout):
		require.Fail(t, "the session is still open")
	}
}

// Guards against bytes on the port that end the process, keep a session open forever or
// reach the receiver.
func TestMalformedInput(t *testing.T) {
	n := startNode(t, "vm-1", nil)
	t.Run("not yamux", func(t *testing.T) {
		conn, err := net.Dial("tcp", n.Address())
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		_, _ = conn.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
		_, _ = io.Copy(io.Discard, conn)
	})
	t.Run("oversized frame", func(t *testing.T) {
		session, stream := openRawSession(t, n.Address(), nil)
		_, _ = stream.Write([]byte{0xff, 0xff, 0xff, 0xff})
		requireClosed(t, session)
	})
	t.Run("garbage frames", func(t *testing.T) {
		session, stream := openRawSession(t, n.Address(), nil)
		for range 8 {
			_, _ = stream.Write(frameOf([]byte{0xff, 0x01, 0x02}))
		}
		requireClosed(t, session)
	})
	t.Run("one bad frame among good ones", func(t *testing.T) {
		_, stream := openRawSession(t, n.Address(), nil)
		for _, data := range [][]byte{encodedFrame(t, "vm-9"), frameOf([]byte{0xff}), encodedFrame(t, "vm-8"), encodedFrame(t, "vm-9")} {
			_, _ = stream.Write(data)
		}
		require.EqualValues(t, "vm-9", receive(t, n.received).From)
		require.EqualValues(t, "vm-9", receive(t, n.received).From)
	})
	t.Run("silent", func(t *testing.T) {
		session, _ := openRawSession(t, n.Address(), nil)
		requireClosed(t, session)
	})
	require.Empty(t, n.received)
	require.GreaterOrEqual(t, n.Stats().Refused, uint64(12))
}

// authority is a certificate authority for daemons.
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

// write writes a new key and certificate of a daemon and the authority's certificate into a
// folder.
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

// Guards against a daemon that poses as another one, and against a certificate of an
// unknown authority.
func TestMutualTLS(t *testing.T) {
	ca, otherCA := newAuthority(t), newAuthority(t)
	a := startNode(t, "vm-1", ca.write(t, t.TempDir(), "vm-1"))
	b := startNode(t, "vm-2", ca.write(t, t.TempDir(), "vm-2"))
	untrusted := startNode(t, "vm-9", otherCA.write(t, t.TempDir(), "vm-9"))
	a.Send("vm-2", b.Address(), configFetch(1))
	require.EqualValues(t, "vm-1", receive(t, b.received).From)

	a.Send("vm-3", b.Address(), configFetch(2))
	require.EqualValues(t, "vm-3", receive(t, a.unreachable))
	untrusted.Send("vm-2", b.Address(), configFetch(3))
	require.EqualValues(t, "vm-2", receive(t, untrusted.unreachable))
	a.Send("vm-9", untrusted.Address(), configFetch(4))
	require.EqualValues(t, "vm-9", receive(t, a.unreachable))

	files := ca.write(t, t.TempDir(), "vm-4")
	pair, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	require.NoError(t, err)
	_, stream := openRawSession(t, b.Address(), &tls.Config{Certificates: []tls.Certificate{pair}, InsecureSkipVerify: true})
	_, _ = stream.Write(append(encodedFrame(t, "vm-1"), encodedFrame(t, "vm-4")...))
	require.EqualValues(t, "vm-4", receive(t, b.received).From)
	require.Empty(t, b.received)

	plain, _ := net.Dial("tcp", b.Address())
	_, _ = plain.Write([]byte("garbage in place of a handshake"))
	_, _ = io.Copy(io.Discard, plain)
	_ = plain.Close()
}

// Guards against new certificates that take effect only after a restart, and against an
// outage while a file is half written.
func TestCertificateReload(t *testing.T) {
	oldCA, newCA := newAuthority(t), newAuthority(t)
	folder := t.TempDir()
	b := startNode(t, "vm-2", oldCA.write(t, folder, "vm-2"))
	a := startNode(t, "vm-1", oldCA.write(t, t.TempDir(), "vm-1"))
	require.NoError(t, os.WriteFile(filepath.Join(folder, "peer.pem"), []byte("half"), 0o600))
	a.Send("vm-2", b.Address(), configFetch(1))
	require.EqualValues(t, "vm-1", receive(t, b.received).From)

	newCA.write(t, folder, "vm-2")
	c := startNode(t, "vm-3", newCA.write(t, t.TempDir(), "vm-3"))
	c.Send("vm-2", b.Address(), configFetch(2))
	require.EqualValues(t, "vm-3", receive(t, b.received).From)
	_, err := vrpeer.Start(t.Context(), vrpeer.Options{Self: "vm-5", Listen: "127.0.0.1:0"})
	require.ErrorIs(t, err, os.ErrNotExist)
}
