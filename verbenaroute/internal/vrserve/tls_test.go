package vrserve

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"io"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrsettings"
)

// writeCertificate writes a self-signed certificate and its key, and sets the modification
// time of both files.
func writeCertificate(t *testing.T, files vrsettings.TLSFiles, name string, modTime time.Time) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name},
		NotBefore: modTime.Add(-time.Hour), NotAfter: modTime.Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	require.NoError(t, err)
	pkcs8Key, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	write := func(path, kind string, data []byte) {
		require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600))
		require.NoError(t, os.Chtimes(path, modTime, modTime))
	}
	write(files.Certificate, "CERTIFICATE", der)
	write(files.Key, "PRIVATE KEY", pkcs8Key)
}

// Guards against a renewed certificate that is not loaded until a restart, and against a
// partly written certificate and key that interrupt the service.
func TestCertificateReload(t *testing.T) {
	dir := t.TempDir()
	files := vrsettings.TLSFiles{Certificate: filepath.Join(dir, "c.pem"), Key: filepath.Join(dir, "k.pem")}
	synctest.Test(t, func(t *testing.T) {
		cert := &reloadingCertificate{files: files}
		name := func() string {
			advance(2 * _reloadInterval)
			current, err := cert.get(nil)
			require.NoError(t, err)
			return current.Leaf.Subject.CommonName
		}
		_, err := cert.get(nil)
		require.ErrorIs(t, err, os.ErrNotExist)
		writeCertificate(t, files, "first", time.Now())
		require.Equal(t, "first", name())
		writeCertificate(t, files, "second", time.Now())
		require.Equal(t, "second", name())
		require.NoError(t, os.WriteFile(files.Key, []byte("half"), 0o600))
		require.Equal(t, "second", name())
		require.NoError(t, os.Remove(files.Certificate))
		require.Equal(t, "second", name())
	})
}

// Guards against a listen error that does not name the setting.
func TestListenError(t *testing.T) {
	_, err := listen("callers", "192.0.2.1:1", vrsettings.TLSFiles{})
	var listenErr *ListenError
	require.True(t, errors.As(err, &listenErr))
	require.Equal(t, "callers", listenErr.Field)
}

// Guards against a listener that has a certificate but does not use TLS.
func TestListenWithTLS(t *testing.T) {
	dir := t.TempDir()
	files := vrsettings.TLSFiles{Certificate: filepath.Join(dir, "c.pem"), Key: filepath.Join(dir, "k.pem")}
	writeCertificate(t, files, "callers", time.Now())
	listener, err := listen("callers", "127.0.0.1:0", files)
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Write([]byte("hello"))
		_ = conn.Close()
	}()
	conn, err := tls.Dial("tcp", listener.Addr().String(), &tls.Config{InsecureSkipVerify: true})
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	data, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Equal(t, "hello", string(data))
	require.Equal(t, "callers", conn.ConnectionState().PeerCertificates[0].Subject.CommonName)
}
