// Package clock waits on the clock of the runtime, which tests can advance.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d. It returns the error of ctx if that ends first, or has
// ended already.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
