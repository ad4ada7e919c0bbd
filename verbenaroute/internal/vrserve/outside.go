package vrserve

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"verbenaroute.example/verbenacore/vrcodec"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"

	"verbenaroute.example/verbenaroute/internal/vrlog"
)

const (
	// _watchWait is how long the platform keeps a watch call open without a change.
	_watchWait = 30 * time.Second
	// _watchRest bounds the random delay after each successful watch call. It keeps the
	// daemon from calling in a tight loop if the store answers every watch at once: each
	// call counts towards the store's rate limits.
	_watchRest  = 200 * time.Millisecond
	_watchFirst = 100 * time.Millisecond
	_watchMost  = 5 * time.Second
)

func (r *Runtime) readObject(e vrevent.ReadObject) {
	ctx, cancel := context.WithTimeout(r.base, _platformTimeout)
	defer cancel()
	read := r.options.Platform.Read(ctx, e.Key)
	r.Submit(vrevent.ObjectRead{Op: e.Op, Key: e.Key, Outcome: read.Outcome, Version: read.Version, Value: read.Value})
}

func (r *Runtime) writeObject(e vrevent.WriteObject) {
	ctx, cancel := context.WithTimeout(r.base, _platformTimeout)
	defer cancel()
	written := r.options.Platform.Write(ctx, e.Key, e.IfVersion, e.Value)
	r.Submit(vrevent.ObjectWritten{Op: e.Op, Key: e.Key, Outcome: written.Outcome, Version: written.Version})
}

func (r *Runtime) listObjects(e vrevent.ListObjects) {
	ctx, cancel := context.WithTimeout(r.base, _platformTimeout)
	defer cancel()
	list := r.options.Platform.List(ctx, e.Prefix, e.Values)
	r.Submit(vrevent.ObjectsListed{Op: e.Op, Prefix: e.Prefix, Outcome: list.Outcome, Items: list.Items})
}

func (r *Runtime) listVMs() {
	ctx, cancel := context.WithTimeout(r.base, _platformTimeout)
	defer cancel()
	list := r.options.Platform.VMs(ctx)
	r.Submit(vrevent.VMsListed{Outcome: list.Outcome, VMs: list.VMs})
}

func (r *Runtime) pollServer(e vrevent.PollServer) {
	ctx, cancel := context.WithTimeout(r.base, _pollTimeout)
	defer cancel()
	report, err := r.options.Engines.Report(ctx, e.Address)
	if err != nil {
		r.Submit(vrevent.ReportFailed{Server: e.Server})
		return
	}
	r.Submit(vrevent.ReportReceived{Server: e.Server, Report: *report})
}

func (r *Runtime) sendOrder(e vrevent.SendOrder) {
	ctx, cancel := context.WithTimeout(r.base, _orderTimeout)
	defer cancel()
	result := r.options.Engines.Order(ctx, e.Address, e.Order)
	r.Submit(vrevent.OrderAnswered{Server: e.Server, Order: e.Order, Status: result.Status, Answer: result.Answer})
}

// seeConfig decodes a configuration and submits it to the reducer. An invalid one is
// logged and dropped.
func (r *Runtime) seeConfig(document []byte, confirmed bool) {
	index, err := vrcodec.DecodeFleet(document)
	if err != nil {
		r.options.Log.Warn("configuration document is invalid", vrlog.Error(err))
		return
	}
	r.Submit(vrevent.ConfigSeen{Index: index, Document: document, Confirmed: confirmed})
}

// watcher runs at most one watch loop of the configuration.
type watcher struct {
	runtime *Runtime
	mu      sync.Mutex
	cancel  context.CancelFunc
	// last is closed when the most recently started watch has ended. The next watch
	// waits for it, so that two never overlap.
	last chan struct{}
}

func newWatcher(r *Runtime) *watcher {
	ended := make(chan struct{})
	close(ended)
	return &watcher{runtime: r, last: ended}
}

// set starts or stops the watch without blocking. It does nothing if the watch is
// already in the wanted state or the runtime is closed.
func (w *watcher) set(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !on {
		if w.cancel != nil {
			w.cancel()
			w.cancel = nil
		}
		return
	}
	if w.cancel != nil || w.runtime.base.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(w.runtime.base)
	w.cancel = cancel
	previous, ended := w.last, make(chan struct{})
	w.last = ended
	w.runtime.loops.Go(func() {
		defer close(ended)
		<-previous
		w.runtime.watchConfig(ctx)
	})
}

// watchConfig watches the configuration's objects until ctx ends. Failed calls are
// repeated with exponential backoff.
func (r *Runtime) watchConfig(ctx context.Context) {
	var after vrid.ObjectVersion
	pause := &backoff.ExponentialBackOff{
		InitialInterval:     _watchFirst,
		RandomizationFactor: 1,
		Multiplier:          2,
		MaxInterval:         _watchMost,
	}
	pause.Reset()
	for ctx.Err() == nil {
		watch := r.options.Platform.Watch(ctx, vrplatform.PrefixConfig, after, _watchWait)
		if watch.Outcome != vrplatform.OutcomeOK {
			rest(ctx, pause.NextBackOff())
			continue
		}
		pause.Reset()
		after = max(after, watch.Revision)
		r.seeItems(watch.Items)
		rest(ctx, rand.N(_watchRest))
	}
}

// seeItems submits the configuration head if it is among the changed objects.
func (r *Runtime) seeItems(items []vrplatform.Item) {
	for _, item := range items {
		if item.Key == vrplatform.KeyConfigHead && !item.Deleted {
			r.seeConfig(item.Value, true)
		}
	}
}

// rest waits for a duration or until ctx ends.
func rest(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
