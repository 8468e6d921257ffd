package sequencer

import (
	stdcmp "cmp"
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// A fixed seed makes every run draw the same cases; make drawn draws others.
func init() {
	if err := flag.Set("rapid.seed", "20261206"); err != nil {
		panic(err)
	}
}

var start = time.Unix(1000, 0)

// newJob returns a job that arrived at start with an objective of 10 s and one second
// of shortest time.
func newJob(number int, work float64) Job {
	return Job{
		Number: number, ArrivedAt: start, Deadline: start.Add(10 * time.Second), LateDeadline: start.Add(30 * time.Second),
		Work: work, TotalWork: work, Waiting: work, Shortest: time.Second,
	}
}

// order returns the numbers of the jobs in the order decided.
func order(jobs []Job, results []Result) []int {
	numbers := make([]int, len(jobs))
	for i, r := range results {
		numbers[r.Position] = jobs[i].Number
	}
	return numbers
}

func classes(results []Result) []Class {
	list := make([]Class, len(results))
	for i, r := range results {
		list[i] = r.Class
	}
	return list
}

func wantEqual(t *testing.T, what string, want, got any) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// Three jobs of 40 core-seconds have 9 s on 10 cores, less one second for the last
// tasks: two fit, the third is late but useful.
func TestAsManyAsFitAreInTime(t *testing.T) {
	jobs := []Job{newJob(1, 40), newJob(2, 40), newJob(3, 40)}
	results, allInTime := Decide(jobs, 10, start)
	wantEqual(t, "all in time", false, allInTime)
	wantEqual(t, "classes", []Class{InTime, InTime, Late}, classes(results))
	wantEqual(t, "order", []int{1, 2, 3}, order(jobs, results))

	results, allInTime = Decide(jobs[:2], 10, start)
	wantEqual(t, "all of two in time", true, allInTime)
	wantEqual(t, "classes of two", []Class{InTime, InTime}, classes(results))
}

// A begun job has the most worth for the work that is left.
func TestBegunBeforeNewOfItsKind(t *testing.T) {
	jobs := []Job{newJob(1, 50), newJob(2, 50), newJob(3, 50)}
	jobs[2].Begun, jobs[2].Work = true, 30
	results, _ := Decide(jobs, 10, start)
	wantEqual(t, "order", []int{3, 1, 2}, order(jobs, results))
	wantEqual(t, "class of the begun job", InTime, results[2].Class)
}

func TestJobThatCannotBeInTimeGoesBehind(t *testing.T) {
	jobs := []Job{newJob(1, 10), newJob(2, 10), newJob(3, 80), newJob(4, 10), newJob(5, 5), newJob(6, 5)}
	for _, i := range []int{0, 4} {
		jobs[i].Shortest = 12 * time.Second
	}
	for _, i := range []int{1, 5} {
		jobs[i].Shortest = 40 * time.Second
	}
	results, _ := Decide(jobs, 10, start)
	wantEqual(t, "classes", []Class{Late, Rest, InTime, InTime, Late, Rest}, classes(results))
	wantEqual(t, "order", []int{4, 3, 5, 1, 2, 6}, order(jobs, results))
}

func TestUrgentPriorityIsNotDroppedForOther(t *testing.T) {
	jobs := []Job{newJob(1, 85), newJob(2, 10), newJob(3, 40)}
	jobs[1].Priority = 2
	jobs[2].Priority = 2
	results, _ := Decide(jobs, 10, start)
	wantEqual(t, "classes", []Class{InTime, Late, Late}, classes(results))
}

// Fillers that press on serving tasks get less out of the same processors.
func TestJobWithCostlyWorkIsLeftOut(t *testing.T) {
	jobs := []Job{newJob(1, 50), newJob(2, 50)}
	jobs[0].Cost = 2
	results, _ := Decide(jobs, 10, start)
	wantEqual(t, "classes", []Class{Late, InTime}, classes(results))
}

// Estimates of work vary from pass to pass; a job that was chosen must stay so unless
// another is clearly worth more for its work.
func TestChosenJobsDoNotFlap(t *testing.T) {
	jobs := []Job{newJob(1, 60), newJob(2, 60)}
	for i := range jobs {
		jobs[i].Begun = true
	}
	results, _ := Decide(jobs, 10, start)
	changes := 0
	for pass := range 40 {
		previous := classes(results)
		for i := range jobs {
			jobs[i].Previous = previous[i]
			jobs[i].Work = 60 + 5*float64((pass+i)%2)
		}
		results, _ = Decide(jobs, 10, start)
		if !cmp.Equal(previous, classes(results)) {
			changes++
		}
	}
	wantEqual(t, "changes of the classes", 0, changes)
}

// Jobs that fit keep arriving. A large one that never fits in time must still begin
// after a bounded wait, and only one such job may go first at a time.
func TestNoJobStarves(t *testing.T) {
	jobs := []Job{newJob(1, 500), newJob(2, 500)}
	firstAt := time.Duration(0)
	for elapsed := time.Duration(0); elapsed < 200*time.Second && firstAt == 0; elapsed += time.Second {
		now := start.Add(elapsed)
		young := newJob(3, 85)
		young.ArrivedAt, young.Deadline, young.LateDeadline = now, now.Add(10*time.Second), now.Add(30*time.Second)
		results, _ := Decide(append(jobs, young), 10, now)
		if results[0].Position == 0 {
			firstAt = elapsed
			young.Work = 60
			jobs = append(jobs, young)
			results, _ = Decide(jobs, 10, now)
			wantEqual(t, "order with two aged jobs", []int{1, 3, 2}, order(jobs, results))
			jobs[0].Running = 2
			results, _ = Decide(jobs, 10, now)
			wantEqual(t, "order while the aged job has its share", []int{3, 2, 1}, order(jobs, results))
		}
	}
	if limit := 101 * time.Second; firstAt == 0 || firstAt > limit {
		t.Errorf("the large job went first after %s, want at most %s", firstAt, limit)
	}
}

// A pass has a few milliseconds; 500 jobs at once are the largest bursts played.
func TestDecisionOf500JobsIsCheap(t *testing.T) {
	jobs := make([]Job, 500)
	for i := range jobs {
		jobs[i] = newJob(i, 5+float64(i*37%90))
		jobs[i].Deadline = jobs[i].Deadline.Add(time.Duration(i*61%400) * 100 * time.Millisecond)
	}
	// The fastest of many decisions tells what the code costs, whatever else runs on
	// the machine.
	fastest := time.Hour
	for range 200 {
		began := time.Now()
		Decide(jobs, 100, start)
		fastest = min(fastest, time.Since(began))
	}
	if limit := raceSlowdown * time.Millisecond; fastest > limit {
		t.Errorf("a decision takes %s, want at most %s", fastest, limit)
	}
	t.Logf("%s for a decision", fastest)
}

// A job that is left out itself makes no room by leaving out others.
func TestJobThatIsLeftOutTakesNoOtherAlong(t *testing.T) {
	long := newJob(4, 5)
	long.TotalWork, long.Shortest = 0.1, 9*time.Second
	jobs := []Job{newJob(1, 20), newJob(2, 20), newJob(3, 20), long}
	results, allInTime := Decide(jobs, 10, start)
	wantEqual(t, "all in time", false, allInTime)
	wantEqual(t, "classes", []Class{InTime, InTime, InTime, Late}, classes(results))
}

// A job whose tasks all run waits for no other, so none is left out for it, and leaving it
// out makes no room.
func TestJobThatRunsWholeIsInTimeBesideOthers(t *testing.T) {
	running := newJob(4, 60)
	running.Waiting, running.Running, running.Begun, running.Shortest = 0, 10, true, 8*time.Second
	jobs := []Job{newJob(1, 40), newJob(2, 40), newJob(3, 40), running}
	results, _ := Decide(jobs, 10, start)
	wantEqual(t, "classes", []Class{InTime, InTime, Late, InTime}, classes(results))
}

// chooseByScan is the rule of choose, with a search through all chosen jobs for the one to
// leave out.
func chooseByScan(items []*item, limit func(*item) time.Time, cores, busy float64, now time.Time) (chosen, left []*item) {
	byLimit := slices.Clone(items)
	slices.SortFunc(byLimit, func(a, b *item) int {
		return stdcmp.Or(stdcmp.Compare(a.Priority, b.Priority), limit(a).Compare(limit(b)), stdcmp.Compare(a.Number, b.Number))
	})
	seconds := busy
	for _, x := range byLimit {
		if now.Add(time.Duration(chainFactor * float64(x.Shortest))).After(limit(x)) {
			left = append(left, x)
			continue
		}
		chosen = append(chosen, x)
		if x.Waiting <= 0 {
			continue
		}
		seconds += x.Waiting / cores
		for in := true; in && seconds+x.Shortest.Seconds() > limit(x).Sub(now).Seconds(); {
			worst := -1
			for i, y := range chosen {
				if y.Waiting > 0 && (worst < 0 || y.Priority > chosen[worst].Priority || y.Priority == chosen[worst].Priority && y.density <= chosen[worst].density) {
					worst = i
				}
			}
			seconds -= chosen[worst].Waiting / cores
			left = append(left, chosen[worst])
			in = chosen[worst] != x
			chosen = slices.Delete(chosen, worst, worst+1)
		}
	}
	return chosen, left
}

// Guards against another decision than that of the plain rule, which takes time that grows
// with the square of the jobs.
func TestChoiceFollowsPlainRule(t *testing.T) {
	now := time.Unix(1000, 0)
	rapid.Check(t, func(t *rapid.T) {
		jobs := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Job {
			work := float64(rapid.IntRange(0, 8).Draw(t, "work"))
			return Job{
				Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Work: work, TotalWork: work + 1, Waiting: work * float64(rapid.IntRange(0, 1).Draw(t, "waits")),
				Deadline: now.Add(time.Duration(rapid.IntRange(-2, 20).Draw(t, "deadline")) * time.Second), Shortest: time.Duration(rapid.IntRange(0, 5).Draw(t, "shortest")) * time.Second,
			}
		}), 0, 60).Draw(t, "jobs")
		var items []*item
		for i := range jobs {
			jobs[i].Number = i
			items = append(items, &item{Job: &jobs[i], index: i, result: &Result{}, density: density(&jobs[i], meanWork(jobs))})
		}
		numbers := func(items []*item) (list []int) {
			for _, x := range items {
				list = append(list, x.Number)
			}
			return list
		}
		cores := float64(rapid.IntRange(1, 4).Draw(t, "cores"))
		wantChosen, wantLeft := chooseByScan(items, deadline, cores, 0, now)
		chosen, left := choose(items, deadline, cores, 0, now)
		if diff := cmp.Diff([][]int{numbers(wantChosen), numbers(wantLeft)}, [][]int{numbers(chosen), numbers(left)}); diff != "" {
			t.Fatalf("chosen and left (-want +got):\n%s", diff)
		}
	})
}
