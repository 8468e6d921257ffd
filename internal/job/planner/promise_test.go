package planner

import (
	"fmt"
	"testing"
	"time"

	"knapweedspur/internal/job/jobmeasurer"
	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/job/reserver"
	"knapweedspur/internal/setting/gatekeeper"
	"knapweedspur/internal/wire/work"
)

// arrivals is a kind of job that arrives at a fixed interval.
type arrivals struct {
	first, interval time.Duration
	priority        int
	step            work.Step
	// slowness is how many times the declared duration a task takes, 0 for once.
	slowness int
}

// played is what the jobs of one kind got.
type played struct {
	jobs, inTime int
	// longestWait is the longest time from the acceptance of a job to the start of one
	// of its tasks, or to the end of the play if that did not start.
	longestWait time.Duration
}

func (p played) share() float64 { return float64(p.inTime) / float64(max(p.jobs, 1)) }

// play is a load that VMs carry out in virtual time.
type play struct {
	*simulation
	kinds    []arrivals
	kindOf   map[string]int
	accepted map[string]time.Time
	finished map[string]time.Time
	// placedAt is by task, startedAt by run.
	placedAt, startedAt map[string]time.Time
}

// newPlay returns a play on VMs of 16 cores and 64 GB.
func newPlay(t *testing.T, gates gatekeeper.Gates, vms int, kinds ...arrivals) *play {
	p := &play{
		simulation: newSimulation(t), kinds: kinds, kindOf: map[string]int{}, accepted: map[string]time.Time{},
		placedAt: map[string]time.Time{}, finished: map[string]time.Time{}, startedAt: map[string]time.Time{},
	}
	p.planner.Settings.Gates = gates
	for n := range vms {
		p.addVM(fmt.Sprintf("vm%02d", n), 16_000, 64_000)
	}
	return p
}

const playStep = 50 * time.Millisecond

// run plays the load for a time, with a report from each VM in each step.
func (p *play) run(length time.Duration) {
	begin := p.now
	for ; p.now.Sub(begin) < length; p.now = p.now.Add(playStep) {
		for i := range p.kinds {
			k := &p.kinds[i]
			if at := p.now.Sub(begin) - k.first; at >= 0 && at%k.interval < playStep {
				id := jobID(len(p.accepted) + 1)
				p.kindOf[id], p.accepted[id] = i, p.now
				p.acceptJob(k.job(id, p.now))
			}
		}
		p.step()
	}
}

// step carries out one step of all tasks and reports it.
func (p *play) step() {
	for _, name := range p.vmNames() {
		v := p.vms[name]
		if v.silent {
			continue
		}
		for i := len(v.active) - 1; i >= 0; i-- {
			task := v.active[i].Task
			run := fmt.Sprint(task, "/", v.active[i].Run)
			job := task[:len(jobID(0))]
			if p.startedAt[run].IsZero() {
				p.startedAt[run] = p.now
			}
			if p.placedAt[task].IsZero() {
				p.placedAt[task] = p.now
			}
			kind := &p.kinds[p.kindOf[job]]
			spec, duration := &kind.step, kind.step.EstimatedDuration*time.Duration(max(kind.slowness, 1))
			took := p.now.Sub(p.startedAt[run])
			if v.active[i].ProgressPercent = fullProgress; !spec.LongRunning {
				v.active[i].ProgressPercent = min(fullProgress, int(100*took/duration))
				if took >= duration {
					p.endRun(v, task, endDone)
				}
			}
		}
		p.sendReport(name)
	}
	for id := range p.accepted {
		if p.finished[id].IsZero() && p.outcome(id) == jobreducer.Completed {
			p.finished[id] = p.now
		}
	}
}

// result returns what the jobs of a kind got.
func (p *play) result(kind int) played {
	var r played
	for id, at := range p.accepted {
		if p.kindOf[id] != kind {
			continue
		}
		for i := range p.kinds[kind].step.Tasks {
			placed := p.placedAt[fmt.Sprintf("%s.0.0.%d", id, i)]
			if placed.IsZero() {
				placed = p.now
			}
			r.longestWait = max(r.longestWait, placed.Sub(at))
		}
		objective := jobmeasurer.Objective(p.kinds[kind].job("", at))
		if p.now.Sub(at) < objective {
			continue
		}
		r.jobs++
		if end := p.finished[id]; !end.IsZero() && end.Sub(at) <= objective {
			r.inTime++
		}
	}
	return r
}

