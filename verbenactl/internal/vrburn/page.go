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
	"percent": func(fraction float64) string { return fmt.Sprintf("%.2f%%", floorPercent(100*fraction)) },
	"share":   func(fraction float64) string { return fmt.Sprintf("%.0f%%", 100*fraction) },
	"count":   func(count float64) string { return fmt.Sprintf("%.0f", count) },
	"rate":    func(rate float64) string { return fmt.Sprintf("%.1f×", rate) },
	"hours":   func(hours float64) string { return fmt.Sprintf("%.1f", hours) },
	"seconds": func(seconds float64) string { return formatNumber(vrquery.KindDuration, seconds) },
	"moment":  func(at time.Time) string { return at.UTC().Format("02 Jan 15:04") },
	"clock":   func(at time.Time) string { return at.UTC().Format("15:04") },
}).Parse(_pageText))

// floorPercent rounds down to two decimal places, so that 99.996% is not shown as 100%.
func floorPercent(percent float64) float64 { return math.Floor(100*percent) / 100 }

// formatNumber formats a number like a cell of a query result; 0 counts as a missing value.
func formatNumber(kind vrquery.ColumnKind, number float64) string {
	return vrquery.FormatCell(kind, vrquery.Cell{Number: number, IsNumber: true, IsSet: number != 0})
}

// pageData is the input of the page template.
type pageData struct {
	*Report
	Headline string
	Verdict  string
	// Answered is the number of requests of all ranks that were not refused.
	Answered        float64
	BurnRatePlot    template.HTML
	RequestRatePlot template.HTML
	FirstTokenPlot  template.HTML
}

// Verdicts of the report, from best to worst. The page uses them as the CSS class of its banner.
const (
	verdictKept    = "kept"
	verdictBurning = "burning"
	verdictBroken  = "broken"
)

// HTML returns the report as a self-contained HTML page without scripts.
func (r *Report) HTML() ([]byte, error) {
	data := pageData{Report: r}
	data.Verdict, data.Headline = r.headline()
	for _, rank := range r.Ranks {
		data.Answered += rank.Requests - rank.Refused
	}
	var err error
	if data.BurnRatePlot, err = r.burnRatePlot(); err != nil {
		return nil, err
	}
	if data.RequestRatePlot, err = r.requestRatePlot(); err != nil {
		return nil, err
	}
	if data.FirstTokenPlot, err = r.firstTokenPlot(); err != nil {
		return nil, err
	}
	var page bytes.Buffer
	if err := _page.Execute(&page, data); err != nil {
		return nil, err
	}
	return page.Bytes(), nil
}

// headline returns the verdict and the sentence at the top of the page. It reports only the first
// burning pair of windows of each rank.
func (r *Report) headline() (verdict, text string) {
	var broken, burning []string
	for _, rank := range r.Ranks {
		if rank.BudgetUsed() > 1 {
			broken = append(broken, fmt.Sprintf("%s: %.2f%% of %.0f requests in time, the objective is %.0f%%",
				rank.Name, floorPercent(100*rank.GoodFraction()), rank.Requests, 100*rank.Objective))
		}
	}
	for _, pair := range r.BurnRates {
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
		worst := r.Episodes[0] // the episode with the most bad requests
		text += fmt.Sprintf("; the worst time was %s from %s to %s with %.0f bad requests",
			worst.Rank, worst.From.UTC().Format("02 Jan 15:04"), worst.Until.UTC().Format("15:04"), worst.Bad)
	}
	return verdictKept, text
}

// AnsweredShare returns the fraction of all answered requests that belong to rank.
func (d pageData) AnsweredShare(rank Rank) float64 {
	if d.Answered == 0 {
		return 0
	}
	return (rank.Requests - rank.Refused) / d.Answered
}

// IdleHours returns the idle accelerator hours of all pools.
func (r *Report) IdleHours() float64 {
	total := 0.0
	for _, pool := range r.Pools {
		total += pool.Idle
	}
	return total
}
