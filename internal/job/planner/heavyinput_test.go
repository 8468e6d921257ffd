package planner

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/wire/work"
)

// longestCall is the bound for one call of the planner, which holds the lock of the
// leader: the time between two records that a leader writes to show that it is alive.
// Calls are measured in processor time.
const longestCall = 400 * time.Millisecond

// heavyInput is accepted input that is far larger than usual.
type heavyInput struct {
	name string
	// jobs returns n jobs, or one with n occurrences.
	jobs func(n int, now time.Time) []*work.Job
	// usual and most are sizes for the benchmark; the test plays the latter.
	usual, most int
	// lasts says that the tasks do not end.
	lasts bool
}

func heavyJob(number int, now time.Time, steps ...work.Step) *work.Job {
	return &work.Job{ID: jobID(1_000_000 + number), Spec: "spec", AcceptedAt: now, Steps: steps, Queue: work.Queue{
		Name: "queue", Pool: "pool", MaxFailures: 2, Stretch: 2, Target: time.Second,
	}}
}

// schedule returns a schedule of which n occurrences are due, one a second.
func schedule(n int, now time.Time, steps ...work.Step) *work.Job {
	j := heavyJob(0, now, steps...)
	j.Occurrences, j.Interval, j.DueAt = n, time.Second, now.Add(-time.Duration(n)*time.Second)
	return j
}

func smallStep(tasks int, dependsOn ...int) work.Step {
	return work.Step{Tasks: tasks, Size: work.Size{Millicores: 100, Memory: 50}, EstimatedDuration: 50 * time.Millisecond, DependsOn: dependsOn}
}

// manySteps returns n jobs with the given steps.
func manySteps(steps int, make func(i int) work.Step) func(n int, now time.Time) []*work.Job {
	return func(n int, now time.Time) []*work.Job {
		var jobs []*work.Job
		for number := range n {
			var list []work.Step
			for i := range steps {
				list = append(list, make(i))
			}
			jobs = append(jobs, heavyJob(number, now, list...))
		}
		return jobs
	}
}

func heavyInputs() []heavyInput {
	independent := func(int) work.Step { return smallStep(1) }
	changed := func(change func(i int, s *work.Step)) func(i int) work.Step {
		return func(i int) work.Step {
			s := smallStep(1)
			change(i, &s)
			return s
		}
	}
	return []heavyInput{
		{"schedule", func(n int, now time.Time) []*work.Job { return []*work.Job{schedule(n, now, smallStep(1))} }, 100, 14_400, false},
		{"schedule of fillers", func(n int, now time.Time) []*work.Job {
			s := smallStep(1)
			s.Filler = true
			return []*work.Job{schedule(n, now, s)}
		}, 100, 14_400, false},
		{"schedule of long-running tasks", func(n int, now time.Time) []*work.Job {
			s := smallStep(1)
			s.LongRunning, s.Size = true, work.Size{Millicores: 1, Memory: 1}
			return []*work.Job{schedule(n, now, s)}
		}, 100, 14_400, true},
		{"schedule without room", func(n int, now time.Time) []*work.Job {
			s := smallStep(1)
			s.Label = "missing"
			return []*work.Job{schedule(n, now, s)}
		}, 100, 14_400, false},
		{"schedule due at once", func(n int, now time.Time) []*work.Job {
			j := schedule(n, now, smallStep(1), smallStep(1, 0))
			j.Interval = 0
			return []*work.Job{j}
		}, 100, 100_000, false},
		{"schedules of many steps", func(n int, now time.Time) []*work.Job {
			var steps []work.Step
			for range 1000 {
				steps = append(steps, smallStep(1))
			}
			return []*work.Job{schedule(n, now, steps...)}
		}, 1, 200, false},
		{"jobs of 1,500 steps", manySteps(1500, independent), 1, 30, false},
		{"jobs of 1,500 steps without room", manySteps(1500, changed(func(_ int, s *work.Step) { s.Label = "missing" })), 1, 30, false},
		{"jobs of 1,500 steps, most without room", manySteps(1500, changed(func(i int, s *work.Step) {
			if i < 1400 {
				s.Label = "missing"
			}
		})), 1, 30, false},
		{"jobs of 1,500 steps of fillers", manySteps(1500, changed(func(_ int, s *work.Step) { s.Filler = true })), 1, 30, false},
		{"jobs of 1,500 steps of serving tasks", manySteps(1500, changed(func(_ int, s *work.Step) { s.LongRunning, s.LatencyTarget = true, time.Second })), 1, 30, false},
		{"jobs of 1,500 steps with a spread limit", manySteps(1500, changed(func(_ int, s *work.Step) {
			s.MaxPerVM, s.Size = 1, work.Size{Millicores: 1, Memory: 1}
			s.LongRunning = true
		})), 1, 30, true},
		{"jobs of 1,500 steps that serve and fill, each with an image", manySteps(1500, changed(func(i int, s *work.Step) {
			s.Image, s.LongRunning, s.Size = fmt.Sprint("image", i), true, work.Size{Millicores: 10, Memory: 10}
			if s.Filler = i%2 == 0; !s.Filler {
				s.LatencyTarget = time.Second
			}
		})), 1, 4, true},
		{"jobs of a chain of 1,500 steps", manySteps(1500, changed(func(i int, s *work.Step) {
			if i > 0 {
				s.DependsOn = []int{i - 1}
			}
		})), 1, 30, false},
		{"jobs of 400 steps that depend on all before", manySteps(400, changed(func(i int, s *work.Step) {
			for dependency := range i {
				s.DependsOn = append(s.DependsOn, dependency)
			}
		})), 1, 30, false},
		{"jobs of 2,000 tasks", manySteps(1, func(int) work.Step { return smallStep(2000) }), 1, 60, false},
		{"gangs of 500 tasks", manySteps(4, func(int) work.Step {
			s := smallStep(500)
			s.Gang = true
			return s
		}), 1, 30, false},
		{"jobs", manySteps(1, func(int) work.Step { return smallStep(1) }), 100, 10_000, false},
		{"jobs too large for any VM", manySteps(1, func(int) work.Step {
			s := smallStep(1)
			s.Size.Millicores = 1_000_000
			return s
		}), 100, 10_000, false},
	}
}

