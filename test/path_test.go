package test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// fiveServices are the services of five VMs, in the order of the VMs.
var fiveServices = []string{"thumbnails", "thumbnails", "routes", "routes", "thumbnails"}

func TestEndToEnd(t *testing.T) {
	runScenario(t, 3, fiveServices, func(c *cluster) {
		c.publish(declarations)
		c.submit("proofs", "proofs-1")
		result := c.startLoad("check", "/thumbnails/check", 100, 10*time.Second, 0.2)
		c.waitEnded(time.Minute, "proofs-1")
		c.loads.Wait()
		if diff := cmp.Diff(result.Sent, result.Answered); diff != "" {
			t.Errorf("answered requests (-want +got):\n%s", diff)
		}
	})
}
