package vrburn

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"math"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 6 * vg.Centimeter
	lineWidth  = vg.Length(1.5)
	// maxBurn cuts the curve: beyond it only "far too fast" matters.
	maxBurn = 20
)

// _colors tell the ranks apart for readers with the common color deficiencies too.
var _colors = map[string]color.Color{
	"urgent":   color.RGBA{R: 0xc4, G: 0x3d, B: 0x4f, A: 0xff},
	"normal":   color.RGBA{R: 0x00, G: 0x6d, B: 0x8f, A: 0xff},
	"deferred": color.RGBA{R: 0xb8, G: 0x86, B: 0x0b, A: 0xff},
}

var _gray = color.RGBA{R: 0x66, G: 0x66, B: 0x66, A: 0xff}

func (r *Report) newPlot(label string) *plot.Plot {
	p := plot.New()
	for _, text := range []*font.Font{
		&p.X.Tick.Label.Font, &p.Y.Tick.Label.Font, &p.Y.Label.TextStyle.Font, &p.Legend.TextStyle.Font,
	} {
		text.Variant = "Sans"
		text.Size = vg.Points(9)
	}
	p.Y.Label.Text = label
	p.Y.Min = 0
	p.X.Min, p.X.Max = float64(r.From.Unix()), float64(r.Until.Unix())
	p.X.Tick.Marker = timeTicks{from: r.From, until: r.Until}
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

// timeTicks puts marks at round times of the day.
type timeTicks struct {
	from  time.Time
	until time.Time
}

// Ticks implements plot.Ticker.
func (t timeTicks) Ticks(float64, float64) []plot.Tick {
	const most = 10
	step, layout := 24*time.Hour, "02 Jan"
	for _, candidate := range []time.Duration{5 * time.Minute, 15 * time.Minute, time.Hour, 3 * time.Hour, 6 * time.Hour} {
		if t.until.Sub(t.from)/candidate <= most {
			step, layout = candidate, "15:04"
			break
		}
	}
	var ticks []plot.Tick
	for at := t.from.UTC().Truncate(step).Add(step); !at.After(t.until); at = at.Add(step) {
		ticks = append(ticks, plot.Tick{Value: float64(at.Unix()), Label: at.Format(layout)})
	}
	return ticks
}

// addCurves adds one curve for each rank. A bucket is drawn in its middle.
func (r *Report) addCurves(p *plot.Plot, value func(Rank, Point) float64) error {
	for _, rank := range r.Ranks {
		if len(rank.Points) == 0 {
			continue
		}
		points := make(plotter.XYs, len(rank.Points))
		for i, point := range rank.Points {
			points[i] = plotter.XY{X: float64(point.At.Add(r.Bucket / 2).Unix()), Y: value(rank, point)}
			p.Y.Max = math.Max(p.Y.Max, points[i].Y)
		}
		curve, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("curve of %s: %w", rank.Name, err)
		}
		curve.Color = _colors[rank.Name]
		curve.Width = lineWidth
		p.Add(curve)
		p.Legend.Add(rank.Name, curve)
	}
	return nil
}

// addLevel adds a dashed horizontal line.
func (r *Report) addLevel(p *plot.Plot, name string, level float64, shade color.Color) error {
	line, err := plotter.NewLine(plotter.XYs{{X: p.X.Min, Y: level}, {X: p.X.Max, Y: level}})
	if err != nil {
		return err
	}
	line.Color = shade
	line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(line)
	p.Legend.Add(name, line)
	p.Y.Max = math.Max(p.Y.Max, level*1.2)
	return nil
}

func (r *Report) burnPlot() (template.HTML, error) {
	p := r.newPlot("burn rate")
	err := r.addCurves(p, func(rank Rank, point Point) float64 {
		return math.Min(burn(point.Bad, point.Requests, rank.Objective), maxBurn)
	})
	if err != nil {
		return "", err
	}
	if err := r.addLevel(p, "allowed", 1, _gray); err != nil {
		return "", err
	}
	return svg(p), nil
}

func (r *Report) countPlot() (template.HTML, error) {
	p := r.newPlot("requests per second")
	err := r.addCurves(p, func(_ Rank, point Point) float64 { return point.Requests / r.Bucket.Seconds() })
	if err != nil {
		return "", err
	}
	return svg(p), nil
}

func (r *Report) timePlot() (template.HTML, error) {
	p := r.newPlot("first token, p95 in s")
	urgent := r.rank("urgent")
	if urgent == nil {
		return svg(p), nil
	}
	only := *r
	only.Ranks = []Rank{*urgent}
	if err := only.addCurves(p, func(_ Rank, point Point) float64 { return point.P95 }); err != nil {
		return "", err
	}
	if err := r.addLevel(p, "target", urgent.Target, _gray); err != nil {
		return "", err
	}
	return svg(p), nil
}

// svg renders a plot as an element that stands within the page.
func svg(p *plot.Plot) template.HTML {
	// The legend stands in the headroom.
	const headroom = 1.3
	p.Y.Max = math.Max(p.Y.Max*headroom, 0.1)
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	_, _ = canvas.WriteTo(&out)
	text := out.Bytes()
	// The XML declaration may only stand at the beginning of a document.
	if start := bytes.Index(text, []byte("<svg")); start >= 0 {
		text = text[start:]
	}
	// The plot holds numbers, times and the names of ranks, no text of callers.
	return template.HTML(text)
}
