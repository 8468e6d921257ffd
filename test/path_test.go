package test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var five = []string{"thumbnails", "thumbnails", "routes", "routes", "thumbnails"}

func TestEndToEnd(t *testing.T) {
	play(t, 3, five, func(s *stage) {
		s.publish(declarations)
		s.submit("proofs", "proofs-1")
		result := s.load("check", "/thumbnails/check", 100, 10*time.Second, 0.2)
		s.ended(time.Minute, "proofs-1")
		s.loads.Wait()
		if diff := cmp.Diff(result.Sent, result.Answered); diff != "" {
			t.Errorf("answered requests (-want +got):\n%s", diff)
		}
	})
}
