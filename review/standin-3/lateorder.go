package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

// lateServers is the number of model servers. One of them is a share of 0.143 and crashes.
const lateServers = 7

// lateOrder: an order to a model server gets no answer and is carried out 11 s later. Meanwhile the server crashes, is
// silent for longer than three heartbeat intervals, and starts again under its id.
func lateOrder(dir string, trouble bool, rec *record) bool {
	down := 4800 * time.Millisecond
	if text := os.Getenv("DOWN"); text != "" {
		down, _ = time.ParseDuration(text)
	}
	const lateness = 11 * time.Second
	s := newStore()
	address := serveStore(s)
	models := []map[string]any{}
	names := []string{"a", "b", "c", "x", "y"}
	for i := range 2 * (lateServers - 1) {
		names = append(names, fmt.Sprintf("other%d", i))
	}
	for _, m := range names {
		models = append(models, map[string]any{
			"name": m, "weights_mb": modelMB, "load_time_s": storeLoad.Seconds(), "disk_s": diskLoad.Seconds(), "warm_s": diskLoad.Seconds(),
			"adapters": 0, "adapter_size_mb": adapterMB,
		})
	}
	s.put("config", "main", map[string]any{
		"version": 7, "limits": limits(),
		"routes": []any{route("r-fit", "/lohu930/", "streaming", "huvo11a", 15000, 400, 2, true)},
		"services": []any{map[string]any{
			"name": "huvo11a", "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kv_capacity": 154135, "weights_mb": serverMemoryMB, "adapter_slots": 8, "loads_per_s": 3.4, "models": models,
			},
		}},
	})
	server := &engine{id: "i-7f3a91c2", service: "huvo11a", address: "127.0.0.1:0", store: s, rec: rec}
	server.start("a")
	server.mu.Lock()
	for _, m := range names[:5] {
		server.onDisk[m] = true
	}
	server.mu.Unlock()
	// The other servers hold other models, and have no copies of a, b, c, x and y.
	others := []*engine{}
	for i := range lateServers - 1 {
		other := &engine{id: fmt.Sprintf("i-02d9e6b%d", i), service: "huvo11a", address: "127.0.0.1:0", store: s, rec: rec}
		other.start(names[5+2*i], names[6+2*i])
		others = append(others, other)
	}
	g := startGateway(dir, "edge-fukuoka-a-1", address, rec)
	g.waitReady(20 * time.Second)

	var wanted atomic.Pointer[[]string]
	setWanted := func(list ...string) { wanted.Store(&list); rec.note("clients now ask for %v", list) }
	setWanted("a", "b")
	stop := make(chan struct{})
	var served, refused atomic.Int64
	go askForModels(g, &wanted, stop, rec, &served, &refused)
	waitFor(rec, "b is loaded beside a", 20*time.Second, func() bool { return server.holds("a", "b") })
	time.Sleep(3 * time.Second)

	// Demand moves from a to c: the placement owner unloads a and loads c.
	taken := make(chan struct{})
	var once atomic.Bool
	if trouble {
		server.mu.Lock()
		server.intercept = func(o *order) bool {
			if o.Operation != "load" || o.Model != "c" || !once.CompareAndSwap(false, true) {
				return false
			}
			late := *o
			rec.note("TROUBLE: order [%s] gets no answer and is carried out %v later", o, lateness)
			time.AfterFunc(lateness, func() { server.carryOut(&late, " (late)") })
			close(taken)
			return true
		}
		server.mu.Unlock()
	}
	setWanted("b", "c")
	if trouble {
		select {
		case <-taken:
		case <-time.After(30 * time.Second):
			cannotRun("no load of c was ordered")
		}
		time.Sleep(time.Second)
		server.crash("TROUBLE")
		setWanted("other0")
		time.Sleep(down)
		server.start()
		setWanted("x", "y")
	} else {
		waitFor(rec, "c is loaded", 30*time.Second, func() bool { return server.holds("b", "c") })
		setWanted("x", "y")
	}
	time.Sleep(lateness)
	close(stop)
	rec.note("clients got %d whole streams and %d other answers", served.Load(), refused.Load())
	if served.Load() == 0 {
		cannotRun("no request was served")
	}
	select {
	case <-g.done:
		cannotRun("the gateway has ended")
	default:
	}
	for _, other := range others {
		if other.exceeded() {
			return true
		}
	}
	return server.exceeded()
}

func (e *engine) holds(models ...string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range models {
		found := false
		for _, held := range e.models {
			found = found || held == m
		}
		if !found {
			return false
		}
	}
	return true
}

func waitFor(rec *record, what string, limit time.Duration, done func() bool) {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if done() {
			rec.note("seen: %s", what)
			return
		}
	}
	cannotRun("not seen in %v: %s", limit, what)
}

// askForModels sends four requests a second for each wanted model.
func askForModels(g *gateway, wanted *atomic.Pointer[[]string], stop chan struct{}, rec *record, served, refused *atomic.Int64) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(250 * time.Millisecond):
		}
		for _, m := range *wanted.Load() {
			go ask(g, m, fmt.Sprintf("%s-%04d", m, n), rec, served, refused)
		}
	}
}

// ask sends one request for a model, or an adapter of it after a slash.
func ask(g *gateway, model, id string, rec *record, served, refused *atomic.Int64) {
	client := &http.Client{Timeout: 16 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, _ := http.NewRequest(http.MethodPost, "http://"+g.callers+"/lohu930/2f", nil)
	request.Host = host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Model", model)
	request.Header.Set("Token-Usage", "100,15")
	request.Header.Set("Prompt-Prefix", fmt.Sprintf("5c1e07a2:80,%x:20", id))
	request.Header.Set("Deadline-Ms", "15000")
	response, err := client.Do(request)
	if err != nil {
		rec.note("client: %s ends with %v", id, err)
		refused.Add(1)
		return
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if response.StatusCode == http.StatusOK && err == nil {
		served.Add(1)
	} else {
		refused.Add(1)
	}
	rec.note("client: %s gets %d, %d bytes, %v", id, response.StatusCode, len(data), err)
}
