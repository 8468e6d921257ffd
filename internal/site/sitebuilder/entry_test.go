package sitebuilder

import (
	"testing"
	"time"
)

// A hunt broke "lost" with this: a request that waited for the log while the
// lead changed was cut off half a second after the entry took no more, though
// three seconds of its grace were left.
func TestOpenRequestsMayUseRemainingGrace(t *testing.T) {
	for _, grace := range []time.Duration{0, time.Second, 2 * time.Second, 6 * time.Second, 20 * time.Second} {
		wait, drain := stopTimes(grace)
		if wait > linger || wait+drain > max(grace-stopSlack/2, 0) {
			t.Errorf("with a grace of %s an entry waits %s and drains for %s", grace, wait, drain)
		}
		if grace >= 6*time.Second && drain < grace-linger-stopSlack/2 {
			t.Errorf("with a grace of %s requests are cut off after %s", grace, drain)
		}
	}
}
