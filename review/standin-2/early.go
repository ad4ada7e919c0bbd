package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	earlyRequests = 24
	// The connections of one of earlyGateways daemons are reset, half of them.
	earlyGateways = 10
	earlyServers  = 3
	// earlyBody is the size of the body of a request, below max_body_bytes, and earlyAnswer that of an answer.
	earlyBody   = 4_190_000
	earlyAnswer = 40 << 10
	// earlyRead is what a server has read of a body when it begins to answer.
	earlyRead = 64 << 10
)

// plainCatalog is a configuration with a route to a service without models.
func plainCatalog(kind string, attempts int) map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-order", "host": "review.example", "path_prefix": "/order/", "type": kind, "timeout_ms": 8000,
			"target_latency_ms": 300, "priority": 2, "service": "app", "max_attempts": attempts,
		}},
		"services": []any{map[string]any{"name": "app", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// earlyServer answers before it has read the whole body, as a server may. Its answers have no length and end with
// their connection.
type earlyServer struct {
	*server
	r *record
	// reset reports whether the connection of a request is reset on the way.
	reset func(id string) bool
}

// serveRaw handles one connection, which carries one request.
func (v *earlyServer) serveRaw(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	q, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	id := q.Header.Get("Request-Id")
	if _, err := io.CopyN(io.Discard, q.Body, earlyRead); err != nil {
		return
	}
	v.r.say("server %s runs %s and answers", v.id, id)
	answer := answerOf(id)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: sig.%s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n%s", id, id, answer[:len(answer)/2])
	time.Sleep(300 * time.Millisecond)
	if v.reset(id) {
		v.r.say("the connection of %s is reset", id)
		_ = c.(*net.TCPConn).SetLinger(0)
		return
	}
	// It reads on meanwhile.
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		v.r.say("server %s: body of %s: %v", v.id, id, err)
		return
	}
	_, err = io.WriteString(c, answer[len(answer)/2:])
	v.r.say("server %s has answered %s: %v", v.id, id, err)
}

func answerOf(id string) string {
	return strings.Repeat(id+";", earlyAnswer/(len(id)+1))
}

// earlyCase: servers answer before they have read a long body; some connections to them are reset in the middle of
// the answer, which has no length. No client may take such an answer for a whole one.
func earlyCase(folder string, r *record, trouble bool) int {
	s := newStore()
	s.put("config", "main", plainCatalog("non_idempotent", 1))
	var mu sync.Mutex
	number := make(map[string]int)
	for i := range earlyServers {
		v := &earlyServer{server: newRegistration(s, fmt.Sprintf("i-app%d", i+1), "app", zones[i%len(zones)]), r: r}
		v.reset = func(id string) bool {
			mu.Lock()
			defer mu.Unlock()
			return trouble && number[id]%2 == 0
		}
		go func() {
			for {
				c, err := v.listener.Accept()
				if err != nil {
					return
				}
				go v.serveRaw(c)
			}
		}()
		defer v.crash()
	}
	gateways := startGateways(folder, s.address(), earlyGateways)
	defer endGateways(gateways)
	time.Sleep(2 * time.Second)
	var clients sync.WaitGroup
	broken, whole, other := 0, 0, 0
	for i := range earlyRequests {
		id := fmt.Sprintf("order%06d", i)
		mu.Lock()
		number[id] = i
		mu.Unlock()
		clients.Add(1)
		go func() {
			defer clients.Done()
			r.say("client sends %s to %s", id, gateways[0].name)
			status, body, err := sendOrder(gateways[0].callers, id)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil && status == http.StatusOK && body != answerOf(id):
				broken++
				r.say("client: %s got status 200 and a whole answer of %d bytes; its server's has %d bytes", id, len(body), len(answerOf(id)))
			case err == nil && status == http.StatusOK:
				whole++
				r.say("client: %s got its server's whole answer", id)
			default:
				other++
				r.say("client: %s got status %d, %v", id, status, err)
			}
		}()
		time.Sleep(150 * time.Millisecond)
	}
	clients.Wait()
	r.say("%d successes with a part of their server's body, %d whole, %d others", broken, whole, other)
	switch {
	case broken > 0:
		return exitBroken
	case !trouble && whole != earlyRequests:
		return exitNotRun
	default:
		return exitHeld
	}
}

// sendOrder sends one request with a long body and returns its answer.
func sendOrder(address, id string) (status int, body string, err error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(9 * time.Second))
	go func() {
		fmt.Fprintf(c, "POST /order/1 HTTP/1.1\r\nHost: review.example\r\nRequest-Id: %s\r\nDeadline-Ms: 8000\r\nContent-Length: %d\r\n\r\n", id, earlyBody)
		_, _ = c.Write(bytes.Repeat([]byte("x"), earlyBody))
	}()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}
