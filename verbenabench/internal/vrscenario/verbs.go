package vrscenario

import (
	"strconv"
	"strings"
	"time"

	"verbenaroute.example/verbenabench/internal/vrinvariant"
	"verbenaroute.example/verbenabench/internal/vrload"
	"verbenaroute.example/verbenabench/internal/vrstandin"
	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
)

// argReader reads the arguments of a verb one by one. After the first mistake, err is set.
type argReader struct {
	usage string
	args  []string
	rest  []string
	err   error
}

func newArgReader(usage string, arguments []string) *argReader {
	return &argReader{usage: usage, args: arguments, rest: arguments}
}

func (r *argReader) fail() {
	if r.err == nil {
		r.err = &UsageError{Usage: r.usage, Found: r.args}
	}
}

func (r *argReader) word() string {
	if len(r.rest) == 0 {
		r.fail()
		return ""
	}
	next := r.rest[0]
	r.rest = r.rest[1:]
	return next
}

func (r *argReader) more() bool { return len(r.rest) > 0 }

func (r *argReader) duration() time.Duration {
	duration, err := time.ParseDuration(r.word())
	if err != nil {
		r.fail()
	}
	return duration
}

func (r *argReader) number() float64 {
	value, err := strconv.ParseFloat(r.word(), 64)
	if err != nil {
		r.fail()
	}
	return value
}

// optionalDuration returns the next duration, or zero at the end of the line.
func (r *argReader) optionalDuration() vrid.Duration {
	if !r.more() {
		return 0
	}
	return vrid.Duration(r.duration())
}

// accept reports whether the next word is the expected one, and if so consumes it.
func (r *argReader) accept(expected string) bool {
	if !r.more() || r.rest[0] != expected {
		return false
	}
	r.rest = r.rest[1:]
	return true
}

func (r *argReader) finish() error {
	if r.more() {
		r.fail()
	}
	return r.err
}

// onDaemon reads the name of a daemon as the only argument and calls fn with its id.
func (s *scenario) onDaemon(usage string, arguments []string, fn func(vrid.DaemonID) error) error {
	line := newArgReader(usage, arguments)
	name := line.word()
	if err := line.finish(); err != nil {
		return err
	}
	daemon, err := s.resolveDaemon(name)
	if err != nil {
		return err
	}
	return fn(daemon)
}

const _ownerPrefix = "owner:"

const (
	_formerPrefix = "former:"
	_memberPrefix = "member:"
)

// workingDaemon returns the first daemon of a zone that runs and is not paused.
func (s *scenario) workingDaemon(zone vrid.ZoneID) (vrid.DaemonID, error) {
	for _, daemon := range s.fleet.Deployment.Daemons {
		if daemon.Zone == zone && s.fleet.Working(daemon.ID) {
			return daemon.ID, nil
		}
	}
	return "", &ExpectError{Want: "a daemon in " + string(zone), Got: "none that runs"}
}

// resolveDaemon resolves the name of a daemon: an id, or a zone after a prefix that selects its
// owner, a working daemon of it, or the daemon that its owner resolved to last.
func (s *scenario) resolveDaemon(name string) (vrid.DaemonID, error) {
	if zone, ok := strings.CutPrefix(name, _memberPrefix); ok {
		return s.workingDaemon(vrid.ZoneID(zone))
	}
	if zone, ok := strings.CutPrefix(name, _formerPrefix); ok {
		return s.lastOwners[vrid.ZoneID(zone)], nil
	}
	zone, isOwner := strings.CutPrefix(name, _ownerPrefix)
	if !isOwner {
		return vrid.DaemonID(name), nil
	}
	owner, err := s.fleet.Owner(vrid.ZoneID(zone))
	s.lastOwners[vrid.ZoneID(zone)] = owner
	return owner, err
}

// resolveServer resolves the name of a server: an id, or the server where a load started, a
// generate request arrived or an order was held last.
func (s *scenario) resolveServer(name string) vrid.ServerID {
	kinds := map[string]vrstandin.EntryKind{
		"loading": vrstandin.JournalLoadStarted, "serving": vrstandin.JournalGenerate, "held": vrstandin.JournalHeld,
	}
	kind, ok := kinds[name]
	if !ok {
		return vrid.ServerID(name)
	}
	var last vrid.ServerID
	for _, entry := range s.fleet.World.Journal.After(0) {
		if entry.Kind == kind {
			last = entry.Server
		}
	}
	return last
}

func (s *scenario) crash(arguments []string) error {
	return s.onDaemon("crash DAEMON", arguments, func(daemon vrid.DaemonID) error {
		s.evidence.Killed[daemon] = time.Now()
		s.generator.MarkDown(daemon)
		return s.fleet.Kill(daemon)
	})
}

