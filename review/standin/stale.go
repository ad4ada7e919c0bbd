package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

func init() { cases["stale"] = stale }

const (
	// cutTime is how long one machine is cut off.
	cutTime = 6500 * time.Millisecond
	// thawSlack is bounds.thaw_slack_ms of the small site.
	thawSlack = 300 * time.Millisecond
)

// side is the side of a partition that one daemon is on.
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

// stale cuts the placement owner off from the store, the other daemon and the servers while it gives orders,
// until the other daemon has become the owner and gives orders, too. The rule ONE is
// broken if an order with a lower fencing token arrives after one with a higher token, later than thawSlack
// after the end of the cut.
func stale(dir string, trouble bool) bool {
	sizes := []modelSize{{"daka510000", 65100, 12, 6 * time.Second, 760 * time.Millisecond}}
	s := newStore()
	s.put("config", "main", configuration(7, sizes))
	c := newCut()
	var cutOff side
	var engines []*engine
	for i, zone := range []string{"fukuoka-a", "kumamoto-a", "kagoshima-a"} {
		engines = append(engines, startLinkedEngine(s, fmt.Sprintf("i-7f3a91c%d", i), zone, sizes, []string{"daka510000"}, func(address string) string {
			return startLink(address, c, cutOff.process)
		}))
	}
	linkPeer := func(g *gateway) { s.linkPeer(g.peers, startLink(g.peers, c, nil)) }
	first := startLinkedGateway(dir, "edge-fukuoka-a-1", "fukuoka-a", startLink(s.address, c, nil), linkPeer)
	cutOff.set(first)
	time.Sleep(3 * time.Second)
	second := startLinkedGateway(dir, "edge-kumamoto-a-1", "kumamoto-a", s.address, linkPeer)
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
	for range 3 {
		request(first)
		time.Sleep(400 * time.Millisecond)
	}
	if trouble {
		record("%s is cut off from the store, the other daemon and the servers", first.name)
		c.begin()
	}
	began := time.Now()
	for time.Since(began) < cutTime {
		if next < 18 {
			request(first)
			request(second)
		}
		time.Sleep(800 * time.Millisecond)
	}
	if trouble {
		c.heal()
		record("the cut has ended")
	}
	clients.Wait()
	time.Sleep(time.Until(began.Add(16 * time.Second)))
	broken := 0
	for _, e := range engines {
		e.mu.Lock()
		var highest int64
		for _, o := range e.orders {
			late := o.at.Sub(c.healed())
			if o.token < highest && late > thawSlack {
				record("ONE: server %s gets an order of %s with token %d after one with token %d, %.1f s after the end of the cut", e.id, o.holder, o.token, highest, late.Seconds())
				broken++
			}
			highest = max(highest, o.token)
		}
		e.mu.Unlock()
	}
	record("%d orders came with a lower token after a higher one", broken)
	return broken > 0
}
