package vrscenario

import (
	"fmt"
	"io"
	"runtime"

	"github.com/rogpeppe/go-internal/testscript"
)

// runner runs scripts outside of a test.
type runner struct {
	out    io.Writer
	failed int
}

// Run runs scripts one after the other, prints what they print and returns how many
// failed.
func Run(options Options, out io.Writer) int {
	r := &runner{out: out}
	r.protect(func() { testscript.RunT(r, Params(options)) })
	return r.failed
}

// protect runs a function that may end early by Fatal.
func (r *runner) protect(run func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		run()
	}()
	<-done
}

// Run runs one script.
func (r *runner) Run(name string, run func(testscript.T)) {
	script := &runner{out: r.out}
	script.protect(func() { run(script) })
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

// Log prints what a script says.
func (r *runner) Log(arguments ...any) { fmt.Fprintln(r.out, arguments...) }

// Parallel does nothing: scripts run one after the other.
func (r *runner) Parallel() {}

// Verbose makes scripts print each line.
func (r *runner) Verbose() bool { return true }
