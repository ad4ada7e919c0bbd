package vrslope

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a measurement that loses requests, or that differs from run to run.
func TestRecordRepeats(t *testing.T) {
	options := RecordOptions{
		Rates: []int{1, 10}, Periods: []time.Duration{2 * time.Second}, For: 20 * time.Second, Seed: 1, Out: io.Discard,
	}
	first, err := Record(options)
	require.NoError(t, err)
	second, err := Record(options)
	require.NoError(t, err)
	require.Equal(t, first, second)
	require.Positive(t, first[0].Writes)
	require.Greater(t, first[1].Stored, first[0].Stored)
}

// Guards against calls whose claim is never answered, and against one write for each
// claim where calls come together.
func TestClaimsShareWrites(t *testing.T) {
	points, err := Claim(ClaimOptions{Rates: []int{1, 1000}, Calls: 500, Seed: 1, Out: io.Discard})
	require.NoError(t, err)
	require.LessOrEqual(t, points[0].PerThousand, 2000.0)
	require.Less(t, points[1].PerThousand, points[0].PerThousand/2)
}
