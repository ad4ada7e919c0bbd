// Command standin2 holds the stand-ins of the second review: the platform's store, servers, clients, and the cases
// that play them against gateways.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// record is what a case writes to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	check(err)
	return &record{file: file, start: time.Now()}
}

func (r *record) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// caseFailed ends a case that can't run.
type caseFailed struct{ err error }

func check(err error) {
	if err != nil {
		panic(caseFailed{err})
	}
}

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(folder string, r *record, trouble bool) int{
	"early": earlyCase,
	"leak":  leakCase,
	"reset": resetCase,
}

func main() {
	os.Exit(run())
}

func run() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		return exitNotRun
	}
	r := newRecord(os.Args[2])
	defer func() {
		if failed, ok := recover().(caseFailed); ok {
			r.say("the case could not run: %v", failed.err)
			code = exitNotRun
		}
	}()
	folder, err := os.MkdirTemp("", "review")
	check(err)
	defer func() { _ = os.RemoveAll(folder) }()
	go endEarly(folder, r)
	return cases[os.Args[1]](folder, r, os.Getenv("TROUBLE") != "0")
}

// caseLimit is how long a case may run.
const caseLimit = 118 * time.Second

// endEarly ends the case, and all processes that it started, on a signal or at its time limit.
func endEarly(folder string, r *record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case s := <-signals:
		r.say("the case was ended by the signal %v", s)
	case <-time.After(caseLimit):
		r.say("the case has reached its time limit")
	}
	killStarted()
	_ = os.RemoveAll(folder)
	os.Exit(exitNotRun)
}
