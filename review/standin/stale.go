package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

func init() { cases["stale"] = stale }

const (
	// storeCutTime is how long one machine of four is partitioned from the store, serverCutTime how long one
	// server of five has no path to that machine.
	storeCutTime  = 8 * time.Second
	serverCutTime = 5 * time.Second
	// observed is the time from the begin of the cuts in which orders are looked at.
	observed = 16 * time.Second
	// thawSlack is bounds.thaw_slack_ms of the small site.
	thawSlack = 300 * time.Millisecond
)

// side is the daemon on one side of a cut.
type side struct {
	mu     sync.Mutex
	daemon *gateway
}

// process returns the id of the daemon's process, 0 before its start.
func (s *side) process() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.daemon == nil || s.daemon.cmd == nil {
		return 0
	}
	return s.daemon.cmd.Process.Pid
}

func (s *side) set(g *gateway) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.daemon = g
}

// stale partitions the placement owner from the store, and one server from the owner, while the owner gives
// orders, until another daemon has become the owner and gives that server orders, too. The rule ONE is broken
// if an order with a lower fencing token arrives after one with a higher token, later than thawSlack after a
// link has healed.
func stale(dir string, trouble bool) bool {
	sizes := []modelSize{{"daka510000", 65100, 12, 6 * time.Second, 760 * time.Millisecond}}
	s := newStore()
	s.put("config", "main", configuration(7, sizes))
	storeCut, serverCut := newCut(), newCut()
	var owner side
	var engines []*engine
	for i, zone := range []string{"kumamoto-a", "kagoshima-a", "fukuoka-a", "kumamoto-a", "kagoshima-a"} {
		c := newCut()
		if i == 0 {
			c = serverCut
		}
		engines = append(engines, startLinkedEngine(s, fmt.Sprintf("i-7f3a91c%d", i), zone, sizes, []string{"daka510000"}, func(address string) string {
			return startLink(address, c, owner.process)
		}))
	}
	first := startLinkedGateway(dir, "edge-fukuoka-a-1", "fukuoka-a", startLink(s.address, storeCut, nil))
	owner.set(first)
	time.Sleep(3 * time.Second)
	others := []*gateway{
		startGateway(dir, "edge-fukuoka-a-2", "fukuoka-a", s), startGateway(dir, "edge-kumamoto-a-1", "kumamoto-a", s),
		startGateway(dir, "edge-kagoshima-a-1", "kagoshima-a", s),
	}
	time.Sleep(6 * time.Second)
	var clients sync.WaitGroup
	next := 0
	request := func(g *gateway) {
		n := next
		next++
		clients.Add(1)
		go func() {
			defer clients.Done()
			ask(context.Background(), g, fmt.Sprintf("%016x", 0x4000+n), fmt.Sprintf("daka510000/a%d", n+1), 25, fmt.Sprintf("5c1e07a2:119,%x:400", 0x9000+n))
		}()
	}
	for range 5 {
		request(first)
		time.Sleep(300 * time.Millisecond)
	}
	// Then no request runs, and the next order goes to the first server.
	clients.Wait()
	before := len(engines[0].arrivedOrders())
	if before == 0 {
		unable("the owner gave the server no order")
	}
	began := time.Now()
	if trouble {
		record("%s is partitioned from the store, and server %s from it", first.name, engines[0].id)
		storeCut.begin()
		serverCut.begin()
		time.AfterFunc(serverCutTime, func() {
			serverCut.heal()
			record("the path to server %s has healed", engines[0].id)
		})
		time.AfterFunc(storeCutTime, func() {
			storeCut.heal()
			record("the path to the store has healed")
		})
	}
	for time.Since(began) < storeCutTime {
		if next < 27 {
			request(first)
			request(others[next%len(others)])
		}
		time.Sleep(700 * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(time.Until(began.Add(observed)))
	if len(engines[0].arrivedOrders()) == before {
		unable("no more orders came to the server")
	}
	broken := 0
	for _, e := range engines {
		var highest int64
		for _, o := range e.arrivedOrders() {
			if o.token < highest && !soonAfter(o.at, serverCut.healed()) && !soonAfter(o.at, storeCut.healed()) {
				record("ONE: server %s gets an order of %s with token %d after one with token %d, %.1f s after the begin of the cuts",
					e.id, o.holder, o.token, highest, o.at.Sub(began).Seconds())
				broken++
			}
			highest = max(highest, o.token)
		}
	}
	record("%d orders came with a lower token after a higher one", broken)
	return broken > 0
}

// soonAfter reports whether a time is within thawSlack after the end of a cut.
func soonAfter(at, healed time.Time) bool {
	return !healed.IsZero() && !at.Before(healed) && at.Sub(healed) <= thawSlack
}
