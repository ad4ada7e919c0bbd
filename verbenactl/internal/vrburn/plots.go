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
	// maxPlottedBurnRate caps the plotted burn rate; how far a rate lies above it doesn't
	// matter to the reader.
	maxPlottedBurnRate = 20
)

// _rankColors can be told apart with the common color vision deficiencies.
var _rankColors = map[string]color.Color{
	"urgent":   color.RGBA{R: 0xc4, G: 0x3d, B: 0x4f, A: 0xff},
	"normal":   color.RGBA{R: 0x00, G: 0x6d, B: 0x8f, A: 0xff},
	"deferred": color.RGBA{R: 0xb8, G: 0x86, B: 0x0b, A: 0xff},
}

var _gray = color.RGBA{R: 0x66, G: 0x66, B: 0x66, A: 0xff}

// newPlot returns an empty plot over the time range of the report.
func (r *Report) newPlot(yLabel string) *plot.Plot {
	p := plot.New()
	for _, labelFont := range []*font.Font{
		&p.X.Tick.Label.Font, &p.Y.Tick.Label.Font, &p.Y.Label.TextStyle.Font, &p.Legend.TextStyle.Font,
	} {
		labelFont.Variant = "Sans"
		labelFont.Size = vg.Points(9)
	}
	p.Y.Label.Text = yLabel
	p.Y.Min = 0
	p.X.Min, p.X.Max = float64(r.From.Unix()), float64(r.Until.Unix())
	p.X.Tick.Marker = timeTicks{from: r.From, until: r.Until}
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

// timeTicks places the ticks of the time axis at round times of the day.
type timeTicks struct {
	from  time.Time
	until time.Time
}

// Ticks implements plot.Ticker.
func (t timeTicks) Ticks(float64, float64) []plot.Tick {
	const maxTicks = 10
	step, layout := 24*time.Hour, "02 Jan"
	for _, candidate := range []time.Duration{5 * time.Minute, 15 * time.Minute, time.Hour, 3 * time.Hour, 6 * time.Hour} {
		if t.until.Sub(t.from)/candidate <= maxTicks {
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

// addRankLines adds one line for each rank, with each bucket drawn at its midpoint.
func (r *Report) addRankLines(p *plot.Plot, value func(Rank, Point) float64) error {
	for _, rank := range r.Ranks {
		if len(rank.Points) == 0 {
			continue
		}
		points := make(plotter.XYs, len(rank.Points))
		for i, point := range rank.Points {
			points[i] = plotter.XY{X: float64(point.At.Add(r.Bucket / 2).Unix()), Y: value(rank, point)}
			p.Y.Max = math.Max(p.Y.Max, points[i].Y)
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("plot line of rank %s: %w", rank.Name, err)
		}
		line.Color = _rankColors[rank.Name]
		line.Width = lineWidth
		p.Add(line)
		p.Legend.Add(rank.Name, line)
	}
	return nil
}

// addHorizontalLine adds a dashed line at y = level.
func (r *Report) addHorizontalLine(p *plot.Plot, name string, level float64, lineColor color.Color) error {
	line, err := plotter.NewLine(plotter.XYs{{X: p.X.Min, Y: level}, {X: p.X.Max, Y: level}})
	if err != nil {
		return err
	}
	line.Color = lineColor
	line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(line)
	p.Legend.Add(name, line)
	p.Y.Max = math.Max(p.Y.Max, level*1.2)
	return nil
}

func (r *Report) burnRatePlot() (template.HTML, error) {
	p := r.newPlot("burn rate")
	err := r.addRankLines(p, func(rank Rank, point Point) float64 {
		return math.Min(burnRate(point.Bad, point.Requests, rank.Objective), maxPlottedBurnRate)
	})
	if err != nil {
		return "", err
	}
	if err := r.addHorizontalLine(p, "allowed", 1, _gray); err != nil {
		return "", err
	}
	return renderSVG(p), nil
}

func (r *Report) requestRatePlot() (template.HTML, error) {
	p := r.newPlot("requests per second")
	err := r.addRankLines(p, func(_ Rank, point Point) float64 { return point.Requests / r.Bucket.Seconds() })
	if err != nil {
		return "", err
	}
	return renderSVG(p), nil
}

func (r *Report) firstTokenPlot() (template.HTML, error) {
	p := r.newPlot("first token, p95 in s")
	urgent := r.findRank("urgent")
	if urgent == nil {
		return renderSVG(p), nil
	}
	urgentReport := *r
	urgentReport.Ranks = []Rank{*urgent}
	if err := urgentReport.addRankLines(p, func(_ Rank, point Point) float64 { return point.P95 }); err != nil {
		return "", err
	}
	if err := r.addHorizontalLine(p, "target", urgent.Target, _gray); err != nil {
		return "", err
	}
	return renderSVG(p), nil
}

// renderSVG returns the plot as an <svg> element that can be embedded in an HTML page.
func renderSVG(p *plot.Plot) template.HTML {
	// The legend is drawn in the space above the highest value.
	const headroom = 1.3
	p.Y.Max = math.Max(p.Y.Max*headroom, 0.1)
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	_, _ = canvas.WriteTo(&out)
	text := out.Bytes()
	// The XML declaration is removed, since it is valid only at the beginning of a document.
	if start := bytes.Index(text, []byte("<svg")); start >= 0 {
		text = text[start:]
	}
	// No escaping is needed: the plot holds only numbers, times and names of ranks, no text
	// from callers.
	return template.HTML(text)
}
