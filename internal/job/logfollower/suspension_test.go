package logfollower

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// A submission that had waited in the connection of a suspended entry counted as newer
// than the report, given meanwhile, that there is no such job.
func TestRequestReadAfterSuspensionMayBeAsOldAsIt(t *testing.T) {
	now := time.Hour
	f := &Follower{Clock: func() time.Duration { return now }}
	f.Init()
	type arrival struct {
		Position int64
		At       time.Duration
	}
	want := func(when string, want arrival) {
		t.Helper()
		position, at := f.Arrival()
		if diff := cmp.Diff(want, arrival{position, at}); diff != "" {
			t.Errorf("%s (-want +got):\n%s", when, diff)
		}
	}
	f.state.Next = 5
	want("at first", arrival{5, now})
	suspended := now
	now += 3 * time.Second
	want("first request after a suspension", arrival{5, suspended})
	// The view has caught up.
	f.state.Next = 9
	now += 300 * time.Millisecond
	want("soon after a suspension", arrival{5, suspended})
	now += 300 * time.Millisecond
	want("later", arrival{9, now})
	now += 300 * time.Millisecond
	want("on a busy VM", arrival{9, now})
}
