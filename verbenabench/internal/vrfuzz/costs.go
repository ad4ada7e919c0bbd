package vrfuzz

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"verbenaroute.example/verbenabench/internal/vrworld"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrlease"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// electionTime lets a new world elect its zone owners and write its first objects.
	electionTime     = 20 * time.Second
	idleDuration     = 10 * time.Minute
	loadInterval     = 20 * time.Second
	lowRate          = 3
	highRate         = 1000
	reservationCount = 1000
	// loadCount is the number of cold requests over which the calls of a load are averaged.
	loadCount       = 10
	recoveryRuns    = 100
	recoveryTimeout = 60 * time.Second
)

// callCounts counts platform calls by name.
type callCounts map[string]int

func (c callCounts) minus(earlier callCounts) callCounts {
	difference := make(callCounts)
	for name, count := range c {
		if count != earlier[name] {
			difference[name] = count - earlier[name]
		}
	}
	return difference
}

func (c callCounts) total(substring string) int {
	sum := 0
	for name, count := range c {
		if strings.Contains(name, substring) {
			sum += count
		}
	}
	return sum
}

func newElectedWorld(options vrworld.Options) *vrworld.World {
	w := vrworld.New(options)
	w.Advance(electionTime)
	return w
}

// countCalls returns the platform calls made while run executes.
func countCalls(w *vrworld.World, run func()) callCounts {
	before := callCounts(maps.Clone(w.Platform.Calls))
	run()
	return callCounts(maps.Clone(w.Platform.Calls)).minus(before)
}

// IdleCalls returns the platform calls that 9 idle daemons make in the given time.
func IdleCalls(seed uint64, duration time.Duration) map[string]int {
	w := newElectedWorld(vrworld.Options{Seed: seed})
	return countCalls(w, func() { w.Advance(duration) })
}

// LoadCalls returns the platform calls that cold requests for loads different models cause,
// beyond those of idle daemons in the same time.
func LoadCalls(seed uint64, loads int) map[string]int {
	run := func(requests int) callCounts {
		w := newElectedWorld(vrworld.Options{Seed: seed, Models: loads})
		return countCalls(w, func() {
			for i := range loads {
				if i < requests {
					w.Send(w.Daemons[i%len(w.Daemons)], vrevent.Request{
						Kind: vrworld.KindDeferred, Model: vrworld.ModelName(i), MaxTokens: 1,
					})
				}
				w.Advance(loadInterval)
			}
		})
	}
	return run(loads).minus(run(0))
}

// ReservationCalls returns the platform calls on claim objects caused by count
// non-idempotent calls of one claim shard, sent at the given rate, and how many of those
// calls were answered.
func ReservationCalls(seed uint64, count, perSecond int) (claimCalls map[string]int, answered int) {
	options := vrworld.Options{Seed: seed, AppServersPerZone: 3}
	options.Fleet = vrworld.DefaultFleet(vrworld.Options{Zones: 3, Models: 12, Adapters: 6})
	options.Fleet.Claims.Shards = 1
	w := newElectedWorld(options)
	var sent []*vrworld.Call
	counted := countCalls(w, func() {
		for i := range count {
			sent = append(sent, w.Send(w.Daemons[i%len(w.Daemons)], vrevent.Request{
				Kind: vrworld.KindNormal, Service: vrworld.Orders, Key: vrid.IdempotencyKey(fmt.Sprintf("k%d", i)), Digest: 1,
			}))
			w.Advance(time.Second / time.Duration(perSecond))
		}
		w.Advance(electionTime)
	})
	for _, call := range sent {
		if call.End == vrworld.EndAnswered {
			answered++
		}
	}
	claimCalls = make(map[string]int)
	for name, calls := range counted {
		if strings.HasSuffix(name, " claims") {
			claimCalls[name] = calls
		}
	}
	return claimCalls, answered
}

// Recovery holds the times from a zone owner's death to its successor's first order to load
// a model, and to the first token of a cold request.
type Recovery struct {
	FirstLoadOrder time.Duration
	FirstToken     time.Duration
}

// loadOrderRecorder is an observer that records when the first order to load a model is sent.
type loadOrderRecorder struct {
	world *vrworld.World
	first time.Time
}

// Loading does nothing.
func (l *loadOrderRecorder) Loading(*vrworld.Engine, vrid.ModelID, vrid.AdapterID) {}

// Written does nothing.
func (l *loadOrderRecorder) Written(string, []byte) {}

// Ran does nothing.
func (l *loadOrderRecorder) Ran(*vrworld.Call, vrid.ServerID) {}

