package vrdeploy

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrsettings"
)

// TestDeploymentsAreValid guards against a deployment that a daemon rejects, and against one
// whose size, load rate or number of models per server differs from the design.
func TestDeploymentsAreValid(t *testing.T) {
	cases := []struct {
		name                       string
		size                       Size
		models, adapters, machines int
		loadsPerSecond             float64
	}{
		{Shuyuan, Size{}, 65, 75, 12 + 3 + 9, 4.5},
		{Hayabusa, Size{}, 50, 60, 9 + 3 + 9, 3.5},
		{Hayabusa, Size{Models: 530, Adapters: 8200, Servers: 30}, 530, 8200, 30 + 3 + 9, 3.5},
	}
	for _, c := range cases {
		deployment, err := ByName(c.name, c.size)
		require.NoError(t, err)
		require.NoError(t, deployment.Fleet.Validate())
		require.Len(t, deployment.Fleet.Models, c.models)
		require.Len(t, deployment.Fleet.Adapters, c.adapters)
		require.Len(t, deployment.VMs(nil), c.machines)
		var total time.Duration
		var memory vrid.Bytes
		for _, model := range deployment.Fleet.Models {
			total += model.LoadTime.Std()
			memory += model.Memory
		}
		rate := float64(deployment.Fleet.WeightStore.Slots*c.models) / total.Seconds()
		require.InDelta(t, c.loadsPerSecond, rate, 0.3)
		fit := float64(_serverMemory) / (float64(memory) / float64(c.models))
		require.InDelta(t, 3.5, fit, 0.5)
	}
	_, err := ByName("other", Size{})
	var unknown *UnknownError
	require.ErrorAs(t, err, &unknown)
}

// TestSettings guards against settings files with certificates that peers reject, and
// against a missing seed for one of the other daemons.
func TestSettings(t *testing.T) {
	deployment, err := ByName(Shuyuan, Size{})
	require.NoError(t, err)
	ports, err := ReservePorts(deployment.Daemons)
	require.NoError(t, err)
	paths, err := deployment.WriteSettings(SettingsOptions{Dir: t.TempDir(), Platforms: map[vrid.ZoneID]string{"tw-central-a": "http://127.0.0.1:1"}, Ports: ports})
	require.NoError(t, err)
	require.Len(t, paths, 9)
	data, err := os.ReadFile(paths["daemon-4"])
	require.NoError(t, err)
	var settings vrsettings.Settings
	require.NoError(t, json.Unmarshal(data, &settings))
	require.Equal(t, vrid.ZoneID("tw-central-a"), settings.Zone)
	require.Equal(t, "http://127.0.0.1:1", settings.Platform)
	require.Len(t, settings.Seeds, 8)
	pair, err := tls.LoadX509KeyPair(settings.PeerTLS.Certificate, settings.PeerTLS.Key)
	require.NoError(t, err)
	leaf, err := x509.ParseCertificate(pair.Certificate[0])
	require.NoError(t, err)
	authority, err := os.ReadFile(settings.PeerTLS.Authority)
	require.NoError(t, err)
	roots := x509.NewCertPool()
	require.True(t, roots.AppendCertsFromPEM(authority))
	for _, name := range []string{"daemon-4", "127.0.0.1"} {
		_, err = leaf.Verify(x509.VerifyOptions{Roots: roots, DNSName: name, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}})
		require.NoError(t, err)
	}
}
