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

// handlers holds the handlers that OnQuery and OnEntry register.
type handlers struct {
	query atomic.Pointer[func(*vrwire.Envelope)]
	entry atomic.Pointer[func(vrrecord.Entry)]
}

// OnQuery registers the handler of QueryRequest and QueryReply messages. It runs on a
// bounded worker pool.
func (r *Runtime) OnQuery(handler func(*vrwire.Envelope)) { r.handlers.query.Store(&handler) }

// OnEntry registers a handler that receives a copy of each entry of the record. It runs
// under the runtime's lock and must not block.
func (r *Runtime) OnEntry(handler func(vrrecord.Entry)) { r.handlers.entry.Store(&handler) }

// SendPeer sends a message that does not come from the reducer, for example a query.
func (r *Runtime) SendPeer(peer vrid.DaemonID, address string, envelope *vrwire.Envelope) {
	r.options.Peers.Send(peer, address, envelope)
}

// HandlePeerMessage handles a validated message from another daemon. It blocks until Start
// is called.
func (r *Runtime) HandlePeerMessage(envelope *vrwire.Envelope) {
	select {
	case <-r.started:
	case <-r.baseCtx.Done():
		return
	}
	switch {
	case envelope.ConfigOffer != nil:
		r.handleConfigOffer(envelope)
	case envelope.QueryRequest != nil, envelope.QueryReply != nil:
		r.enqueueQuery(envelope)
	default:
		r.Submit(vrevent.PeerMessage{Envelope: envelope})
	}
}

// handleConfigOffer decodes an offered configuration unless the daemon has a newer one.
func (r *Runtime) handleConfigOffer(envelope *vrwire.Envelope) {
	offer := envelope.ConfigOffer
	current := r.configs.Version()
	if offer.Version < current {
		return
	}
	r.submitConfig(offer.Document, offer.Confirmed)
}

func (r *Runtime) enqueueQuery(envelope *vrwire.Envelope) {
	handler := r.handlers.query.Load()
	if handler == nil || !r.queryPool.submit(func() { (*handler)(envelope) }) {
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
	lastID  uint64
	pending map[uint64]*proposal
}

// proposal is one configuration change that waits for its decision.
type proposal struct {
	// decision has a buffer of one, so that delivering the decision never blocks.
	decision chan vrevent.ConfigDecided
}

// Propose submits an operator's configuration change and waits for the decision. If ctx
// ends first, the result is ConfigUndecided and the change may still take effect.
func (r *Runtime) Propose(ctx context.Context, event vrevent.ConfigProposed) vrevent.ConfigDecided {
	pending := &proposal{decision: make(chan vrevent.ConfigDecided, 1)}
	event.Proposal = r.proposals.add(pending)
	defer r.proposals.remove(event.Proposal)
	r.Submit(event)
	select {
	case decision := <-pending.decision:
		return decision
	case <-ctx.Done():
		return vrevent.ConfigDecided{Proposal: event.Proposal, Decision: vrevent.ConfigUndecided, Version: r.configs.Version()}
	}
}

func (p *proposals) add(pending *proposal) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	p.pending[p.lastID] = pending
	return p.lastID
}

func (p *proposals) remove(id uint64) *proposal {
	p.mu.Lock()
	defer p.mu.Unlock()
	pending := p.pending[id]
	delete(p.pending, id)
	return pending
}

// deliverDecision delivers a decision to the Propose call that waits for it, if any.
func (r *Runtime) deliverDecision(e vrevent.ConfigDecided) {
	pending := r.proposals.remove(e.Proposal)
	if pending != nil {
		pending.decision <- e
	}
}
