// Package vrpause sleeps in real time. A context can end the sleep early.
package vrpause

import (
	"context"
	"time"
)

// For sleeps for a duration. It returns the context's error if the context ends first.
func For(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
