package vroperator

import (
	"context"

	"golang.org/x/time/rate"

	"verbenaroute.example/verbenacore/vrplatform"
)

// maxPlatformCalls is how many of a daemon's calls to the platform operators may occupy
// at once; the daemon itself has 4.
const maxPlatformCalls = 2

// paced bounds the calls to the platform that operators cause.
type paced struct {
	objects Objects
	limit   *rate.Limiter
	places  chan struct{}
}

func newPaced(objects Objects, perSecond int) *paced {
	return &paced{
		objects: objects,
		limit:   rate.NewLimiter(rate.Limit(perSecond), perSecond),
		places:  make(chan struct{}, maxPlatformCalls),
	}
}

// enter waits for a place; false means that the call's time was over first.
func (p *paced) enter(ctx context.Context) bool {
	if p.limit.Wait(ctx) != nil {
		return false
	}
	select {
	case p.places <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (p *paced) leave() { <-p.places }

// Read implements Objects.
func (p *paced) Read(ctx context.Context, key string) ([]byte, vrplatform.Outcome) {
	if !p.enter(ctx) {
		return nil, vrplatform.OutcomeUnavailable
	}
	defer p.leave()
	return p.objects.Read(ctx, key)
}

// List implements Objects.
func (p *paced) List(ctx context.Context, prefix string, values bool) ([]vrplatform.Item, vrplatform.Outcome) {
	if !p.enter(ctx) {
		return nil, vrplatform.OutcomeUnavailable
	}
	defer p.leave()
	return p.objects.List(ctx, prefix, values)
}
