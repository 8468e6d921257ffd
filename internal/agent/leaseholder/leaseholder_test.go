package leaseholder

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/wire/message"
)

const holdTime = 20 * time.Second

func newView(agent string, lease int, fenced bool, age time.Duration) *message.LeaseView {
	return &message.LeaseView{Agent: agent, Lease: lease, Fenced: fenced, Age: age, Hold: holdTime}
}

func TestLeaseExpiryCountsFromProbeSendTimeMinusViewAge(t *testing.T) {
	h := &Holder{Agent: "me"}
	got := h.HandleView(100*time.Second, newView("me", 1, false, 3*time.Second))
	if diff := cmp.Diff(LeaseState(Live{ExpiresAt: 116 * time.Second}), got); diff != "" {
		t.Errorf("lease state (-want +got):\n%s", diff)
	}
	h.HandleView(101*time.Second, newView("me", 1, false, 10*time.Second))
	if h.ExpiresAt() != 116*time.Second {
		t.Errorf("an older view shortened the lease to %v", h.ExpiresAt())
	}
}

func TestFenceHoldsUntilNextLease(t *testing.T) {
	h := &Holder{Agent: "me"}
	h.HandleView(time.Second, newView("me", 1, false, 0))
	for _, fenced := range []bool{true, false} {
		if _, ok := h.HandleView(2*time.Second, newView("me", 1, fenced, 0)).(Fenced); !ok || h.Ready(2*time.Second) {
			t.Error("a fenced VM accepts tasks")
		}
	}
	if _, ok := h.HandleView(3*time.Second, newView("me", 2, false, 0)).(Live); !ok || !h.Ready(3*time.Second) {
		t.Error("a new lease does not end the fence")
	}
}

func TestLeaseStates(t *testing.T) {
	for name, c := range map[string]struct {
		lease int
		view  *message.LeaseView
		want  LeaseState
	}{
		"unknown VM":                     {0, newView("", 0, false, 0), NotJoined{NextLease: 1}},
		"earlier agent":                  {0, newView("other", 4, false, 0), NotJoined{NextLease: 5}},
		"later agent":                    {4, newView("other", 5, false, 0), Superseded{}},
		"forgotten VM":                   {4, newView("", 4, false, 0), Superseded{}},
		"entry with an older view":       {4, newView("other", 3, false, 0), Stale{}},
		"entry does not know the VM yet": {4, newView("", 0, false, 0), Stale{}},
	} {
		t.Run(name, func(t *testing.T) {
			h := &Holder{Agent: "me", Lease: c.lease}
			if diff := cmp.Diff(c.want, h.HandleView(time.Second, c.view)); diff != "" {
				t.Errorf("lease state (-want +got):\n%s", diff)
			}
		})
	}
}
