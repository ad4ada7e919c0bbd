package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["early"] = early }

const (
	// orderBytes is the size of an order, below max_body_bytes.
	orderBytes = 3_900_000
	// readBeforeAnswer is what a server reads before it answers early, readPause the time until it reads on.
	readBeforeAnswer = 64 << 10
	readPause        = 300 * time.Millisecond
	orders           = 200
	// Dose of the disruption: two servers of four answer one in fifty of their requests early.
	earlyServers = 2
	earlyOf      = 50
	firstEarly   = 10
)

// received is what a server got of an order, and when its body had ended.
type received struct {
	bytes int
	same  bool
	err   error
}

// earlyServer is a server of the ordering application. With trouble it answers some orders before it has read
// them, keeps the connection and reads on later.
type earlyServer struct {
	id      string
	trouble bool
	mu      sync.Mutex
	count   int
	got     map[string]received
}

// orderBody returns the body of an order, which differs from all others at every place.
func orderBody(number int) []byte {
	body := make([]byte, orderBytes)
	for i := range body {
		body[i] = byte(i*7 + i>>8 + number)
	}
	return body
}

func (v *earlyServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	var number int
	_, _ = fmt.Sscanf(id, "%x", &number)
	record("server %s runs %s", v.id, id)
	// The answer may be written before the body was read.
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex()
	v.mu.Lock()
	v.count++
	early := v.trouble && v.count%earlyOf == firstEarly
	v.mu.Unlock()
	body := make([]byte, 0, orderBytes)
	var err error
	if early {
		first := make([]byte, readBeforeAnswer)
		n, _ := io.ReadFull(r.Body, first)
		body = append(body, first[:n]...)
	} else {
		body, err = io.ReadAll(r.Body)
	}
	answer := "confirmed " + id
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Signature", v.id+"."+id)
	w.Header().Set("Server-Load", "1,0,6")
	w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	_, _ = io.WriteString(w, answer)
	_ = control.Flush()
	if early {
		record("server %s has answered %s with 200 early, %d bytes read", v.id, id, len(body))
	}
	if early {
		time.Sleep(readPause)
		var rest []byte
		rest, err = io.ReadAll(r.Body)
		body = append(body, rest...)
	}
	got := received{bytes: len(body), same: bytes.Equal(body, orderBody(number)), err: err}
	record("server %s got %d of %d bytes of %s, the client's: %t, error %v", v.id, got.bytes, orderBytes, id, got.same, err)
	v.mu.Lock()
	v.got[id] = got
	v.mu.Unlock()
}

// early sends long orders to servers that answer before they have read them. The rule UNASKED is broken if a
// server runs an order with another body than the client's.
func early(dir string, trouble bool) bool {
	s := newStore()
	s.put("config", "main", configuration(7, nil))
	var servers []*earlyServer
	for i, zone := range []string{"fukuoka-a", "fukuoka-a", "kumamoto-a", "kagoshima-a"} {
		v := &earlyServer{id: fmt.Sprintf("i-7f3a91c%d", i), trouble: trouble && i < earlyServers, got: make(map[string]received)}
		newServer(v.id, appService, zone, 6, v).start(s)
		servers = append(servers, v)
	}
	g := startGateway(dir, "edge-fukuoka-a-1", "fukuoka-a", s)
	confirmed, count := make(map[string]bool), 0
	for number := range orders {
		id := fmt.Sprintf("%016x", 0x9c41+number)
		confirmed[id] = postOrder(g, id, orderBody(0x9c41+number))
		if confirmed[id] {
			count++
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	if count < orders/2 {
		unable("only %d orders of %d were confirmed", count, orders)
	}
	broken := 0
	for _, v := range servers {
		v.mu.Lock()
		for id, got := range v.got {
			if !got.same {
				record("UNASKED: server %s ran %s with %d bytes of %d; the client has its success: %t", v.id, id, got.bytes, orderBytes, confirmed[id])
				broken++
			}
		}
		v.mu.Unlock()
	}
	record("%d of %d orders were run with another body", broken, orders)
	return broken > 0
}

// postOrder sends an order on a connection of its own and reports whether it is confirmed.
func postOrder(g *gateway, id string, body []byte) bool {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.callers+confirmPath+"2f", bytes.NewReader(body))
	if err != nil {
		unable("%v", err)
	}
	request.Host = host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "2000")
	record("client sends %s, %d bytes", id, len(body))
	response, err := transport.RoundTrip(request)
	if err != nil {
		record("client gets no answer to %s: %v", id, err)
		return false
	}
	answer, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	record("client gets %d to %s, signature %q, %q, error %v", response.StatusCode, id, response.Header.Get("Response-Signature"), answer, err)
	return err == nil && response.StatusCode == http.StatusOK
}
