// Command standin runs one case of the review: it starts the daemon of the deploy file, with stand-ins
// for the platform's store, the servers and the clients, and checks one rule.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

var cases = map[string]func(dir string, trouble bool) (broken bool){}

var (
	recordMu   sync.Mutex
	recordFile *os.File
	startedAt  = time.Now()
	cleanups   []func()
	cleanupMu  sync.Mutex
)

// record writes a line to record.txt.
func record(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(recordFile, "%8.3f  %s\n", time.Since(startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// onExit registers a function that ends something which was started.
func onExit(f func()) {
	cleanupMu.Lock()
	defer cleanupMu.Unlock()
	cleanups = append(cleanups, f)
}

func exit(code int) {
	cleanupMu.Lock()
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	record("exit with %d", code)
	os.Exit(code)
}

// unable ends a case that can't run.
func unable(format string, args ...any) {
	record("cannot run: "+format, args...)
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	exit(2)
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD DIRECTORY")
		os.Exit(2)
	}
	var err error
	if recordFile, err = os.Create(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record("case %s, trouble %t", os.Args[1], trouble)
	go func() {
		time.Sleep(110 * time.Second)
		unable("took too long")
	}()
	if cases[os.Args[1]](os.Args[3], trouble) {
		record("the rule was broken")
		exit(1)
	}
	record("the rule held")
	exit(0)
}
