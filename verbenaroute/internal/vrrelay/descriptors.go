package vrrelay

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// acceptFailureTTL is how long a connection that could not be accepted for want of descriptors shows that the next
// one can't either. net/http tries again after a second at most.
const acceptFailureTTL = 1500 * time.Millisecond

// lacksDescriptors reports whether a call failed because the process or the machine has no descriptor left.
func lacksDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// acceptFailures counts the connections that could not be accepted for want of descriptors.
type acceptFailures struct {
	count atomic.Uint64
	// lastAt is when the last one failed, nil if none has.
	lastAt atomic.Pointer[time.Time]
}

func (f *acceptFailures) record() {
	now := time.Now()
	f.lastAt.Store(&now)
	f.count.Add(1)
}

// CanAccept reports whether connections of clients can be accepted. A process without descriptors can't, which its
// readiness has to state: the balancer would go on sending it connections that nobody answers.
func (p *Proxy) CanAccept() bool {
	last := p.acceptFailures.lastAt.Load()
	return last == nil || time.Since(*last) >= acceptFailureTTL
}

// handleAcceptError records that a connection could not be accepted, and frees the descriptors of the idle
// connections to servers.
func (p *Proxy) handleAcceptError(err error) {
	if !lacksDescriptors(err) {
		return
	}
	p.acceptFailures.record()
	p.pool.closeAllIdle()
}

// Connections is the number of idle connections to servers, that of connections on which the rest of a body is
// written after the answer, and that of clients' connections that could not be accepted for want of descriptors.
type Connections struct {
	Idle, Unfinished int
	AcceptFailures   uint64
}

// Connections returns the current numbers of connections.
func (p *Proxy) Connections() Connections {
	return Connections{Idle: p.pool.idleCount(), Unfinished: p.unfinished.count(), AcceptFailures: p.acceptFailures.count.Load()}
}

// dial opens a connection to a server. Without a descriptor for it, it frees those of idle connections first.
func (p *pool) dial(dialer *net.Dialer, address string) (net.Conn, error) {
	c, err := dialer.Dial("tcp", address)
	if lacksDescriptors(err) && p.closeAllIdle() > 0 {
		return dialer.Dial("tcp", address)
	}
	return c, err
}
