package vrcodec_test

import (
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrcatalog"
	"verbenaroute.example/verbenacore/vrcodec"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

func newCatalog(t *testing.T, tenants int) *vrcatalog.Catalog {
	catalog := &vrcatalog.Catalog{
		Version: 7, Limits: vrcatalog.Limits{Header: 1, Body: 2, HeaderTimeout: time.Second, IdleTimeout: time.Minute},
		Routes: []vrcatalog.Route{{
			ID: "r", Host: "h", Prefix: "/r/", Kind: vrcatalog.RouteStream, Resumable: true, Services: []vrcatalog.Split{{Service: "lm", Weight: 0.5}},
			Timeout: time.Second, Target: 2 * time.Second, PauseTarget: time.Millisecond, Priority: 2, MaxAttempts: 3, Public: true,
		}},
		Services: []vrcatalog.Service{{ID: "lm", MaxConnections: 4, Engine: &vrcatalog.Engine{
			Slots: 1, Memory: 2, AdapterSlots: 3, CacheTokens: 4, LoadRate: 5.5, MaxReservation: time.Second,
			Models: []vrcatalog.Model{{ID: "m", Weights: 1, AdapterSize: 2, StoreLoad: 3, DiskLoad: 4, MemoryLoad: 5}},
		}}},
	}
	for i := range tenants {
		catalog.Tenants = append(catalog.Tenants, vrcatalog.Tenant{
			ID: vrid.TenantID(fmt.Sprint("t", i)), Keys: []vrid.KeyDigest{sha256.Sum256(fmt.Append(nil, i))}, Priority: 1,
			Quota: vrcatalog.Quota{Unit: vrcatalog.UnitTokens, Rate: 1.5, Burst: 2, DefaultCost: 200},
		})
	}
	require.NoError(t, catalog.Build())
	return catalog
}

// Guards against a field of the catalog that is lost on the way to another daemon, which would then decide by
// another catalog of the same version.
func TestCatalogRoundTrip(t *testing.T) {
	catalog := newCatalog(t, 3)
	data, err := vrcodec.EncodeCatalog(catalog)
	require.NoError(t, err)
	decoded, err := vrcodec.DecodeCatalog(data)
	require.NoError(t, err)
	require.Equal(t, catalog, decoded)
	require.EqualValues(t, "t2", decoded.TenantByKey(sha256.Sum256([]byte("2"))).ID)
}

// Guards against a catalog of the largest deployment that fits into no message between daemons.
func TestLargeCatalogFitsIntoMessage(t *testing.T) {
	data, err := vrcodec.EncodeCatalog(newCatalog(t, 10_000))
	require.NoError(t, err)
	require.Less(t, len(data), vrwire.MaxFrameBytes/2)
}

// Guards against a daemon that adopts a catalog which it can't read in full.
func TestMalformedCatalogsAreRejected(t *testing.T) {
	for _, document := range []string{`{"format":2,"catalog":{}}`, `{"format":1}`, `{}`, `[`, `{"format":1,"catalog":{"Routes":[{}]}}`} {
		_, err := vrcodec.DecodeCatalog(vrcodec.Compress(nil, []byte(document)))
		require.Error(t, err, document)
	}
	_, err := vrcodec.DecodeCatalog([]byte("no zstd"))
	require.Error(t, err)
}
