package vrslope

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a measurement that loses requests, or that gives different results for
// the same seed.
func TestRecordRepeats(t *testing.T) {
	options := RecordOptions{
		Rates: []int{1, 10}, Periods: []time.Duration{2 * time.Second}, Duration: 20 * time.Second, Seed: 1, Out: io.Discard,
	}
	first, err := Record(options)
	require.NoError(t, err)
	second, err := Record(options)
	require.NoError(t, err)
	require.Equal(t, first, second)
	require.Positive(t, first[0].Writes)
	require.Greater(t, first[1].BlockBytes, first[0].BlockBytes)
}

// Guards against calls whose claim is never granted, and against more platform writes
// than the specification allows: 2,000 for 1,000 calls at a few calls a second, 20 at
// 1,000 calls a second.
func TestClaimsShareWrites(t *testing.T) {
	points, err := Claim(ClaimOptions{Rates: []int{1, 1000}, Calls: defaultCalls, Seed: 1, Out: io.Discard})
	require.NoError(t, err)
	require.LessOrEqual(t, points[0].PerThousand, 2000.0)
	require.LessOrEqual(t, points[1].PerThousand, 20.0)
}
