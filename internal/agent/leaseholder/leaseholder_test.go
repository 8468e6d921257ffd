package leaseholder

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/wire/message"
)

const hold = 20 * time.Second

func view(agent string, lease int, fenced bool, age time.Duration) *message.View {
	return &message.View{Agent: agent, Lease: lease, Fenced: fenced, Age: age, Hold: hold}
}

func TestLeaseExpiryCountsFromProbeSendTimeMinusViewAge(t *testing.T) {
	l := &Holder{Agent: "me"}
	got := l.HandleView(100*time.Second, view("me", 1, false, 3*time.Second))
	if diff := cmp.Diff(LeaseState(Live{ExpiresAt: 116 * time.Second}), got); diff != "" {
		t.Errorf("standing (-want +got):\n%s", diff)
	}
	l.HandleView(101*time.Second, view("me", 1, false, 10*time.Second))
	if l.ExpiresAt() != 116*time.Second {
		t.Errorf("an older view shortened the lease to %v", l.ExpiresAt())
	}
}

func TestFenceHoldsUntilNextLease(t *testing.T) {
	l := &Holder{Agent: "me"}
	l.HandleView(time.Second, view("me", 1, false, 0))
	for _, fenced := range []bool{true, false} {
		if _, ok := l.HandleView(2*time.Second, view("me", 1, fenced, 0)).(Fenced); !ok || l.Ready(2*time.Second) {
			t.Error("a fenced VM takes tasks")
		}
	}
	if _, ok := l.HandleView(3*time.Second, view("me", 2, false, 0)).(Live); !ok || !l.Ready(3*time.Second) {
		t.Error("a new lease does not end the fence")
	}
}

func TestLeaseStates(t *testing.T) {
	for name, c := range map[string]struct {
		lease int
		view  *message.View
		want  LeaseState
	}{
		"unknown VM":            {0, view("", 0, false, 0), NotJoined{NextLease: 1}},
		"earlier agent":         {0, view("other", 4, false, 0), NotJoined{NextLease: 5}},
		"later agent":           {4, view("other", 5, false, 0), Superseded{}},
		"forgotten VM":          {4, view("", 4, false, 0), Superseded{}},
		"entry that is behind":  {4, view("other", 3, false, 0), Stale{}},
		"entry knows no VM yet": {4, view("", 0, false, 0), Stale{}},
	} {
		t.Run(name, func(t *testing.T) {
			l := &Holder{Agent: "me", Lease: c.lease}
			if diff := cmp.Diff(c.want, l.HandleView(time.Second, c.view)); diff != "" {
				t.Errorf("standing (-want +got):\n%s", diff)
			}
		})
	}
}
