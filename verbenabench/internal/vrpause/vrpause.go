// Package vrpause waits in real time, until a context ends.
package vrpause

import (
	"context"
	"time"
)

// For waits and returns the context's error when that ends first.
func For(ctx context.Context, length time.Duration) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
