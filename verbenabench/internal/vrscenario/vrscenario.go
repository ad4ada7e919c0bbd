// Package vrscenario runs scripted failures on real daemons: a script starts a
// deployment on loopback, breaks parts of it, sends requests and says what it expects.
//
// A script is a txtar file for testscript with these verbs beside the library's own:
//
//	deployment hayabusa            before start; shuyuan is the default
//	start [daemon-2 …]             starts all daemons and waits until they are ready
//	crash daemon-2                 ends it without a warning (the library owns "kill")
//	shutdown daemon-2              SIGTERM, and waits for its end
//	pause daemon-2, resume daemon-2
//	platform outage 3s             also: slow 200ms 3s, lose-answers 5 [prefix], limit 20, clear
//	cut zone tw-south-a 3s         refuses the platform to the zone's daemons
//	weights slow 8, weights normal
//	server lm-serve-1 leave        also: gone, restart, stop, go, hold 1 [kind], release,
//	                               delay 2s 3, cross 3, ignore-fencing, honor-fencing;
//	                               for application servers: run-then-close 1, refuse 1
//	vm leaving daemon-2, vm remove daemon-2
//	traffic 40 5s                  mixed calls a second in the background
//	flood deferred 400 5s          calls of one rank in the background
//	request urgent [at daemon-1]   or the name of a model or adapter
//	reserve key-1 [at daemon-1]    home:tw-north-a is a key that this zone's owner claims
//	command daemon-1 set rank urgent worth 7
//	race                           commands at all daemons at the same time
//	expect …                       see expect.go
//
// A daemon is named by its id, as owner:tw-north-a, the holder of the zone's lease, or as
// former:tw-north-a, the one that owner:tw-north-a meant last, or as member:tw-north-a,
// one that runs there. A server is named by its
// id, as "loading", "serving" or "held", where that happened last, or as "all".
package vrscenario

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/sourcegraph/conc"

	"verbenaroute.example/verbenabench/internal/vrdeploy"
	"verbenaroute.example/verbenabench/internal/vrfleet"
	"verbenaroute.example/verbenabench/internal/vrinvariant"
	"verbenaroute.example/verbenabench/internal/vrload"
	"verbenaroute.example/verbenacore/vrid"
)

// Bounds of conditions. They are generous, because they only end a wait that would
// never end; targets are written in the scripts.
const (
	_readyBound   = 40 * time.Second
	_defaultBound = 15 * time.Second
)

// Options of a run of scripts.
type Options struct {
	// Program is the daemon's path.
	Program string
	// Files are scripts; Dir is a directory of them.
	Files []string
	Dir   string
	// Parallel is how many scripts run at once; zero means one. Nine daemons and their
	// stand-ins take about two cores under load.
	Parallel int
	// Seed of the traffic.
	Seed uint64
}

// Params returns the parameters for testscript.
func Params(options Options) testscript.Params {
	places := make(chan struct{}, max(options.Parallel, 1))
	return testscript.Params{
		Files: options.Files,
		Dir:   options.Dir,
		Setup: func(env *testscript.Env) error {
			places <- struct{}{}
			s := newScenario(options, env.WorkDir)
			env.Values[_stateKey] = s
			env.Defer(func() {
				s.close()
				<-places
			})
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"deployment": verb((*scenario).chooseDeployment),
			"start":      verb((*scenario).start),
			"crash":      verb((*scenario).crash),
			"shutdown":   verb((*scenario).shutdown),
			"pause":      verb((*scenario).pause),
			"resume":     verb((*scenario).resume),
			"platform":   verb((*scenario).platform),
			"cut":        verb((*scenario).cut),
			"weights":    verb((*scenario).weights),
			"server":     verb((*scenario).server),
			"vm":         verb((*scenario).vm),
			"traffic":    verb((*scenario).traffic),
			"flood":      verb((*scenario).flood),
			"request":    verb((*scenario).request),
			"reserve":    verb((*scenario).reserve),
			"command":    verb((*scenario).command),
			"race":       verb((*scenario).race),
			"expect":     verb((*scenario).expect),
		},
	}
}

const _stateKey = "scenario"

// verb makes a command of testscript from a method. A negated verb is a mistake in the
// script: a failure that is expected has its own condition.
func verb(act func(*scenario, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, negated bool, arguments []string) {
		if negated {
			ts.Fatalf("this verb can't be negated")
		}
		s, ok := ts.Value(_stateKey).(*scenario)
		if !ok {
			ts.Fatalf("the scenario was not set up")
		}
		began := time.Now()
		err := act(s, arguments)
		ts.Logf("# took %s", time.Since(began).Round(time.Millisecond))
		if err != nil {
			ts.Fatalf("%v", err)
		}
	}
}

// UsageError says that a line of a script can't be read.
type UsageError struct {
	Usage string
	Found []string
}

func (e *UsageError) Error() string { return fmt.Sprintf("usage: %s, found %q", e.Usage, e.Found) }

// ExpectError says that an expectation was not met.
type ExpectError struct {
	Want string
	Got  string
}

func (e *ExpectError) Error() string { return fmt.Sprintf("expected %s, got %s", e.Want, e.Got) }

// scenario is the state of one script.
type scenario struct {
	options    Options
	dir        string
	name       string
	fleet      *vrfleet.Fleet
	load       *vrload.Load
	planner    *vrload.Planner
	evidence   vrinvariant.Evidence
	background conc.WaitGroup
	ctx        context.Context
	cancel     context.CancelFunc
	// plans counts the background plans, so that each one has its own seed and keys.
	plans uint64
	last  vrload.View
	// races counts the races, so that each one sets values of its own.
	races int
	// former are the owners of zones when a line named them last.
	former map[vrid.ZoneID]vrid.DaemonID
}

func newScenario(options Options, dir string) *scenario {
	s := &scenario{options: options, dir: dir, name: vrdeploy.Shuyuan, former: make(map[vrid.ZoneID]vrid.DaemonID)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

func (s *scenario) close() {
	s.cancel()
	s.background.Wait()
	if s.fleet != nil {
		s.fleet.Close()
	}
	if s.load != nil {
		s.load.Wait()
	}
}

func (s *scenario) chooseDeployment(arguments []string) error {
	if len(arguments) != 1 || s.fleet != nil {
		return &UsageError{Usage: "deployment NAME, before start", Found: arguments}
	}
	s.name = arguments[0]
	return nil
}

// open starts the stand-ins once.
func (s *scenario) open() error {
	if s.fleet != nil {
		return nil
	}
	deployment, err := vrdeploy.ByName(s.name, vrdeploy.Size{})
	if err != nil {
		return err
	}
	fleet, err := vrfleet.New(vrfleet.Options{
		Deployment: deployment, Program: s.options.Program, Dir: filepath.Join(s.dir, "daemons"), Speed: 1,
	})
	if err != nil {
		return err
	}
	s.fleet = fleet
	s.evidence = vrinvariant.NewEvidence(deployment)
	s.planner = vrload.NewPlanner(&deployment.Fleet, s.options.Seed, nil)
	s.load = vrload.New(vrload.Options{Fleet: &deployment.Fleet, Daemons: fleet.Callers(), Seed: s.options.Seed})
	return nil
}

func (s *scenario) start(arguments []string) error {
	if err := s.open(); err != nil {
		return err
	}
	if len(arguments) == 0 {
		return s.fleet.StartAll(s.ctx, _readyBound)
	}
	for _, argument := range arguments {
		daemon := vrid.DaemonID(argument)
		if err := s.fleet.Start(daemon); err != nil {
			return err
		}
		s.load.MarkUp(daemon)
	}
	return nil
}
