package vrserve

import (
	"context"
	"sync"
	"sync/atomic"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrwire"
)

// hooks are set by the operators' port.
type hooks struct {
	query atomic.Pointer[func(*vrwire.Envelope)]
	entry atomic.Pointer[func(vrrecord.Entry)]
}

// OnQuery registers who takes QueryRequest and QueryReply messages. The function runs
// on a bounded pool.
func (r *Runtime) OnQuery(take func(*vrwire.Envelope)) { r.hooks.query.Store(&take) }

// OnEntry registers who takes a copy of each entry of the record. The function runs
// under the runtime's lock and must not block.
func (r *Runtime) OnEntry(take func(vrrecord.Entry)) { r.hooks.entry.Store(&take) }

// SendPeer sends a message that does not come from the reducer, for example a query.
func (r *Runtime) SendPeer(peer vrid.DaemonID, address string, envelope *vrwire.Envelope) {
	r.options.Peers.Send(peer, address, envelope)
}

// HandlePeer takes a checked message of another daemon. It blocks until Start.
func (r *Runtime) HandlePeer(envelope *vrwire.Envelope) {
	select {
	case <-r.started:
	case <-r.base.Done():
		return
	}
	switch {
	case envelope.ConfigOffer != nil:
		r.takeOffer(envelope)
	case envelope.QueryRequest != nil, envelope.QueryReply != nil:
		r.takeQuery(envelope)
	default:
		r.Submit(vrevent.PeerMessage{Envelope: envelope})
	}
}

// takeOffer decodes an offered configuration unless a newer one is held.
func (r *Runtime) takeOffer(envelope *vrwire.Envelope) {
	offer := envelope.ConfigOffer
	held := r.configs.Version()
	if offer.Version < held {
		return
	}
	r.seeConfig(offer.Document, offer.Confirmed)
}

func (r *Runtime) takeQuery(envelope *vrwire.Envelope) {
	take := r.hooks.query.Load()
	if take == nil || !r.queries.submit(func() { (*take)(envelope) }) {
		r.options.Observer.EffectDropped("query")
	}
}

// PeerUnreachable says that a message could not be delivered.
func (r *Runtime) PeerUnreachable(peer vrid.DaemonID) {
	r.Submit(vrevent.PeerUnreachable{Peer: peer})
}

// proposals are operators' changes that wait for their decision.
type proposals struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]*proposal
}

type proposal struct {
	// decided has room for the one decision.
	decided chan vrevent.ConfigDecided
}

// Propose submits an operator's change and waits for the decision. When ctx ends
// first the change may still take effect.
func (r *Runtime) Propose(ctx context.Context, event vrevent.ConfigProposed) vrevent.ConfigDecided {
	waiting := &proposal{decided: make(chan vrevent.ConfigDecided, 1)}
	event.Proposal = r.proposals.add(waiting)
	defer r.proposals.take(event.Proposal)
	r.Submit(event)
	select {
	case decided := <-waiting.decided:
		return decided
	case <-ctx.Done():
		return vrevent.ConfigDecided{Proposal: event.Proposal, Decision: vrevent.ConfigUndecided, Version: r.configs.Version()}
	}
}

func (p *proposals) add(waiting *proposal) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last++
	p.waiting[p.last] = waiting
	return p.last
}

func (p *proposals) take(number uint64) *proposal {
	p.mu.Lock()
	defer p.mu.Unlock()
	waiting := p.waiting[number]
	delete(p.waiting, number)
	return waiting
}

// decide passes a decision to the operator's call.
func (r *Runtime) decide(e vrevent.ConfigDecided) {
	waiting := r.proposals.take(e.Proposal)
	if waiting != nil {
		waiting.decided <- e
	}
}
