// Package vrstat provides the statistics that the benchmarks share: quantiles, and
// linear regression with extrapolation to sizes that were not measured.
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

// Line is a straight line fitted to measured points.
type Line struct {
	Intercept float64
	Slope     float64
}

// At returns the y value of the line at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Axis is a named coordinate of a point.
type Axis[P any] struct {
	Name  string
	Value func(P) float64
}

// Fit returns the least-squares regression line of y over x.
func Fit[P any](points []P, x, y func(P) float64) Line {
	xs := make([]float64, len(points))
	ys := make([]float64, len(points))
	for i, point := range points {
		xs[i], ys[i] = x(point), y(point)
	}
	intercept, slope := stat.LinearRegression(xs, ys, nil, false)
	return Line{Intercept: intercept, Slope: slope}
}

// PrintLines fits a line over xAxis to each column and prints it together with its value
// at extrapolateTo. It prints nothing for fewer than two points, which determine no line.
func PrintLines[P any](out io.Writer, points []P, xAxis Axis[P], extrapolateTo float64, columns []Axis[P]) {
	const minPoints = 2
	if len(points) < minPoints {
		return
	}
	for _, column := range columns {
		line := Fit(points, xAxis.Value, column.Value)
		fmt.Fprintf(out, "  %-26s = %10.3f + %9.4f × %s; at %.0f: %.3f\n",
			column.Name, line.Intercept, line.Slope, xAxis.Name, extrapolateTo, line.At(extrapolateTo))
	}
}

// Quantile returns the quantile of the sorted values at a fraction between 0 and 1,
// rounding the index to the nearest value. It returns the zero value if there are none.
func Quantile[T cmp.Ordered](sorted []T, fraction float64) T {
	if len(sorted) == 0 {
		var zero T
		return zero
	}
	return sorted[int(math.Round(fraction*float64(len(sorted)-1)))]
}

// Quantiles holds the quantiles of a set of durations.
type Quantiles struct {
	P50 time.Duration
	P95 time.Duration
	P99 time.Duration
	Max time.Duration
}

// QuantilesOf sorts the samples in place and returns their quantiles.
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

// String formats P50, P95 and P99, rounded to microseconds and separated by slashes.
func (q Quantiles) String() string {
	return fmt.Sprintf("%s/%s/%s", q.P50.Round(time.Microsecond), q.P95.Round(time.Microsecond), q.P99.Round(time.Microsecond))
}
