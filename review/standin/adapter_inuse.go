package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["adapter-in-use"] = adapterInUse }

// freezeTime is how long one machine stands still.
const freezeTime = 4 * time.Second

// adapterInUse fills all places for adapters with adapters that streams use, freezes the daemon that has
// passed these streams on, and asks another daemon for one more adapter. The rule LIMIT is broken if a
// server is ordered to load more adapters than it has places for.
func adapterInUse(dir string, trouble bool) bool {
	sizes := []modelSize{{name: "daka510000", weights: 65100, adapterMB: 12, loadTime: 6 * time.Second, diskTime: 760 * time.Millisecond}}
	s := newStore()
	s.put("config", "main", configuration(7, sizes))
	var engines []*engine
	for i, zone := range []string{"fukuoka-a", "kumamoto-a", "kagoshima-a"} {
		engines = append(engines, startEngine(s, fmt.Sprintf("i-7f3a91c%d", i), zone, sizes, []string{"daka510000"}))
	}
	first := startGateway(dir, "edge-fukuoka-a-1", "fukuoka-a", s)
	time.Sleep(3 * time.Second)
	second := startGateway(dir, "edge-kumamoto-a-1", "kumamoto-a", s)
	time.Sleep(6 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	const streamTokens = 5 * 65
	var streams sync.WaitGroup
	for i := range 3 * adapterSlots {
		streams.Add(1)
		go func() {
			defer streams.Done()
			ask(ctx, second, fmt.Sprintf("%016x", 0x1000+i), fmt.Sprintf("daka510000/a%d", i+1), streamTokens, fmt.Sprintf("5c1e07a2:119,%x:79,%x:400", i%3, 0x9000+i))
		}()
		time.Sleep(60 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	for _, e := range engines {
		if taken := e.takenPlaces(); taken != adapterSlots {
			unable("server %s has %d adapters in use, not %d", e.id, taken, adapterSlots)
		}
	}
	if trouble {
		second.signal(syscall.SIGSTOP)
	}
	for i := range 12 {
		streams.Add(1)
		go func() {
			defer streams.Done()
			ask(ctx, first, fmt.Sprintf("%016x", 0x2000+i), "daka510000/a28", 50, fmt.Sprintf("5c1e07a2:119,%x:79,%x:400", i%3, 0xa000+i))
		}()
		time.Sleep(freezeTime / 12)
	}
	if trouble {
		second.signal(syscall.SIGCONT)
	}
	streams.Wait()
	broken := 0
	for _, e := range engines {
		broken += len(e.limitBroken())
	}
	record("%d orders were over a server's limit", broken)
	return broken > 0
}
