package vrmeasure

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenabench/internal/vrdeploy"
)

// A change of the policy that misses the stated targets of a burst must not pass
// unnoticed. The run is in virtual time.
func TestColdStartKeepsItsTargets(t *testing.T) {
	report, err := Measure("cold-start", Options{Deployment: vrdeploy.Shuyuan, Seed: 1}, Current)
	require.NoError(t, err)
	for _, figure := range report.Runs[0].Figures {
		if figure.Target != nil {
			require.True(t, figure.Target.Met(figure.Value, 0), "%s: %g, target %s", figure.Name, figure.Value, figure.Target)
		}
	}
	require.NoError(t, report.Plot(filepath.Join(t.TempDir(), "cold-start.svg")))
}

// A seed that gives another input each time makes two policies incomparable.
func TestSeedRepeatsMeasurement(t *testing.T) {
	run := func() *Report {
		report, err := Measure("cold-start", Options{Deployment: vrdeploy.Hayabusa, Seed: 3}, Baseline)
		require.NoError(t, err)
		return report
	}
	require.Equal(t, run(), run())
}

// A bound that is read the wrong way round would call a miss a success.
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
		{name: "relative", target: relative(0.6), value: 5, baseline: 10, want: true},
		{name: "relative miss", target: relative(0.6), value: 7, baseline: 10},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.want, test.target.Met(test.value, test.baseline))
		})
	}
}

// An unknown name has to be reported with what is allowed.
func TestUnknownNames(t *testing.T) {
	_, err := Measure("nothing", Options{}, Current)
	var unknown *UnknownError
	require.ErrorAs(t, err, &unknown)
	_, err = policiesOf("other")
	var policy *PolicyError
	require.ErrorAs(t, err, &policy)
}
