package vrpeer

import (
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"verbenaroute.example/verbenacore/vrid"
)

const (
	// Full jitter: each wait is drawn from 0 to twice the interval.
	_firstBackoff = 50 * time.Millisecond
	// _maxBackoff keeps a peer that is up again reachable within the 3 s of suspicion.
	_maxBackoff = 500 * time.Millisecond
)

// peer is the queue of one peer and the goroutine that empties it.
type peer struct {
	hub   *Hub
	id    vrid.DaemonID
	queue chan []byte
	bytes atomic.Int64
	// address is guarded by the hub's lock.
	address string
	waits   *backoff.ExponentialBackOff
}

func newPeer(hub *Hub, id vrid.DaemonID) *peer {
	waits := &backoff.ExponentialBackOff{
		InitialInterval: _firstBackoff, RandomizationFactor: 1, Multiplier: 2, MaxInterval: _maxBackoff,
	}
	return &peer{hub: hub, id: id, queue: make(chan []byte, _queueFrames), waits: waits}
}

// push queues a frame unless the queue is full.
func (p *peer) push(frame []byte) bool {
	size := int64(len(frame))
	if p.bytes.Add(size) > _queueBytes {
		p.bytes.Add(-size)
		return false
	}
	select {
	case p.queue <- frame:
		return true
	default:
		p.bytes.Add(-size)
		return false
	}
}

func (p *peer) run() {
	idle := time.NewTimer(_idleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-p.hub.ctx.Done():
			return
		case frame := <-p.queue:
			p.bytes.Add(-int64(len(frame)))
			p.deliver(frame)
			idle.Reset(_idleTimeout)
		case <-idle.C:
			if p.retire() {
				return
			}
			idle.Reset(_idleTimeout)
		}
	}
}

// retire forgets the peer unless a frame came in the meantime.
func (p *peer) retire() bool {
	p.hub.mu.Lock()
	defer p.hub.mu.Unlock()
	if len(p.queue) > 0 {
		return false
	}
	delete(p.hub.peers, p.id)
	return true
}

// deliver sends a frame. When the peer can't be reached, the frame and those behind it
// are dropped at once: the next period brings newer ones.
func (p *peer) deliver(frame []byte) {
	target, err := p.hub.linkTo(p)
	if err == nil {
		if err = target.write(frame); err == nil {
			p.waits.Reset()
			return
		}
		target.close()
	}
	p.hub.log.Info("peer not reached", zap.String("peer", string(p.id)), zap.Error(err))
	p.hub.drop(p.id, 1+p.clear())
	p.hub.pause(p.waits.NextBackOff())
}

func (p *peer) clear() int {
	for count := 0; ; count++ {
		select {
		case frame := <-p.queue:
			p.bytes.Add(-int64(len(frame)))
		default:
			return count
		}
	}
}