func (k *arrivals) job(id string, at time.Time) *work.Job {
	return &work.Job{ID: id, Spec: "spec", AcceptedAt: at, Steps: []work.Step{k.step}, Queue: work.Queue{
		Name: "queue", Pool: "pool", MaxFailures: 2, Stretch: 1.5, Target: 250 * time.Millisecond, Priority: k.priority,
	}}
}

func taskStep(tasks, millicores, memory int, duration time.Duration) work.Step {
	return work.Step{Tasks: tasks, Size: work.Size{Millicores: millicores, Memory: memory}, EstimatedDuration: duration}
}

// Load: checks that use nine tenths of the processors and come in bursts, and tasks
// that need two thirds of a VM.
var wideBatchLoad = []arrivals{
	{interval: 400 * time.Millisecond, step: taskStep(50, 780, 500, 800*time.Millisecond)},
	{first: 2 * time.Second, interval: 3 * time.Second, step: taskStep(1, 10_000, 26_000, 1500*time.Millisecond)},
}

// Load: the same checks, and gangs of two such tasks.
func gangBesideChecks() []arrivals {
	gang := taskStep(2, 10_000, 26_000, 1500*time.Millisecond)
	gang.Gang = true
	return []arrivals{wideBatchLoad[0], {first: 2 * time.Second, interval: 6 * time.Second, step: gang}}
}

// Load: fillers of which more wait than there is memory for, and serving tasks that
// need the memory of four of them.
func servingBesideFillers() []arrivals {
	filler := taskStep(22, 100, 3200, 2700*time.Millisecond)
	filler.Filler = true
	serving := taskStep(2, 3200, 13_000, time.Second)
	serving.LongRunning, serving.LatencyTarget, serving.Image = true, 20*time.Millisecond, "serve"
	return []arrivals{
		{interval: 400 * time.Millisecond, step: filler, priority: 2},
		{first: 4 * time.Second, interval: 7 * time.Second, step: serving},
	}
}

// Without promises no large task of these loads starts while the small ones last.
func TestLargeTasksStartBesideSmallOnes(t *testing.T) {
	cases := []struct {
		name string
		load []arrivals
	}{{"wide batch tasks beside checks", wideBatchLoad}, {"serving tasks beside fillers", servingBesideFillers()}, {"gangs beside checks", gangBesideChecks()}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			const length = 24 * time.Second
			small, large := map[bool]played{}, map[bool]played{}
			for promises, gates := range map[bool]gatekeeper.Gates{false: gatekeeper.Without(gatekeeper.Yields, gatekeeper.Promises), true: gatekeeper.Without(gatekeeper.Yields)} {
				p := newPlay(t, gates, 8, c.load...)
				p.run(length)
				small[promises], large[promises] = p.result(0), p.result(1)
				t.Logf("promises %t: small in time %.2f, longest wait %s; large longest wait %s", promises, small[promises].share(), small[promises].longestWait, large[promises].longestWait)
			}
			if wait := large[false].longestWait; wait < length/2 {
				t.Fatalf("the load is too light: the longest wait of a large task is %s without promises", wait)
			}
			if wait := large[true].longestWait; wait > 2*time.Second {
				t.Errorf("the longest wait of a large task is %s, want at most 2 s", wait)
			}
			if loss := small[false].share() - small[true].share(); loss > 0.03 {
				t.Errorf("promises cost %.2f of the small jobs their objective, want at most 0.03", loss)
			}
		})
	}
}

// Load: more large tasks than room, with the checks that use nine tenths of the
// processors. Promised tasks run on at most a quarter of the VMs.
func TestManyLargeTasksLeaveSmallOnesTheirRoom(t *testing.T) {
	many := wideBatchLoad[1]
	many.interval = 300 * time.Millisecond
	p := newPlay(t, gatekeeper.Gates{}, 8, wideBatchLoad[0], many)
	p.run(24 * time.Second)
	small, large := p.result(0), p.result(1)
	t.Logf("small in time %.2f, longest wait %s; large in time %.2f", small.share(), small.longestWait, large.share())
	if small.share() < 0.8 || large.share() < 0.4 {
		t.Errorf("%.2f of the small and %.2f of the large jobs are in time, want at least 0.80 and 0.40", small.share(), large.share())
	}
}

// Checks that take three times as long as declared push a promise back. It must not
// be pushed back for ever.
func TestLargeTaskStartsBesideTasksThatTakeLonger(t *testing.T) {
	checks := wideBatchLoad[0]
	checks.step.Tasks, checks.slowness = 17, 3
	p := newPlay(t, gatekeeper.Gates{}, 8, checks, wideBatchLoad[1])
	p.run(24 * time.Second)
	if wait := p.result(1).longestWait; wait > 4*time.Second {
		t.Errorf("the longest wait of a large task is %s, want at most 4 s", wait)
	}
}

