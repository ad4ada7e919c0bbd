package vrfuzz
import ("testing";"fmt";"os";"github.com/sourcegraph/conc/pool";"strconv")
func TestDet(t *testing.T) {
	wp := pool.New().WithMaxGoroutines(4)
	for seed := 1; seed <= 60; seed++ {
		wp.Go(func() {
			a, b := Run(PlanOf(seed), true), Run(PlanOf(seed), true)
			for i := range a.Lines {
				if i >= len(b.Lines) || a.Lines[i] != b.Lines[i] {
					fmt.Println("seed", seed, "line", i, "\n", a.Lines[i], "\n", b.Lines[i])
					break
				}
			}
		})
	}
	wp.Wait()
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
