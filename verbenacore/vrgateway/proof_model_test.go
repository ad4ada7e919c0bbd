package vrgateway_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// keyWorld is a store whose API keys change, and daemons that read it, lose it, are suspended and ask each other,
// in virtual time. Its messages, reads and writes are late at random.
type keyWorld struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Duration
	queue   worldQueue
	added   map[string]time.Duration
	dropped map[string]time.Duration
	keys    []string
	version vrid.ConfigVersion
	daemons []*worldDaemon
	// servedWithoutStore counts the requests that daemons have sent long after they lost the store.
	served, servedWithoutStore, unknown int
}

// worldDaemon is a daemon of a keyWorld. Its clock differs from the others'.
type worldDaemon struct {
	*daemon
	startedAt      time.Time
	suspendedUntil time.Duration
	lost           bool
	lostAt         time.Duration
	calls          map[vrevent.CallID]worldCall
}

type worldCall struct {
	key       string
	arrivedAt time.Duration
}

// worldEvent is something that happens at a time, at a daemon if that is not nil: a suspended one handles it later.
type worldEvent struct {
	at     time.Duration
	number int
	daemon *worldDaemon
	do     func()
}

type worldQueue struct {
	events []worldEvent
	number int
}

func (q *worldQueue) Len() int { return len(q.events) }
func (q *worldQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q.events[i].at, q.events[j].at), cmp.Compare(q.events[i].number, q.events[j].number)) < 0
}
func (q *worldQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }
func (q *worldQueue) Push(event any) {
	q.events = append(q.events, event.(worldEvent)) //nolint:forcetypeassert // only worldEvents are pushed
}

func (q *worldQueue) Pop() any {
	last := q.events[len(q.events)-1]
	q.events = q.events[:len(q.events)-1]
	return last
}

func (w *keyWorld) after(delay time.Duration, d *worldDaemon, do func()) {
	w.queue.number++
	heap.Push(&w.queue, worldEvent{at: w.now + delay, number: w.queue.number, daemon: d, do: do})
}

// every repeats do at intervals of up to the given time.
func (w *keyWorld) every(interval time.Duration, d *worldDaemon, do func()) {
	var repeat func()
	repeat = func() {
		do()
		w.after(interval/2+w.upTo(interval/2), d, repeat)
	}
	w.after(w.upTo(interval), d, repeat)
}

func (w *keyWorld) upTo(limit time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(limit) + 1))
}

// delay returns the time that a message takes.
func (w *keyWorld) delay() time.Duration {
	if w.random.IntN(10) == 0 {
		return w.upTo(5 * time.Second)
	}
	return w.upTo(20 * time.Millisecond)
}

func (w *keyWorld) run(duration time.Duration) {
	for w.queue.Len() > 0 && w.queue.events[0].at <= duration {
		event := heap.Pop(&w.queue).(worldEvent) //nolint:forcetypeassert // only worldEvents are pushed
		if event.daemon != nil && event.daemon.suspendedUntil > event.at {
			event.at = event.daemon.suspendedUntil
			heap.Push(&w.queue, event)
			continue
		}
		w.now = event.at
		event.do()
	}
}

// publish replaces one key by a new one.
func (w *keyWorld) publish() {
	w.version++
	key := fmt.Sprint("key", w.version)
	w.keys, w.added[key] = append(w.keys, key), w.now
	const maxKeys = 4
	if len(w.keys) > maxKeys {
		w.dropped[w.keys[0]] = w.now
		w.keys = slices.Clone(w.keys[1:])
	}
}

// submit passes an event to a daemon and carries out the effects.
func (w *keyWorld) submit(d *worldDaemon, event vrevent.Event) {
	d.now = d.startedAt.Add(w.now)
	for _, effect := range d.reduce(event) {
		switch e := effect.(type) {
		case vrevent.SendPeer:
			w.sendPeer(d, e)
		case vrevent.SendCall:
			w.after(w.upTo(600*time.Millisecond), d, func() { w.writeRequest(d, e) })
		case vrevent.RefuseCall:
			w.checkRefusal(d.calls[e.Call], e)
		}
	}
}

func (w *keyWorld) sendPeer(d *worldDaemon, e vrevent.SendPeer) {
	for _, other := range w.daemons {
		if other.id == e.Peer && w.random.IntN(10) > 0 {
			w.after(w.delay(), other, func() { w.submit(other, vrevent.PeerMessage{Envelope: d.seal(e.Envelope)}) })
		}
	}
}

