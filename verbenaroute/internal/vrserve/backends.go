package vrserve

import (
	"context"
	"errors"
	"time"

	"verbenaroute.example/verbenacore/vrclient"
	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"

	"verbenaroute.example/verbenaroute/internal/vrfront"
)

// _outcomeRetryInterval is the pause between two lookups of an outcome while the service
// gives no answer. "Not found" must mean that nothing ran, so a missing answer is never
// reported as "not found".
const _outcomeRetryInterval = 200 * time.Millisecond

// backends implements vrfront.Backends with the engine and application clients.
type backends struct {
	engine *vrclient.Engine
	app    *vrclient.App
}

// Generate implements vrfront.Backends.
func (b *backends) Generate(ctx context.Context, address string, request *vrengine.GenerateRequest, onToken func(*vrengine.Token) error) vrevent.AttemptResult {
	stream, err := b.engine.Generate(ctx, address, *request)
	if err != nil {
		return attemptResult(err)
	}
	defer stream.Close()
	for {
		token, err := stream.Next()
		if err != nil {
			return attemptResult(err)
		}
		if err := onToken(&token); err != nil {
			return vrevent.AttemptBroken
		}
		if token.Done {
			return vrevent.AttemptAnswered
		}
	}
}

func attemptResult(err error) vrevent.AttemptResult {
	var attemptErr *vrclient.AttemptError
	if errors.As(err, &attemptErr) {
		return attemptErr.Result
	}
	return vrevent.AttemptBroken
}

// Cancel implements vrfront.Backends. The error is ignored: a lost cancellation only
// wastes work on the server.
func (b *backends) Cancel(ctx context.Context, address string, requestID vrid.RequestID) {
	_ = b.engine.Cancel(ctx, address, requestID)
}

// Call implements vrfront.Backends.
func (b *backends) Call(ctx context.Context, address string, call *vrfront.ServiceCall) (vrfront.ServiceAnswer, vrevent.AttemptResult) {
	result := b.app.Call(ctx, address, vrclient.AppRequest{
		Method:         call.Method,
		Path:           call.Target,
		ContentType:    call.ContentType,
		Body:           call.Body,
		RequestID:      call.Request,
		IdempotencyKey: call.Key,
	})
	return vrfront.ServiceAnswer{Status: result.Status, ContentType: result.ContentType, Body: result.Body}, result.Result
}

// Outcome implements vrfront.Backends. It repeats the lookup until the service gives a
// definite answer or ctx ends.
func (b *backends) Outcome(ctx context.Context, address, path string, key vrid.IdempotencyKey) (answer vrfront.ServiceAnswer, found bool, err error) {
	for {
		result := b.app.LookUpOutcome(ctx, address, path, key)
		if result.Known {
			return vrfront.ServiceAnswer{Status: result.Status, ContentType: result.ContentType, Body: result.Body}, result.Found, nil
		}
		sleep(ctx, _outcomeRetryInterval)
		if ctx.Err() != nil {
			return answer, false, errors.Join(result.Err, ctx.Err())
		}
	}
}
