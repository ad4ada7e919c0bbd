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

// hooks holds the handlers that OnQuery and OnEntry register.
type hooks struct {
	query atomic.Pointer[func(*vrwire.Envelope)]
	entry atomic.Pointer[func(vrrecord.Entry)]
}

// OnQuery registers the handler of QueryRequest and QueryReply messages. It runs on a
// bounded worker pool.
func (r *Runtime) OnQuery(take func(*vrwire.Envelope)) { r.hooks.query.Store(&take) }

// OnEntry registers a handler that receives a copy of each entry of the record. It runs
// under the runtime's lock and must not block.
func (r *Runtime) OnEntry(take func(vrrecord.Entry)) { r.hooks.entry.Store(&take) }

// SendPeer sends a message that does not come from the reducer, for example a query.
func (r *Runtime) SendPeer(peer vrid.DaemonID, address string, envelope *vrwire.Envelope) {
	r.options.Peers.Send(peer, address, envelope)
}

// HandlePeer handles a validated message from another daemon. It blocks until Start is
// called.
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

// takeOffer decodes an offered configuration unless the daemon has a newer one.
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

// PeerUnreachable tells the reducer that a message could not be delivered to a peer.
func (r *Runtime) PeerUnreachable(peer vrid.DaemonID) {
	r.Submit(vrevent.PeerUnreachable{Peer: peer})
}

// proposals tracks operators' configuration changes that wait for a decision.
type proposals struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]*proposal
}

// proposal is one configuration change that waits for its decision.
type proposal struct {
	// decided has a buffer of one, so that delivering the decision never blocks.
	decided chan vrevent.ConfigDecided
}

// Propose submits an operator's configuration change and waits for the decision. If ctx
// ends first, the result is ConfigUndecided and the change may still take effect.
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

// decide delivers a decision to the Propose call that waits for it, if any.
func (r *Runtime) decide(e vrevent.ConfigDecided) {
	waiting := r.proposals.take(e.Proposal)
	if waiting != nil {
		waiting.decided <- e
	}
}
