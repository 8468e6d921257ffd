package queryscheduler

import (
	"flag"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"knapweedspur/internal/wire/work"
)

// A fixed seed makes every run draw the same cases; make drawn draws others.
func init() {
	if err := flag.Set("rapid.seed", "20261207"); err != nil {
		panic(err)
	}
}

func policy(base, perVM, lifetime time.Duration) *work.ApprovalPolicy {
	return &work.ApprovalPolicy{BaseLatency: base, LatencyPerVM: perVM, TicketLifetime: lifetime}
}

func TestBatchSizeFollowsWhatIsNeededAndWhatItTakes(t *testing.T) {
	const second, ms = time.Second, time.Millisecond
	for _, c := range []struct {
		name   string
		policy *work.ApprovalPolicy
		demand Demand
		want   int
	}{
		{"short query, some to choose from", policy(5*ms, ms, 3*second), Demand{VMs: 4, Candidates: 50}, 16},
		{"no more than there are", policy(5*ms, ms, 3*second), Demand{VMs: 40, Candidates: 50}, 50},
		{"no more than the service takes", policy(0, 0, 3*second), Demand{VMs: 400, Candidates: 500}, MaxVMs},
		{"double the fixed time at most", policy(500*ms, 120*ms, 3*second), Demand{VMs: 14, Candidates: 14}, 4},
		{"more in the second round", policy(500*ms, 120*ms, 3*second), Demand{VMs: 14, Candidates: 14, Rounds: 1}, 8},
		{"up to two seconds in later ones", policy(500*ms, 120*ms, 3*second), Demand{VMs: 14, Candidates: 14, Rounds: 5}, 12},
		{"half as many after a failure", policy(500*ms, 120*ms, 3*second), Demand{VMs: 14, Candidates: 14, Failures: 1}, 2},
		{"one after many failures", policy(500*ms, 120*ms, 3*second), Demand{VMs: 14, Candidates: 14, Failures: 50}, 1},
		{"one if each takes long", policy(0, 5*second, 3*second), Demand{VMs: 14, Candidates: 14}, 1},
		{"known ones are enough", policy(5*second, second, 3*second), Demand{VMs: 2, Known: 3, Candidates: 14}, 2},
		{"together in as many queries as tickets allow", policy(100*ms, 100*ms, 10*second), Demand{VMs: 14, Known: 14, Candidates: 14, Together: true}, 2},
		{"together in one query", policy(2*second, 200*ms, second), Demand{VMs: 6, Known: 6, Candidates: 8, Together: true}, 6},
		{"together in one query, though it names more than is usual", policy(100*ms, 200*ms, second), Demand{VMs: 8, Known: 8, Candidates: 8, Together: true}, 8},
		{"together, also after a failure", policy(2*second, 200*ms, second), Demand{VMs: 6, Known: 6, Candidates: 8, Together: true, Failures: 3}, 6},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := new(Scheduler).BatchSize("q", c.policy, c.demand); got != c.want {
				t.Errorf("%d VMs, want %d", got, c.want)
			}
		})
	}
}

// Whatever is declared, a query names at least one VM, no more than there are or the service takes, and is
// awaited for longer than it takes.
func TestQueriesAreWithinBoundsWhateverIsDeclared(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := rapid.Custom(func(t *rapid.T) time.Duration { return time.Duration(rapid.Int64().Draw(t, "duration")) })
		p := policy(duration.Draw(t, "base"), duration.Draw(t, "per VM"), duration.Draw(t, "lifetime"))
		d := Demand{
			VMs: rapid.IntRange(1, 20_000).Draw(t, "needed"), Candidates: rapid.IntRange(1, 11_000).Draw(t, "candidates"),
			Together: rapid.Bool().Draw(t, "together"), Rounds: rapid.IntRange(0, 100).Draw(t, "rounds"), Failures: rapid.IntRange(0, 100).Draw(t, "failures"),
		}
		d.Known = rapid.IntRange(0, d.Candidates).Draw(t, "known")
		var s Scheduler
		now := time.Unix(1000, 0)
		size := s.BatchSize("q", p, d)
		if size < 1 || size > MaxVMs || size > d.Candidates {
			t.Fatalf("%d VMs of %d", size, d.Candidates)
		}
		for range 3 {
			q := s.Begin("q", p, size, now)
			if q.Patience <= min(q.Expected, maxPatience-1) || q.MaxWait < q.Patience || q.MaxWait < q.Expected || q.Expected < 0 {
				t.Fatalf("%+v", q)
			}
			s.Delay(q.ID, false)
			now = now.Add(q.Patience)
		}
		if RetryPause(d.Failures) <= 0 || TicketMargin(p.TicketLifetime) < 0 {
			t.Fatal("no pause, or a negative margin")
		}
	})
}

func TestQueuesTakeTurnsByTheTimeOfTheirQueries(t *testing.T) {
	var s Scheduler
	now := time.Unix(1000, 0)
	policies := map[string]*work.ApprovalPolicy{"slow": policy(time.Second, 0, time.Second), "quick": policy(10*time.Millisecond, 0, time.Second)}
	sent := map[string]int{}
	for range 1010 {
		name := "slow"
		if s.Turn("quick") <= s.Turn("slow") {
			name = "quick"
		}
		q := s.Begin(name, policies[name], 1, now)
		now = now.Add(q.Expected)
		s.Answer(q.ID, 1, 1, now)
		sent[name]++
	}
	if diff := cmp.Diff(map[string]int{"slow": 10, "quick": 1000}, sent); diff != "" {
		t.Errorf("queries (-want +got):\n%s", diff)
	}
}

