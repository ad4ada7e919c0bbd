package vrscenario

import (
	"fmt"
	"io"
	"runtime"

	"github.com/rogpeppe/go-internal/testscript"
)

// runner implements testscript.T to run scripts outside a test.
type runner struct {
	out    io.Writer
	failed int
}

// Run runs scripts one after the other, writes their output to out and returns the number of
// scripts that failed.
func Run(options Options, out io.Writer) int {
	r := &runner{out: out}
	r.runToExit(func() { testscript.RunT(r, Params(options)) })
	return r.failed
}

// runToExit calls fn in a goroutine of its own and waits until it ends, because Skip, Fatal
// and FailNow end the goroutine that calls them.
func (r *runner) runToExit(fn func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		fn()
	}()
	<-done
}

// Run runs one script and prints whether it failed.
func (r *runner) Run(name string, fn func(testscript.T)) {
	script := &runner{out: r.out}
	script.runToExit(func() { fn(script) })
	verdict := "ok"
	if script.failed > 0 {
		verdict = "FAILED"
		r.failed++
	}
	fmt.Fprintf(r.out, "%-6s %s\n", verdict, name)
}

// Skip ends a script that does not apply.
func (r *runner) Skip(arguments ...any) {
	r.Log(arguments...)
	runtime.Goexit()
}

// Fatal ends a script as failed.
func (r *runner) Fatal(arguments ...any) {
	r.Log(arguments...)
	r.FailNow()
}

// FailNow ends a script as failed.
func (r *runner) FailNow() {
	r.failed = 1
	runtime.Goexit()
}

// Log prints the output of a script.
func (r *runner) Log(arguments ...any) { fmt.Fprintln(r.out, arguments...) }

// Parallel does nothing: scripts run one after the other.
func (r *runner) Parallel() {}

// Verbose makes scripts print each line.
func (r *runner) Verbose() bool { return true }
