package vrscenario

import (
	"context"
	"fmt"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"verbenaroute.example/verbenabench/internal/vrfleet"
)

// _program is the path of the daemon's executable, which is built once for all scripts.
var _program string

// _seed is the seed of the traffic. TestScenarios logs it.
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

// TestScenarios guards against real daemons that violate an invariant under a fault of the
// failure model, or under two of them at once.
func TestScenarios(t *testing.T) {
	t.Logf("seed %d", _seed)
	testscript.Run(t, Params(Options{Program: _program, Dir: "testdata", Parallel: 4, Seed: _seed}))
}