// stopwatch keeps the longest of the calls of each kind, in processor time, and ends a
// test at the first that exceeds longestCall.
type stopwatch struct {
	t       testing.TB
	longest map[string]time.Duration
}

func (w stopwatch) time(kind string, call func()) {
	w.t.Helper()
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	began := w.threadTime()
	call()
	took := w.threadTime() - began
	if w.longest[kind] = max(w.longest[kind], took); took > longestCall {
		w.t.Fatalf("a call (%s) took %s, the bound is %s", kind, took, longestCall)
	}
}

// threadTime returns the processor time of the thread so far: the time that passes also
// depends on what else the machine does.
func (w stopwatch) threadTime() time.Duration {
	const rusageThread = 1 // RUSAGE_THREAD, which package syscall does not name
	var usage syscall.Rusage
	if err := syscall.Getrusage(rusageThread, &usage); err != nil {
		w.t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// startHeavy starts a planner with VMs and the given input, of which no task has run.
func startHeavy(t *testing.T, vms int, jobs []*work.Job) *simulation {
	s := newSimulation(t)
	for n := range vms {
		s.addVM(fmt.Sprintf("vm-%03d", n), 16_000, 62_500)
	}
	for _, j := range jobs {
		s.planner.AddJob(j, s.now)
		s.writeToState(jobreducer.JobRecord(j))
	}
	return s
}

// timedPass is a pass of the leader with its forecast.
func (s *simulation) timedPass(w stopwatch) {
	w.time("pass", func() { s.planner.Tick(s.now) })
	w.time("forecast", func() { s.planner.Outlook(1, s.now) })
	s.runPass()
}

// Guards against one accepted job that stopped the system: a schedule with many occurrences
// due, or jobs of many steps, made each pass so long that every entry lost the lead in turn.
func TestNoAcceptedInputMakesCallsLong(t *testing.T) {
	for _, input := range heavyInputs() {
		t.Run(input.name, func(t *testing.T) {
			w := stopwatch{t, map[string]time.Duration{}}
			s := startHeavy(t, 3, input.jobs(input.most, time.Unix(1000, 0)))
			ordinary := stepSpec(2, 1000)
			s.submitJob(jobID(1), ordinary, work.Step{Tasks: 1, Size: work.Size{Millicores: 1000, Memory: 500}, EstimatedDuration: time.Second, DependsOn: []int{0}})
			for range 10 {
				s.timedPass(w)
				for name, v := range s.vms {
					for _, a := range slices.Clone(v.active) {
						if !input.lasts || strings.HasPrefix(a.Task, jobID(1)) {
							s.endRun(v, a.Task, endDone)
						}
					}
					for i := range v.active {
						v.active[i].ProgressPercent, v.active[i].Measurement = 100, 300
					}
					report := &work.Report{Fence: v.fence, WorkerStatus: v.workerStatus, CommandsHandled: v.handled, SessionConfirmed: true, Ends: v.ends, ActiveRuns: v.active}
					w.time("report", func() { s.planner.HandleReport(name, report, s.now) })
				}
				s.runPass()
				s.now = s.now.Add(200 * time.Millisecond)
			}
			if got := s.outcome(jobID(1)); got != jobreducer.Completed {
				t.Errorf("the ordinary job is %q after 2 s beside idle VMs", got)
			}
			w.time("restore", func() {
				s.planner = New(Settings{MaxLease: 6 * time.Second, FarFactor: 2}, s.state, s.now, func(string, ...any) {})
				s.planner.Resume(s.state, s.now)
			})
			for _, name := range s.vmNames() {
				s.sendHello(name)
			}
			s.timedPass(w)
			for id := range s.state.Jobs {
				w.time("explain", func() { s.planner.ExplainJob(&work.Job{ID: id}, s.now) })
				w.time("cancel", func() { s.planner.CancelJob(id, s.now) })
			}
			s.timedPass(w)
			t.Logf("longest calls: %v", w.longest)
		})
	}
}

// BenchmarkPass measures a pass by the size of accepted input that waits, with all VMs full.
func BenchmarkPass(b *testing.B) {
	for _, input := range heavyInputs() {
		for _, n := range []int{input.usual, input.most} {
			b.Run(fmt.Sprintf("%s/%d", input.name, n), func(b *testing.B) {
				s := startHeavy(&testing.T{}, 12, input.jobs(n, time.Unix(1000, 0)))
				s.runPass()
				b.ResetTimer()
				for b.Loop() {
					s.now = s.now.Add(50 * time.Millisecond)
					for _, v := range s.planner.sortedVMs {
						v.lastContact = s.now
					}
					s.planner.Tick(s.now)
					s.planner.Outlook(1, s.now)
					s.planner.Flush()
				}
			})
		}
	}
}

// Guards against steps that wait behind others for which there is no place: a pass looks at
// a part of what waits.
func TestStepsWithoutPlaceHoldUpNoOthers(t *testing.T) {
	tests := map[string][]*work.Job{
		"steps of the same job": manySteps(1500, func(i int) work.Step {
			s := smallStep(1)
			if i < 1490 {
				s.Label = "missing"
			}
			return s
		})(30, time.Unix(1000, 0)),
		"jobs": manySteps(1, func(int) work.Step {
			// Less work than the job that can start, so that they come first.
			s := smallStep(1)
			s.Size = work.Size{Millicores: 1, Memory: 1, Accelerators: 1000}
			return s
		})(12_000, time.Unix(1000, 0)),
	}
	for name, jobs := range tests {
		t.Run(name, func(t *testing.T) {
			s := startHeavy(t, 12, jobs)
			s.submitJob(jobID(1), smallStep(1))
			// Few enough passes that the order of the jobs stays as it is.
			want, passes := 1, 10
			if len(jobs[0].Steps) > 1 {
				want, passes = want+10*len(jobs), 60
			}
			for pass := 0; len(s.starts) < want && pass < passes; pass++ {
				s.now = s.now.Add(50 * time.Millisecond)
				for _, name := range s.vmNames() {
					s.planner.RecordHeartbeat(name, s.now)
				}
				s.runPass()
			}
			s.wantStarts(want, "after the passes")
		})
	}
}

// Guards against occurrences that are lost or run twice, since they begin as earlier ones
// find room and are forgotten once they are over.
func TestOccurrencesOfLargeScheduleRunOnce(t *testing.T) {
	const occurrences = 1500
	s := newSimulation(t)
	for n := range 3 {
		s.addVM(fmt.Sprintf("vm-%d", n), 16_000, 62_500)
	}
	s.acceptJob(schedule(occurrences, s.now, smallStep(1), smallStep(2, 0)))
	j := s.planner.jobs[jobID(1_000_000)]
	if len(j.occurrences) > maxPlacements {
		t.Errorf("%d occurrences begin at once, the limit is %d", len(j.occurrences), maxPlacements)
	}
	for round := 0; s.outcome(j.id) == "" && round < 200; round++ {
		s.now = s.now.Add(100 * time.Millisecond)
		s.endAllRuns(endDone)
		if j := s.planner.jobs[j.id]; j != nil && len(j.occurrences) > 2*maxPlacements {
			t.Fatalf("%d occurrences are kept in round %d", len(j.occurrences), round)
		}
		if round%7 == 6 {
			s.restart()
		}
	}
	if diff := cmp.Diff(jobreducer.Completed, s.outcome(j.id)); diff != "" {
		t.Fatalf("outcome (-want +got):\n%s", diff)
	}
	seen := map[string]int{}
	for _, start := range s.starts {
		seen[start.Task]++
	}
	for task, count := range seen {
		if count != 1 {
			t.Errorf("%s was started %d times", task, count)
		}
	}
	if diff := cmp.Diff(3*occurrences, len(seen)); diff != "" {
		t.Errorf("tasks that ran (-want +got):\n%s", diff)
	}
	s.runPass()
	s.runPass()
	if left := s.state.Jobs[j.id]; left == nil || left.Description != nil || len(left.Tasks) > 0 {
		t.Errorf("the log still holds the job: %+v", left)
	}
}
