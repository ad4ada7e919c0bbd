package vrsettings_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrsettings"
)

const _validGateway = `{
  // as the platform fills them in
  "daemon": "edge-1", "zone": "z", "regions": {"z": "r"},
  "callers": "10.0.0.1:1", "readiness": "10.0.0.1:2", "peers": "10.0.0.1:3", "metrics": "10.0.0.1:4", "store": "10.0.0.2:1",
  "firstStart": true, "memory": 284000000,
  "bounds": {"lease": "3000ms", "contact": "3000ms", "drain": "2500ms", "grace": "8s", "retryRatio": 0.2, "retrySlack": 58,
    "retryWindow": "10s", "ceilingFactor": 1.1, "ceilingWindow": "5s",},
}`

func TestParseGateway(t *testing.T) {
	settings, err := vrsettings.ParseGateway([]byte(_validGateway))
	require.NoError(t, err)
	require.EqualValues(t, "r", settings.Regions["z"])
	require.EqualValues(t, 58, settings.Bounds.RetrySlack)
}

// Guards against a limit so small that every response of a server would count as broken.
func TestParseGatewayChecksLimits(t *testing.T) {
	settings, err := vrsettings.ParseGateway([]byte(_validGateway))
	require.NoError(t, err)
	require.Equal(t, 64*vrid.KiB, settings.Limits.ResponseHead)
	_, err = vrsettings.ParseGateway([]byte(strings.Replace(_validGateway, `"bounds"`, `"limits": {"responseHead": 100}, "bounds"`, 1)))
	require.ErrorContains(t, err, "limits.responseHead")
}

// Guards against reporting only the first invalid field, which would make the operator
// start the gateway once for each of them.
func TestParseGatewayReportsEveryInvalidField(t *testing.T) {
	_, err := vrsettings.ParseGateway([]byte(`{"zone": "z", "regions": {"z": 5}, "callers": "here", "odd": 1, "bounds": {"retryRatio": -1}}`))
	require.Error(t, err)
	for _, name := range []string{"daemon", "regions.z", "callers", "odd", "store", "bounds.retryRatio"} {
		require.ErrorContains(t, err, name)
	}
}
