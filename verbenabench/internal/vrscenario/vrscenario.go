// Package vrscenario runs scripted failure scenarios against real daemons. A script starts a
// deployment on loopback, injects faults, sends requests and states what it expects.
//
// A script is a txtar file for testscript with these verbs in addition to the library's own:
//
//	deployment hayabusa            only before start; the default is shuyuan
//	start [daemon-2 …]             starts all daemons and waits until they are ready, or
//	                               starts those that are listed without waiting
//	crash daemon-2                 kills it (testscript itself has a verb "kill")
//	shutdown daemon-2              sends SIGTERM and waits until it exits
//	pause daemon-2, resume daemon-2
//	platform outage 3s             also: slow 200ms 3s, lose-answers 5 [prefix], limit 20, clear
//	cut zone tw-south-a 3s         cuts the zone's daemons off from the platform
//	weights slow 8, weights normal
//	server lm-serve-1 leave        also: gone, restart, stop, hold 1 [kind], release,
//	                               delay 2s 3, cross 3, ignore-fencing, honor-fencing;
//	                               for application servers: run-then-close 1, refuse 1
//	vm leaving daemon-2, vm remove daemon-2
//	traffic 40 5s                  makes 40 mixed calls per second for 5s, in the background
//	flood deferred 400 5s          the same with calls of one type
//	request urgent [at daemon-1]   makes a call of this type; also for a model or an adapter
//	reserve key-1 [at daemon-1]    home:tw-north-a is a key whose claims belong to the
//	                               owner of that zone
//	command daemon-1 set rank urgent worth 7
//	race                           sends a command to every running daemon concurrently
//	expect …                       see expect.go
//
// A daemon is named by its id or by a zone: owner:tw-north-a is the holder of the zone's
// lease, former:tw-north-a the daemon that owner:tw-north-a resolved to last, and
// member:tw-north-a the zone's first daemon that runs and is not paused. A server is named by
// its id, or by the last event of a kind in the journal: "loading" is the server where a load
// started last, "serving" the one where a generate request arrived last and "held" the one
// where an order was held last. "all" names all language servers.
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

// Timeouts of conditions. They are generous, because they only end waits that would never
// end otherwise; scripts state the latency targets themselves.
const (
	_readyTimeout   = 40 * time.Second
	_defaultTimeout = 15 * time.Second
)

// Options configures a run of scripts.
type Options struct {
	// Program is the path of the daemon's executable.
	Program string
	// Files lists the paths of scripts, and Dir is a directory of scripts.
	Files []string
	Dir   string
	// Parallel is the maximum number of scripts that run concurrently; zero means one. A
	// script with nine daemons and their stand-ins uses about two cores under load.
	Parallel int
	// Seed is the seed of the traffic.
	Seed uint64
}

// Params returns the testscript parameters for a run with these options.
func Params(options Options) testscript.Params {
	slots := make(chan struct{}, max(options.Parallel, 1))
	return testscript.Params{
		Files: options.Files,
		Dir:   options.Dir,
		Setup: func(env *testscript.Env) error {
			slots <- struct{}{}
			s := newScenario(options, env.WorkDir)
			env.Values[_stateKey] = s
			env.Defer(func() {
				s.close()
				<-slots
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

// verb returns the testscript command for a method. It rejects negation, because scripts state
// expected failures as conditions of their own.
func verb(method func(*scenario, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, negated bool, arguments []string) {
		if negated {
			ts.Fatalf("this verb can't be negated")
		}
		s, ok := ts.Value(_stateKey).(*scenario)
		if !ok {
			ts.Fatalf("the scenario was not set up")
		}
		start := time.Now()
		err := method(s, arguments)
		ts.Logf("# took %s", time.Since(start).Round(time.Millisecond))
		if err != nil {
			ts.Fatalf("%v", err)
		}
	}
}

// UsageError reports a line of a script that does not follow the usage of its verb.
type UsageError struct {
	Usage string
	Found []string
}

func (e *UsageError) Error() string { return fmt.Sprintf("usage: %s, found %q", e.Usage, e.Found) }

// ExpectError reports an expectation that was not met.
type ExpectError struct {
	Want string
	Got  string
}

func (e *ExpectError) Error() string { return fmt.Sprintf("expected %s, got %s", e.Want, e.Got) }

// scenario is the state of one script.
type scenario struct {
	options        Options
	dir            string
	deploymentName string
	fleet          *vrfleet.Fleet
	generator      *vrload.Generator
	planner        *vrload.Planner
	evidence       vrinvariant.Evidence
	background     conc.WaitGroup
	ctx            context.Context
	cancel         context.CancelFunc
	// trafficPlans counts the traffic plans, so that each one gets its own seed and keys.
	trafficPlans uint64
	lastResult   vrload.Result
	// raceCount counts the races, so that each one sets values of its own.
	raceCount int
	// lastOwners holds the daemon that each zone's owner: name resolved to last.
	lastOwners map[vrid.ZoneID]vrid.DaemonID
}

func newScenario(options Options, dir string) *scenario {
	s := &scenario{options: options, dir: dir, deploymentName: vrdeploy.Shuyuan, lastOwners: make(map[vrid.ZoneID]vrid.DaemonID)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

func (s *scenario) close() {
	s.cancel()
	s.background.Wait()
	if s.fleet != nil {
		s.fleet.Close()
	}
	if s.generator != nil {
		s.generator.Wait()
	}
}

func (s *scenario) chooseDeployment(arguments []string) error {
	if len(arguments) != 1 || s.fleet != nil {
		return &UsageError{Usage: "deployment NAME, before start", Found: arguments}
	}
	s.deploymentName = arguments[0]
	return nil
}

// createFleet creates the fleet and its stand-ins unless it exists. It starts no daemons.
func (s *scenario) createFleet() error {
	if s.fleet != nil {
		return nil
	}
	deployment, err := vrdeploy.ByName(s.deploymentName, vrdeploy.Size{})
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
	s.generator = vrload.New(vrload.Options{Fleet: &deployment.Fleet, Daemons: fleet.CallerAddresses(), Seed: s.options.Seed})
	return nil
}

func (s *scenario) start(arguments []string) error {
	if err := s.createFleet(); err != nil {
		return err
	}
	if len(arguments) == 0 {
		return s.fleet.StartAll(s.ctx, _readyTimeout)
	}
	for _, argument := range arguments {
		daemon := vrid.DaemonID(argument)
		if err := s.fleet.Start(daemon); err != nil {
			return err
		}
		s.generator.MarkUp(daemon)
	}
	return nil
}
