package vrmeasure

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	_plotWidth  = 18 * vg.Centimeter
	_plotHeight = 11 * vg.Centimeter
)

// Plot draws the curves of every run into a file. The file extension selects the format.
func (r *Report) Plot(path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %s, seed %d", r.Measurement, r.Deployment, r.Seed)
	p.X.Label.Text = r.XLabel
	p.Y.Label.Text = r.YLabel
	for i := range r.Runs {
		for j, curve := range r.Runs[i].Curves {
			if err := addCurve(p, &r.Runs[i], j, curve); err != nil {
				return err
			}
		}
	}
	return p.Save(_plotWidth, _plotHeight, path)
}

func addCurve(p *plot.Plot, run *Run, index int, curve Curve) error {
	points := make(plotter.XYs, len(curve.X))
	for i := range points {
		points[i].X = curve.X[i]
		points[i].Y = curve.Y[i]
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return fmt.Errorf("curve %s: %w", curve.Name, err)
	}
	line.Color = colorOf(run.Policy, index)
	if run.Policy == Baseline {
		line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	}
	p.Add(line)
	p.Legend.Add(string(run.Policy)+" "+curve.Name, line)
	return nil
}

func colorOf(policy Policy, index int) color.Color {
	current := []color.RGBA{{0x1b, 0x6c, 0xa8, 0xff}, {0x2a, 0x8f, 0x4b, 0xff}, {0x9a, 0x4f, 0xb5, 0xff}}
	baseline := []color.RGBA{{0xc0, 0x39, 0x2b, 0xff}, {0xd6, 0x8a, 0x10, 0xff}, {0x7f, 0x7f, 0x7f, 0xff}}
	if policy == Baseline {
		return baseline[index%len(baseline)]
	}
	return current[index%len(current)]
}
