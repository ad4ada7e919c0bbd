package vrchoice_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrchoice"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
)

const (
	replaySlots   = 12
	replayService = time.Second
	replayTime    = 20 * time.Second
)

// happening is something that takes place at a time of a replay.
type happening struct {
	at time.Time
	do func()
}

type agenda []happening

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// replayServer runs requests in slots and a queue.
type replayServer struct {
	running, sent, peak int
	queue               []func()
}

// replay plays daemons that each send their own calls to servers of uneven speed, in virtual time.
type replay struct {
	random   *rand.Rand
	now      time.Time
	agenda   agenda
	choosers []*vrchoice.Chooser
	servers  map[vrid.ServerID]*replayServer
	// pace is the pace of a server in percent. failing servers answer at once with an error.
	pace      func(server vrid.ServerID, at time.Time) int
	failing   map[vrid.ServerID]bool
	completed time.Duration
	answered  int
	// sums makes every daemon know the sums of the others' requests each 800 ms, 500 ms late.
	sums bool
}

func newReplay(seed uint64, daemons, servers int) *replay {
	r := &replay{
		random: rand.New(rand.NewPCG(seed, 1)), now: now, servers: make(map[vrid.ServerID]*replayServer), failing: make(map[vrid.ServerID]bool),
		pace: func(vrid.ServerID, time.Time) int { return 100 },
	}
	for i := range daemons {
		fleet := vrfleet.New()
		for j := range servers {
			id := vrid.ServerID(fmt.Sprintf("s%02d", j))
			r.servers[id] = &replayServer{}
			fleet.Put(now, vrfleet.Entry{ID: id, Service: "lm", Zone: vrid.ZoneID(fmt.Sprint(j % 3)), Slots: replaySlots, State: vrfleet.StateReady, Born: 1})
		}
		r.choosers = append(r.choosers, &vrchoice.Chooser{
			Fleet: fleet, Random: rand.New(rand.NewPCG(seed, 2+uint64(i))), Zone: vrid.ZoneID(fmt.Sprint(i % 3)),
			Regions: map[vrid.ZoneID]vrid.RegionID{"0": "r", "1": "r", "2": "q"},
		})
	}
	return r
}

func (r *replay) after(d time.Duration, do func()) { heap.Push(&r.agenda, happening{r.now.Add(d), do}) }

// run sends calls at a rate per second and plays until all have ended.
func (r *replay) run(perSecond float64, byCompletion bool) {
	var arrive func()
	arrive = func() {
		r.send(r.choosers[r.random.IntN(len(r.choosers))], byCompletion)
		if r.now.Sub(now) < replayTime {
			r.after(time.Duration(r.random.ExpFloat64()/perSecond*float64(time.Second)), arrive)
		}
	}
	r.after(0, arrive)
	if r.sums {
		r.after(0, r.sumRequests)
	}
	for len(r.agenda) > 0 {
		next := heap.Pop(&r.agenda).(happening)
		r.now = next.at
		next.do()
	}
}

// sumRequests tells each daemon the requests of the others, as the owner's heartbeats do.
func (r *replay) sumRequests() {
	at := r.now
	for _, c := range r.choosers {
		for _, server := range c.Fleet.ServersOf("lm") {
			others := -server.InFlight
			for _, other := range r.choosers {
				others += other.Fleet.Server(server.ID).InFlight
			}
			r.after(500*time.Millisecond, func() { server.SetOthersRequests(at, others) })
		}
	}
	if r.now.Sub(now) < replayTime {
		r.after(800*time.Millisecond, r.sumRequests)
	}
}

func (r *replay) send(c *vrchoice.Chooser, byCompletion bool) {
	server, _ := c.Best(r.now, vrchoice.Requirements{Service: "lm", ByCompletion: byCompletion})
	at, sentAt := r.servers[server.ID], r.now
	at.sent++
	server.RecordSend()
	server.RecordSendTime(r.now)
	if r.failing[server.ID] {
		r.after(2*time.Millisecond, func() {
			c.Fleet.RecordRequestEnd(server, sentAt, true)
			server.RecordError(r.now)
		})
		return
	}
	begin := func() {
		at.running++
		pace := r.pace(server.ID, r.now)
		length := time.Duration(r.random.ExpFloat64() * float64(replayService) * float64(pace) / 100)
		load := vrfleet.LoadReport{Running: at.running, Waiting: len(at.queue), Pace: pace}
		firstByte := r.now.Sub(sentAt)
		if byCompletion {
			r.after(5*time.Millisecond, func() { c.Fleet.ApplyLoadReport(r.now, server, load) })
		}
		r.after(length, func() {
			at.running--
			r.completed += r.now.Sub(sentAt)
			r.answered++
			server.RecordSuccess(r.now, firstByte)
			if byCompletion {
				c.Fleet.RecordRequestEnd(server, sentAt, true)
				c.Fleet.RecordServiceTime(server, length)
			} else {
				c.Fleet.RecordEnd(server)
				server.SetLoad(r.now, load.Running, load.Waiting)
			}
			if len(at.queue) > 0 {
				next := at.queue[0]
				at.queue = at.queue[1:]
				next()
			}
		})
	}
	at.peak = max(at.peak, at.running+len(at.queue)+1)
	if at.running < replaySlots {
		begin()
		return
	}
	at.queue = append(at.queue, begin)
}

