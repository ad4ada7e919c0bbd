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

// words reads the arguments of a verb one by one.
type words struct {
	usage string
	all   []string
	left  []string
	err   error
}

func read(usage string, arguments []string) *words {
	return &words{usage: usage, all: arguments, left: arguments}
}

func (w *words) fail() {
	if w.err == nil {
		w.err = &UsageError{Usage: w.usage, Found: w.all}
	}
}

func (w *words) text() string {
	if len(w.left) == 0 {
		w.fail()
		return ""
	}
	word := w.left[0]
	w.left = w.left[1:]
	return word
}

func (w *words) more() bool { return len(w.left) > 0 }

func (w *words) duration() time.Duration {
	length, err := time.ParseDuration(w.text())
	if err != nil {
		w.fail()
	}
	return length
}

func (w *words) number() float64 {
	value, err := strconv.ParseFloat(w.text(), 64)
	if err != nil {
		w.fail()
	}
	return value
}

// optional returns the next duration, or zero at the end of the line.
func (w *words) optional() vrid.Duration {
	if !w.more() {
		return 0
	}
	return vrid.Duration(w.duration())
}

// after reports whether the next word is the given one and takes it.
func (w *words) after(word string) bool {
	if !w.more() || w.left[0] != word {
		return false
	}
	w.left = w.left[1:]
	return true
}

func (w *words) end() error {
	if w.more() {
		w.fail()
	}
	return w.err
}

// onDaemon reads the only argument and acts on the daemon that it names.
func (s *scenario) onDaemon(usage string, arguments []string, act func(vrid.DaemonID) error) error {
	line := read(usage, arguments)
	name := line.text()
	if err := line.end(); err != nil {
		return err
	}
	daemon, err := s.daemon(name)
	if err != nil {
		return err
	}
	return act(daemon)
}

const _ownerPrefix = "owner:"

const (
	_formerPrefix = "former:"
	_memberPrefix = "member:"
)

// member returns the first daemon of a zone that runs and is not paused.
func (s *scenario) member(zone vrid.ZoneID) (vrid.DaemonID, error) {
	for _, daemon := range s.fleet.Deployment.Daemons {
		if daemon.Zone == zone && s.fleet.Working(daemon.ID) {
			return daemon.ID, nil
		}
	}
	return "", &ExpectError{Want: "a daemon in " + string(zone), Got: "none that runs"}
}

// daemon resolves an id, the owner or a member of a zone, or the owner that was named
// last.
func (s *scenario) daemon(name string) (vrid.DaemonID, error) {
	if zone, ok := strings.CutPrefix(name, _memberPrefix); ok {
		return s.member(vrid.ZoneID(zone))
	}
	if zone, ok := strings.CutPrefix(name, _formerPrefix); ok {
		return s.former[vrid.ZoneID(zone)], nil
	}
	zone, isOwner := strings.CutPrefix(name, _ownerPrefix)
	if !isOwner {
		return vrid.DaemonID(name), nil
	}
	owner, err := s.fleet.Owner(vrid.ZoneID(zone))
	s.former[vrid.ZoneID(zone)] = owner
	return owner, err
}

// serverNamed resolves an id, or the server where a load started or a request to
// generate arrived last.
func (s *scenario) serverNamed(name string) vrid.ServerID {
	kinds := map[string]vrstandin.EntryKind{
		"loading": vrstandin.JournalLoadStarted, "serving": vrstandin.JournalGenerate, "held": vrstandin.JournalHeld,
	}
	kind, ok := kinds[name]
	if !ok {
		return vrid.ServerID(name)
	}
	var found vrid.ServerID
	for _, entry := range s.fleet.World.Journal.After(0) {
		if entry.Kind == kind {
			found = entry.Server
		}
	}
	return found
}

func (s *scenario) crash(arguments []string) error {
	return s.onDaemon("crash DAEMON", arguments, func(daemon vrid.DaemonID) error {
		s.evidence.Killed[daemon] = time.Now()
		s.load.MarkDown(daemon)
		return s.fleet.Kill(daemon)
	})
}