// A queue that declares no time for its queries must not get all turns, whatever they take.
func TestTurnsCountWhatQueriesTake(t *testing.T) {
	var s Scheduler
	now := time.Unix(1000, 0)
	sent := map[string]int{}
	for range 200 {
		name, p := "honest", policy(time.Second, 0, time.Second)
		if s.Turn("silent") <= s.Turn("honest") {
			name, p = "silent", policy(0, 0, time.Second)
		}
		q := s.Begin(name, p, 1, now)
		now = now.Add(time.Second)
		s.Answer(q.ID, 1, 1, now)
		sent[name]++
	}
	if sent["honest"] < 90 || sent["silent"] < 90 {
		t.Errorf("queries %v, want about as many of each", sent)
	}
}

func TestQueryIsOverdueBeforeADayThatItsQueueDeclares(t *testing.T) {
	var s Scheduler
	q := s.Begin("q", policy(24*time.Hour, 0, time.Second), 1, time.Unix(1000, 0))
	if q.Patience > maxPatience || q.MaxWait < 24*time.Hour {
		t.Errorf("overdue after %s, awaited for %s", q.Patience, q.MaxWait)
	}
}

func TestOverdueQueryHoldsUpNoOther(t *testing.T) {
	var s Scheduler
	now := time.Unix(1000, 0)
	day := policy(24*time.Hour, 0, time.Second)
	s.Begin("a", day, 1, now)
	if s.MayAsk("b", now.Add(time.Second)) {
		t.Error("another queue asks while the service is busy")
	}
	if !s.MayAsk("b", now.Add(maxHold)) {
		t.Error("another queue waits for a query that takes a day")
	}
	for range 100 {
		q := s.Begin("b", policy(0, 0, time.Second), 1, now)
		if q.Patience > maxCountedWait+time.Minute {
			t.Fatalf("the loss of an answer is noticed after %s", q.Patience)
		}
		if !s.Delay(q.ID, true) {
			s.Fail(q.ID, NoAnswer, now)
		}
		now = now.Add(maxHold)
		if !s.MayAsk("b", now) {
			t.Fatal("overdue queries hold up another")
		}
	}
	if open, overdue := s.Open(); open != maxOverdue+1 || overdue != maxOverdue {
		t.Errorf("%d open queries, %d overdue", open, overdue)
	}
}

func TestServiceThatRefusesIsAskedLessOften(t *testing.T) {
	var s Scheduler
	now, calls := time.Unix(1000, 0), 0
	for end := now.Add(20 * time.Second); now.Before(end); now = now.Add(10 * time.Millisecond) {
		if s.MayAsk("q", now) {
			calls++
			s.Fail(s.Begin("q", policy(0, 0, time.Second), 1, now).ID, Busy, now)
		}
	}
	if calls > 15 {
		t.Errorf("%d calls in 20 s", calls)
	}
	now = now.Add(maxPause)
	s.Answer(s.Begin("q", policy(0, 0, time.Second), 1, now).ID, 1, 1, now)
	if !s.MayAsk("q", now) {
		t.Error("a pause lasts beyond an answer")
	}
}

// A late answer makes the queue more patient, but not for as long as an outage took.
func TestPatienceFollowsAnswers(t *testing.T) {
	var s Scheduler
	now := time.Unix(1000, 0)
	p := policy(time.Second, 0, 3*time.Second)
	ask := func(takes time.Duration) time.Duration {
		q := s.Begin("q", p, 1, now)
		now = now.Add(takes)
		s.Answer(q.ID, 1, 1, now)
		return q.Patience
	}
	first := ask(4 * time.Second)
	if second := ask(time.Hour); second <= 4*time.Second || second <= first {
		t.Errorf("patience %s after an answer that took 4 s", second)
	}
	if third := ask(time.Second); third > 15*time.Second {
		t.Errorf("patience %s after an outage", third)
	}
	for range 30 {
		ask(time.Second)
	}
	if last := ask(time.Second); last > first+100*time.Millisecond {
		t.Errorf("patience %s long after late answers, at first %s", last, first)
	}
}

func TestProblemsOfDeclaredTimesAreNamed(t *testing.T) {
	for _, c := range []struct {
		policy *work.ApprovalPolicy
		want   int
	}{
		{policy(500*time.Millisecond, 120*time.Millisecond, 3*time.Second), 0},
		{policy(5*time.Second, 0, 10*time.Second), 1},
		{policy(time.Second, 0, 500*time.Millisecond), 1},
		{policy(0, 0, 0), 1},
		{policy(-time.Second, 0, 3*time.Second), 1},
		{policy(100*24*time.Hour, 0, time.Second), 3},
	} {
		if got := Problems(c.policy); len(got) != c.want {
			t.Errorf("%+v: %d problems, want %d: %q", c.policy, len(got), c.want, got)
		}
	}
}