// Dispatched does nothing.
func (l *loadOrderRecorder) Dispatched(*vrworld.Process, *vrworld.Call, vrid.ServerID, time.Time) {}

// Reduced does nothing.
func (l *loadOrderRecorder) Reduced(*vrworld.Process) {}

// Effect records the time of the first order to load a model.
func (l *loadOrderRecorder) Effect(_ *vrworld.Process, effect vrevent.Effect) {
	order, ok := effect.(vrevent.SendOrder)
	if ok && l.world != nil && order.Order.Model != "" && l.first.IsZero() {
		l.first = l.world.Now()
	}
}

// MeasureRecovery kills the owner of a zone at a time chosen by the seed. A caller immediately
// requests a model that is not loaded anywhere and retries whenever it is refused.
func MeasureRecovery(seed uint64) (Recovery, bool) {
	recorder := &loadOrderRecorder{}
	w := vrworld.New(vrworld.Options{Seed: seed, Zones: 1, DaemonsPerZone: 9, Observer: recorder})
	w.Advance(electionTime + time.Duration(w.Random().Int64N(int64(2*time.Second))))
	value, _ := w.Platform.Object(vrplatform.LeaseKey(vrworld.ZoneName(0)))
	record, err := vrwire.Unmarshal[vrlease.Record](value)
	if err != nil {
		return Recovery{}, false
	}
	var survivor *vrworld.Daemon
	for _, d := range w.Daemons {
		if d.ID == record.Holder {
			d.Kill()
		} else if survivor == nil {
			survivor = d
		}
	}
	recorder.world = w
	killedAt := w.Now()
	var call *vrworld.Call
	served := w.Until(recoveryTimeout, func() bool {
		if call == nil || call.End == vrworld.EndRefused {
			call = w.Send(survivor, vrevent.Request{Kind: vrworld.KindUrgent, Model: vrworld.ModelName(0), MaxTokens: 1})
		}
		return !call.FirstToken.IsZero()
	})
	return Recovery{FirstLoadOrder: recorder.first.Sub(killedAt), FirstToken: w.Now().Sub(killedAt)}, served
}

func costsCommand() *cobra.Command {
	seed := uint64(1)
	command := &cobra.Command{
		Use:   "costs",
		Short: "Count platform calls and measure recovery after an owner's death, in virtual time",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return printCosts(command.OutOrStdout(), seed)
		},
	}
	command.Flags().Uint64Var(&seed, "seed", seed, "seed of the first world")
	return command
}

func printCosts(out io.Writer, seed uint64) error {
	idle := callCounts(IdleCalls(seed, idleDuration))
	daemonMinutes := idleDuration.Minutes() * float64(9)
	fmt.Fprintf(out, "idle: %.1f calls in a daemon-minute (9 daemons, %s)\n%s", float64(idle.total(""))/daemonMinutes, idleDuration, idle)
	loads := callCounts(LoadCalls(seed, loadCount))
	fmt.Fprintf(out, "load: %.1f calls beyond idle, %.1f of them for the ledger (%d loads)\n%s",
		float64(loads.total(""))/loadCount, float64(loads.total(" ledgers"))/loadCount, loadCount, loads)
	for _, rate := range []int{lowRate, highRate} {
		counted, answered := ReservationCalls(seed, reservationCount, rate)
		fmt.Fprintf(out, "reservations: %d calls at %d/s, %d answered, %d platform calls\n%s",
			reservationCount, rate, answered, callCounts(counted).total(""), callCounts(counted))
	}
	return printRecovery(out, seed)
}

// String formats one line for each name, sorted by name.
func (c callCounts) String() string {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(c)) {
		fmt.Fprintf(&text, "  %-16s %d\n", name, c[name])
	}
	return text.String()
}

func printRecovery(out io.Writer, seed uint64) error {
	var toLoadOrder, served []time.Duration
	for i := range uint64(recoveryRuns) {
		recovery, ok := MeasureRecovery(seed + i)
		if !ok {
			return fmt.Errorf("seed %d: no cold request was served within %s", seed+i, recoveryTimeout)
		}
		toLoadOrder = append(toLoadOrder, recovery.FirstLoadOrder)
		served = append(served, recovery.FirstToken)
	}
	slices.Sort(toLoadOrder)
	slices.Sort(served)
	printPercentiles := func(name string, sorted []time.Duration) {
		fmt.Fprintf(out, "recovery to %s: median %s, p99 %s, max %s (%d deaths)\n", name,
			sorted[len(sorted)/2], sorted[len(sorted)*99/100], sorted[len(sorted)-1], len(sorted))
	}
	printPercentiles("the successor's first load", toLoadOrder)
	printPercentiles("the first token, with a load of 2s", served)
	return nil
}
