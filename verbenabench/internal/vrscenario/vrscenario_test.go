package vrscenario

import (
	"context"
	"fmt"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"verbenaroute.example/verbenabench/internal/vrfleet"
)

// _program is the daemon, built once for all scripts.
var _program string

// _seed of the traffic; a failing script prints it with its log.
const _seed = 20261204

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "verbenabench-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	_program, err = vrfleet.Build(context.Background(), dir, false)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// TestScenarios guards against a failure of the design's failure model, alone or with
// another one, that breaks an invariant on real daemons.
func TestScenarios(t *testing.T) {
	t.Logf("seed %d", _seed)
	testscript.Run(t, Params(Options{Program: _program, Dir: "testdata", Parallel: 4, Seed: _seed}))
}