func (s *scenario) shutdown(arguments []string) error {
	return s.onDaemon("shutdown DAEMON", arguments, func(daemon vrid.DaemonID) error {
		s.evidence.Stopping[daemon] = time.Now()
		s.load.MarkDown(daemon)
		if err := s.fleet.Terminate(daemon); err != nil {
			return err
		}
		return s.fleet.WaitExit(daemon)
	})
}

// pause stops a daemon; the balancer stops sending to it, because it does not answer.
func (s *scenario) pause(arguments []string) error {
	return s.onDaemon("pause DAEMON", arguments, func(daemon vrid.DaemonID) error {
		s.load.MarkDown(daemon)
		pause := vrinvariant.Pause{From: time.Now()}
		s.evidence.Paused[daemon] = append(s.evidence.Paused[daemon], pause)
		return s.fleet.Pause(daemon)
	})
}

func (s *scenario) resume(arguments []string) error {
	return s.onDaemon("resume DAEMON", arguments, func(daemon vrid.DaemonID) error {
		s.load.MarkUp(daemon)
		if err := s.fleet.Resume(daemon); err != nil {
			return err
		}
		pauses := s.evidence.Paused[daemon]
		pauses[len(pauses)-1].Until = time.Now()
		return nil
	})
}

func (s *scenario) apply(line *words, fault vrstandin.Fault) error {
	if err := line.end(); err != nil {
		return err
	}
	return s.fleet.World.Apply(fault)
}

