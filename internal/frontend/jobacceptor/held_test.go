package jobacceptor

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"knapweedspur/internal/fault/verdict"
	"knapweedspur/internal/job/planner"
)

// A submission that the leader held while the log turned it away, and that was reported
// absent then, was written when the entry led again.
func TestSubmissionHeldByLostLeadIsNotWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t)
		defer s.stop()
		first := s.leading(t)
		s.faults[first].set(fault{refuse: true})
		time.Sleep(750 * time.Millisecond)
		posted := make(chan error)
		go func() { posted <- s.post(first, jobID, 3*time.Second) }()
		time.Sleep(4 * time.Second)
		if err := <-posted; err == nil {
			t.Fatal("accepted by an entry that the log turns away")
		}
		if absent, err := s.remove((first+1)%3, jobID); !absent {
			t.Fatalf("canceled at another entry: %v", err)
		}
		s.faults[first].set(fault{})
		for i := range s.faults {
			if i != first {
				s.leaders[i].Resign()
			}
		}
		time.Sleep(5 * time.Second)
		if got := s.leading(t); got != first {
			t.Fatalf("entry %d leads", got)
		}
		if state := s.recorded(t, jobID); state != "" {
			t.Errorf("a submission that was reported absent is %s", state)
		}
	})
}

// A submission takes effect late, by the log, by a suspended entry or by a proposal on its
// way, after its absence was reported.
func TestLateAppendAfterReportedAbsenceDoesNotCount(t *testing.T) {
	for name, f := range map[string]fault{"late append": {late: 4 * time.Second, unreachable: true}, "suspended entry": {frozen: true}, "late proposal": {slowProposals: 4 * time.Second, refuseAppends: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startSite(t)
				defer s.stop()
				entry := (s.leading(t) + 1) % 3
				s.faults[entry].set(f)
				posted := make(chan error, 1)
				go func() { posted <- s.post(entry, jobID, time.Minute) }()
				time.Sleep(3 * time.Second)
				_, err := s.acceptors[s.leading(t)].State(t.Context(), jobID)
				if !isAbsent(err) {
					t.Fatalf("asked for: %v", err)
				}
				s.faults[entry].set(fault{})
				time.Sleep(6 * time.Second)
				if err := <-posted; err == nil {
					t.Error("accepted although it was reported absent meanwhile")
				}
				if state := s.recorded(t, jobID); state != "" {
					t.Errorf("a submission that was reported absent is %s", state)
				}
			})
		})
	}
}

// A client may submit a job after it was told that there is none.
func TestSubmissionAfterReportedAbsenceIsAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t)
		defer s.stop()
		for n := range 30 {
			id := fmt.Sprintf("%016x", n+1)
			if absent, err := s.remove(n%3, id); !absent {
				t.Fatalf("canceled: %v", err)
			}
			if err := s.post((n+1)%3, id, 3*time.Second); err != nil {
				t.Errorf("submitted at once after it was reported absent: %v", err)
			}
			if state, err := s.acceptors[(n+2)%3].State(t.Context(), id); err != nil || state != Queued {
				t.Errorf("state %q, error %v", state, err)
			}
			time.Sleep(time.Duration(n) * 7 * time.Millisecond)
		}
	})
}

// A cancellation that a suspended entry held canceled a job that was submitted after
// another entry had said that there was none.
func TestHeldCancellationSparesJobSubmittedAfterReportedAbsence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t)
		defer s.stop()
		first := s.leading(t)
		held, other := (first+1)%3, (first+2)%3
		s.faults[held].set(fault{frozen: true})
		canceled := make(chan error, 1)
		go func() {
			_, err := s.remove(held, jobID)
			canceled <- err
		}()
		time.Sleep(400 * time.Millisecond)
		if absent, err := s.remove(other, jobID); !absent {
			t.Fatalf("canceled at another entry: %v", err)
		}
		if err := s.post(first, jobID, 3*time.Second); err != nil {
			t.Fatal(err)
		}
		s.faults[held].set(fault{})
		if err := <-canceled; verdict.Of(err) != verdict.Unrun {
			t.Errorf("the held cancellation: %v", err)
		}
		time.Sleep(time.Second)
		if state := s.recorded(t, jobID); state != Queued {
			t.Errorf("the job is %q", state)
		}
		if _, err := s.remove(held, jobID); err != nil {
			t.Errorf("canceled once more: %v", err)
		}
	})
}

// An entry accepts jobs without a leader, and the next leader knows them.
func TestJobIsAcceptedWithoutLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t)
		defer s.stop()
		first := s.leading(t)
		s.faults[first].set(fault{refuse: true, unreachable: true})
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		if err := s.post((first+1)%3, jobID, 3*time.Second); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(began); took > 200*time.Millisecond {
			t.Errorf("accepted after %s", took)
		}
		time.Sleep(4 * time.Second)
		known := false
		s.leaders[s.leading(t)].Inspect(func(p *planner.Planner, _ time.Time) { _, known = p.FindJob(jobID) })
		page, err := s.log.Newest(t.Context(), "")
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range page.Records {
			if strings.HasPrefix(r.Key, "q/") {
				t.Errorf("record %s is left", r.Key)
			}
		}
		if !known || s.recorded(t, jobID) != Queued {
			t.Errorf("known %t, recorded as %q", known, s.recorded(t, jobID))
		}
	})
}

// A job that an entry had accepted without the leader was said not to exist by an entry
// that had not read it yet.
func TestJobAcceptedWithoutLeaderIsNotReportedAbsent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t)
		defer s.stop()
		entry := (s.leading(t) + 1) % 3
		s.faults[entry].set(fault{unreachable: true})
		for n := range 30 {
			id := fmt.Sprintf("%016x", n+1)
			if err := s.post(entry, id, 3*time.Second); err != nil {
				t.Fatal(err)
			}
			for i := range s.acceptors {
				if state, err := s.acceptors[i].State(t.Context(), id); i != entry && (err != nil || state != Queued) {
					t.Errorf("entry %d: state %q, error %v", i, state, err)
				}
			}
			time.Sleep(time.Duration(n) * 7 * time.Millisecond)
		}
	})
}

// Reports of absence stayed in the log and in the memory of all entries for good.
func TestReportsOfAbsenceAreRemovedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t)
		defer s.stop()
		for n := range 50 {
			if absent, err := s.remove(n%3, fmt.Sprintf("%016x", n+1)); !absent {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		if got := s.acceptors[0].ReportedAbsent(); got != 50 {
			t.Errorf("%d reports are kept", got)
		}
		time.Sleep(5 * time.Minute)
		page, err := s.log.Newest(t.Context(), "")
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range page.Records {
			if strings.HasPrefix(r.Key, "x/") {
				t.Errorf("record %s is left", r.Key)
			}
		}
		if got := s.acceptors[0].ReportedAbsent(); got != 0 {
			t.Errorf("%d reports are kept after five minutes", got)
		}
	})
}
