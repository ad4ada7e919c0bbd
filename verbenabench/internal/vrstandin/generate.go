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

// slotQueue grants slots in order of priority, then of arrival. A lower number is a
// higher priority.
type slotQueue struct {
	mu   sync.Mutex
	free int
	// arrivals counts the requests that had to wait.
	arrivals uint64
	queue    waiterHeap
}

type waiter struct {
	priority int
	arrival  uint64
	// granted is closed when the waiter gets a slot.
	granted chan struct{}
	index   int
}

type waiterHeap []*waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return h[i].arrival < h[j].arrival
}

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *waiterHeap) Push(x any) {
	item := x.(*waiter)
	item.index = len(*h)
	*h = append(*h, item)
}

// Pop implements heap.Interface.
func (h *waiterHeap) Pop() any {
	last := (*h)[len(*h)-1]
	last.index = -1
	*h = (*h)[:len(*h)-1]
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

// acquire takes a slot, waiting if none is free. It returns vrengine.ErrorBusy if
// _maxWaitingRequests requests already wait, and an empty reason and false if ctx ends
// first.
func (q *slotQueue) acquire(ctx context.Context, priority int) (string, bool) {
	q.mu.Lock()
	if q.free > 0 {
		q.free--
		q.mu.Unlock()
		return "", true
	}
	if len(q.queue) >= _maxWaitingRequests {
		q.mu.Unlock()
		return vrengine.ErrorBusy, false
	}
	q.arrivals++
	item := &waiter{priority: priority, arrival: q.arrivals, granted: make(chan struct{})}
	heap.Push(&q.queue, item)
	q.mu.Unlock()
	select {
	case <-item.granted:
		return "", true
	case <-ctx.Done():
		q.withdraw(item)
		return "", false
	}
}

// withdraw removes a waiter. A slot that was granted in the meantime is released to the
// next waiter.
func (q *slotQueue) withdraw(item *waiter) {
	q.mu.Lock()
	if item.index >= 0 {
		heap.Remove(&q.queue, item.index)
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
	replica := e.findReplica(request.Model, request.Adapter)
	if replica == nil {
		refuse(w, request, http.StatusConflict, vrengine.ErrorNotLoaded)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	stop := context.AfterFunc(replica.unloaded, cancel)
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

// findReplica returns the loaded model or adapter that a request needs, or nil.
func (e *engine) findReplica(model vrid.ModelID, adapter vrid.AdapterID) *replica {
	e.mu.Lock()
	defer e.mu.Unlock()
	base := e.replicas[model]
	if base == nil || !base.loaded() {
		return nil
	}
	if adapter == "" {
		return base
	}
	adapterReplica := base.adapters[adapter]
	if adapterReplica == nil || !adapterReplica.loaded() {
		return nil
	}
	return adapterReplica
}

func (e *engine) track(request vrid.RequestID, cancel context.CancelFunc) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelRequests[request] = cancel
}

func (e *engine) untrack(request vrid.RequestID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.cancelRequests, request)
}

func (e *engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var request vrengine.CancelRequest
	if !readJSON(w, r, &request) {
		return
	}
	e.mu.Lock()
	cancel := e.cancelRequests[request.RequestID]
	e.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	w.WriteHeader(http.StatusOK)
}

// refuse responds with an error before any token, because the request did not run.
func refuse(w http.ResponseWriter, request vrengine.GenerateRequest, status int, reason string) {
	writeJSON(w, status, vrengine.Token{RequestID: request.RequestID, Done: true, Error: reason})
}

// stream writes the answer starting at the requested offset. It aborts the connection
// if the replica is unloaded or the caller disconnects.
func (e *engine) stream(ctx context.Context, w http.ResponseWriter, request vrengine.GenerateRequest) {
	answer := Answer{Model: request.Model, Adapter: request.Adapter, Prompt: request.Prompt}
	length, reason := answer.Length(request.MaxTokens)
	out := &tokenWriter{writer: w, request: request.RequestID, cross: e.faults.crossHits.take()}
	ended := Entry{
		Kind: JournalGenerateEnded, Server: e.Server, Zone: e.Zone,
		Request: request.RequestID, Model: request.Model, Adapter: request.Adapter, Detail: "broken",
	}
	defer func() {
		ended.Tokens, ended.Bytes = out.tokens, out.bytes
		e.Journal.Add(ended)
	}()
	w.Header().Set("Content-Type", "application/x-ndjson")
	delay := e.prefillDelay(request)
	for offset := request.ResumeFrom; offset < length; offset++ {
		if vrpause.For(ctx, delay) != nil || !out.writeToken(offset, answer.Token(offset)) {
			panic(http.ErrAbortHandler)
		}
		delay = e.Timing.TokenInterval
	}
	if !out.writeLine(vrengine.Token{RequestID: request.RequestID, Offset: length, Done: true, FinishReason: reason}) {
		panic(http.ErrAbortHandler)
	}
	ended.Detail = reason
}

func (e *engine) prefillDelay(request vrengine.GenerateRequest) time.Duration {
	delay := e.Timing.PrefillDelay
	if e.cache.use(request.Model, request.Prompt) {
		// With a cached prefix only the end of the prompt has to be processed.
		delay /= 4
	}
	if e.faults.delayHits.take() {
		e.faults.mu.Lock()
		defer e.faults.mu.Unlock()
		delay += e.faults.delay
	}
	return delay
}

// tokenWriter writes the lines of one answer.
type tokenWriter struct {
	writer  http.ResponseWriter
	request vrid.RequestID
	cross   bool
	tokens  int
	bytes   vrid.Bytes
}

// writeToken writes one token. With cross set, each token is preceded by a line of
// another request and its own line is written twice.
func (t *tokenWriter) writeToken(offset int, text string) bool {
	line := vrengine.Token{RequestID: t.request, Offset: offset, Token: text}
	if t.cross {
		foreign := vrengine.Token{RequestID: t.request + "-other", Offset: offset, Token: "crossed "}
		if !t.writeLine(foreign) || !t.writeLine(line) {
			return false
		}
	}
	t.tokens++
	return t.writeLine(line)
}

func (t *tokenWriter) writeLine(line vrengine.Token) bool {
	data, err := json.Marshal(line)
	if err != nil {
		return false
	}
	data = append(data, '\n')
	count, err := t.writer.Write(data)
	t.bytes += vrid.Bytes(count)
	if err != nil {
		return false
	}
	if flusher, ok := t.writer.(http.Flusher); ok {
		flusher.Flush()
	}
	return true
}
