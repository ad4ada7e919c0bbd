// Package vrstat holds the few statistics that the measurements share: quantiles, and
// lines through points with their value at a size that was not measured.
package vrstat

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Line is a straight line through measured points.
type Line struct {
	Base  float64
	Slope float64
}

// At returns the line's value at x.
func (l Line) At(x float64) float64 { return l.Base + l.Slope*x }

// Axis is a value of a point.
type Axis[P any] struct {
	Name  string
	Value func(P) float64
}

// Fit returns the line through the points by least squares.
func Fit[P any](points []P, x, y func(P) float64) Line {
	xs := make([]float64, len(points))
	ys := make([]float64, len(points))
	for i, point := range points {
		xs[i], ys[i] = x(point), y(point)
	}
	base, slope := stat.LinearRegression(xs, ys, nil, false)
	return Line{Base: base, Slope: slope}
}

// PrintLines prints the line of each column and its value at a size. Fewer than two
// points have no line.
func PrintLines[P any](out io.Writer, points []P, by Axis[P], at float64, columns []Axis[P]) {
	const least = 2
	if len(points) < least {
		return
	}
	for _, column := range columns {
		line := Fit(points, by.Value, column.Value)
		fmt.Fprintf(out, "  %-26s = %10.3f + %9.4f × %s; at %.0f: %.3f\n",
			column.Name, line.Base, line.Slope, by.Name, at, line.At(at))
	}
}

// Quantile returns the value of sorted ones at a part between 0 and 1, and the zero
// value when there are none.
func Quantile[T cmp.Ordered](sorted []T, part float64) T {
	if len(sorted) == 0 {
		var none T
		return none
	}
	return sorted[int(math.Round(part*float64(len(sorted)-1)))]
}

// Quantiles of times.
type Quantiles struct {
	P50 time.Duration
	P95 time.Duration
	P99 time.Duration
	Max time.Duration
}

// QuantilesOf sorts the samples and returns their quantiles.
func QuantilesOf(samples []time.Duration) Quantiles {
	slices.Sort(samples)
	const p50, p95, p99 = 0.50, 0.95, 0.99
	return Quantiles{
		P50: Quantile(samples, p50),
		P95: Quantile(samples, p95),
		P99: Quantile(samples, p99),
		Max: Quantile(samples, 1),
	}
}

// String returns the median and the two tails.
func (q Quantiles) String() string {
	return fmt.Sprintf("%s/%s/%s", q.P50.Round(time.Microsecond), q.P95.Round(time.Microsecond), q.P99.Round(time.Microsecond))
}
