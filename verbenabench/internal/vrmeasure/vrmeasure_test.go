package vrmeasure

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenabench/internal/vrdeploy"
)

// Guards against policy changes that miss the specified targets for a burst of cold
// starts. The run uses virtual time.
func TestColdStartMeetsTargets(t *testing.T) {
	report, err := Measure("cold-start", Options{Deployment: vrdeploy.Shuyuan, Seed: 1}, Current)
	require.NoError(t, err)
	for _, figure := range report.Runs[0].Figures {
		if figure.Target != nil {
			require.True(t, figure.Target.Met(figure.Value, 0), "%s: %g, target %s", figure.Name, figure.Value, figure.Target)
		}
	}
	require.NoError(t, report.Plot(filepath.Join(t.TempDir(), "cold-start.svg")))
}

// Guards against input that differs between runs with the same seed, which would make
// policies incomparable.
func TestMeasurementIsDeterministic(t *testing.T) {
	run := func() *Report {
		report, err := Measure("cold-start", Options{Deployment: vrdeploy.Hayabusa, Seed: 3}, Baseline)
		require.NoError(t, err)
		return report
	}
	require.Equal(t, run(), run())
}

// Guards against swapped minimum and maximum bounds, which would report a miss as met.
func TestTargetMet(t *testing.T) {
	tests := []struct {
		name            string
		target          *Target
		value, baseline float64
		want            bool
	}{
		{name: "at most", target: atMost(2), value: 2, want: true},
		{name: "above", target: atMost(2), value: 2.1},
		{name: "at least", target: atLeast(0.5), value: 0.5, want: true},
		{name: "below", target: atLeast(0.5), value: 0.4},
		{name: "relative", target: atMostRelative(0.6), value: 5, baseline: 10, want: true},
		{name: "relative miss", target: atMostRelative(0.6), value: 7, baseline: 10},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.want, test.target.Met(test.value, test.baseline))
		})
	}
}

// Unknown measurement and policy names are reported with the typed errors, whose texts
// list the allowed names.
func TestUnknownNames(t *testing.T) {
	_, err := Measure("nothing", Options{}, Current)
	var unknown *UnknownMeasurementError
	require.ErrorAs(t, err, &unknown)
	_, err = parsePolicies("other")
	var policy *UnknownPolicyError
	require.ErrorAs(t, err, &policy)
}
