package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["refused"] = refused }

// Dose of the disruption: one server of seven (a share of 0.14) fails four in ten of its requests.
const (
	greyServer = "i-7f3a91c0"
	greyShare  = 4
	greyOf     = 10
	orderCount = 120
)

// refused sends orders that must not be repeated. One server fails part of them after it has run them,
// with a status 503 that has no Not-Executed. The rule REFUSED is broken if a client is answered with 429,
// 503, 408 or 421 and a server has run its request.
func refused(dir string, trouble bool) bool {
	s := newStore()
	s.put("config", "main", configuration(7, nil))
	zones := []string{"fukuoka-a", "kumamoto-a", "kagoshima-a", "fukuoka-a", "kumamoto-a", "kagoshima-a", "fukuoka-a"}
	var servers []*appServer
	var countMu sync.Mutex
	count := 0
	handle := func(v *appServer, w http.ResponseWriter, r *http.Request, _ []byte) {
		id := v.run(r)
		time.Sleep(60 * time.Millisecond)
		fails := false
		if trouble && v.id == greyServer {
			countMu.Lock()
			fails = count%greyOf < greyShare
			count++
			countMu.Unlock()
		}
		if fails {
			record("server %s answers %s with 503, without Not-Executed", v.id, id)
			v.answer(w, r, http.StatusServiceUnavailable, []byte("the confirmation could not be sent"))
			return
		}
		v.answer(w, r, http.StatusOK, []byte("confirmed "+id))
	}
	for i, zone := range zones {
		servers = append(servers, startApp(s, fmt.Sprintf("i-7f3a91c%d", i), zone, handle))
	}
	g := startGateway(dir, "edge-fukuoka-a-1", "fukuoka-a", s)
	broken, doubled, confirmed := 0, 0, 0
	var mu sync.Mutex
	var clients sync.WaitGroup
	for order := range orderCount {
		clients.Add(1)
		go func() {
			defer clients.Done()
			runs := 0
			for attempt := range 2 {
				id := fmt.Sprintf("%08x%08x", 0x9c41d000+order, 0xe2a35f60+attempt)
				status, retryAfter := confirm(g, id)
				ran := 0
				for _, v := range servers {
					ran += v.hasRun(id)
				}
				runs += ran
				promise := status == 429 || status == 503 || status == 408 || status == 421
				if promise && ran > 0 {
					record("REFUSED: order %d, request %s is answered %d and has run", order, id, status)
					mu.Lock()
					broken++
					mu.Unlock()
				}
				if status == http.StatusOK {
					mu.Lock()
					confirmed++
					mu.Unlock()
				}
				if !promise {
					break
				}
				time.Sleep(retryAfter)
			}
			if runs > 1 {
				record("order %d has run %d times: its client repeated it because of the promise", order, runs)
				mu.Lock()
				doubled++
				mu.Unlock()
			}
		}()
		time.Sleep(120 * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(time.Second)
	if confirmed < orderCount/2 {
		unable("only %d orders of %d were confirmed", confirmed, orderCount)
	}
	record("%d requests were refused and had run, %d orders were run twice", broken, doubled)
	return broken > 0
}

// confirm sends one attempt of an order on a connection of its own and returns the status, 0 for none.
func confirm(g *gateway, id string) (status int, retryAfter time.Duration) {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	client := http.Client{Transport: transport, Timeout: 2 * time.Second}
	request, err := http.NewRequest(http.MethodPost, "http://"+g.callers+confirmPath+"2f", strings.NewReader("frame 17, left temple"))
	if err != nil {
		unable("%v", err)
	}
	request.Host = host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "2000")
	record("client sends %s", id)
	response, err := client.Do(request)
	if err != nil {
		record("client gets no answer to %s: %v", id, err)
		return 0, 0
	}
	body, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	record("client gets %d to %s, signature %q, body %q", response.StatusCode, id, response.Header.Get("Response-Signature"), body)
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return response.StatusCode, time.Duration(seconds * float64(time.Second))
}