func (s *scenario) shutdown(arguments []string) error {
	return s.onDaemon("shutdown DAEMON", arguments, func(daemon vrid.DaemonID) error {
		s.evidence.Stopping[daemon] = time.Now()
		s.generator.MarkDown(daemon)
		if err := s.fleet.Terminate(daemon); err != nil {
			return err
		}
		return s.fleet.WaitExit(daemon)
	})
}

// pause suspends a daemon and marks it as down for the load generator, as a load balancer
// does with a daemon that does not answer.
func (s *scenario) pause(arguments []string) error {
	return s.onDaemon("pause DAEMON", arguments, func(daemon vrid.DaemonID) error {
		s.generator.MarkDown(daemon)
		pause := vrinvariant.Pause{From: time.Now()}
		s.evidence.Paused[daemon] = append(s.evidence.Paused[daemon], pause)
		return s.fleet.Pause(daemon)
	})
}

func (s *scenario) resume(arguments []string) error {
	return s.onDaemon("resume DAEMON", arguments, func(daemon vrid.DaemonID) error {
		s.generator.MarkUp(daemon)
		if err := s.fleet.Resume(daemon); err != nil {
			return err
		}
		pauses := s.evidence.Paused[daemon]
		pauses[len(pauses)-1].Until = time.Now()
		return nil
	})
}

func (s *scenario) apply(line *argReader, fault vrstandin.Fault) error {
	if err := line.finish(); err != nil {
		return err
	}
	return s.fleet.World.Apply(fault)
}

func (s *scenario) platform(arguments []string) error {
	line := newArgReader("platform outage DURATION | slow DELAY DURATION | lose-answers COUNT [PREFIX] | limit RATE | clear", arguments)
	fault := vrstandin.Fault{}
	switch line.word() {
	case "outage":
		fault.Kind, fault.For = vrstandin.FaultPlatformOutage, line.optionalDuration()
	case "slow":
		fault.Kind, fault.Delay, fault.For = vrstandin.FaultPlatformSlow, vrid.Duration(line.duration()), line.optionalDuration()
	case "lose-answers":
		fault.Kind, fault.Count = vrstandin.FaultPlatformLoseAnswers, int(line.number())
		if line.more() {
			fault.Prefix = line.word()
		}
	case "limit":
		fault.Kind, fault.Rate = vrstandin.FaultPlatformRateLimit, line.number()
	case "clear":
		fault.Kind = vrstandin.FaultClear
	default:
		line.fail()
	}
	return s.apply(line, fault)
}

func (s *scenario) cut(arguments []string) error {
	line := newArgReader("cut zone ZONE [DURATION]", arguments)
	if !line.accept("zone") {
		line.fail()
	}
	zone := vrid.ZoneID(line.word())
	return s.apply(line, vrstandin.Fault{Kind: vrstandin.FaultZoneCut, Zone: zone, For: line.optionalDuration()})
}

func (s *scenario) weights(arguments []string) error {
	line := newArgReader("weights slow FACTOR | normal", arguments)
	fault := vrstandin.Fault{Kind: vrstandin.FaultWeightsSlow, Factor: 1}
	switch line.word() {
	case "slow":
		fault.Factor = line.number()
	case "normal":
	default:
		line.fail()
	}
	return s.apply(line, fault)
}

// _serverFaults maps the names of the faults of a server that take at most a duration as their
// argument.
var _serverFaults = map[string]vrstandin.FaultKind{
	"leave":          vrstandin.FaultServerLeave,
	"gone":           vrstandin.FaultServerGone,
	"restart":        vrstandin.FaultEngineRestart,
	"stop":           vrstandin.FaultEngineStop,
	"release":        vrstandin.FaultReleaseOrders,
	"ignore-fencing": vrstandin.FaultIgnoreFencing,
	"honor-fencing":  vrstandin.FaultHonorFencing,
}

// _countedFaults maps the names of the faults of a server that affect a given number of answers,
// calls or orders.
var _countedFaults = map[string]vrstandin.FaultKind{
	"hold":           vrstandin.FaultHoldOrders,
	"cross":          vrstandin.FaultEngineCross,
	"run-then-close": vrstandin.FaultAppRunThenClose,
	"refuse":         vrstandin.FaultAppRefuse,
}

func (s *scenario) server(arguments []string) error {
	line := newArgReader("server ID leave | gone | restart | stop | release | hold COUNT [KIND] | delay DURATION COUNT | …", arguments)
	name := line.word()
	faultName := line.word()
	if line.err != nil {
		return line.err
	}
	if name == "all" {
		return s.onEachLanguageServer(arguments)
	}
	fault := vrstandin.Fault{Server: s.resolveServer(name)}
	if kind, ok := _serverFaults[faultName]; ok {
		fault.Kind, fault.For = kind, line.optionalDuration()
		return s.apply(line, fault)
	}
	if faultName == "delay" {
		fault.Kind, fault.Delay, fault.Count = vrstandin.FaultEngineDelay, vrid.Duration(line.duration()), int(line.number())
		return s.apply(line, fault)
	}
	kind, ok := _countedFaults[faultName]
	if !ok {
		line.fail()
	}
	fault.Kind, fault.Count = kind, int(line.number())
	if line.more() {
		fault.Order = vrengine.OrderKind(line.word())
	}
	return s.apply(line, fault)
}

