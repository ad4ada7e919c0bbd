// Package vrmeasure compares the current scheduling policy with a simple baseline policy.
// Both run in one process on the same input, which is generated from a seed.
package vrmeasure

import (
	"fmt"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"verbenaroute.example/verbenabench/internal/vrdeploy"
)

// Options configures one measurement.
type Options struct {
	Deployment string
	Seed       uint64
}

// measurement runs one policy on the input that is generated from its options.
type measurement struct {
	name   string
	short  string
	xLabel string
	yLabel string
	run    func(Options, Policy) (Run, error)
}

func measurements() []measurement {
	return []measurement{
		{
			name: "cold-start", short: "burst of first requests for idle models",
			xLabel: "s to the first token", yLabel: "part of the requests", run: coldStart,
		},
		{
			name: "flood-low", short: "flood of the deferred rank at ten times the capacity",
			xLabel: "s to the first token", yLabel: "part of the requests", run: floodLow,
		},
		{
			name: "flood-urgent", short: "flood of the urgent rank at five times the capacity",
			xLabel: "s to the first token", yLabel: "part of the requests", run: floodUrgent,
		},
		{
			name: "idle-hours", short: "idle accelerator hours of models that are used in sessions",
			xLabel: "s to the first token of a cold request", yLabel: "part of the requests", run: idleHours,
		},
		{
			name: "slow-store", short: "weight store at a quarter of its speed, twice",
			xLabel: "s", yLabel: "part of the requests", run: slowStore,
		},
		{
			name: "zone-loss", short: "loss of one zone of three and its return",
			xLabel: "s after the loss", yLabel: "urgent in target", run: zoneLoss,
		},
		{
			name: "cross-region", short: "billed bytes between regions",
			xLabel: "s to the first token", yLabel: "part of the requests", run: crossRegion,
		},
		{
			name: "decide", short: "time and allocations of one routing decision",
			xLabel: "models and adapters", yLabel: "ns", run: decide,
		},
	}
}

// UnknownMeasurementError reports an unknown measurement name.
type UnknownMeasurementError struct {
	Name string
}

func (e *UnknownMeasurementError) Error() string {
	return fmt.Sprintf("measurement %q is unknown, allowed are %s", e.Name, strings.Join(measurementNames(), ", "))
}

// measurementNames returns the names that `measure` accepts.
func measurementNames() []string {
	var names []string
	for _, m := range measurements() {
		names = append(names, m.name)
	}
	return names
}

// Measure runs a measurement under the given policies.
func Measure(name string, options Options, policies ...Policy) (*Report, error) {
	all := measurements()
	index := slices.IndexFunc(all, func(m measurement) bool { return m.name == name })
	if index < 0 {
		return nil, &UnknownMeasurementError{Name: name}
	}
	m := all[index]
	report := &Report{
		Measurement: name, Deployment: options.Deployment, Seed: options.Seed, XLabel: m.xLabel, YLabel: m.yLabel,
	}
	for _, policy := range policies {
		run, err := m.run(options, policy)
		if err != nil {
			return nil, fmt.Errorf("%s under %s: %w", name, policy, err)
		}
		run.Policy = policy
		report.Runs = append(report.Runs, run)
	}
	return report, nil
}

// Command returns `verbenabench measure`.
func Command() *cobra.Command {
	options := Options{}
	var policy, out, plot string
	command := &cobra.Command{
		Use:       "measure NAME",
		Short:     "Compare the policy under load with a plain one on the same input",
		Long:      "Measurements: " + strings.Join(measurementNames(), ", ") + ".",
		Args:      cobra.ExactArgs(1),
		ValidArgs: measurementNames(),
		RunE: func(command *cobra.Command, arguments []string) error {
			policies, err := parsePolicies(policy)
			if err != nil {
				return err
			}
			report, err := Measure(arguments[0], options, policies...)
			if err != nil {
				return err
			}
			report.Print(command.OutOrStdout())
			return writeOutputs(report, out, plot)
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.Deployment, "deployment", vrdeploy.Shuyuan, "deployment: shuyuan or hayabusa")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the input")
	flags.StringVar(&policy, "policy", "", "baseline or current, empty for both")
	flags.StringVar(&out, "out", "", "file for the figures as JSON")
	flags.StringVar(&plot, "plot", "", "file for the plot, for example decide.svg")
	return command
}

func parsePolicies(name string) ([]Policy, error) {
	switch Policy(name) {
	case "":
		return []Policy{Baseline, Current}, nil
	case Baseline, Current:
		return []Policy{Policy(name)}, nil
	}
	return nil, &UnknownPolicyError{Name: name}
}

func writeOutputs(report *Report, out, plot string) error {
	if out != "" {
		if err := report.Write(out); err != nil {
			return err
		}
	}
	if plot == "" {
		return nil
	}
	return report.Plot(plot)
}
