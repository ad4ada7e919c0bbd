package vrrelay

import (
	"slices"
	"time"
)

// Load pattern: servers are replaced one after the other, each with a new id. Nobody asks for the connections to a
// server that has left, so they have to be found without that, or they take descriptors for good.

// sweepInterval is the interval between two sweeps of the idle connections.
const sweepInterval = 2 * time.Second

// scheduleSweep schedules the next sweep unless one is scheduled. The caller holds the lock.
func (p *pool) scheduleSweep() {
	if p.sweepScheduled || len(p.idle) == 0 {
		return
	}
	p.sweepScheduled = true
	time.AfterFunc(sweepInterval, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.sweepScheduled = false
		p.sweep(time.Now())
		p.scheduleSweep()
	})
}

// sweep closes the idle connections that carry no further request: those that have been idle for too long, and
// those that the server has closed or sent something on. The caller holds the lock.
func (p *pool) sweep(now time.Time) {
	for key := range p.idle {
		usable := slices.DeleteFunc(p.expire(now, key), func(c *conn) bool {
			ended := c.HasUnread()
			if ended {
				_ = c.Close()
			}
			return ended
		})
		p.idle[key] = usable
		if len(usable) == 0 {
			delete(p.idle, key)
		}
	}
}

// closeAllIdle closes all idle connections and returns their number.
func (p *pool) closeAllIdle() int {
	p.mu.Lock()
	idle := p.idle
	p.idle = make(map[backend][]*conn)
	p.mu.Unlock()
	closed := 0
	for _, conns := range idle {
		for _, c := range conns {
			_ = c.Close()
			closed++
		}
	}
	return closed
}

// idleCount returns the number of idle connections.
func (p *pool) idleCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, conns := range p.idle {
		count += len(conns)
	}
	return count
}
