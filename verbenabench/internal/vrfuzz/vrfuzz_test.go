package vrfuzz

import (
	"fmt"
	"os"
	"runtime/debug"
	"strconv"
	"testing"

	"github.com/sourcegraph/conc/pool"
)

func TestTmp(t *testing.T) {
	from, _ := strconv.Atoi(os.Getenv("FROM"))
	n, _ := strconv.Atoi(os.Getenv("N"))
	out := make([]string, n)
	wp := pool.New().WithMaxGoroutines(4)
	for i := range n {
		seed := from + i
		wp.Go(func() {
			defer func() {
				if e := recover(); e != nil {
					out[i] = fmt.Sprintf("seed %d panic %v %s", seed, e, debug.Stack())
				}
			}()
			plan := PlanOf(seed)
			r := Run(plan, false)
			if r.Violation != nil {
				out[i] = fmt.Sprintf("seed %d after %d/%d actions: %v", seed, r.Actions, len(plan.Actions), r.Violation)
			}
		})
	}
	wp.Wait()
	bad := 0
	for _, s := range out {
		if s != "" {
			bad++
			fmt.Println(s)
		}
	}
	fmt.Println("bad", bad, "of", n)
}

func TestMin(t *testing.T) {
	seed, _ := strconv.Atoi(os.Getenv("FROM"))
	plan := PlanOf(seed)
	r := Run(plan, false)
	fmt.Println(r.Violation)
	m := Minimize(plan, r.Violation.Invariant, 300)
	r = Run(m, true)
	fmt.Println(m, r.Violation)
	f, _ := os.Create("/tmp/trace" + os.Getenv("FROM") + ".txt")
	for _, l := range r.Lines {
		fmt.Fprintln(f, l)
	}
	f.Close()
}

func TestTrace(t *testing.T) {
	seed, _ := strconv.Atoi(os.Getenv("FROM"))
	r := Run(PlanOf(seed), true)
	fmt.Println(r.Violation)
	f, _ := os.Create("/tmp/trace" + os.Getenv("FROM") + ".txt")
	for _, l := range r.Lines {
		fmt.Fprintln(f, l)
	}
	f.Close()
}
