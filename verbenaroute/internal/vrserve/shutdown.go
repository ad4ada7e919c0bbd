package vrserve

import (
	"context"
	"time"

	"go.uber.org/zap"

	"verbenaroute.example/verbenacore/vrevent"
)

const (
	// _noticeTime is how long the balancer and the peers have to see that the daemon
	// leaves before it refuses requests: a leaving endpoint receives no new work after
	// 3 s (I7). The reducer waits as long before it refuses.
	_noticeTime = 3 * time.Second
	// _closeTime bounds what follows after the last request.
	_closeTime = 5 * time.Second
	_countTime = 20 * time.Millisecond
)

// shutdown ends the daemon in order: the balancer is told and owned things are handed
// over first, then new requests are refused while running ones finish, then the
// addresses close.
func (d *Daemon) shutdown() error {
	d.log.Info("shutdown starts")
	d.status.Drain()
	grace, cancel := context.WithTimeout(context.Background(), max(d.settings.ShutdownGrace.Std(), _noticeTime))
	defer cancel()
	d.Runtime.Submit(vrevent.ShutdownRequested{})
	rest(grace, _noticeTime)
	d.front.Drain()
	err := d.awaitEnd(grace)
	d.close()
	if err != nil {
		d.log.Error("shutdown cut requests off", zap.String("errorType", errorType(err)), zap.Error(err))
		return err
	}
	d.log.Info("shutdown is complete")
	return nil
}

// awaitEnd waits until the reducer has stopped and no request runs.
func (d *Daemon) awaitEnd(grace context.Context) error {
	handedOver := false
	select {
	case <-d.Runtime.Stopped():
		handedOver = true
	case <-grace.Done():
	}
	for d.front.Running() > 0 && grace.Err() == nil {
		rest(grace, _countTime)
	}
	if running := d.front.Running(); running > 0 || !handedOver {
		return &CutOffError{Requests: running, HandedOver: handedOver}
	}
	return nil
}

// close ends everything that still runs.
func (d *Daemon) close() {
	ctx, cancel := context.WithTimeout(context.Background(), _closeTime)
	defer cancel()
	if err := d.front.Shutdown(ctx); err != nil {
		d.log.Warn("callers' connections were closed", zap.Error(err))
	}
	d.peers.Close()
	d.Runtime.Close()
	if err := d.admin.Shutdown(ctx); err != nil {
		d.log.Warn("operators' connections were closed", zap.Error(err))
	}
	d.clients.close()
	d.serving.Wait()
}
