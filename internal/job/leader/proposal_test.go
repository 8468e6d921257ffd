package leader_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/job/leader"
	"knapweedspur/internal/log/journal"
	"knapweedspur/internal/standin/keyedlogemulator"
	"knapweedspur/internal/wire/work"
)

// turnedAway is a log that refuses the appends of one entry while its gate is closed.
type turnedAway struct {
	*keyedlogemulator.Stream
	closed chan struct{}
}

func (l *turnedAway) Append(ctx context.Context, records []journal.Record, writer *journal.Writer) (int64, error) {
	select {
	case <-l.closed:
		return 0, journal.ErrRefused
	default:
		return l.Stream.Append(ctx, records, writer)
	}
}

// Proposals that a leader had not taken when its lead ended were written by its next lead;
// their callers were told that nothing is known.
func TestProposalsOfLostLeadAreCompletedAsNotWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &turnedAway{Stream: keyedlogemulator.New(), closed: make(chan struct{})}
		e := start(t, log, "a")
		defer e.shutdown()
		waitForLeader(t, e)
		close(log.closed)
		time.Sleep(time.Second) // the leader waits for an append
		propose := func(id string, patience time.Duration) error {
			ctx, cancel := context.WithTimeout(t.Context(), patience)
			defer cancel()
			return e.leader.Propose(ctx, []journal.Record{jobreducer.JobRecord(&work.Job{ID: id, Steps: []work.Step{{Tasks: 1}}})})
		}
		if err := propose("0000000000000001", time.Second); !errors.Is(err, leader.ErrWithdrawn) || !leader.NotWritten(err) {
			t.Errorf("a caller that gave up got: %v", err)
		}
		waiting := make(chan error)
		go func() { waiting <- propose("0000000000000002", time.Minute) }()
		time.Sleep(time.Second)
		// Another entry takes over, and gives up at once.
		term := jobreducer.TermRecord(&work.Term{Epoch: e.leader.Leading() + 1<<20})
		if _, err := log.Stream.Append(t.Context(), []journal.Record{term}, &journal.Writer{Name: "leader", Epoch: e.leader.Leading() + 1<<20}); err != nil {
			t.Fatal(err)
		}
		log.closed = make(chan struct{})
		if err := <-waiting; !errors.Is(err, leader.ErrNotLeading) {
			t.Errorf("a caller that waited got: %v", err)
		}
		waitForLeader(t, e)
		time.Sleep(time.Second)
		e.follower.View(func(state *jobreducer.State, _ time.Duration) {
			if len(state.Jobs) > 0 {
				t.Errorf("%d proposals of the former lead were written", len(state.Jobs))
			}
		})
	})
}
