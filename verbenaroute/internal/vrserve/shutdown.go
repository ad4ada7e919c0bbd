package vrserve

import (
	"context"
	"time"

	"go.uber.org/zap"

	"verbenaroute.example/verbenacore/vrevent"

	"verbenaroute.example/verbenaroute/internal/vrlog"
)

const (
	// _noticeTime is how long the balancer and the peers have to see that the daemon
	// leaves before it refuses requests: a leaving endpoint receives no new work after
	// 3 s (I7). The reducer waits as long before it refuses.
	_noticeTime = 3 * time.Second
	// _closeTime bounds the closing of the operators' address.
	_closeTime = 5 * time.Second
	// _flushTime bounds the wait for the record; the reducer gives up after 10 s of an
	// outage, and its lost entries become a gap.
	_flushTime = 15 * time.Second
)

// shutdown ends the daemon in order: the balancer is told and owned things are handed
// over first, then new requests are refused while running ones finish, then the
// addresses close.
func (d *Daemon) shutdown() error {
	d.log.Info("shutdown starts")
	d.status.Drain()
	d.front.DisableKeepAlives()
	grace, cancel := context.WithTimeout(context.Background(), max(d.settings.ShutdownGrace.Std(), _noticeTime))
	defer cancel()
	d.Runtime.Submit(vrevent.ShutdownRequested{})
	rest(grace, _noticeTime)
	d.front.Drain()
	err := d.awaitEnd(grace)
	d.close()
	if err != nil {
		d.log.Error("shutdown cut requests off", vrlog.Error(err))
		return err
	}
	d.log.Info("shutdown is complete")
	return nil
}

// awaitEnd waits until no request runs, closes the callers' port and lets the reducer
// make the rest of the record durable. A request that arrived after the last write of
// the record would have no entry there.
func (d *Daemon) awaitEnd(grace context.Context) error {
	select {
	case <-d.Runtime.Closing():
	case <-grace.Done():
	}
	running := d.finishRequests(grace)
	d.Runtime.Submit(vrevent.CallersClosed{})
	handedOver := false
	flush, cancelFlush := context.WithTimeout(context.Background(), _flushTime)
	defer cancelFlush()
	select {
	case <-d.Runtime.Stopped():
		handedOver = true
	case <-flush.Done():
	}
	if running > 0 || !handedOver {
		return &CutOffError{Requests: running, HandedOver: handedOver}
	}
	return nil
}

// finishRequests closes the callers' address, waits for running requests and returns how
// many it cut off.
func (d *Daemon) finishRequests(grace context.Context) int {
	err := d.front.Shutdown(grace)
	running := d.front.Running()
	if err != nil {
		d.log.Warn("callers' connections were closed", zap.Int("requests", running), vrlog.Error(err))
	}
	d.front.Close()
	return running
}

// close ends everything that still runs.
func (d *Daemon) close() {
	ctx, cancel := context.WithTimeout(context.Background(), _closeTime)
	defer cancel()
	d.peers.Close()
	d.Runtime.Close()
	if err := d.admin.Shutdown(ctx); err != nil {
		d.log.Warn("operators' connections were closed", vrlog.Error(err))
	}
	d.clients.close()
	d.serving.Wait()
}
