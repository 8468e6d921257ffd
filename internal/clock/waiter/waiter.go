// Package waiter provides a sleep that a context can interrupt.
package waiter

import (
	"context"
	"time"
)

// Sleep blocks for d, or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