// onEachLanguageServer executes the line of a "server" verb for each language server.
func (s *scenario) onEachLanguageServer(arguments []string) error {
	for _, server := range s.fleet.Deployment.Servers {
		if server.Kind != vrconfig.KindLanguageServer {
			continue
		}
		serverArguments := append([]string{string(server.ID)}, arguments[1:]...)
		if err := s.server(serverArguments); err != nil {
			return err
		}
	}
	return nil
}

func (s *scenario) vm(arguments []string) error {
	line := newArgReader("vm leaving | remove ID", arguments)
	fault := vrstandin.Fault{Kind: vrstandin.FaultVMLeaving}
	switch line.word() {
	case "leaving":
	case "remove":
		fault.Kind = vrstandin.FaultVMRemove
	default:
		line.fail()
	}
	daemon, err := s.resolveDaemon(line.word())
	if err != nil {
		return err
	}
	fault.VM = vrplatform.VM{ID: vrid.VMID(daemon)}
	return s.apply(line, fault)
}

// startTraffic makes the calls of a plan with its own seed in the background.
func (s *scenario) startTraffic(mix vrload.Mix, rate float64, duration time.Duration) {
	s.trafficPlans++
	plan := vrload.Plan(vrload.Options{
		Fleet: &s.fleet.Deployment.Fleet, Seed: s.options.Seed + s.trafficPlans, Rate: rate, Duration: duration, Mix: mix,
	})
	s.background.Go(func() { s.generator.SendPlan(s.ctx, plan) })
}

func (s *scenario) traffic(arguments []string) error {
	line := newArgReader("traffic RATE DURATION", arguments)
	rate, duration := line.number(), line.duration()
	if err := line.finish(); err != nil {
		return err
	}
	s.startTraffic(nil, rate, duration)
	return nil
}

func (s *scenario) flood(arguments []string) error {
	line := newArgReader("flood urgent | normal | deferred RATE DURATION", arguments)
	callType := vrload.CallType(line.word())
	rate, duration := line.number(), line.duration()
	if err := line.finish(); err != nil {
		return err
	}
	s.startTraffic(vrload.Mix{callType: 1}, rate, duration)
	return nil
}

// newCall returns a new call for the name of a call type (such as a rank), an adapter or a
// model.
func (s *scenario) newCall(name string) vrload.Call {
	for _, callType := range []vrload.CallType{
		vrload.CallTypeUrgent, vrload.CallTypeNormal, vrload.CallTypeDeferred, vrload.CallTypeAdapter, vrload.CallTypeReserve, vrload.CallTypeStock,
	} {
		if string(callType) == name {
			return s.planner.OfType(callType)
		}
	}
	for _, adapter := range s.fleet.Deployment.Fleet.Adapters {
		if string(adapter.ID) == name {
			return s.planner.ForModel(adapter.Base, adapter.ID)
		}
	}
	return s.planner.ForModel(vrid.ModelID(name), "")
}

// makeCall reads the rest of a line, "[at DAEMON] [background]", and makes the call
// accordingly.
func (s *scenario) makeCall(line *argReader, call vrload.Call) error {
	if line.accept("at") {
		daemon, err := s.resolveDaemon(line.word())
		if err != nil {
			return err
		}
		call.Daemon = daemon
	}
	background := line.accept("background")
	if err := line.finish(); err != nil {
		return err
	}
	if background {
		s.generator.Start(s.ctx, call)
		return nil
	}
	s.lastResult = s.generator.Do(s.ctx, call)
	s.generator.AddResult(s.lastResult)
	return nil
}

func (s *scenario) request(arguments []string) error {
	line := newArgReader("request RANK | MODEL | ADAPTER [at DAEMON] [background]", arguments)
	name := line.word()
	if line.err != nil {
		return line.err
	}
	return s.makeCall(line, s.newCall(name))
}

func (s *scenario) reserve(arguments []string) error {
	line := newArgReader("reserve KEY [at DAEMON] [background]", arguments)
	key := s.resolveKey(line.word())
	if line.err != nil {
		return line.err
	}
	call := s.planner.Reserve()
	call.Key = key
	// The body depends only on the key, so that calls with the same key are identical.
	call.Body = `{"copy":"` + string(key) + `"}`
	return s.makeCall(line, call)
}
