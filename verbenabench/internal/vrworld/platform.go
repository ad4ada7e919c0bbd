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
	platformRoundTrip = 2 * time.Millisecond
	// platformTimeout is how long a daemon waits for an answer.
	platformTimeout = 2 * time.Second
	// watchDelay is the time from a change until a pending watch is answered.
	watchDelay = 5 * time.Millisecond
	// watchRetry is the retry interval of a watch that can't reach the platform.
	watchRetry = 500 * time.Millisecond
	// maxLateWriteDelay is the maximum delay until a late write takes effect.
	maxLateWriteDelay = 8 * time.Second
)

// Platform is a fake of the platform's object API and VM list.
type Platform struct {
	world    *World
	objects  map[string]object
	keys     []string
	revision vrid.ObjectVersion
	vms      []*vmEntry
	// Down makes every call fail.
	Down bool
	// MaxExtraDelay is the maximum additional delay of a call.
	MaxExtraDelay time.Duration
	// LoseAnswers is the probability that a call takes effect but its answer is lost.
	LoseAnswers float64
	// LateWrites is the probability that a write takes effect only after its caller timed out.
	LateWrites float64
	// Calls counts the calls that reached the platform, by kind and first segment of the key,
	// for example "write ledgers".
	Calls map[string]int
	// cut holds the zones that are cut off from the platform.
	cut map[vrid.ZoneID]bool
}

type object struct {
	version vrid.ObjectVersion
	value   []byte
}

// vmEntry is an entry of the VM list with the times at which it changed.
type vmEntry struct {
	vrplatform.VM
	added   time.Time
	removed time.Time
	leaving time.Time
}

func newPlatform(w *World) *Platform {
	return &Platform{world: w, objects: make(map[string]object), Calls: make(map[string]int), cut: make(map[vrid.ZoneID]bool)}
}

// installConfig stores the initial configuration.
func (f *Platform) installConfig(fleet *vrconfig.Fleet) {
	document, err := vrcodec.EncodeFleet(fleet)
	if err != nil {
		panic(err)
	}
	f.put(vrplatform.HistoryKey(fleet.Version), document)
	f.put(vrplatform.KeyConfigHead, document)
}

// SetCut cuts a zone off from the platform, or reconnects it if cut is false.
func (f *Platform) SetCut(zone vrid.ZoneID, cut bool) { f.cut[zone] = cut }

// IsCut reports whether the platform is unreachable from a zone.
func (f *Platform) IsCut(zone vrid.ZoneID) bool { return f.Down || f.cut[zone] }

// Heal removes all faults of the platform.
func (f *Platform) Heal() {
	f.Down, f.MaxExtraDelay, f.LoseAnswers, f.LateWrites = false, 0, 0, 0
	clear(f.cut)
}

// Object returns the current value and version of an object, for oracles.
func (f *Platform) Object(key string) ([]byte, vrid.ObjectVersion) {
	stored := f.objects[key]
	return stored.value, stored.version
}

// Keys returns the keys with a prefix in lexical order.
func (f *Platform) Keys(prefix string) []string {
	start := sort.SearchStrings(f.keys, prefix)
	end := start
	for end < len(f.keys) && strings.HasPrefix(f.keys[end], prefix) {
		end++
	}
	return f.keys[start:end]
}

