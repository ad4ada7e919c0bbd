package vrsettings_test

import (
	"strings"
	"testing"
	"time"

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

func noEnvironment(string) string { return "" }

func TestParseGateway(t *testing.T) {
	settings, err := vrsettings.ParseGateway([]byte(_validGateway), noEnvironment)
	require.NoError(t, err)
	require.EqualValues(t, "r", settings.Regions["z"])
	require.EqualValues(t, 58, settings.Bounds.RetrySlack)
}

// Guards against a limit so small that every response of a server would count as broken.
func TestParseGatewayChecksLimits(t *testing.T) {
	settings, err := vrsettings.ParseGateway([]byte(_validGateway), noEnvironment)
	require.NoError(t, err)
	require.Equal(t, 64*vrid.KiB, settings.Limits.ResponseHead)
	_, err = vrsettings.ParseGateway([]byte(strings.Replace(_validGateway, `"bounds"`, `"limits": {"responseHead": 100}, "bounds"`, 1)), noEnvironment)
	require.ErrorContains(t, err, "limits.responseHead")
}

// Guards against reporting only the first invalid field, which would make the operator
// start the gateway once for each of them.
func TestParseGatewayReportsEveryInvalidField(t *testing.T) {
	_, err := vrsettings.ParseGateway([]byte(`{"zone": "z", "regions": {"z": 5}, "callers": "here", "odd": 1, "bounds": {"retryRatio": -1}}`), noEnvironment)
	require.Error(t, err)
	for _, name := range []string{"daemon", "regions.z", "callers", "odd", "store", "bounds.retryRatio"} {
		require.ErrorContains(t, err, name)
	}
}

// Guards against a gateway that can't start where the platform does not state a setting that came later, since the
// template of the settings file then has no value to fill in (review case 3 in the tree).
func TestSettingsThatADeploymentMayNotState(t *testing.T) {
	environment := map[string]string{"VERBENAROUTE_CPU": "0.4", "VERBENAROUTE_CATALOG_APPLY": "4000ms", "VERBENAROUTE_QUOTA_SLACK": "3"}
	get := func(name string) string { return environment[name] }
	settings, err := vrsettings.ParseGateway([]byte(_validGateway), get)
	require.NoError(t, err)
	require.InDelta(t, 0.4, settings.CPU, 0)
	require.Equal(t, vrid.Duration(4*time.Second), settings.Bounds.CatalogApply)
	require.InDelta(t, 3, settings.Bounds.QuotaSlack, 0)
	require.Equal(t, vrid.Duration(8*time.Second), settings.Bounds.QuotaWindow, "the default")

	settings, err = vrsettings.ParseGateway([]byte(strings.Replace(_validGateway, `"memory"`, `"cpu": 2, "memory"`, 1)), get)
	require.NoError(t, err)
	require.InDelta(t, 2, settings.CPU, 0, "the file goes first")

	environment["VERBENAROUTE_CPU"], environment["VERBENAROUTE_REVOCATION"] = "much", "5"
	_, err = vrsettings.ParseGateway([]byte(_validGateway), get)
	require.ErrorContains(t, err, "VERBENAROUTE_CPU")
	require.ErrorContains(t, err, "VERBENAROUTE_REVOCATION")
}
