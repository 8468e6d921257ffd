package sitebuilder

import (
	"testing"
	"time"
)

// Guards against cutting off open requests too early, which violated the "lost"
// check in a search for faults: a request that waited for the log during a change
// of leader was cut off half a second after the entry stopped accepting requests,
// with three seconds of its grace period left.
func TestOpenRequestsMayUseRemainingGrace(t *testing.T) {
	for _, grace := range []time.Duration{0, time.Second, 2 * time.Second, 6 * time.Second, 20 * time.Second} {
		serve, drain := splitGrace(grace)
		if serve > shutdownDelay || serve+drain > max(grace-closeReserve/2, 0) {
			t.Errorf("with a grace period of %s an entry accepts requests for %s and drains for %s", grace, serve, drain)
		}
		if grace >= 6*time.Second && drain < grace-shutdownDelay-closeReserve/2 {
			t.Errorf("with a grace period of %s open requests are cut off after %s", grace, drain)
		}
	}
}
