package jobacceptor

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"knapweedspur/internal/fault/verdict"
	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/log/journal"
	"knapweedspur/internal/standin/keyedlogemulator"
	"knapweedspur/internal/wire/work"
)

// writeForecast writes that a pool is short of room for far longer than any job of it is
// useful.
func writeForecast(t *testing.T, log *keyedlogemulator.Stream) {
	t.Helper()
	const epoch = 1
	records := []journal.Record{jobreducer.TermRecord(&work.Term{Epoch: epoch}), jobreducer.ForecastRecord(&work.RoomForecast{
		// The clock of the leader is hours off.
		Epoch: epoch, WrittenAt: time.Now().Add(-5 * time.Hour), Pools: []work.PoolForecast{{
			Name: "p", Millicores: 1000, LargestVM: work.Size{Millicores: 1000, Memory: 100},
			Backlog: []work.Backlog{{JobWork: []int64{1}, Work: []int64{3_600_000}}},
		}},
	})}
	if _, err := log.Append(t.Context(), records, nil); err != nil {
		t.Fatal(err)
	}
}

// submitLate submits a job that ends too late by the forecast of writeForecast.
func submitLate(a *Acceptor, id string) error {
	q := *a.Cataloger.Current().Find("h", "/q/x")
	q.Pool, q.Stretch, q.Target = "p", 2, 4*time.Second
	job := &work.Job{ID: id, Steps: []work.Step{{Tasks: 1, EstimatedDuration: time.Second, Size: work.Size{Millicores: 1000, Memory: 100}}}}
	return a.Submit(context.Background(), &q, 1, job, a.Follower.Clock(), time.Now())
}

func TestUselessJobIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := keyedlogemulator.New()
		a, stop := startAcceptor(t, log)
		writeForecast(t, log)
		time.Sleep(300 * time.Millisecond)
		start := time.Now()
		err := submitLate(a, jobID)
		var e *verdict.Error
		if !errors.As(err, &e) || e.Verdict != verdict.Unrun || e.RetryAfter < time.Second || e.Status() != 503 {
			t.Fatalf("error %v", err)
		}
		if took := time.Since(start); took > confirmTimeout {
			t.Errorf("a refusal took %s", took)
		}
		page, err := log.Newest(t.Context(), "")
		if err != nil || len(page.Records) != 2 || a.RefusedForRoom() != 1 {
			t.Errorf("%d records, %d refusals, error %v", len(page.Records), a.RefusedForRoom(), err)
		}
		time.Sleep(3 * time.Second)
		if err := submitLate(a, jobID); err != nil {
			t.Errorf("by an old forecast: %v", err)
		}
		stop()
	})
}

// The answer to the first attempt was lost, so the client sends the job again, to an
// entry whose view does not have the record yet.
func TestRepeatAfterLostAnswerIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := keyedlogemulator.New()
		a, stop := startAcceptor(t, log)
		writeForecast(t, log)
		time.Sleep(300 * time.Millisecond)
		if _, err := log.Append(t.Context(), []journal.Record{jobreducer.JobRecord(&work.Job{ID: jobID, Steps: []work.Step{{Tasks: 1}}})}, nil); err != nil {
			t.Fatal(err)
		}
		if a.isKnown(jobID) {
			t.Fatal("the view has the record already")
		}
		if err := submitLate(a, jobID); err != nil {
			t.Errorf("the repeat: %v", err)
		}
		if page, err := log.Newest(t.Context(), ""); err != nil || len(page.Records) != 3 || page.Head != 3 {
			t.Errorf("%d records, %v", page.Head, err)
		}
		stop()
	})
}

// While an append has no answer, or an earlier one had none, the job may run.
func TestJobThatMayBeRecordedIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := keyedlogemulator.New()
		a, stop := startAcceptor(t, log)
		a.Journal = unansweredLog{log}
		first := make(chan error)
		go func() { first <- submitLate(a, jobID) }()
		time.Sleep(time.Second)
		for range 2 {
			writeForecast(t, log)
			time.Sleep(300 * time.Millisecond)
			if got := verdictOf(submitLate(a, jobID)); got != verdict.Unknown {
				t.Errorf("the repeat got verdict %v", got)
			}
		}
		if got := verdictOf(<-first); got != verdict.Unknown {
			t.Errorf("the first attempt got verdict %v", got)
		}
		stop()
	})
}

// Without a view that shows that a job is not recorded, the entry does not refuse it.
func TestNothingIsRefusedForRoomWhileLogIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := keyedlogemulator.New()
		a, stop := startAcceptor(t, log)
		writeForecast(t, log)
		time.Sleep(300 * time.Millisecond)
		log.SetFaults(keyedlogemulator.Faults{Down: true})
		_ = submitLate(a, jobID) // refused or not, as without a forecast
		if a.RefusedForRoom() != 0 {
			t.Error("refused for room")
		}
		stop()
	})
}

func TestForecastOfEarlierTermRefusesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := keyedlogemulator.New()
		a, stop := startAcceptor(t, log)
		writeForecast(t, log)
		if _, err := log.Append(t.Context(), []journal.Record{jobreducer.TermRecord(&work.Term{Epoch: 2})}, nil); err != nil {
			t.Fatal(err)
		}
		time.Sleep(300 * time.Millisecond)
		if err := submitLate(a, jobID); err != nil {
			t.Error(err)
		}
		stop()
	})
}

func TestMalformedForecastIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := keyedlogemulator.New()
		a, stop := startAcceptor(t, log)
		key := jobreducer.ForecastRecord(&work.RoomForecast{}).Key
		for n, value := range []string{"\xff", "", "room", "\xa1droom\xa0", "\xa1droom\xf6"} {
			if _, err := log.Append(t.Context(), []journal.Record{{Key: key, Value: []byte(value)}}, nil); err != nil {
				t.Fatal(err)
			}
			time.Sleep(300 * time.Millisecond)
			if err := submitLate(a, fmt.Sprintf("%016x", n)); err != nil {
				t.Errorf("after the record %q: %v", value, err)
			}
		}
		stop()
	})
}