// put stores an object under the next revision and notifies watches and the observer.
func (f *Platform) put(key string, value []byte) vrid.ObjectVersion {
	f.revision++
	if _, ok := f.objects[key]; !ok {
		index := sort.SearchStrings(f.keys, key)
		f.keys = append(f.keys, "")
		copy(f.keys[index+1:], f.keys[index:])
		f.keys[index] = key
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

// call simulates a call of a daemon, with the delay of both directions. apply
// executes the call when it reaches the platform and returns the answer. refused is
// delivered if the platform rejects the call, unknown if the call times out.
func (f *Platform) call(p *Process, kind string, apply func() vrevent.Event, refused, unknown vrevent.Event, write bool) {
	w := f.world
	if f.IsCut(p.Daemon.Zone) {
		answer, after := unknown, platformTimeout
		if f.Down && w.chance(0.5) {
			answer, after = refused, platformRoundTrip
		}
		w.After(after, func() { p.deliver(answer) })
		return
	}
	delay := platformRoundTrip/2 + w.randomDuration(0, f.MaxExtraDelay)
	if write && w.chance(f.LateWrites) {
		w.After(w.randomDuration(platformTimeout, maxLateWriteDelay), func() {
			f.Calls[kind]++
			apply()
		})
		w.After(platformTimeout, func() { p.deliver(unknown) })
		return
	}
	w.After(delay, func() {
		f.Calls[kind]++
		answer := apply()
		if delay > platformTimeout || w.chance(f.LoseAnswers) {
			w.After(max(0, platformTimeout-delay), func() { p.deliver(unknown) })
			return
		}
		w.After(platformRoundTrip/2, func() { p.deliver(answer) })
	})
}

// callKind returns the key of Platform.Calls.
func callKind(kind, key string) string {
	part, _, _ := strings.Cut(key, "/")
	return kind + " " + part
}

func (f *Platform) read(p *Process, e vrevent.ReadObject) {
	apply := func() vrevent.Event {
		stored, ok := f.objects[e.Key]
		if !ok {
			return vrevent.ObjectRead{Op: e.Op, Key: e.Key, Outcome: vrplatform.OutcomeNotFound}
		}
		return vrevent.ObjectRead{Op: e.Op, Key: e.Key, Outcome: vrplatform.OutcomeOK, Version: stored.version, Value: stored.value}
	}
	f.call(p, callKind("read", e.Key), apply,
		vrevent.ObjectRead{Op: e.Op, Key: e.Key, Outcome: vrplatform.OutcomeUnavailable},
		vrevent.ObjectRead{Op: e.Op, Key: e.Key, Outcome: vrplatform.OutcomeUnknown}, false)
}

func (f *Platform) write(p *Process, e vrevent.WriteObject) {
	answer := func(outcome vrplatform.Outcome, version vrid.ObjectVersion) vrevent.Event {
		return vrevent.ObjectWritten{Op: e.Op, Key: e.Key, Outcome: outcome, Version: version}
	}
	apply := func() vrevent.Event {
		if stored := f.objects[e.Key]; stored.version != e.IfVersion {
			return answer(vrplatform.OutcomeConflict, stored.version)
		}
		return answer(vrplatform.OutcomeOK, f.put(e.Key, e.Value))
	}
	f.call(p, callKind("write", e.Key), apply, answer(vrplatform.OutcomeUnavailable, 0), answer(vrplatform.OutcomeUnknown, 0), true)
}

func (f *Platform) list(p *Process, e vrevent.ListObjects) {
	apply := func() vrevent.Event {
		listed := vrevent.ObjectsListed{Op: e.Op, Prefix: e.Prefix, Outcome: vrplatform.OutcomeOK}
		for _, key := range f.Keys(e.Prefix) {
			stored := f.objects[key]
			listed.Items = append(listed.Items, vrplatform.Item{Key: key, Version: stored.version, Value: stored.value})
		}
		return listed
	}
	f.call(p, callKind("list", e.Prefix), apply,
		vrevent.ObjectsListed{Op: e.Op, Prefix: e.Prefix, Outcome: vrplatform.OutcomeUnavailable},
		vrevent.ObjectsListed{Op: e.Op, Prefix: e.Prefix, Outcome: vrplatform.OutcomeUnknown}, false)
}

func (f *Platform) listVMs(p *Process) {
	apply := func() vrevent.Event {
		return vrevent.VMsListed{Outcome: vrplatform.OutcomeOK, VMs: f.laggedVMs()}
	}
	f.call(p, "vms", apply, vrevent.VMsListed{Outcome: vrplatform.OutcomeUnavailable},
		vrevent.VMsListed{Outcome: vrplatform.OutcomeUnknown}, false)
}

// laggedVMs returns the VM list as it was VMLag ago.
func (f *Platform) laggedVMs() []vrplatform.VM {
	at := f.world.Now().Add(-f.world.Options.VMLag)
	var listed []vrplatform.VM
	for _, vm := range f.vms {
		if at.Before(vm.added) || (!vm.removed.IsZero() && !at.Before(vm.removed)) {
			continue
		}
		entry := vm.VM
		if !vm.leaving.IsZero() && !at.Before(vm.leaving) {
			entry.State = vrplatform.VMLeaving
		}
		listed = append(listed, entry)
	}
	return listed
}

// addVM adds a VM to the list. VMs that are added before the first event are listed from
// the start, without VMLag.
func (f *Platform) addVM(listed vrplatform.VM) *vmEntry {
	listed.State = vrplatform.VMLive
	v := &vmEntry{VM: listed, added: f.world.Now()}
	if f.world.Steps == 0 {
		v.added = time.Time{}
	}
	f.vms = append(f.vms, v)
	return v
}
