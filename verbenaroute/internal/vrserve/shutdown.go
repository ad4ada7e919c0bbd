package vrserve

import (
	"context"
	"time"

	"go.uber.org/zap"

	"verbenaroute.example/verbenacore/vrevent"

	"verbenaroute.example/verbenaroute/internal/vrlog"
)

const (
	// _drainNotice is how long the daemon still accepts requests after it has announced
	// its shutdown, so that the load balancer and the peers notice: a leaving endpoint
	// receives no new work after 3 s (invariant I7). The reducer waits equally long
	// before it refuses requests.
	_drainNotice = 3 * time.Second
	// _closeTimeout bounds the shutdown of the operators' server.
	_closeTimeout = 5 * time.Second
	// _flushTimeout bounds the wait until the record is written. During an outage of the
	// platform the reducer gives up after 10 s, and the lost entries become a gap in the
	// record.
	_flushTimeout = 15 * time.Second
)

// shutdown ends the daemon in three steps: it announces the shutdown to the load balancer
// and hands over what the daemon owns, then refuses new requests while running ones
// finish, then closes the listeners.
func (d *Daemon) shutdown() error {
	d.log.Info("shutdown started")
	d.readiness.Drain()
	d.front.DisableKeepAlives()
	graceCtx, cancel := context.WithTimeout(context.Background(), max(d.settings.ShutdownGrace.Std(), _drainNotice))
	defer cancel()
	d.Runtime.Submit(vrevent.ShutdownRequested{})
	sleep(graceCtx, _drainNotice)
	d.front.Drain()
	err := d.drainAndFlush(graceCtx)
	d.close()
	if err != nil {
		d.log.Error("shutdown timed out", vrlog.Error(err))
		return err
	}
	d.log.Info("shutdown complete")
	return nil
}

// drainAndFlush waits until no request runs, closes the callers' port and then lets the
// reducer write the rest of the record. The port closes first because a request that
// arrived after the last write of the record would have no entry there.
func (d *Daemon) drainAndFlush(graceCtx context.Context) error {
	select {
	case <-d.Runtime.Drained():
	case <-graceCtx.Done():
	}
	interrupted := d.finishRequests(graceCtx)
	d.Runtime.Submit(vrevent.CallersClosed{})
	reducerStopped := false
	flushCtx, cancelFlush := context.WithTimeout(context.Background(), _flushTimeout)
	defer cancelFlush()
	select {
	case <-d.Runtime.Stopped():
		reducerStopped = true
	case <-flushCtx.Done():
	}
	if interrupted > 0 || !reducerStopped {
		return &ShutdownTimeoutError{Requests: interrupted, ReducerStopped: reducerStopped}
	}
	return nil
}

// finishRequests closes the callers' listener, waits for running requests until
// graceCtx ends and returns how many it interrupted.
func (d *Daemon) finishRequests(graceCtx context.Context) int {
	err := d.front.Shutdown(graceCtx)
	interrupted := d.front.Running()
	if err != nil {
		d.log.Warn("graceful shutdown of the callers' server failed", zap.Int("requests", interrupted), vrlog.Error(err))
	}
	d.front.Close()
	return interrupted
}

// close stops the peer sessions, the runtime, the operators' server and the clients.
func (d *Daemon) close() {
	ctx, cancel := context.WithTimeout(context.Background(), _closeTimeout)
	defer cancel()
	d.peers.Close()
	d.Runtime.Close()
	if err := d.admin.Shutdown(ctx); err != nil {
		d.log.Warn("graceful shutdown of the operators' server failed", vrlog.Error(err))
	}
	d.clients.close()
	d.servers.Wait()
}
