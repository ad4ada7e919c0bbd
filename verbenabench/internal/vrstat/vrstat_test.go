package vrstat_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenabench/internal/vrstat"
)

type point struct{ x, y float64 }

// Guards against a base and slope that are mixed up, and against a line through a
// single point.
func TestPrintLines(t *testing.T) {
	by := vrstat.Axis[point]{Name: "rate", Value: func(p point) float64 { return p.x }}
	column := []vrstat.Axis[point]{{Name: "cost", Value: func(p point) float64 { return p.y }}}
	var out strings.Builder
	vrstat.PrintLines(&out, []point{{1, 5}}, by, 10, column)
	require.Empty(t, out.String())
	vrstat.PrintLines(&out, []point{{1, 5}, {2, 7}, {4, 11}}, by, 10, column)
	require.Equal(t, "  cost                       =      3.000 +    2.0000 × rate; at 10: 23.000\n", out.String())
}

// Guards against a tail that is taken from the middle, and a panic without samples.
func TestQuantiles(t *testing.T) {
	require.Zero(t, vrstat.QuantilesOf(nil))
	samples := make([]time.Duration, 101)
	for i := range samples {
		samples[i] = time.Duration(100-i) * time.Millisecond
	}
	require.Equal(t, "50ms/95ms/99ms", vrstat.QuantilesOf(samples).String())
}