// midPromise returns a play in which the first large task has a promise.
func midPromise(t *testing.T) (*play, *reserver.Promise) {
	p := newPlay(t, gatekeeper.Gates{}, 8, wideBatchLoad...)
	p.run(2*time.Second + 3*playStep)
	for name := range p.vms {
		if promise := p.planner.promises.byPool["pool"].On(name); promise != nil {
			return p, promise
		}
	}
	t.Fatal("no promise was given")
	return nil, nil
}

// wantLargeTaskSoon fails the test unless the first large task starts within a time
// while the load goes on.
func (p *play) wantLargeTaskSoon(limit time.Duration) {
	p.t.Helper()
	p.kinds[1].interval = time.Hour
	p.run(limit)
	if wait := p.result(1).longestWait; wait > limit {
		p.t.Errorf("the large task waits for %s, want it to start within %s", wait, limit)
	}
}

func TestLargeTaskStartsAfterLossOfItsPromise(t *testing.T) {
	cases := []struct {
		name  string
		fault func(p *play, vm string)
	}{
		{"new leader", func(p *play, _ string) { p.restart() }},
		{"the VM is lost", func(p *play, vm string) { p.vms[vm].silent = true }},
		{"another VM returns", func(p *play, _ string) { p.addVM("vm99", 16_000, 64_000) }},
		{"the VM drains", func(p *play, vm string) {
			p.vms[vm].workerStatus.Draining, p.vms[vm].workerStatus.DrainRemaining = true, 5*time.Second
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p, promise := midPromise(t)
			c.fault(p, promise.VM)
			p.wantLargeTaskSoon(3 * time.Second)
		})
	}
}

// A small job that fits nowhere else must not wait for a promise for longer than
// maxHeldBack.
func TestPromiseHoldsSmallJobBackForLimitedTime(t *testing.T) {
	s := newSimulation(t)
	s.addVM("a", 8000, 64_000)
	s.submitJob(jobID(1), taskStep(1, 4000, 100, 3500*time.Millisecond), taskStep(1, 2000, 100, 3500*time.Millisecond))
	s.submitJob(jobID(2), taskStep(1, 8000, 100, time.Second))
	s.advance(300 * time.Millisecond)
	s.submitJob(jobID(3), taskStep(1, 1000, 100, 9*time.Second))
	s.advance(maxHeldBack / 2)
	if got := len(s.placements(jobID(3))); got != 0 {
		t.Fatal("the small job took the promised room")
	}
	s.advance(maxHeldBack)
	if got := len(s.placements(jobID(3))); got != 1 {
		t.Errorf("the small job still waits after %s", 3*maxHeldBack/2)
	}
}

// Where nothing large waits nothing is promised, and small tasks get all the room.
func TestNothingIsPromisedToEqualTasks(t *testing.T) {
	p := newPlay(t, gatekeeper.Gates{}, 2, arrivals{interval: 200 * time.Millisecond, step: taskStep(20, 2000, 500, 800*time.Millisecond)})
	p.run(4 * time.Second)
	if r := p.planner.promises.byPool["pool"]; r != nil {
		t.Errorf("%d promises to tasks that are as large as those that run", r.Len())
	}
}

// The promised room stays kept while the ticket for its VM is on its way.
func TestPromiseStaysUntilTicketComes(t *testing.T) {
	s := newSimulation(t)
	v := s.addVM("a", 8000, 64_000)
	s.submitJob(jobID(1), taskStep(1, 1000, 100, time.Second))
	s.acceptJob(&work.Job{ID: jobID(2), Spec: "spec", AcceptedAt: s.now, Steps: []work.Step{taskStep(1, 8000, 100, time.Second)},
		Queue: work.Queue{Name: "approved", Pool: "pool", MaxFailures: 2, Approval: &work.ApprovalPolicy{}}})
	s.advance(900 * time.Millisecond)
	s.endRun(v, jobID(1)+".0.0.0", endDone)
	s.advance(200 * time.Millisecond)
	s.submitJob(jobID(3), taskStep(1, 1000, 100, 9*time.Second))
	s.advance(300 * time.Millisecond)
	s.planner.HandlePolicyAnswer(PolicyQuery{Step: jobID(2) + ".0.0", VMs: []string{"a"}}, map[string]string{"a": "ticket"}, time.Minute, s.now)
	s.advance(100 * time.Millisecond)
	if got := len(s.placements(jobID(2))); got != 1 {
		t.Error("a smaller task took the promised room before the ticket came")
	}
}
