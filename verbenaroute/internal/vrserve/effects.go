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
	// _watchTimeout is how long the platform keeps a watch call open without a change.
	_watchTimeout = 30 * time.Second
	// _maxWatchDelay bounds the random delay after each successful watch call. It keeps the
	// daemon from calling in a tight loop if the store answers every watch at once: each
	// call counts towards the store's rate limits.
	_maxWatchDelay = 200 * time.Millisecond
	// _minWatchBackoff and _maxWatchBackoff bound the pause after a failed watch call.
	_minWatchBackoff = 100 * time.Millisecond
	_maxWatchBackoff = 5 * time.Second
)

func (r *Runtime) readObject(e vrevent.ReadObject) {
	ctx, cancel := context.WithTimeout(r.baseCtx, _platformTimeout)
	defer cancel()
	read := r.options.Platform.Read(ctx, e.Key)
	r.Submit(vrevent.ObjectRead{Op: e.Op, Key: e.Key, Outcome: read.Outcome, Version: read.Version, Value: read.Value})
}

func (r *Runtime) writeObject(e vrevent.WriteObject) {
	ctx, cancel := context.WithTimeout(r.baseCtx, _platformTimeout)
	defer cancel()
	written := r.options.Platform.Write(ctx, e.Key, e.IfVersion, e.Value)
	r.Submit(vrevent.ObjectWritten{Op: e.Op, Key: e.Key, Outcome: written.Outcome, Version: written.Version})
}

func (r *Runtime) listObjects(e vrevent.ListObjects) {
	ctx, cancel := context.WithTimeout(r.baseCtx, _platformTimeout)
	defer cancel()
	list := r.options.Platform.List(ctx, e.Prefix, e.Values)
	r.Submit(vrevent.ObjectsListed{Op: e.Op, Prefix: e.Prefix, Outcome: list.Outcome, Items: list.Items})
}

func (r *Runtime) listVMs() {
	ctx, cancel := context.WithTimeout(r.baseCtx, _platformTimeout)
	defer cancel()
	list := r.options.Platform.VMs(ctx)
	r.Submit(vrevent.VMsListed{Outcome: list.Outcome, VMs: list.VMs})
}

func (r *Runtime) pollServer(e vrevent.PollServer) {
	ctx, cancel := context.WithTimeout(r.baseCtx, _pollTimeout)
	defer cancel()
	report, err := r.options.Engines.Report(ctx, e.Address)
	if err != nil {
		r.Submit(vrevent.ReportFailed{Server: e.Server})
		return
	}
	r.Submit(vrevent.ReportReceived{Server: e.Server, Report: *report})
}

func (r *Runtime) sendOrder(e vrevent.SendOrder) {
	ctx, cancel := context.WithTimeout(r.baseCtx, _orderTimeout)
	defer cancel()
	result := r.options.Engines.Order(ctx, e.Address, e.Order)
	r.Submit(vrevent.OrderAnswered{Server: e.Server, Order: e.Order, Status: result.Status, Answer: result.Answer})
}

// submitConfig decodes a configuration and submits it to the reducer. An invalid one is
// logged and dropped.
func (r *Runtime) submitConfig(document []byte, confirmed bool) {
	index, err := vrcodec.DecodeFleet(document)
	if err != nil {
		r.options.Log.Warn("configuration document is invalid", vrlog.Error(err))
		return
	}
	r.Submit(vrevent.ConfigSeen{Index: index, Document: document, Confirmed: confirmed})
}

// configWatcher runs at most one watch loop of the configuration.
type configWatcher struct {
	runtime *Runtime
	mu      sync.Mutex
	cancel  context.CancelFunc
	// lastEnded is closed when the most recently started watch has ended. The next watch
	// waits for it, so that two never overlap.
	lastEnded chan struct{}
}

func newConfigWatcher(r *Runtime) *configWatcher {
	ended := make(chan struct{})
	close(ended)
	return &configWatcher{runtime: r, lastEnded: ended}
}

// setEnabled starts or stops the watch without blocking. It does nothing if the watch is
// already in the wanted state or the runtime is closed.
func (w *configWatcher) setEnabled(enabled bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !enabled {
		if w.cancel != nil {
			w.cancel()
			w.cancel = nil
		}
		return
	}
	if w.cancel != nil || w.runtime.baseCtx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(w.runtime.baseCtx)
	w.cancel = cancel
	previous, ended := w.lastEnded, make(chan struct{})
	w.lastEnded = ended
	w.runtime.background.Go(func() {
		defer close(ended)
		<-previous
		w.runtime.watchConfig(ctx)
	})
}

// watchConfig watches the configuration's objects until ctx ends. Failed calls are
// repeated with exponential backoff.
func (r *Runtime) watchConfig(ctx context.Context) {
	var revision vrid.ObjectVersion
	retryBackoff := &backoff.ExponentialBackOff{
		InitialInterval:     _minWatchBackoff,
		RandomizationFactor: 1,
		Multiplier:          2,
		MaxInterval:         _maxWatchBackoff,
	}
	retryBackoff.Reset()
	for ctx.Err() == nil {
		result := r.options.Platform.Watch(ctx, vrplatform.PrefixConfig, revision, _watchTimeout)
		if result.Outcome != vrplatform.OutcomeOK {
			sleep(ctx, retryBackoff.NextBackOff())
			continue
		}
		retryBackoff.Reset()
		revision = max(revision, result.Revision)
		r.submitConfigHead(result.Items)
		sleep(ctx, rand.N(_maxWatchDelay))
	}
}

// submitConfigHead submits the configuration head if it is among the changed objects.
func (r *Runtime) submitConfigHead(items []vrplatform.Item) {
	for _, item := range items {
		if item.Key == vrplatform.KeyConfigHead && !item.Deleted {
			r.submitConfig(item.Value, true)
		}
	}
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
