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
	// quietTime lets a new world elect its owners and write its first objects.
	quietTime  = 20 * time.Second
	idleTime   = 10 * time.Minute
	loadWindow = 20 * time.Second
	trickle    = 3
	flood      = 1000
	costCalls  = 1000
	// costLoads is the number of cold requests that the calls of a load are averaged over.
	costLoads     = 10
	recoveryRuns  = 100
	recoveryLimit = 60 * time.Second
)

// calls is a count of platform calls by name.
type calls map[string]int

func (c calls) minus(other calls) calls {
	difference := make(calls)
	for name, count := range c {
		if count != other[name] {
			difference[name] = count - other[name]
		}
	}
	return difference
}

func (c calls) total(part string) int {
	sum := 0
	for name, count := range c {
		if strings.Contains(name, part) {
			sum += count
		}
	}
	return sum
}

func quietWorld(options vrworld.Options) *vrworld.World {
	w := vrworld.New(options)
	w.Advance(quietTime)
	return w
}

// callsOf counts the calls while a function runs.
func callsOf(w *vrworld.World, run func()) calls {
	before := calls(maps.Clone(w.Platform.Calls))
	run()
	return calls(maps.Clone(w.Platform.Calls)).minus(before)
}

// IdleCalls returns the calls of 9 idle daemons in a time.
func IdleCalls(seed uint64, length time.Duration) map[string]int {
	w := quietWorld(vrworld.Options{Seed: seed})
	return callsOf(w, func() { w.Advance(length) })
}

// LoadCalls returns the calls that cold requests of as many models add to an idle time.
func LoadCalls(seed uint64, loads int) map[string]int {
	run := func(requests int) calls {
		w := quietWorld(vrworld.Options{Seed: seed, Models: loads})
		return callsOf(w, func() {
			for i := range loads {
				if i < requests {
					w.Send(w.Daemons[i%len(w.Daemons)], vrevent.Request{
						Kind: vrworld.KindDeferred, Model: vrworld.ModelName(i), MaxTokens: 1,
					})
				}
				w.Advance(loadWindow)
			}
		})
	}
	return run(loads).minus(run(0))
}

// ReservationCalls returns the calls about claims that non-idempotent calls of one shard
// cause at a rate, and how many of them were answered.
func ReservationCalls(seed uint64, number, perSecond int) (claims map[string]int, answered int) {
	options := vrworld.Options{Seed: seed, AppServersPerZone: 3}
	options.Fleet = vrworld.DefaultFleet(vrworld.Options{Zones: 3, Models: 12, Adapters: 6})
	options.Fleet.Claims.Shards = 1
	w := quietWorld(options)
	var sent []*vrworld.Call
	counted := callsOf(w, func() {
		for i := range number {
			sent = append(sent, w.Send(w.Daemons[i%len(w.Daemons)], vrevent.Request{
				Kind: vrworld.KindNormal, Service: vrworld.Orders, Key: vrid.IdempotencyKey(fmt.Sprintf("k%d", i)), Digest: 1,
			}))
			w.Advance(time.Second / time.Duration(perSecond))
		}
		w.Advance(quietTime)
	})
	for _, call := range sent {
		if call.End == vrworld.EndAnswered {
			answered++
		}
	}
	claims = make(map[string]int)
	for name, count := range counted {
		if strings.HasSuffix(name, " claims") {
			claims[name] = count
		}
	}
	return claims, answered
}

// Recovery is the time from an owner's death to each step of its successor.
type Recovery struct {
	Order  time.Duration
	Served time.Duration
}

// orderClock notes when orders to load are first sent.
type orderClock struct {
	world *vrworld.World
	first time.Time
}

// Loading notes nothing.
func (c *orderClock) Loading(*vrworld.Engine, vrid.ModelID, vrid.AdapterID) {}

// Written notes nothing.
func (c *orderClock) Written(string, []byte) {}

// Ran notes nothing.
func (c *orderClock) Ran(*vrworld.Call, vrid.ServerID) {}

// Dispatched notes nothing.
func (c *orderClock) Dispatched(*vrworld.Process, *vrworld.Call, vrid.ServerID, time.Time) {}

