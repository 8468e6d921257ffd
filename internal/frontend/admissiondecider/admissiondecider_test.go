package admissiondecider

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/wire/work"
)

var now = time.Unix(1000, 0)

// newJob returns a job of 10 core-seconds with an objective of 6 s, which is useful for
// 18 s and may wait for 5 s to be in time.
func newJob(id string) *work.Job {
	return &work.Job{ID: id, Queue: work.Queue{Pool: "p", Priority: 1, Stretch: 2, Target: 4 * time.Second}, Steps: []work.Step{
		{Tasks: 10, EstimatedDuration: time.Second, Size: work.Size{Millicores: 1000, Memory: 100}},
	}}
}

// situation returns one in which work ahead of any job of priority 1 takes a number of
// seconds.
func situation(seconds int64) Situation {
	return Situation{Age: 500 * time.Millisecond, Epoch: 7, Entries: 1, Forecast: &work.RoomForecast{Epoch: 7, Pools: []work.PoolForecast{{
		Name: "p", Millicores: 10_000, FillerMillicores: 10_000, LargestVM: work.Size{Millicores: 16_000, Memory: 64_000},
		Backlog: []work.Backlog{{Priority: 0, JobWork: []int64{1}, Work: []int64{seconds * 10_000}}},
	}}}}
}

func TestOnlySurelyUselessJobIsRefused(t *testing.T) {
	cases := []struct {
		name    string
		change  func(j *work.Job, s *Situation)
		refused bool
	}{
		{"far too late", func(*work.Job, *Situation) {}, true},
		{"late with all durations halved", func(_ *work.Job, s *Situation) { *s = situation(33) }, false},
		{"late enough", func(_ *work.Job, s *Situation) { *s = situation(45) }, true},
		{"late enough by a forecast that has faded", func(_ *work.Job, s *Situation) { *s, s.Age = situation(45), 2*time.Second }, false},
		{"no forecast", func(_ *work.Job, s *Situation) { s.Forecast = nil }, false},
		{"old forecast", func(j *work.Job, s *Situation) { s.Age, j.Queue.Target = 2600*time.Millisecond, time.Minute }, false},
		{"forecast too old for the job", func(j *work.Job, s *Situation) { s.Age, j.Queue.Target = time.Second, time.Second }, false},
		{"earlier term", func(_ *work.Job, s *Situation) { s.Epoch++ }, false},
		{"another pool", func(j *work.Job, _ *Situation) { j.Queue.Pool = "q" }, false},
		{"closed pool", func(_ *work.Job, s *Situation) { s.Forecast.Pools[0].Closed = true }, false},
		{"more urgent job", func(j *work.Job, _ *Situation) { j.Queue.Priority = -1 }, false},
		{"long-running step", func(j *work.Job, _ *Situation) { j.Steps[0].LongRunning = true }, false},
		{"occurrences", func(j *work.Job, _ *Situation) { j.Occurrences = 3 }, false},
		{"due time", func(j *work.Job, _ *Situation) { j.DueAt = now }, false},
		{"too large for any VM", func(j *work.Job, _ *Situation) { j.Steps[0].Size.Memory = 70_000 }, false},
		{"fits into a gap", func(_ *work.Job, s *Situation) {
			s.Forecast.Pools[0].LargestGap = work.Size{Millicores: 1000, Memory: 100}
		}, false},
		{"only late jobs ahead", func(_ *work.Job, s *Situation) { s.Forecast.Pools[0].Backlog[0].Late = true }, false},
		{"filler behind work that reserves", func(j *work.Job, _ *Situation) { j.Steps[0].Filler = true }, false},
		{"filler behind fillers", func(j *work.Job, s *Situation) { j.Steps[0].Filler, s.Forecast.Pools[0].Backlog[0].Filler = true, true }, true},
	}
	for _, c := range cases {
		job, s := newJob("a"), situation(1000)
		c.change(job, &s)
		if refused := Judge(job, s) != nil; refused != c.refused {
			t.Errorf("%s: refused %v", c.name, refused)
		}
	}
}

// Clients come back one after the other: each after all work ahead and after those that
// were refused before it. One that is refused again keeps its turn.
func TestRefusedClientsComeBackInOrder(t *testing.T) {
	s := situation(60)
	var d Decider
	refuse := func(id string, at time.Time) time.Duration {
		job := newJob(id)
		r := Judge(job, s)
		if r == nil {
			t.Fatal("accepted")
		}
		d.Refuse(job, r, 2, at)
		return r.RetryAfter
	}
	var got []time.Duration
	for n := range 4 {
		got = append(got, refuse(fmt.Sprint(n), now.Add(time.Duration(n))))
	}
	got = append(got, refuse("0", now.Add(60*time.Second)))
	const turn = 10 * time.Second // 10 core-seconds on a fifth of 10 cores, for 2 entries
	want := []time.Duration{60 * time.Second, 60*time.Second + turn, 60*time.Second + 2*turn, 60*time.Second + 3*turn, 60 * time.Second}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("times to come back (-want +got):\n%s", diff)
	}
}

func TestReturnIsBoundedAndSpread(t *testing.T) {
	s := situation(100_000)
	var d Decider
	returns := map[time.Duration]bool{}
	for n := range maxAwaited + 100 {
		job := newJob(fmt.Sprint(n))
		r := Judge(job, s)
		d.Refuse(job, r, 1, now)
		if r.RetryAfter > maxRetryAfter || r.RetryAfter < maxRetryAfter/2 {
			t.Fatalf("comes back after %s", r.RetryAfter)
		}
		returns[r.RetryAfter.Truncate(time.Second)] = true
	}
	if len(returns) < 30 || len(d.refused) > maxAwaited {
		t.Errorf("%d different seconds, %d jobs remembered", len(returns), len(d.refused))
	}
}

func TestAbsentClientsAreForgotten(t *testing.T) {
	s := situation(60)
	var d Decider
	for n, at := range []time.Duration{0, 63 * time.Second} {
		job := newJob(fmt.Sprint(n))
		r := Judge(job, s)
		d.Refuse(job, r, 1, now.Add(at))
		if r.RetryAfter != 60*time.Second {
			t.Errorf("job %d comes back after %s", n, r.RetryAfter)
		}
	}
}
