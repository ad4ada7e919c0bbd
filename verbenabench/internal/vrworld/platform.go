package vrworld

import (
	"sort"
	"strings"
	"time"

	"verbenaroute.example/verbenacore/vrcodec"
	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
)

const (
	platformDelay = 2 * time.Millisecond
	// platformTimeout is when a daemon stops waiting for an answer.
	platformTimeout = 2 * time.Second
	// watchDelay is the time until a pending watch answers.
	watchDelay = 5 * time.Millisecond
	// watchRetry is the pause of a watch that can't reach the platform.
	watchRetry = 500 * time.Millisecond
	// lateWrite is the longest time after which a delayed write takes effect.
	lateWrite = 8 * time.Second
)

// Platform is the fake of the object API and of the list of VMs.
type Platform struct {
	world    *World
	objects  map[string]object
	keys     []string
	revision vrid.ObjectVersion
	vms      []*vm
	// Down refuses every call.
	Down bool
	// Slow is the longest additional delay of a call.
	Slow time.Duration
	// LoseAnswers is the probability that a call takes effect and its answer is lost.
	LoseAnswers float64
	// LateWrites is the probability that a write takes effect after its caller gave up.
	LateWrites float64
	// Calls counts what reached the platform, by kind and first part of the key, for
	// example "write ledgers".
	Calls map[string]int
	cut   map[vrid.ZoneID]bool
}

type object struct {
	version vrid.ObjectVersion
	value   []byte
}

// vm is one line of the list with the time of its changes.
type vm struct {
	vrplatform.VM
	added   time.Time
	removed time.Time
	leaving time.Time
}

func newPlatform(w *World) *Platform {
	return &Platform{world: w, objects: make(map[string]object), Calls: make(map[string]int), cut: make(map[vrid.ZoneID]bool)}
}

// install writes the first configuration.
func (f *Platform) install(fleet *vrconfig.Fleet) {
	document, err := vrcodec.EncodeFleet(fleet)
	if err != nil {
		panic(err)
	}
	f.put(vrplatform.HistoryKey(fleet.Version), document)
	f.put(vrplatform.KeyConfigHead, document)
}

// Cut separates a zone from the platform, or joins it again.
func (f *Platform) Cut(zone vrid.ZoneID, cut bool) { f.cut[zone] = cut }

// IsCut reports whether a zone can't reach the platform.
func (f *Platform) IsCut(zone vrid.ZoneID) bool { return f.Down || f.cut[zone] }

// Heal ends every fault of the platform.
func (f *Platform) Heal() {
	f.Down, f.Slow, f.LoseAnswers, f.LateWrites = false, 0, 0, 0
	clear(f.cut)
}

// Object returns a value as it stands, for oracles.
func (f *Platform) Object(key string) ([]byte, vrid.ObjectVersion) {
	held := f.objects[key]
	return held.value, held.version
}

// Keys lists the keys with a prefix in order.
func (f *Platform) Keys(prefix string) []string {
	start := sort.SearchStrings(f.keys, prefix)
	end := start
	for end < len(f.keys) && strings.HasPrefix(f.keys[end], prefix) {
		end++
	}
	return f.keys[start:end]
}

func (f *Platform) put(key string, value []byte) vrid.ObjectVersion {
	f.revision++
	if _, ok := f.objects[key]; !ok {
		at := sort.SearchStrings(f.keys, key)
		f.keys = append(f.keys, "")
		copy(f.keys[at+1:], f.keys[at:])
		f.keys[at] = key
	}
	f.objects[key] = object{version: f.revision, value: value}
	if key == vrplatform.KeyConfigHead {
		f.world.notifyWatches()
	}
	if f.world.Options.Observer != nil {
		f.world.Options.Observer.Written(key, value)
	}
	return f.revision
}

// call runs one call of a daemon: the request travels, takes effect and the answer
// travels back. work runs at the moment of the effect and returns the answer; lost is
// the answer when nothing is known.
func (f *Platform) call(p *Process, kind string, work func() vrevent.Event, refused, lost vrevent.Event, write bool) {
	w := f.world
	if f.IsCut(p.Daemon.Zone) {
		answer, after := lost, platformTimeout
		if f.Down && w.chance(0.5) {
			answer, after = refused, platformDelay
		}
		w.After(after, func() { p.deliver(answer) })
		return
	}
	delay := platformDelay/2 + w.spread(0, f.Slow)
	if write && w.chance(f.LateWrites) {
		w.After(w.spread(platformTimeout, lateWrite), func() {
			f.Calls[kind]++
			work()
		})
		w.After(platformTimeout, func() { p.deliver(lost) })
		return
	}
	w.After(delay, func() {
		f.Calls[kind]++
		answer := work()
		if delay > platformTimeout || w.chance(f.LoseAnswers) {
			w.After(max(0, platformTimeout-delay), func() { p.deliver(lost) })
			return
		}
		w.After(platformDelay/2, func() { p.deliver(answer) })
	})
}