// writeRequest writes a request as the relay does, and requires that its key was not dropped for too long.
func (w *keyWorld) writeRequest(d *worldDaemon, e vrevent.SendCall) {
	ended := vrevent.SendEnded{Call: e.Call, Send: e.Send, Result: vrevent.AttemptUnauthorized}
	if d.startedAt.Add(w.now).Before(e.AuthorizedUntil) {
		call := d.calls[e.Call]
		if droppedAt, dropped := w.dropped[call.key]; dropped {
			require.LessOrEqual(w.t, w.now-droppedAt, revocation, "%s runs %s, dropped at %s, at %s", d.id, call.key, droppedAt, w.now)
		}
		w.served++
		if d.lost && w.now-d.lostAt > revocation {
			w.servedWithoutStore++
		}
		ended.Result, ended.Status = vrevent.AttemptAnswered, 200
	}
	w.submit(d, ended)
}

// checkRefusal requires that no client is told that its key is unknown if it was added in time.
func (w *keyWorld) checkRefusal(call worldCall, e vrevent.RefuseCall) {
	if e.Reason != vrwire.ReasonTenantUnknown {
		return
	}
	w.unknown++
	if _, dropped := w.dropped[call.key]; !dropped {
		require.LessOrEqual(w.t, call.arrivedAt-w.added[call.key], catalogApply, call.key)
	}
}

// readStore reads the catalog as the store has it at some time during the call.
func (w *keyWorld) readStore(d *worldDaemon) {
	if d.lost {
		return
	}
	sentAt := d.startedAt.Add(w.now)
	w.after(w.delay(), nil, func() {
		catalog := tenantCatalog(w.version, w.keys...)
		w.after(w.delay(), d, func() {
			w.submit(d, vrevent.CatalogSeen{Catalog: catalog})
			w.submit(d, vrevent.CatalogChecked{At: sentAt})
		})
	})
}

func (w *keyWorld) arrive(d *worldDaemon) {
	key := fmt.Sprint("key", max(1, int(w.version)-w.random.IntN(7)))
	d.lastCallID++
	d.calls[d.lastCallID] = worldCall{key: key, arrivedAt: w.now}
	w.submit(d, vrevent.CallArrived{Call: callWithKey(d.lastCallID, "read", key)})
}

// toggleStore makes a daemon lose the store or reach it again.
func (w *keyWorld) toggleStore(d *worldDaemon) {
	if d.lost = !d.lost; d.lost {
		d.lostAt = w.now
		w.submit(d, vrevent.StoreLost{})
		return
	}
	w.submit(d, vrevent.StoreRecovered{})
}

func newKeyWorld(t *testing.T, seed uint64) *keyWorld {
	w := &keyWorld{t: t, random: rand.New(rand.NewPCG(seed, 0)), added: make(map[string]time.Duration), dropped: make(map[string]time.Duration)}
	w.publish()
	w.every(4*time.Second, nil, w.publish)
	var peers []vrevent.Peer
	for i := range 6 {
		peers = append(peers, vrevent.Peer{Daemon: vrid.DaemonID(fmt.Sprint("d", i)), Zone: vrid.ZoneID(fmt.Sprint("z", i%3))})
	}
	for i := range peers {
		startedAt := time.Unix(1_000_000, 0).Add(w.upTo(1000 * time.Hour))
		d := &worldDaemon{
			daemon: newTenantDaemonAt(t, peers[i].Daemon, peers[i].Zone, startedAt), startedAt: startedAt, calls: make(map[vrevent.CallID]worldCall),
		}
		w.daemons = append(w.daemons, d)
		w.submit(d, vrevent.PeersListed{Peers: peers})
		w.submit(d, vrevent.FleetListed{Entries: []vrfleet.Entry{appEntry("a1")}})
		w.every(25*time.Millisecond, d, func() { w.submit(d, vrevent.Tick{}) })
		w.every(800*time.Millisecond, d, func() { w.readStore(d) })
		w.every(100*time.Millisecond, nil, func() { w.after(0, d, func() { w.arrive(d) }) })
		w.every(12*time.Second, nil, func() { w.after(0, d, func() { w.toggleStore(d) }) })
		w.every(20*time.Second, nil, func() { d.suspendedUntil = w.now + w.upTo(8*time.Second) })
	}
	return w
}

// Guards against a request that runs with a key more than the limit after a catalog dropped it, whatever messages
// are late or lost and whoever is suspended or without the store, and against a key that is refused as unknown
// although it was added in time.
func TestNoScheduleRunsRevokedKeys(t *testing.T) {
	const (
		seeds    = 30
		duration = time.Minute
	)
	served, servedWithoutStore, unknown := 0, 0, 0
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			w := newKeyWorld(t, seed)
			w.run(duration)
			served, servedWithoutStore, unknown = served+w.served, servedWithoutStore+w.servedWithoutStore, unknown+w.unknown
		})
	}
	t.Logf("%d requests served, %d of them by daemons long without the store, %d keys refused", served, servedWithoutStore, unknown)
	require.Positive(t, served)
	require.Positive(t, servedWithoutStore)
	require.Positive(t, unknown)
}
