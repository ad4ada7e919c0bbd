package vrnode_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"verbenaroute.example/platform/vrstandin"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrpeer"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// restoreTimeout ends a wait that can only end with the failure of the test.
	restoreTimeout = 30 * time.Second
	pollInterval   = 20 * time.Millisecond
	// watchGap is longer than the pause between two watches of a daemon that nobody feeds.
	watchGap = 2500 * time.Millisecond
)

// startStore runs a store with one route and one server, and returns its URL. It rejects writes of
// leases, so that the daemon does not become the placement owner, which relies on no other daemon.
func startStore(t *testing.T) (*vrstandin.Store, string) {
	store := vrstandin.NewStore()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet && strings.HasPrefix(r.URL.Path, "/objects/leases") {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		store.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	store.Configure(3, vrstandin.Route{Name: "once", Type: "non_idempotent"})
	store.Register("i-1", "127.0.0.1:1", "ready", 1)
	return store, server.URL
}

// registerDaemon writes the entry of another daemon of the zone.
func registerDaemon(t *testing.T, storeURL, name, address string) {
	body := fmt.Sprintf(`{"metadata":{"name":%q},"spec":{"peer":%q,"boot":"b","zone":"z"}}`, name, address)
	response, err := http.Post(storeURL+"/objects/daemons", "application/json", strings.NewReader(body))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// ownerPeer is the hub of another daemon, which feeds the zone and is the placement owner.
type ownerPeer struct {
	*vrpeer.Hub

	mu sync.Mutex
	// reportBoot and reportSentAt identify the last demand report, which was received at reportAt.
	reportBoot   vrid.BootID
	reportSentAt int64
	reportAt     time.Time
}

func startPeer(t *testing.T) *ownerPeer {
	p := &ownerPeer{}
	hub, err := vrpeer.Start(context.Background(), vrpeer.Options{
		Self: "a-0", Boot: "b", Zone: "z", Listen: "127.0.0.1:0", Insecure: true, Log: zap.NewNop(),
		OnReceive: p.receive, OnUnreachable: func(vrid.DaemonID, bool) {},
	})
	require.NoError(t, err)
	t.Cleanup(hub.Close)
	p.Hub = hub
	return p
}

func (p *ownerPeer) receive(e *vrwire.Envelope) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e.PlacementDemand != nil {
		p.reportBoot, p.reportSentAt, p.reportAt = e.Boot, e.PlacementDemand.SentAt, time.Now()
	}
}

// heartbeat returns a heartbeat that proves that version 3 is the newest catalog of an era.
func (p *ownerPeer) heartbeat(era vrid.StoreEra) *vrwire.Notices {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The epoch is higher than any that the receiver may acquire itself.
	const epoch = 1 << 50
	return &vrwire.Notices{
		Epoch: epoch, CatalogVersion: 3, Era: era,
		ReportBoot: p.reportBoot, ReportSentAt: p.reportSentAt, ReportAge: time.Since(p.reportAt).Milliseconds(),
	}
}

// feed sends changes of the zone's feeder with versions of the first era, and heartbeats of the
// placement owner, until the end of the test, as a daemon does that has not noticed a restore.
func feed(t *testing.T, peer *ownerPeer, receiver string) {
	version, ok := vrid.NewObjectVersion(1, 1)
	require.True(t, ok)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(100 * time.Millisecond)
		defer ticker.Stop()
		for {
			// A number of daemons that is not the receiver's lets it list them at intervals.
			peer.Send("edge-1", receiver, &vrwire.Envelope{FleetChanges: &vrwire.FleetChanges{After: version, Version: version, Daemons: 9}})
			peer.Send("edge-1", receiver, &vrwire.Envelope{Notices: peer.heartbeat(version.Era())})
			select {
			case <-ticker.C:
			case <-stop:
				return
			}
		}
	}()
	t.Cleanup(func() {
		close(stop)
		<-stopped
	})
}

// watchCounts returns the metrics lines that count the watches of the store.
func watchCounts(t *testing.T, metricsAddress string) string {
	var lines []string
	for line := range strings.Lines(getBody(t, metricsAddress, "/metrics")) {
		if strings.HasPrefix(line, `verbena_store_calls_total{kind="watch"`) {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "")
}

// Guards against a daemon that knows from another call that the store was restored, and goes on
// without a list because a feeder and an owner that have not noticed it still send messages.
func TestFedDaemonListsAfterRestore(t *testing.T) {
	store, storeURL := startStore(t)
	feeder := startPeer(t)
	// A fleet of this size relies on heartbeats.
	for i := range 13 {
		registerDaemon(t, storeURL, fmt.Sprint("a-", i), feeder.Address())
	}
	settings := newSettings(t, storeURL, time.Second)
	startNode(t, settings, zap.NewNop())
	feed(t, feeder, settings.Peers)
	before := "not counted yet"
	require.Eventually(t, func() bool {
		counts := watchCounts(t, settings.Metrics)
		fed := counts == before
		before = counts
		return fed
	}, restoreTimeout, watchGap, "the daemon never relied on its feeder")

	store.Restore(store.Copy())
	require.Eventually(t, func() bool { return store.Lists("daemons") > 0 }, restoreTimeout, pollInterval)
	require.Eventually(t, func() bool { return store.Lists("servers") > 0 && store.Lists("config") > 0 }, restoreTimeout, pollInterval)
}

// Guards against a restore that neither the log nor the metrics show.
func TestRestoreIsLoggedAndCounted(t *testing.T) {
	store, storeURL := startStore(t)
	settings := newSettings(t, storeURL, time.Second)
	core, logged := observer.New(zap.WarnLevel)
	startNode(t, settings, zap.New(core))
	metrics := getBody(t, settings.Metrics, "/metrics")
	require.Contains(t, metrics, "verbena_store_era 1\n")
	require.Contains(t, metrics, "verbena_store_restores_total 0\n")

	store.Restore(store.Copy())
	require.Eventually(t, func() bool { return store.Lists("servers") > 0 && store.Lists("config") > 0 }, restoreTimeout, pollInterval)
	metrics = getBody(t, settings.Metrics, "/metrics")
	require.Contains(t, metrics, "verbena_store_era 2\n")
	require.Contains(t, metrics, "verbena_store_restores_total 1\n")
	restores := logged.FilterMessage("store restored from a copy").All()
	require.Len(t, restores, 1)
	require.Equal(t, "2", restores[0].ContextMap()["era"])
}

// Guards against a daemon that the others no longer know because the restored store has lost its
// registration, which it wrote once.
func TestDaemonRegistersAgainAfterRestore(t *testing.T) {
	store, storeURL := startStore(t)
	copied := store.Copy()
	settings := newSettings(t, storeURL, time.Second)
	startNode(t, settings, zap.NewNop())
	for range 2 {
		require.Eventually(t, func() bool { return slices.Contains(store.Writes(), "POST daemons/edge-1") }, restoreTimeout, pollInterval)
		require.Eventually(t, func() bool { return store.Lists("daemons") > 0 }, restoreTimeout, pollInterval)
		store.Restore(copied)
	}
	require.Eventually(t, func() bool { return slices.Contains(store.Writes(), "POST daemons/edge-1") }, restoreTimeout, pollInterval)
}
