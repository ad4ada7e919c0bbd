package main

import (
	"fmt"
	"os"
	"strconv"
	"sync/atomic"
	"time"
)

// oddEntry: another writer overwrites the entry of a server that is slow to answer orders, while an order is under way.
// The server's next heartbeat restores the entry.
func oddEntry(dir string, trouble bool, rec *record) bool {
	// The server carries an order out at once and answers orderDelay later. Its reports are reportAge old. The other
	// writer writes oddAfter after the order, and the next heartbeat comes beatAfter after it.
	orderDelay, reportAge := setting("ORDER_DELAY", 600*time.Millisecond), setting("REPORT_AGE", 300*time.Millisecond)
	oddAfter, beatAfter := setting("ODD_AFTER", 40*time.Millisecond), setting("BEAT_AFTER", 200*time.Millisecond)
	attempts := 9
	if text := os.Getenv("ATTEMPTS"); text != "" {
		attempts, _ = strconv.Atoi(text)
	}
	s := newStore()
	address := serveStore(s)
	models := []map[string]any{}
	for _, m := range []string{"a", "b", "c"} {
		models = append(models, map[string]any{
			"name": m, "weights_mb": modelMB, "load_time_s": storeLoad.Seconds(), "disk_s": diskLoad.Seconds(), "warm_s": diskLoad.Seconds(),
			"adapters": 28, "adapter_size_mb": adapterMB,
		})
	}
	s.put("config", "main", map[string]any{
		"version": 7, "limits": limits(),
		"routes": []any{route("r-fit", "/lohu930/", "streaming", "huvo11a", 15000, 400, 2, true)},
		"services": []any{map[string]any{
			"name": "huvo11a", "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kv_capacity": 154135, "weights_mb": serverMemoryMB, "adapter_slots": adapterSlots, "loads_per_s": 3.4, "models": models,
			},
		}},
	})
	server := &engine{id: "i-7f3a91c2", service: "huvo11a", address: "127.0.0.1:0", store: s, rec: rec, reportAge: reportAge}
	server.onDisk = map[string]bool{"c": true}
	if trouble {
		server.orderDelay = orderDelay
	}
	server.start("a", "b")
	g := startGateway(dir, "edge-fukuoka-a-1", address, rec)
	g.waitReady(20 * time.Second)

	var wanted atomic.Pointer[[]string]
	setWanted := func(list ...string) { wanted.Store(&list) }
	setWanted("b")
	stop := make(chan struct{})
	var served, refused atomic.Int64
	go askForModels(g, &wanted, stop, rec, &served, &refused)
	time.Sleep(3 * time.Second)
	for n := 1; n <= attempts && !server.exceeded(); n++ {
		// A shop asks for an adapter of a. A moment later others ask for model c.
		adapter := fmt.Sprintf("a/a%d", n)
		arrived := make(chan struct{})
		var once atomic.Bool
		server.mu.Lock()
		server.intercept = func(o *order) bool {
			if o.Adapter != "" && once.CompareAndSwap(false, true) {
				close(arrived)
			}
			return false
		}
		server.mu.Unlock()
		for !server.holds("a", "b") {
			setWanted("a", "b")
			time.Sleep(100 * time.Millisecond)
			if server.exceeded() {
				break
			}
		}
		setWanted("b")
		time.Sleep(2500 * time.Millisecond)
		server.sleepUntilBeat(beatAfter + orderTime)
		rec.note("attempt %d: a client asks for %s", n, adapter)
		go ask(g, adapter, fmt.Sprintf("%s-%d", "adapter", n), rec, &served, &refused)
		select {
		case <-arrived:
		case <-time.After(2 * time.Second):
			rec.note("no order for %s", adapter)
			continue
		}
		if trouble && os.Getenv("NO_ODD") == "" {
			time.Sleep(oddAfter)
			rec.note("TROUBLE: another writer overwrites the entry of %s", server.id)
			s.put("servers", server.id, "\u0000 no entry")
		}
		setWanted("b", "c")
		time.Sleep(2500 * time.Millisecond)
	}
	close(stop)
	rec.note("clients got %d whole streams and %d other answers", served.Load(), refused.Load())
	if served.Load() == 0 {
		cannotRun("no request was served")
	}
	return server.exceeded()
}

// orderTime is how long the gateway takes from the request for an adapter to its order, about.
const orderTime = 70 * time.Millisecond

// setting returns a duration from the environment, or the given one.
func setting(name string, value time.Duration) time.Duration {
	if text := os.Getenv(name); text != "" {
		if parsed, err := time.ParseDuration(text); err == nil {
			return parsed
		}
	}
	return value
}

func (e *engine) exceeded() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.overLimit
}

// sleepUntilBeat sleeps until a time before the next heartbeat.
func (e *engine) sleepUntilBeat(before time.Duration) {
	e.mu.Lock()
	next := e.beatAt.Add(heartbeat)
	e.mu.Unlock()
	for time.Until(next) < before {
		next = next.Add(heartbeat)
	}
	time.Sleep(time.Until(next) - before)
}
