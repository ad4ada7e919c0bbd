package vrburn

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"math"
	"strings"
	"time"

	"verbenaroute.example/verbenacore/vrquery"
)

//go:embed page.html
var _pageText string

var _page = template.Must(template.New("burn").Funcs(template.FuncMap{
	"percent": func(part float64) string { return fmt.Sprintf("%.2f%%", floorTo(100*part)) },
	"share":   func(part float64) string { return fmt.Sprintf("%.0f%%", 100*part) },
	"count":   func(count float64) string { return fmt.Sprintf("%.0f", count) },
	"rate":    func(rate float64) string { return fmt.Sprintf("%.1f×", rate) },
	"hours":   func(hours float64) string { return fmt.Sprintf("%.1f", hours) },
	"seconds": func(seconds float64) string { return human(vrquery.KindDuration, seconds) },
	"moment":  func(at time.Time) string { return at.UTC().Format("02 Jan 15:04") },
	"clock":   func(at time.Time) string { return at.UTC().Format("15:04") },
}).Parse(_pageText))

// floorTo rounds down to two digits: 99.996% must not read as 100%.
func floorTo(percent float64) float64 { return math.Floor(100*percent) / 100 }

func human(kind vrquery.ColumnKind, number float64) string {
	return vrquery.FormatCell(kind, vrquery.Cell{Number: number, IsNumber: true, IsSet: number != 0})
}

type pageData struct {
	*Report
	Headline  string
	Verdict   string
	Answered  float64
	BurnPlot  template.HTML
	CountPlot template.HTML
	TimePlot  template.HTML
}

// Verdicts of the page; they also name the style of its banner.
const (
	verdictKept    = "kept"
	verdictBurning = "burning"
	verdictBroken  = "broken"
)

// HTML returns the page. It needs no other file and runs no script.
func (r *Report) HTML() ([]byte, error) {
	data := pageData{Report: r}
	data.Verdict, data.Headline = r.headline()
	for _, rank := range r.Ranks {
		data.Answered += rank.Requests - rank.Refused
	}
	var err error
	if data.BurnPlot, err = r.burnPlot(); err != nil {
		return nil, err
	}
	if data.CountPlot, err = r.countPlot(); err != nil {
		return nil, err
	}
	if data.TimePlot, err = r.timePlot(); err != nil {
		return nil, err
	}
	var page bytes.Buffer
	if err := _page.Execute(&page, data); err != nil {
		return nil, err
	}
	return page.Bytes(), nil
}

// headline is the sentence that a reader sees first.
func (r *Report) headline() (verdict, text string) {
	var broken, burning []string
	for _, rank := range r.Ranks {
		if rank.Burn() > 1 {
			broken = append(broken, fmt.Sprintf("%s: %.2f%% of %.0f requests in time, the objective is %.0f%%",
				rank.Name, floorTo(100*rank.Good()), rank.Requests, 100*rank.Objective))
		}
	}
	for _, pair := range r.Pairs {
		if pair.Burning && (len(burning) == 0 || !strings.HasPrefix(burning[len(burning)-1], pair.Rank+" ")) {
			burning = append(burning, fmt.Sprintf("%s burns %.1f times too fast (%s)", pair.Rank, pair.Long, pair.Windows))
		}
	}
	switch {
	case len(broken) > 0:
		return verdictBroken, "Missed: " + strings.Join(broken, "; ")
	case len(burning) > 0:
		return verdictBurning, "Kept so far, but " + strings.Join(burning, "; ")
	}
	text = "Every rank kept its objective"
	if len(r.Episodes) > 0 {
		worst := r.Episodes[0]
		text += fmt.Sprintf("; the worst time was %s from %s to %s with %.0f bad requests",
			worst.Rank, worst.From.UTC().Format("02 Jan 15:04"), worst.Until.UTC().Format("15:04"), worst.Bad)
	}
	return verdictKept, text
}

// Served is the part of all answered requests that a rank received.
func (d pageData) Served(rank Rank) float64 {
	if d.Answered == 0 {
		return 0
	}
	return (rank.Requests - rank.Refused) / d.Answered
}

// IdleHours sums the idle accelerator hours.
func (r *Report) IdleHours() float64 {
	sum := 0.0
	for _, pool := range r.Pools {
		sum += pool.Idle
	}
	return sum
}
