package vrnode_test

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"verbenaroute.example/platform/vrstandin"
	"verbenaroute.example/verbenacore/vrid"
)

const (
	revocation             = 5 * time.Second
	firstKey, secondKey    = "sk-first-4711", "sk-second-4712"
	headerKey, headerOwner = "Key", "Tenant"
)

// tenantSite is a store, a server and two gateways. The store can reject the first gateway.
type tenantSite struct {
	t        *testing.T
	store    *vrstandin.Store
	rejects  atomic.Bool
	gateways []string
	metrics  []string
	logs     *observer.ObservedLogs
	requests atomic.Int64

	mu sync.Mutex
	// received are the headers of the requests at the server, by request id.
	received map[string]http.Header
}

func startTenantSite(t *testing.T, configure func(*vrstandin.Store)) *tenantSite {
	s := &tenantSite{t: t, store: vrstandin.NewStore(), received: make(map[string]http.Header)}
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		s.mu.Lock()
		s.received[r.Header.Get("Request-Id")] = r.Header
		s.mu.Unlock()
		vrstandin.SetAnswerHeaders(w.Header(), r)
		_, _ = io.WriteString(w, "ok")
	}))
	t.Cleanup(backend.Close)
	configure(s.store)
	s.store.Register("i-1", strings.TrimPrefix(backend.URL, "http://"), "ready", 1)
	core, logs := observer.New(zap.InfoLevel)
	s.logs = logs
	for i := range 2 {
		access := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if i == 0 && s.rejects.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			s.store.ServeHTTP(w, r)
		}))
		t.Cleanup(access.CloseClientConnections)
		settings := newSettings(t, access.URL, time.Second)
		settings.Daemon = vrid.DaemonID(fmt.Sprint("edge-", i))
		settings.Bounds.Revocation, settings.Bounds.CatalogApply = vrid.Duration(revocation), vrid.Duration(4*time.Second)
		startNode(t, settings, zap.New(core))
		s.gateways, s.metrics = append(s.gateways, settings.Callers), append(s.metrics, settings.Metrics)
	}
	return s
}

// call sends a request with a key and a tenant that its client claims. It returns the status, and the request's
// headers at the server, nil if it did not arrive.
func (s *tenantSite) call(gateway int, route, key string) (int, http.Header) {
	id := fmt.Sprint("r", s.requests.Add(1))
	request, err := http.NewRequest(http.MethodPost, "http://"+s.gateways[gateway]+"/"+route+"/x", strings.NewReader("body"))
	require.NoError(s.t, err)
	request.Host = "h.example"
	vrstandin.SetClientHeaders(request.Header, id, 2*time.Second)
	request.Header.Set(headerOwner, "claimed")
	request.Header.Set(headerKey, key)
	response, err := http.DefaultClient.Do(request)
	require.NoError(s.t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(s.t, err)
	require.NoError(s.t, response.Body.Close())
	require.NotContains(s.t, string(body), key)
	s.mu.Lock()
	defer s.mu.Unlock()
	return response.StatusCode, s.received[id]
}

// eventually repeats a request until it gets the status.
func (s *tenantSite) eventually(gateway int, route, key string, status int) {
	s.t.Helper()
	require.Eventually(s.t, func() bool { got, _ := s.call(gateway, route, key); return got == status }, restoreTimeout, pollInterval)
}

// Covers the path of keys end to end: the server gets the tenant and no key; a daemon that the store rejects
// goes on serving keyed requests with another daemon's proofs, and by its catalog; and nothing that a daemon
// writes contains a key or a digest.
func TestKeysEndToEnd(t *testing.T) {
	routes := []vrstandin.Route{{Name: "keyed", Type: "idempotent"}, {Name: "open", Type: "idempotent", Public: true}}
	s := startTenantSite(t, func(store *vrstandin.Store) {
		store.ConfigureTenants(3, map[string]string{"acme": firstKey}, routes...)
	})
	s.eventually(0, "keyed", firstKey, http.StatusOK)
	_, header := s.call(0, "keyed", firstKey)
	require.Equal(t, []string{"acme"}, header.Values(headerOwner))
	require.Empty(t, header.Values(headerKey))
	s.eventually(0, "keyed", "sk-unknown", http.StatusUnauthorized)
	s.eventually(0, "open", "sk-unknown", http.StatusOK)
	_, header = s.call(0, "open", firstKey)
	require.Empty(t, header.Values(headerOwner))
	require.Empty(t, header.Values(headerKey))

	require.Eventually(t, func() bool {
		return s.logs.FilterMessage("daemon count changed").FilterField(zap.String("count", "2")).Len() == 2
	}, restoreTimeout, pollInterval)
	s.rejects.Store(true)
	s.store.ConfigureTenants(4, map[string]string{"beta": secondKey}, routes...)
	revokedAt := time.Now()
	served := 0
	for time.Since(revokedAt) < 2*revocation {
		sentAt := time.Now()
		status, _ := s.call(0, "keyed", firstKey)
		if sentAt.Sub(revokedAt) > revocation {
			require.NotEqual(t, http.StatusOK, status)
		}
		if status, _ := s.call(0, "open", firstKey); status == http.StatusOK {
			served++
		}
		time.Sleep(pollInterval)
	}
	require.Positive(t, served)
	s.eventually(0, "keyed", secondKey, http.StatusOK)
	s.eventually(0, "keyed", firstKey, http.StatusUnauthorized)

	var written strings.Builder
	for _, entry := range s.logs.All() {
		fmt.Fprintln(&written, entry.Message, entry.ContextMap())
	}
	written.WriteString(getBody(t, s.metrics[0], "/metrics"))
	require.Contains(t, written.String(), `verbena_tenant_calls_total{tenant="acme",outcome="answered",reason=""}`)
	require.Contains(t, written.String(), "tenant:acme")
	for _, key := range []string{firstKey, secondKey, "sk-unknown"} {
		digest := sha256.Sum256([]byte(key))
		for _, secret := range []string{key, hex.EncodeToString(digest[:]), base64.RawStdEncoding.EncodeToString(digest[:]), fmt.Sprint(digest)} {
			require.NotContains(t, written.String(), secret)
		}
	}
}

// Guards against a gateway that drops or judges headers of these names although the configuration has no
// tenants.
func TestHeadersOfKeysArePassedOnWithoutTenants(t *testing.T) {
	s := startTenantSite(t, func(store *vrstandin.Store) {
		store.Configure(3, vrstandin.Route{Name: "keyed", Type: "idempotent"})
	})
	s.eventually(0, "keyed", firstKey, http.StatusOK)
	_, header := s.call(0, "keyed", firstKey)
	require.Equal(t, []string{"claimed"}, header.Values(headerOwner))
	require.Equal(t, []string{firstKey}, header.Values(headerKey))
}