func callName(kind, key string) string {
	part, _, _ := strings.Cut(key, "/")
	return kind + " " + part
}

func (f *Platform) read(p *Process, e vrevent.ReadObject) {
	work := func() vrevent.Event {
		held, ok := f.objects[e.Key]
		if !ok {
			return vrevent.ObjectRead{Op: e.Op, Key: e.Key, Outcome: vrplatform.OutcomeNotFound}
		}
		return vrevent.ObjectRead{Op: e.Op, Key: e.Key, Outcome: vrplatform.OutcomeOK, Version: held.version, Value: held.value}
	}
	f.call(p, callName("read", e.Key), work,
		vrevent.ObjectRead{Op: e.Op, Key: e.Key, Outcome: vrplatform.OutcomeUnavailable},
		vrevent.ObjectRead{Op: e.Op, Key: e.Key, Outcome: vrplatform.OutcomeUnknown}, false)
}

func (f *Platform) write(p *Process, e vrevent.WriteObject) {
	answer := func(outcome vrplatform.Outcome, version vrid.ObjectVersion) vrevent.Event {
		return vrevent.ObjectWritten{Op: e.Op, Key: e.Key, Outcome: outcome, Version: version}
	}
	work := func() vrevent.Event {
		if held := f.objects[e.Key]; held.version != e.IfVersion {
			return answer(vrplatform.OutcomeConflict, held.version)
		}
		return answer(vrplatform.OutcomeOK, f.put(e.Key, e.Value))
	}
	f.call(p, callName("write", e.Key), work, answer(vrplatform.OutcomeUnavailable, 0), answer(vrplatform.OutcomeUnknown, 0), true)
}

func (f *Platform) list(p *Process, e vrevent.ListObjects) {
	work := func() vrevent.Event {
		listed := vrevent.ObjectsListed{Op: e.Op, Prefix: e.Prefix, Outcome: vrplatform.OutcomeOK}
		for _, key := range f.Keys(e.Prefix) {
			held := f.objects[key]
			listed.Items = append(listed.Items, vrplatform.Item{Key: key, Version: held.version, Value: held.value})
		}
		return listed
	}
	f.call(p, callName("list", e.Prefix), work,
		vrevent.ObjectsListed{Op: e.Op, Prefix: e.Prefix, Outcome: vrplatform.OutcomeUnavailable},
		vrevent.ObjectsListed{Op: e.Op, Prefix: e.Prefix, Outcome: vrplatform.OutcomeUnknown}, false)
}

func (f *Platform) listVMs(p *Process) {
	work := func() vrevent.Event {
		return vrevent.VMsListed{Outcome: vrplatform.OutcomeOK, VMs: f.lagging()}
	}
	f.call(p, "vms", work, vrevent.VMsListed{Outcome: vrplatform.OutcomeUnavailable},
		vrevent.VMsListed{Outcome: vrplatform.OutcomeUnknown}, false)
}

// lagging is the list as it was a while ago.
func (f *Platform) lagging() []vrplatform.VM {
	at := f.world.Now().Add(-f.world.Options.VMLag)
	var listed []vrplatform.VM
	for _, v := range f.vms {
		if at.Before(v.added) || (!v.removed.IsZero() && !at.Before(v.removed)) {
			continue
		}
		line := v.VM
		if !v.leaving.IsZero() && !at.Before(v.leaving) {
			line.State = vrplatform.VMLeaving
		}
		listed = append(listed, line)
	}
	return listed
}

// addVM lists a VM. The first ones are known from the start.
func (f *Platform) addVM(line vrplatform.VM) *vm {
	line.State = vrplatform.VMLive
	v := &vm{VM: line, added: f.world.Now()}
	if f.world.Steps == 0 {
		v.added = time.Time{}
	}
	f.vms = append(f.vms, v)
	return v
}
