package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

func init() { cases["stale"] = stale }

const (
	// cutTime is how long one machine is cut off from the store and the servers.
	cutTime = 6500 * time.Millisecond
	// thawSlack is bounds.thaw_slack_ms of the small site.
	thawSlack = 300 * time.Millisecond
)

// stale cuts the placement owner off while it gives orders, until another daemon has become the owner and
// gives orders, too. The rule ONE is broken if an order with a lower fencing token arrives after one with a
// higher token, later than thawSlack after the end of the cut.
func stale(dir string, trouble bool) bool {
	sizes := []modelSize{{"daka510000", 65100, 12, 6 * time.Second, 760 * time.Millisecond}}
	s := newStore()
	s.put("config", "main", configuration(7, sizes))
	c := newCut()
	var ownerMu sync.Mutex
	var owner *gateway
	ownerProcess := func() int {
		ownerMu.Lock()
		defer ownerMu.Unlock()
		if owner == nil {
			return 0
		}
		return owner.cmd.Process.Pid
	}
	link := func(address string) string { return startLink(address, c, ownerProcess) }
	var engines []*engine
	for i, zone := range []string{"fukuoka-a", "kumamoto-a", "kagoshima-a"} {
		engines = append(engines, startLinkedEngine(s, fmt.Sprintf("i-7f3a91c%d", i), zone, sizes, []string{"daka510000"}, link))
	}
	first := startLinkedGateway(dir, "edge-fukuoka-a-1", "fukuoka-a", startLink(s.address, c, nil))
	ownerMu.Lock()
	owner = first
	ownerMu.Unlock()
	time.Sleep(3 * time.Second)
	second := startGateway(dir, "edge-kumamoto-a-1", "kumamoto-a", s)
	time.Sleep(6 * time.Second)
	var clients sync.WaitGroup
	request := func(n int) {
		clients.Add(1)
		go func() {
			defer clients.Done()
			ask(context.Background(), second, fmt.Sprintf("%016x", 0x4000+n), fmt.Sprintf("daka510000/a%d", n+1), 25, fmt.Sprintf("5c1e07a2:119,%x:400", 0x9000+n))
		}()
	}
	next := 0
	for ; next < 3; next++ {
		request(next)
		time.Sleep(400 * time.Millisecond)
	}
	if trouble {
		record("%s is cut off from the store and the servers", first.name)
		c.begin()
	}
	began := time.Now()
	for time.Since(began) < cutTime {
		if next < 15 {
			request(next)
			next++
		}
		time.Sleep(600 * time.Millisecond)
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
