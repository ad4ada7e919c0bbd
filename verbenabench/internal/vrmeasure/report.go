package vrmeasure

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
)

// Policy selects the admission and routing policy of a run.
type Policy string

// The two policies that a measurement compares.
const (
	Baseline Policy = "baseline"
	Current  Policy = "current"
)

// UnknownPolicyError reports an unknown policy name.
type UnknownPolicyError struct {
	Name string
}

func (e *UnknownPolicyError) Error() string {
	return fmt.Sprintf("policy %q is unknown, allowed are %s and %s", e.Name, Baseline, Current)
}

// Figure is one measured value of a run.
type Figure struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
	// Target is the specified bound, or nil if the figure has none.
	Target *Target `json:"target,omitempty"`
}

// Target is a bound from the specification.
type Target struct {
	Bound float64 `json:"bound"`
	// AtLeast makes the bound a minimum instead of a maximum.
	AtLeast bool `json:"atLeast"`
	// Relative applies the bound to the ratio of the value to the baseline's value.
	Relative bool `json:"relative"`
}

// Met reports whether a value satisfies the bound.
func (t *Target) Met(value, baseline float64) bool {
	if t.Relative {
		value /= baseline
	}
	if t.AtLeast {
		return value >= t.Bound
	}
	return value <= t.Bound
}

func (t *Target) String() string {
	comparison, unit := "<=", ""
	if t.AtLeast {
		comparison = ">="
	}
	if t.Relative {
		unit = " x baseline"
	}
	return fmt.Sprintf("%s %.4g%s", comparison, t.Bound, unit)
}

func atMost(bound float64) *Target { return &Target{Bound: bound} }
func atMostRelative(bound float64) *Target {
	return &Target{Bound: bound, Relative: true}
}
func atLeast(bound float64) *Target { return &Target{Bound: bound, AtLeast: true} }

// Curve is one line of the plot.
type Curve struct {
	Name string    `json:"name"`
	X    []float64 `json:"x"`
	Y    []float64 `json:"y"`
}

// Run is the result of a measurement under one policy.
type Run struct {
	Policy  Policy   `json:"policy"`
	Figures []Figure `json:"figures"`
	Curves  []Curve  `json:"curves,omitempty"`
}

func (r *Run) add(name, unit string, value float64, target *Target) {
	r.Figures = append(r.Figures, Figure{Name: name, Unit: unit, Value: value, Target: target})
}

func (r *Run) find(name string) (Figure, bool) {
	for _, figure := range r.Figures {
		if figure.Name == name {
			return figure, true
		}
	}
	return Figure{}, false
}

// Report is the result of a measurement under all its policies.
type Report struct {
	Measurement string `json:"measurement"`
	Deployment  string `json:"deployment"`
	Seed        uint64 `json:"seed"`
	XLabel      string `json:"xLabel,omitempty"`
	YLabel      string `json:"yLabel,omitempty"`
	Runs        []Run  `json:"runs"`
}

// Print writes a table with one line for each figure.
func (r *Report) Print(out io.Writer) {
	fmt.Fprintf(out, "%s, deployment %s, seed %d\n", r.Measurement, r.Deployment, r.Seed)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "figure\tunit\tbaseline\tcurrent\tcurrent/baseline\ttarget\tmet\t")
	for _, name := range r.names() {
		fmt.Fprintln(table, r.line(name))
	}
	_ = table.Flush()
}

func (r *Report) names() []string {
	var names []string
	seen := make(map[string]bool)
	for i := range r.Runs {
		for _, figure := range r.Runs[i].Figures {
			if !seen[figure.Name] {
				seen[figure.Name] = true
				names = append(names, figure.Name)
			}
		}
	}
	return names
}

func (r *Report) line(name string) string {
	values := map[Policy]string{Baseline: "-", Current: "-"}
	numericValues := make(map[Policy]float64)
	unit, target, met := "", "-", "-"
	for i := range r.Runs {
		figure, ok := r.Runs[i].find(name)
		if !ok {
			continue
		}
		unit = figure.Unit
		numericValues[r.Runs[i].Policy] = figure.Value
		values[r.Runs[i].Policy] = fmt.Sprintf("%.4g", figure.Value)
		if figure.Target != nil && r.Runs[i].Policy == Current {
			target = figure.Target.String()
			met = map[bool]string{true: "yes", false: "no"}[figure.Target.Met(figure.Value, numericValues[Baseline])]
		}
	}
	ratio := "-"
	baseline, hasBaseline := numericValues[Baseline]
	if current, ok := numericValues[Current]; ok && hasBaseline && baseline != 0 {
		ratio = fmt.Sprintf("%.3f", current/baseline)
	}
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%s\t", name, unit, values[Baseline], values[Current], ratio, target, met)
}

// Write stores the report as JSON.
func (r *Report) Write(path string) error {
	const mode = 0o600
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("encode the report: %w", err)
	}
	return os.WriteFile(path, append(data, '\n'), mode)
}