func (s *scenario) platform(arguments []string) error {
	line := read("platform outage DURATION | slow DELAY DURATION | lose-answers COUNT [PREFIX] | limit RATE | clear", arguments)
	fault := vrstandin.Fault{}
	switch line.text() {
	case "outage":
		fault.Kind, fault.For = vrstandin.FaultPlatformOutage, line.optional()
	case "slow":
		fault.Kind, fault.Delay, fault.For = vrstandin.FaultPlatformSlow, vrid.Duration(line.duration()), line.optional()
	case "lose-answers":
		fault.Kind, fault.Count = vrstandin.FaultPlatformLoseAnswers, int(line.number())
		if line.more() {
			fault.Prefix = line.text()
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
	line := read("cut zone ZONE [DURATION]", arguments)
	if !line.after("zone") {
		line.fail()
	}
	zone := vrid.ZoneID(line.text())
	return s.apply(line, vrstandin.Fault{Kind: vrstandin.FaultZoneCut, Zone: zone, For: line.optional()})
}

func (s *scenario) weights(arguments []string) error {
	line := read("weights slow FACTOR | normal", arguments)
	fault := vrstandin.Fault{Kind: vrstandin.FaultWeightsSlow, Factor: 1}
	switch line.text() {
	case "slow":
		fault.Factor = line.number()
	case "normal":
	default:
		line.fail()
	}
	return s.apply(line, fault)
}

// _serverFaults are the states of a server that take no further words.
var _serverFaults = map[string]vrstandin.FaultKind{
	"leave":          vrstandin.FaultServerLeave,
	"gone":           vrstandin.FaultServerGone,
	"restart":        vrstandin.FaultEngineRestart,
	"stop":           vrstandin.FaultEngineStop,
	"release":        vrstandin.FaultReleaseOrders,
	"ignore-fencing": vrstandin.FaultIgnoreFencing,
	"honor-fencing":  vrstandin.FaultHonorFencing,
}

// _countedFaults hit a number of answers or orders.
var _countedFaults = map[string]vrstandin.FaultKind{
	"hold":           vrstandin.FaultHoldOrders,
	"cross":          vrstandin.FaultEngineCross,
	"run-then-close": vrstandin.FaultAppRunThenClose,
	"refuse":         vrstandin.FaultAppRefuse,
}

func (s *scenario) server(arguments []string) error {
	line := read("server ID leave | gone | restart | stop | release | hold COUNT [KIND] | delay LENGTH COUNT | …", arguments)
	name := line.text()
	word := line.text()
	if line.err != nil {
		return line.err
	}
	if name == "all" {
		return s.everyServer(arguments)
	}
	fault := vrstandin.Fault{Server: s.serverNamed(name)}
	if kind, ok := _serverFaults[word]; ok {
		fault.Kind, fault.For = kind, line.optional()
		return s.apply(line, fault)
	}
	if word == "delay" {
		fault.Kind, fault.Delay, fault.Count = vrstandin.FaultEngineDelay, vrid.Duration(line.duration()), int(line.number())
		return s.apply(line, fault)
	}
	kind, ok := _countedFaults[word]
	if !ok {
		line.fail()
	}
	fault.Kind, fault.Count = kind, int(line.number())
	if line.more() {
		fault.Order = vrengine.OrderKind(line.text())
	}
	return s.apply(line, fault)
}

// everyServer applies a line to each language server.
func (s *scenario) everyServer(arguments []string) error {
	for _, server := range s.fleet.Deployment.Servers {
		if server.Kind != vrconfig.KindLanguageServer {
			continue
		}
		one := append([]string{string(server.ID)}, arguments[1:]...)
		if err := s.server(one); err != nil {
			return err
		}
	}
	return nil
}

func (s *scenario) vm(arguments []string) error {
	line := read("vm leaving | remove ID", arguments)
	fault := vrstandin.Fault{Kind: vrstandin.FaultVMLeaving}
	switch line.text() {
	case "leaving":
	case "remove":
		fault.Kind = vrstandin.FaultVMRemove
	default:
		line.fail()
	}
	daemon, err := s.daemon(line.text())
	if err != nil {
		return err
	}
	fault.VM = vrplatform.VM{ID: vrid.VMID(daemon)}
	return s.apply(line, fault)
}

// play sends a plan of its own seed in the background.
func (s *scenario) play(mix vrload.Mix, rate float64, length time.Duration) {
	s.plans++
	plan := vrload.Plan(vrload.Options{
		Fleet: &s.fleet.Deployment.Fleet, Seed: s.options.Seed + s.plans, Rate: rate, For: length, Mix: mix,
	})
	s.background.Go(func() { s.load.Play(s.ctx, plan) })
}

func (s *scenario) traffic(arguments []string) error {
	line := read("traffic RATE DURATION", arguments)
	rate, length := line.number(), line.duration()
	if err := line.end(); err != nil {
		return err
	}
	s.play(nil, rate, length)
	return nil
}

func (s *scenario) flood(arguments []string) error {
	line := read("flood urgent | normal | deferred RATE DURATION", arguments)
	sort := vrload.Sort(line.text())
	rate, length := line.number(), line.duration()
	if err := line.end(); err != nil {
		return err
	}
	s.play(vrload.Mix{sort: 1}, rate, length)
	return nil
}

// call reads what to ask for: a rank, a sort of call, a model or an adapter.
func (s *scenario) call(name string) vrload.Call {
	for _, sort := range []vrload.Sort{
		vrload.SortUrgent, vrload.SortNormal, vrload.SortDeferred, vrload.SortAdapter, vrload.SortReserve, vrload.SortStock,
	} {
		if string(sort) == name {
			return s.planner.Of(sort)
		}
	}
	for _, adapter := range s.fleet.Deployment.Fleet.Adapters {
		if string(adapter.ID) == name {
			return s.planner.ForModel(adapter.Base, adapter.ID)
		}
	}
	return s.planner.ForModel(vrid.ModelID(name), "")
}

// do makes the call, in the background if the line says so.
func (s *scenario) do(line *words, call vrload.Call) error {
	if line.after("at") {
		daemon, err := s.daemon(line.text())
		if err != nil {
			return err
		}
		call.Daemon = daemon
	}
	background := line.after("background")
	if err := line.end(); err != nil {
		return err
	}
	if background {
		s.load.Start(s.ctx, call)
		return nil
	}
	s.last = s.load.Do(s.ctx, call)
	s.load.Keep(s.last)
	return nil
}

func (s *scenario) request(arguments []string) error {
	line := read("request RANK | MODEL | ADAPTER [at DAEMON] [background]", arguments)
	name := line.text()
	if line.err != nil {
		return line.err
	}
	return s.do(line, s.call(name))
}

func (s *scenario) reserve(arguments []string) error {
	line := read("reserve KEY [at DAEMON] [background]", arguments)
	key := s.key(line.text())
	if line.err != nil {
		return line.err
	}
	call := s.planner.Reserve()
	call.Key = key
	// The body depends on the key only, so that the same key is the same call.
	call.Body = `{"copy":"` + string(key) + `"}`
	return s.do(line, call)
}
