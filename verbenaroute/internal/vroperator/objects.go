package vroperator

import (
	"context"

	"golang.org/x/time/rate"

	"verbenaroute.example/verbenacore/vrplatform"
)

// maxConcurrentPlatformCalls is the maximum number of concurrent platform calls made for
// operators; the daemon's default limit for all of its calls is 4.
const maxConcurrentPlatformCalls = 2

// limitedObjects limits the rate and the concurrency of the platform calls made for
// operators.
type limitedObjects struct {
	objects  ObjectReader
	limiter  *rate.Limiter
	inFlight chan struct{}
}

func newLimitedObjects(objects ObjectReader, perSecond int) *limitedObjects {
	return &limitedObjects{
		objects:  objects,
		limiter:  rate.NewLimiter(rate.Limit(perSecond), perSecond),
		inFlight: make(chan struct{}, maxConcurrentPlatformCalls),
	}
}

// acquire waits until a call may start. It returns false if ctx ends first.
func (l *limitedObjects) acquire(ctx context.Context) bool {
	if l.limiter.Wait(ctx) != nil {
		return false
	}
	select {
	case l.inFlight <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (l *limitedObjects) release() { <-l.inFlight }

// Read implements ObjectReader.
func (l *limitedObjects) Read(ctx context.Context, key string) ([]byte, vrplatform.Outcome) {
	if !l.acquire(ctx) {
		return nil, vrplatform.OutcomeUnavailable
	}
	defer l.release()
	return l.objects.Read(ctx, key)
}

// List implements ObjectReader.
func (l *limitedObjects) List(ctx context.Context, prefix string, values bool) ([]vrplatform.Item, vrplatform.Outcome) {
	if !l.acquire(ctx) {
		return nil, vrplatform.OutcomeUnavailable
	}
	defer l.release()
	return l.objects.List(ctx, prefix, values)
}
