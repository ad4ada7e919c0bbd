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
	// 3 s (I7).
	_noticeTime = 3 * time.Second
	// _refuseTime is how long late requests are refused before the address closes. It is
	// shorter than the 3 s that the reducer waits before it writes its last entries, so
	// that each refusal is in the record.
	_refuseTime = 2 * time.Second
	// _closeTime bounds what follows after the last request.
	_closeTime = 5 * time.Second
)

// shutdown ends the daemon in order: the balancer is told first; then new requests are
// refused and owned things handed over; then the address closes and running requests
// finish; the reducer stops last, when every request has its entry.
func (d *Daemon) shutdown() error {
	d.log.Info("shutdown starts")
	d.status.Drain()
	d.front.Leave()
	rest(context.Background(), _noticeTime)
	grace, cancel := context.WithTimeout(context.Background(), max(d.settings.ShutdownGrace.Std(), _closeTime))
	defer cancel()
	d.front.Drain()
	d.Runtime.Submit(vrevent.ShutdownRequested{})
	rest(grace, _refuseTime)
	err := d.finishRequests(grace)
	d.close()
	if err != nil {
		d.log.Error("shutdown is incomplete", zap.String("errorType", errorType(err)), zap.Error(err))
		return err
	}
	d.log.Info("shutdown is complete")
	return nil
}

// finishRequests closes the callers' address and waits for running requests and for
// the reducer.
func (d *Daemon) finishRequests(grace context.Context) error {
	cutOff := &CutOffError{}
	if err := d.front.Finish(grace); err != nil {
		cutOff.Requests = max(d.front.Running(), 1)
	}
	select {
	case <-d.Runtime.Stopped():
		cutOff.HandedOver = true
	case <-grace.Done():
	}
	if cutOff.Requests > 0 || !cutOff.HandedOver {
		return cutOff
	}
	return nil
}

// close ends everything that still runs.
func (d *Daemon) close() {
	ctx, cancel := context.WithTimeout(context.Background(), _closeTime)
	defer cancel()
	d.front.Close()
	d.peers.Close()
	d.Runtime.Close()
	if err := d.admin.Shutdown(ctx); err != nil {
		d.log.Warn("operators' connections were closed", zap.Error(err))
	}
	d.clients.close()
	d.serving.Wait()
}