// Reduced notes nothing.
func (c *orderClock) Reduced(*vrworld.Process) {}

// Effect notes the first order to load.
func (c *orderClock) Effect(_ *vrworld.Process, effect vrevent.Effect) {
	order, ok := effect.(vrevent.SendOrder)
	if ok && c.world != nil && order.Order.Model != "" && c.first.IsZero() {
		c.first = c.world.Now()
	}
}

// Recover kills the owner of a zone at a moment that the seed chooses. A caller asks the
// zone at once for a model that is loaded nowhere and asks again when it is refused.
func Recover(seed uint64) (Recovery, bool) {
	clock := &orderClock{}
	w := vrworld.New(vrworld.Options{Seed: seed, Zones: 1, DaemonsPerZone: 9, Watch: clock})
	w.Advance(quietTime + time.Duration(w.Random().Int64N(int64(2*time.Second))))
	value, _ := w.Platform.Object(vrplatform.LeaseKey(vrworld.ZoneName(0)))
	record, err := vrwire.Unmarshal[vrlease.Record](value)
	if err != nil {
		return Recovery{}, false
	}
	var other *vrworld.Daemon
	for _, d := range w.Daemons {
		if d.ID == record.Holder {
			d.Kill()
		} else if other == nil {
			other = d
		}
	}
	clock.world = w
	died := w.Now()
	var call *vrworld.Call
	served := w.Until(recoveryLimit, func() bool {
		if call == nil || call.End == vrworld.EndRefused {
			call = w.Send(other, vrevent.Request{Kind: vrworld.KindUrgent, Model: vrworld.ModelName(0), MaxTokens: 1})
		}
		return !call.FirstToken.IsZero()
	})
	return Recovery{Order: clock.first.Sub(died), Served: w.Now().Sub(died)}, served
}

func costsCommand() *cobra.Command {
	seed := uint64(1)
	command := &cobra.Command{
		Use:   "costs",
		Short: "Count platform calls and measure the recovery from an owner's death in virtual time",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return printCosts(command.OutOrStdout(), seed)
		},
	}
	command.Flags().Uint64Var(&seed, "seed", seed, "seed of the first world")
	return command
}

func printCosts(out io.Writer, seed uint64) error {
	idle := calls(IdleCalls(seed, idleTime))
	daemonMinutes := idleTime.Minutes() * float64(9)
	fmt.Fprintf(out, "idle: %.1f calls in a daemon-minute (9 daemons, %s)\n%s", float64(idle.total(""))/daemonMinutes, idleTime, idle)
	loads := calls(LoadCalls(seed, costLoads))
	fmt.Fprintf(out, "load: %.1f calls beyond idle, %.1f of them for the ledger (%d loads)\n%s",
		float64(loads.total(""))/costLoads, float64(loads.total(" ledgers"))/costLoads, costLoads, loads)
	for _, rate := range []int{trickle, flood} {
		counted, answered := ReservationCalls(seed, costCalls, rate)
		fmt.Fprintf(out, "reservations: %d calls at %d/s, %d answered, %d platform calls\n%s",
			costCalls, rate, answered, calls(counted).total(""), calls(counted))
	}
	return printRecovery(out, seed)
}

// String lists the counts by name.
func (c calls) String() string {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(c)) {
		fmt.Fprintf(&text, "  %-16s %d\n", name, c[name])
	}
	return text.String()
}

func printRecovery(out io.Writer, seed uint64) error {
	var orders, served []time.Duration
	for i := range uint64(recoveryRuns) {
		recovery, ok := Recover(seed + i)
		if !ok {
			return fmt.Errorf("seed %d: no cold request was served within %s", seed+i, recoveryLimit)
		}
		orders = append(orders, recovery.Order)
		served = append(served, recovery.Served)
	}
	slices.Sort(orders)
	slices.Sort(served)
	line := func(name string, sorted []time.Duration) {
		fmt.Fprintf(out, "recovery to %s: median %s, p99 %s, most %s (%d deaths)\n", name,
			sorted[len(sorted)/2], sorted[len(sorted)*99/100], sorted[len(sorted)-1], len(sorted))
	}
	line("the successor's first load", orders)
	line("the first token, with a load of 2s", served)
	return nil
}
