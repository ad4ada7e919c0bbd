package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	resetStreams = 24
	// One of resetGateways daemons freezes, and one of resetServers servers crashes.
	resetGateways = 9
	resetServers  = 8
	// resetEvents is the number of events of each stream, eventPause the pause between two.
	resetEvents = 14
	eventPause  = time.Second
	freezeTime  = 4 * time.Second
)

// streamCatalog is a configuration with one resumable streaming route.
func streamCatalog(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-live", "host": "review.example", "path_prefix": "/live/", "type": "streaming", "timeout_ms": 25000,
			"target_latency_ms": 400, "priority": 0, "service": "llm", "max_attempts": 2, "sticky": true, "resumable": true, "gap_target_ms": 250,
		}},
		"services": []any{map[string]any{
			"name": "llm", "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kv_capacity": 154135, "host_mb": 130000, "disk_mb": 1100000, "hold_ms": 2000, "weights_mb": 200000, "adapter_slots": 8,
				"loads_per_s": 3.4,
				"models": []any{
					map[string]any{"name": "m0", "weights_mb": 65100, "load_time_s": 6, "adapters": 0, "adapter_size_mb": 12, "warm_s": 0.38, "disk_s": 0.76},
					map[string]any{"name": "m1", "weights_mb": 72700, "load_time_s": 6, "adapters": 0, "adapter_size_mb": 66, "warm_s": 0.4, "disk_s": 0.84},
				},
			},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// resetCase: streams whose answers have no length; their gateway is frozen for a while, and meanwhile their server
// crashes, which resets its connections. None of them may look complete to its client.
func resetCase(folder string, r *record, trouble bool) int {
	s := newStore()
	s.put("config", "main", streamCatalog(1))
	var wrote sync.Map
	v := newServer(s, "i-server1", "llm", "zone-a", []string{"m0"}, func(c net.Conn, q *http.Request) bool {
		id := q.Header.Get("Request-Id")
		r.say("server runs %s", id)
		// The answer has no length and ends with its connection.
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: sig.%s\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\nConnection: close\r\n\r\n", id, id)
		for i := 1; i <= resetEvents; i++ {
			if _, err := fmt.Fprintf(c, "id: %d\ndata: piece %d of %d\n\n", i, i, resetEvents); err != nil {
				r.say("server: %s ended after %d events: %v", id, i-1, err)
				return false
			}
			wrote.Store(id, i)
			time.Sleep(eventPause)
		}
		r.say("server: %s is complete", id)
		return false
	})
	defer v.crash()
	for i := 2; i <= resetServers; i++ {
		// The other servers of the service hold another model.
		other := newServer(s, fmt.Sprintf("i-server%d", i), "llm", zones[i%len(zones)], []string{"m1"}, func(c net.Conn, q *http.Request) bool {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", q.Header.Get("Request-Id"))
			return true
		})
		defer other.crash()
	}
	gateways := startGateways(folder, s.address(), resetGateways)
	defer endGateways(gateways)
	time.Sleep(2 * time.Second)
	var clients sync.WaitGroup
	var mu sync.Mutex
	complete, broken, cut := 0, 0, 0
	for i := range resetStreams {
		clients.Add(1)
		go func() {
			defer clients.Done()
			time.Sleep(time.Duration(rand.Int64N(int64(2 * time.Second))))
			id := fmt.Sprintf("stream%04d", i)
			r.say("client sends %s to edge-1", id)
			events, ended, detail := readStream(gateways[0].callers, id)
			mu.Lock()
			defer mu.Unlock()
			ran, _ := wrote.Load(id)
			r.say("client: %s got %d of %d events (its server had written %v), complete=%v %s", id, events, resetEvents, ran, ended, detail)
			switch {
			case ended && events < resetEvents:
				broken++
			case ended:
				complete++
			default:
				cut++
			}
		}()
	}
	time.Sleep(5 * time.Second)
	if trouble {
		r.say("the gateway edge-1 freezes for %v", freezeTime)
		gateways[0].signal(syscall.SIGSTOP)
		time.Sleep(500 * time.Millisecond)
		r.say("the server crashes: its connections are reset")
		v.crash()
		s.remove("servers", "i-server1")
		time.Sleep(freezeTime - 500*time.Millisecond)
		gateways[0].signal(syscall.SIGCONT)
		r.say("the gateway edge-1 wakes")
	}
	clients.Wait()
	r.say("%d streams looked complete to their client without their last event, %d were whole, %d ended as broken off", broken, complete, cut)
	switch {
	case broken > 0:
		return exitBroken
	case !trouble && complete != resetStreams:
		return exitNotRun
	default:
		return exitHeld
	}
}

// readStream sends one streaming request on a connection of its own and reads the answer to its end.
func readStream(address, id string) (events int, complete bool, detail string) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, false, err.Error()
	}
	defer func() { _ = c.Close() }()
	body := "{}"
	fmt.Fprintf(c, "POST /live/1 HTTP/1.1\r\nHost: review.example\r\nRequest-Id: %s\r\nDeadline-Ms: 25000\r\nModel: m0\r\nToken-Usage: 100,80\r\n"+
		"Prompt-Prefix: aa%s:100\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
	_ = c.SetReadDeadline(time.Now().Add(26 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, false, err.Error()
	}
	if response.StatusCode != http.StatusOK {
		return 0, false, response.Status
	}
	var data bytes.Buffer
	_, err = io.Copy(&data, response.Body)
	events = strings.Count(data.String(), "data: ")
	if err != nil {
		return events, false, err.Error()
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return events, false, "no length and no chunks"
	}
	return events, true, "signature " + response.Header.Get("Response-Signature")
}
