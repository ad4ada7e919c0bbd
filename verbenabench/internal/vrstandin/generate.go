package vrstandin

import (
	"container/heap"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"verbenaroute.example/verbenabench/internal/vrpause"
	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrid"
)

// slotQueue hands out slots by priority, then by arrival.
type slotQueue struct {
	mu    sync.Mutex
	free  int
	next  uint64
	queue waiters
}

type waiter struct {
	priority int
	arrival  uint64
	// granted is closed when the waiter holds a slot.
	granted chan struct{}
	place   int
}

type waiters []*waiter

func (w waiters) Len() int { return len(w) }

func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority < w[j].priority
	}
	return w[i].arrival < w[j].arrival
}

func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].place, w[j].place = i, j
}

// Push is used by the heap.
func (w *waiters) Push(x any) {
	item := x.(*waiter)
	item.place = len(*w)
	*w = append(*w, item)
}

// Pop is used by the heap.
func (w *waiters) Pop() any {
	last := (*w)[len(*w)-1]
	last.place = -1
	*w = (*w)[:len(*w)-1]
	return last
}

func (q *slotQueue) running(slots int) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slots - q.free
}

func (q *slotQueue) waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.queue)
}

// acquire takes a slot, or returns busy when too many wait, or ends with the context.
func (q *slotQueue) acquire(ctx context.Context, priority int) (string, bool) {
	q.mu.Lock()
	if q.free > 0 {
		q.free--
		q.mu.Unlock()
		return "", true
	}
	if len(q.queue) >= _maxWaiting {
		q.mu.Unlock()
		return vrengine.ErrorBusy, false
	}
	q.next++
	item := &waiter{priority: priority, arrival: q.next, granted: make(chan struct{})}
	heap.Push(&q.queue, item)
	q.mu.Unlock()
	select {
	case <-item.granted:
		return "", true
	case <-ctx.Done():
		q.leave(item)
		return "", false
	}
}

// leave withdraws a waiter; a slot that was granted meanwhile goes on to the next.
func (q *slotQueue) leave(item *waiter) {
	q.mu.Lock()
	if item.place >= 0 {
		heap.Remove(&q.queue, item.place)
		q.mu.Unlock()
		return
	}
	q.mu.Unlock()
	q.release()
}

func (q *slotQueue) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.queue) == 0 {
		q.free++
		return
	}
	close(heap.Pop(&q.queue).(*waiter).granted)
}

func (e *engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var request vrengine.GenerateRequest
	if !readJSON(w, r, &request) {
		return
	}
	e.Journal.Add(Entry{
		Kind: JournalGenerate, Server: e.Server, Zone: e.Zone, Request: request.RequestID, Model: request.Model,
		Adapter: request.Adapter, Priority: request.Priority, Offset: request.ResumeFrom, Bytes: vrid.Bytes(len(request.Prompt)),
	})
	held := e.find(request.Model, request.Adapter)
	if held == nil {
		refuse(w, request, http.StatusConflict, vrengine.ErrorNotLoaded)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	stop := context.AfterFunc(held.gone, cancel)
	defer stop()
	e.track(request.RequestID, cancel)
	defer e.untrack(request.RequestID)
	reason, ok := e.slots.acquire(ctx, request.Priority)
	if reason != "" {
		refuse(w, request, http.StatusTooManyRequests, reason)
		return
	}
	if !ok {
		panic(http.ErrAbortHandler)
	}
	defer e.slots.release()
	e.stream(ctx, w, request)
}

// find returns the loaded replica that the request needs, or nil.
func (e *engine) find(model vrid.ModelID, adapter vrid.AdapterID) *replica {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := e.replicas[model]
	if held == nil || !held.loaded() {
		return nil
	}
	if adapter == "" {
		return held
	}
	part := held.adapters[adapter]
	if part == nil || !part.loaded() {
		return nil
	}
	return part
}

func (e *engine) track(request vrid.RequestID, cancel context.CancelFunc) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running[request] = cancel
}

func (e *engine) untrack(request vrid.RequestID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, request)
}

func (e *engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var request vrengine.CancelRequest
	if !readJSON(w, r, &request) {
		return
	}
	e.mu.Lock()
	cancel := e.running[request.RequestID]
	e.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	w.WriteHeader(http.StatusOK)
}

// refuse answers before any token: the request did not run.
func refuse(w http.ResponseWriter, request vrengine.GenerateRequest, status int, reason string) {
	writeJSON(w, status, vrengine.Token{RequestID: request.RequestID, Done: true, Error: reason})
}

// stream writes the answer from the asked offset on and breaks the connection when
// the replica or the caller is gone.
func (e *engine) stream(ctx context.Context, w http.ResponseWriter, request vrengine.GenerateRequest) {
	answer := Answer{Model: request.Model, Adapter: request.Adapter, Prompt: request.Prompt}
	length, reason := answer.Length(request.MaxTokens)
	lines := &lineWriter{writer: w, request: request.RequestID, cross: e.faults.crossed.take()}
	ended := Entry{
		Kind: JournalGenerateEnded, Server: e.Server, Zone: e.Zone,
		Request: request.RequestID, Model: request.Model, Adapter: request.Adapter, Detail: "broken",
	}
	defer func() {
		ended.Tokens, ended.Bytes = lines.tokens, lines.bytes
		e.Journal.Add(ended)
	}()
	w.Header().Set("Content-Type", "application/x-ndjson")
	delay := e.prefill(request)
	for offset := request.ResumeFrom; offset < length; offset++ {
		if vrpause.For(ctx, delay) != nil || !lines.token(offset, answer.Token(offset)) {
			panic(http.ErrAbortHandler)
		}
		delay = e.Pace.Token
	}
	if !lines.write(vrengine.Token{RequestID: request.RequestID, Offset: length, Done: true, FinishReason: reason}) {
		panic(http.ErrAbortHandler)
	}
	ended.Detail = reason
}

func (e *engine) prefill(request vrengine.GenerateRequest) time.Duration {
	delay := e.Pace.Prefill
	if e.cache.use(request.Model, request.Prompt) {
		// A cached prefix leaves only the last part of the prompt to compute.
		delay /= 4
	}
	if e.faults.delayed.take() {
		e.faults.mu.Lock()
		defer e.faults.mu.Unlock()
		delay += e.faults.delay
	}
	return delay
}

// lineWriter writes the lines of one answer.
type lineWriter struct {
	writer  http.ResponseWriter
	request vrid.RequestID
	cross   bool
	tokens  int
	bytes   vrid.Bytes
}

// token writes one token. A crossed answer also carries a line of another request
// before each token and the same line once more after it.
func (l *lineWriter) token(offset int, text string) bool {
	line := vrengine.Token{RequestID: l.request, Offset: offset, Token: text}
	if l.cross {
		foreign := vrengine.Token{RequestID: l.request + "-other", Offset: offset, Token: "crossed "}
		if !l.write(foreign) || !l.write(line) {
			return false
		}
	}
	l.tokens++
	return l.write(line)
}

func (l *lineWriter) write(line vrengine.Token) bool {
	data, err := json.Marshal(line)
	if err != nil {
		return false
	}
	data = append(data, '\n')
	count, err := l.writer.Write(data)
	l.bytes += vrid.Bytes(count)
	if err != nil {
		return false
	}
	if flusher, ok := l.writer.(http.Flusher); ok {
		flusher.Flush()
	}
	return true
}
