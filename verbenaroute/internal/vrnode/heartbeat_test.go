package vrnode_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"verbenaroute.example/platform/vrstandin"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrsettings"
)

// storeAccess is one daemon's path to a store, on which reads of the configuration can be kept waiting
// while all other calls are answered.
type storeAccess struct {
	store *vrstandin.Store
	mute  atomic.Bool
	// configReads is the number of reads of the configuration.
	configReads atomic.Int64
}

func (a *storeAccess) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/objects/config") {
		a.configReads.Add(1)
		if a.mute.Load() {
			<-r.Context().Done()
			return
		}
	}
	a.store.ServeHTTP(w, r)
}

// readMetric returns the value of a metric as text, or nothing if it can't be read.
func readMetric(address, name string) string {
	response, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(body)) {
		if value, found := strings.CutPrefix(line, name+" "); found {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// Guards against a fleet that stays on an old configuration because the placement owner, which renews its
// lease, gets no answer when it reads the configuration, while all others rely on its heartbeats.
func TestCatalogIsInForceWhileOwnerCannotReadIt(t *testing.T) {
	const (
		// applyBound is the bound of the platform's large deployments.
		applyBound = 4 * time.Second
		// otherDaemons and the two that run are more than a fleet without heartbeats has.
		otherDaemons = 12
	)
	store := vrstandin.NewStore()
	store.Configure(3, vrstandin.Route{Name: "once", Type: "non_idempotent"})
	store.Register("i-1", "127.0.0.1:1", "ready", 1)
	var accesses []*storeAccess
	var nodes []*vrsettings.Gateway
	for i := range 2 {
		access := &storeAccess{store: store}
		server := httptest.NewServer(access)
		t.Cleanup(server.CloseClientConnections)
		settings := newSettings(t, server.URL, time.Second)
		settings.Daemon = vrid.DaemonID(fmt.Sprint("edge-", i))
		accesses, nodes = append(accesses, access), append(nodes, settings)
		startNode(t, settings, zap.NewNop())
		if i == 0 {
			for n := range otherDaemons {
				registerDaemon(t, server.URL, fmt.Sprintf("other-%02d", n), "127.0.0.1:1")
			}
		}
	}
	owner := -1
	require.Eventually(t, func() bool {
		for i, settings := range nodes {
			if readMetric(settings.Metrics, "verbena_placement_owner") == "1" {
				owner = i
			}
		}
		return owner >= 0
	}, restoreTimeout, pollInterval)
	var reads int64
	require.Eventually(t, func() bool {
		before := reads
		reads = accesses[1-owner].configReads.Load()
		return reads == before
	}, restoreTimeout, time.Second, "the other daemon never relied on the owner")
	accesses[owner].mute.Store(true)
	// A read that began before is answered.
	time.Sleep(2 * vrstandin.WatchTime)
	changedAt := time.Now()
	store.Configure(4, vrstandin.Route{Name: "once", Type: "non_idempotent"}, vrstandin.Route{Name: "new", Type: "non_idempotent"})
	require.Eventually(t, func() bool {
		return readMetric(nodes[1-owner].Metrics, "verbena_catalog_version") == "4"
	}, restoreTimeout, pollInterval)
	require.Less(t, time.Since(changedAt), applyBound)
}
