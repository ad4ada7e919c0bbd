package vrpeer

import (
	"errors"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"verbenaroute.example/verbenacore/vrid"
)

const (
	// _initialBackoff is the first backoff interval. With full jitter, each wait is drawn
	// from 0 to twice the interval.
	_initialBackoff = 50 * time.Millisecond
	// _maxBackoff is short enough that a peer that is up again is reached within the 3 s
	// for which it may be a suspect.
	_maxBackoff = 500 * time.Millisecond
)

// peer is the send queue of one peer. Its run method is the goroutine that sends the
// queued frames.
type peer struct {
	hub         *Hub
	id          vrid.DaemonID
	queue       chan []byte
	queuedBytes atomic.Int64
	// address is guarded by the hub's mutex.
	address      string
	retryBackoff *backoff.ExponentialBackOff
}

func newPeer(hub *Hub, id vrid.DaemonID) *peer {
	retryBackoff := &backoff.ExponentialBackOff{
		InitialInterval: _initialBackoff, RandomizationFactor: 1, Multiplier: 2, MaxInterval: _maxBackoff,
	}
	return &peer{hub: hub, id: id, queue: make(chan []byte, _maxQueuedFrames), retryBackoff: retryBackoff}
}

// tryEnqueue queues a frame unless the queue has reached its limit of frames or bytes, and
// reports whether it did.
func (p *peer) tryEnqueue(frame []byte) bool {
	size := int64(len(frame))
	if p.queuedBytes.Add(size) > _maxQueuedBytes {
		p.queuedBytes.Add(-size)
		return false
	}
	select {
	case p.queue <- frame:
		return true
	default:
		p.queuedBytes.Add(-size)
		return false
	}
}

// run sends the queued frames until the hub closes or the peer has been idle for
// _idleTimeout.
func (p *peer) run() {
	idleTimer := time.NewTimer(_idleTimeout)
	defer idleTimer.Stop()
	for {
		select {
		case <-p.hub.ctx.Done():
			return
		case frame := <-p.queue:
			p.queuedBytes.Add(-int64(len(frame)))
			p.deliver(frame)
			idleTimer.Reset(_idleTimeout)
		case <-idleTimer.C:
			if p.removeIfIdle() {
				return
			}
			idleTimer.Reset(_idleTimeout)
		}
	}
}

// removeIfIdle removes the peer from the hub unless a frame was queued in the meantime.
func (p *peer) removeIfIdle() bool {
	p.hub.mu.Lock()
	defer p.hub.mu.Unlock()
	if len(p.queue) > 0 {
		return false
	}
	delete(p.hub.peers, p.id)
	return true
}

// deliver sends a frame. When the peer can't be reached, the frame and those queued behind
// it are dropped, because messages are sent periodically and newer ones replace them. It
// then waits before the next attempt.
func (p *peer) deliver(frame []byte) {
	l, err := p.hub.linkTo(p)
	if err == nil {
		if err = l.write(frame); err == nil {
			p.retryBackoff.Reset()
			return
		}
		l.close()
	}
	p.hub.log.Info("sending to peer failed, queued messages dropped", zap.String("peer", string(p.id)), zap.Error(err))
	p.hub.recordDropped(p.id, 1+p.dropQueued(), errors.Is(err, syscall.ECONNREFUSED))
	p.hub.sleep(p.retryBackoff.NextBackOff())
}

// dropQueued drops all queued frames and returns their number.
func (p *peer) dropQueued() int {
	for count := 0; ; count++ {
		select {
		case frame := <-p.queue:
			p.queuedBytes.Add(-int64(len(frame)))
		default:
			return count
		}
	}
}
