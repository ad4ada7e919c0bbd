package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["memory"] = memory }

const (
	// memoryMB is limits.memory_mb of the small site.
	memoryMB = 284
	// usualClients is the number of clients of the small site that one daemon serves, burstPercent the
	// largest burst that the site plays.
	usualClients = 28
	burstPercent = 260
	// bursts is the number of bursts, and bodyBytes the size of a body, below max_body_bytes.
	bursts    = 3
	bodyBytes = 4_000_000
)

// residentMB returns the resident memory of a process.
func residentMB(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize()) / 1e6
}

// watchMemory kills the daemon, as the platform does, whenever it has more memory than its limit, and starts
// it again a second later. It returns how often it did, and the peak.
func (g *gateway) watchMemory(dir string, stop <-chan struct{}) (ends *atomic.Int32, peak *atomic.Int64) {
	ends, peak = &atomic.Int32{}, &atomic.Int64{}
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			used := residentMB(g.cmd.Process.Pid)
			peak.Store(max(peak.Load(), int64(used)))
			if used <= memoryMB {
				continue
			}
			ends.Add(1)
			record("MEMORY: %s uses %.0f MB of %d MB: the platform kills it", g.name, used, memoryMB)
			g.signal(syscall.SIGKILL)
			<-g.exited
			time.Sleep(time.Second)
			if !g.start(dir) {
				unable("%s did not start again", g.name)
			}
		}
	}()
	return ends, peak
}

// memory sends orders with large bodies from as many clients as a burst brings. The rule Fault is broken if
// on two machines the process ends by itself three times.
func memory(dir string, trouble bool) bool {
	s := newStore()
	s.put("config", "main", configuration(7, nil))
	for i, zone := range []string{"fukuoka-a", "kumamoto-a", "kagoshima-a"} {
		startApp(s, fmt.Sprintf("i-7f3a91c%d", i), zone, func(v *appServer, w http.ResponseWriter, r *http.Request, body []byte) {
			id := v.run(r)
			time.Sleep(450 * time.Millisecond)
			v.answer(w, r, http.StatusOK, []byte("confirmed "+id))
		})
	}
	clients := usualClients
	if trouble {
		clients = usualClients * burstPercent / 100
	}
	stop := make(chan struct{})
	defer close(stop)
	var ends []*atomic.Int32
	for i := range 2 {
		g := startGateway(dir, fmt.Sprintf("edge-fukuoka-a-%d", i+1), "fukuoka-a", s)
		count, peak := g.watchMemory(dir, stop)
		ends = append(ends, count)
		for burst := range bursts {
			var wait sync.WaitGroup
			var lost atomic.Int32
			for c := range clients {
				wait.Add(1)
				go func() {
					defer wait.Done()
					if !post(g, fmt.Sprintf("%08x%04x%04x", i+1, burst, c)) {
						lost.Add(1)
					}
				}()
			}
			wait.Wait()
			record("%s: burst %d of %d clients: %d without an answer, peak %d MB", g.name, burst+1, clients, lost.Load(), peak.Load())
			time.Sleep(4 * time.Second)
		}
	}
	machines := 0
	for _, count := range ends {
		if count.Load() >= 3 {
			machines++
		}
	}
	record("on %d machines the process ended by itself three times", machines)
	return machines >= 2
}

// post sends one order with a large body and reports whether it is answered.
func post(g *gateway, id string) bool {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.callers+confirmPath+"2f", bytes.NewReader(make([]byte, bodyBytes)))
	if err != nil {
		unable("%v", err)
	}
	request.Host = host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "2000")
	response, err := transport.RoundTrip(request)
	if err != nil {
		record("client of %s gets no answer to %s: %v", g.name, id, err)
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	record("client of %s gets %d to %s", g.name, response.StatusCode, id)
	return err == nil
}
