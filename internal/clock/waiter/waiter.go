// Package waiter waits for a time that a context may cut short.
package waiter

import (
	"context"
	"time"
)

// Pause waits for a time, or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