// busiest returns the calls of the server that got most of them as a multiple of the mean, and the most requests
// that a server had at once.
func (r *replay) busiest() (share float64, peak int) {
	most, sum := 0, 0
	for _, server := range r.servers {
		most, sum, peak = max(most, server.sent), sum+server.sent, max(peak, server.peak)
	}
	return float64(most) * float64(len(r.servers)) / float64(sum), peak
}

func (r *replay) meanCompletion() time.Duration { return r.completed / time.Duration(r.answered) }

// Each daemon sees its own sends and late reports. All of them chose the server that had been the emptiest of a
// report or a sum, and its queue grew to several times its slots.
func TestDaemonsSpreadTheirCalls(t *testing.T) {
	const seeds = 8
	for _, daemons := range []int{6, 31, 65} {
		var mean, oldMean time.Duration
		worst, oldWorst := 0, 0
		for seed := range uint64(seeds) {
			r := newReplay(seed, daemons, 20)
			r.sums = daemons > 12
			r.run(200, true)
			share, peak := r.busiest()
			old := newReplay(seed, daemons, 20)
			old.run(200, false)
			_, oldPeak := old.busiest()
			worst, oldWorst = max(worst, peak), max(oldWorst, oldPeak)
			require.Less(t, share, 1.4, "seed %d", seed)
			mean, oldMean = mean+r.meanCompletion()/seeds, oldMean+old.meanCompletion()/seeds
		}
		t.Logf("%d daemons: mean completion %v, at most %d requests at a server; by delay %v, %d", daemons, mean, worst, oldMean, oldWorst)
		require.Less(t, mean, oldMean-20*time.Millisecond)
	}
}

// A fifth of the servers takes twice as long for two seconds: they must get less as far as daemons hear of it, and
// none be ejected for it.
func TestSlowServersGetFewerCallsWhileSlow(t *testing.T) {
	for _, daemons := range []int{2, 31} {
		slow := func(server vrid.ServerID) bool { return server[len(server)-1] < '2' }
		r := newReplay(7, daemons, 20)
		var before, during [2]float64
		r.pace = func(server vrid.ServerID, at time.Time) int {
			kind := 0
			if slow(server) {
				kind = 1
			}
			switch elapsed := at.Sub(now); {
			case elapsed < 10*time.Second:
				before[kind]++
			case elapsed < 12*time.Second:
				during[kind]++
				return 100 + 100*kind
			}
			return 100
		}
		r.run(150, true)
		usual, share := before[1]/before[0], during[1]/during[0]
		t.Logf("%d daemons: calls of the slow servers per call of the others: %.2f usually, %.2f while slow", daemons, usual, share)
		if daemons == 2 {
			require.Less(t, share, 0.75*usual)
		}
		for _, c := range r.choosers {
			for _, server := range c.Fleet.ServersOf("lm") {
				require.False(t, server.Ejected(now.Add(12*time.Second)))
			}
		}
	}
}

// A server that answers errors at once is always idle. It attracted the calls of all daemons.
func TestQuickErrorsAttractNoCalls(t *testing.T) {
	r := newReplay(7, 31, 20)
	r.failing["s05"] = true
	r.run(150, true)
	sent := float64(r.servers["s05"].sent) / float64(r.answered)
	t.Logf("the failing server got %.3f of the calls, its share is 0.05", sent)
	require.Less(t, sent, 0.05)
}

// Choosing a server is a part of the admission of each call.
func BenchmarkLeastCompletion(b *testing.B) {
	r := newReplay(7, 1, 160)
	for _, server := range r.choosers[0].Fleet.ServersOf("lm") {
		r.choosers[0].Fleet.ApplyLoadReport(now, server, vrfleet.LoadReport{Running: 8, Slots: replaySlots, Pace: 140})
	}
	b.ReportAllocs()
	for b.Loop() {
		r.choosers[0].Best(now, vrchoice.Requirements{Service: "lm", ByCompletion: true, PromptTokens: 900})
	}
}
