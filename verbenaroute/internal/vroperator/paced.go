package vroperator

import (
	"context"

	"golang.org/x/time/rate"

	"verbenaroute.example/verbenacore/vrplatform"
)

// maxPlatformCalls is the maximum number of concurrent platform calls made for operators;
// the daemon's default limit for all of its calls is 4.
const maxPlatformCalls = 2

// paced limits the rate and the concurrency of the platform calls made for operators.
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

// enter waits until a call may start. It returns false if ctx ends first.
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
