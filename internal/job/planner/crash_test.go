package planner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/wire/work"
)

// crashedWorker is what an agent knows of a worker process that has crashed.
type crashedWorker struct {
	// down is set until the next process starts.
	down     bool
	at       time.Time
	evidence *work.WorkerCrash
}

// evidenceTime is how long an agent reports a crash.
const evidenceTime = 10 * time.Second

func (v *simulatedVM) crashReport(r *work.Report, now time.Time) {
	r.WorkerDown = v.crash.down
	if v.crash.down {
		r.WorkerSilence = now.Sub(v.crash.at)
	}
	if v.crash.evidence != nil && now.Sub(v.crash.at) < evidenceTime {
		evidence := *v.crash.evidence
		evidence.Ago = now.Sub(v.crash.at)
		r.Crash = &evidence
	}
}

// crashPlay plays jobs on VMs some of whose workers crash.
type crashPlay struct {
	*simulation
	// deadly reports whether a task crashes its worker.
	deadly func(task string) bool
	// crashAfter is the time from the start of such a task to the crash.
	crashAfter time.Duration
	// keepEvidence is unset if the agents end with their workers.
	keepEvidence bool
	// duration returns how long a task runs; nil for a second.
	duration func(task string) time.Duration
	// leaderDies is set if the leader is replaced after each crash.
	leaderDies bool
	began      map[string]time.Time
	// crashed holds the numbers of workers that crashed under each task, startsAfter
	// those of its starts after the third.
	crashed, startsAfter map[string]int
	crashes, workers     int
	jobs                 int
}

func newCrashPlay(t *testing.T, vms int, deadly ...string) *crashPlay {
	p := &crashPlay{
		simulation: newSimulation(t), crashAfter: 10 * time.Millisecond, keepEvidence: true,
		began: map[string]time.Time{}, crashed: map[string]int{}, startsAfter: map[string]int{},
		deadly: func(task string) bool {
			for _, d := range deadly {
				if d == task {
					return true
				}
			}
			return false
		},
	}
	for i := range vms {
		p.addVM(fmt.Sprintf("vm%02d", i), 16000, 100000)
	}
	return p
}

// submit submits jobs of 6 tasks of a second each.
func (p *crashPlay) submit(jobs int) {
	for range jobs {
		p.jobs++
		p.submitJob(jobID(p.jobs), stepSpec(6, 1000))
	}
}

const crashStep = 20 * time.Millisecond

func (p *crashPlay) play(d time.Duration) {
	for ; d > 0; d -= crashStep {
		p.now = p.now.Add(crashStep)
		for _, name := range p.vmNames() {
			p.runWorker(name)
		}
		for _, name := range p.vmNames() {
			p.sendReport(name)
		}
		p.runPass()
	}
}

// runWorker lets the runs of a VM begin, end and crash their worker.
func (p *crashPlay) runWorker(name string) {
	v := p.vms[name]
	if v == nil {
		return // Another worker process came back under another name meanwhile.
	}
	if v.crash.down {
		if p.now.Sub(v.crash.at) > 3300*time.Millisecond {
			p.returnWorker(name)
		}
		return
	}
	for _, a := range append([]work.RunStatus(nil), v.active...) {
		run := fmt.Sprintf("%s/%d", a.Task, a.Run)
		began, known := p.began[run]
		if !known {
			p.began[run] = p.now
			if p.crashed[a.Task] >= 3 {
				p.startsAfter[a.Task]++
			}
			continue
		}
		switch age := p.now.Sub(began); {
		case p.deadly(a.Task) && age >= p.crashAfter:
			p.crashWorker(name)
			return
		case age >= p.durationOf(a.Task) && !longRunning(p, a.Task):
			p.endRun(v, a.Task, endDone)
		}
	}
}

func (p *crashPlay) durationOf(task string) time.Duration {
	if p.duration == nil {
		return time.Second
	}
	return p.duration(task)
}

func longRunning(p *crashPlay, task string) bool {
	s, _ := p.planner.findTask(task)
	return s != nil && s.spec.LongRunning
}

// crashWorker ends the worker process of a VM. Its agent goes on.
func (p *crashPlay) crashWorker(name string) {
	v := p.vms[name]
	p.crashes++
	v.crash = crashedWorker{down: true, at: p.now}
	evidence := &work.WorkerCrash{VM: name, WorkerIncarnation: v.workerStatus.Incarnation}
	for _, a := range v.active {
		p.crashed[a.Task]++
		if age := p.now.Sub(p.began[fmt.Sprintf("%s/%d", a.Task, a.Run)]); age <= 2*time.Second {
			evidence.Runs = append(evidence.Runs, work.LostRun{Task: a.Task, Run: a.Run, RanFor: age})
		}
	}
	if p.keepEvidence {
		v.crash.evidence = evidence
	}
	if p.leaderDies {
		p.sendReport(name)
		p.play(time.Second)
		p.restart()
	}
}

// returnWorker starts the next worker process on the host of a VM.
func (p *crashPlay) returnWorker(name string) {
	former := p.vms[name]
	delete(p.vms, name)
	p.workers++
	status := former.workerStatus
	status.VM, status.Incarnation = fmt.Sprintf("new%02d", p.workers), p.now.UnixMilli()
	v := &simulatedVM{host: former.host, workerStatus: status, crash: former.crash}
	v.crash.down = false
	p.vms[status.VM] = v
	p.planner.DisconnectAgent(name)
	p.sendHello(status.VM)
	p.runPass()
}

// wantOutcomes fails the test unless the jobs with a task that crashes its workers have
// failed and all others are completed.
func (p *crashPlay) wantOutcomes() {
	p.t.Helper()
	want, got := map[string]string{}, map[string]string{}
	for i := 1; i <= p.jobs; i++ {
		id := jobID(i)
		want[id], got[id] = jobreducer.Completed, p.outcome(id)
		for index := range 6 {
			if p.deadly(fmt.Sprintf("%s.0.0.%d", id, index)) {
				want[id] = jobreducer.Failed
			}
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		p.t.Errorf("outcomes (-want +got):\n%s", diff)
	}
	for task, starts := range p.startsAfter {
		if starts > 2 && p.deadly(task) {
			p.t.Errorf("task %s started %d times after three workers had crashed under it", task, starts)
		}
	}
}

func firstTask(job int) string { return jobID(job) + ".0.0.0" }

// Each start of the task costs a worker and the work beside it.
func TestTaskThatCrashesWorkersIsGivenUpAfterTwoCrashes(t *testing.T) {
	p := newCrashPlay(t, 6, firstTask(3))
	p.submit(5)
	p.play(20 * time.Second)
	p.wantOutcomes()
	if diff := cmp.Diff(2, p.crashes); diff != "" {
		t.Errorf("workers that crashed (-want +got):\n%s", diff)
	}
}

func TestCrashesOfTwoTasksAtTheSameTimeAreToldApart(t *testing.T) {
	p := newCrashPlay(t, 6, firstTask(1), firstTask(3), jobID(4)+".0.0.5")
	p.submit(6)
	p.play(30 * time.Second)
	p.wantOutcomes()
	if p.crashes > 9 {
		t.Errorf("%d workers crashed under three tasks", p.crashes)
	}
}

func TestCrashesUnderATaskAreCountedAcrossLeaders(t *testing.T) {
	p := newCrashPlay(t, 6, firstTask(3))
	p.leaderDies = true
	p.submit(5)
	p.play(30 * time.Second)
	p.wantOutcomes()
	if diff := cmp.Diff(2, p.crashes); diff != "" {
		t.Errorf("workers that crashed (-want +got):\n%s", diff)
	}
}

// A task that crashes its worker late looks like those beside it.
func TestTaskThatCrashesWorkersLateIsGivenUp(t *testing.T) {
	p := newCrashPlay(t, 6, firstTask(3))
	p.crashAfter = 600 * time.Millisecond
	p.submit(5)
	p.play(60 * time.Second)
	p.wantOutcomes()
}

func TestWorkersThatCrashByThemselvesFailNoJob(t *testing.T) {
	for _, together := range []int{1, 2, 4, 6} {
		t.Run(fmt.Sprintf("%d at a time", together), func(t *testing.T) {
			p := newCrashPlay(t, 6)
			// A fifth crash in a row under the same task would make it the culprit.
			for range 4 {
				p.submit(3)
				p.play(300 * time.Millisecond)
				for _, name := range p.vmNames()[:together] {
					if !p.vms[name].crash.down {
						p.crashWorker(name)
					}
				}
				p.play(3500 * time.Millisecond)
			}
			p.play(10 * time.Second)
			p.wantOutcomes()
		})
	}
}

// Without evidence of the agent a worker may have been killed with its machine.
func TestLossOfAgentAndWorkerMakesNoSuspects(t *testing.T) {
	p := newCrashPlay(t, 4)
	p.keepEvidence = false
	p.submit(3)
	p.play(100 * time.Millisecond)
	for _, name := range p.vmNames() {
		p.crashWorker(name)
	}
	p.play(5 * time.Second)
	if diff := cmp.Diff(0, len(p.planner.crashes.suspects)); diff != "" {
		t.Errorf("suspects (-want +got):\n%s", diff)
	}
	p.wantOutcomes()
}

// A partition that refuses connections looks like a crash until the process answers.
func TestWorkerThatAnswersAgainMakesNoSuspects(t *testing.T) {
	p := newCrashPlay(t, 4)
	p.submit(1)
	p.play(100 * time.Millisecond)
	v := p.vms["vm00"]
	active := append([]work.RunStatus(nil), v.active...)
	p.crashWorker("vm00")
	p.play(200 * time.Millisecond)
	v.crash, v.active = crashedWorker{}, active
	p.play(2 * time.Second)
	if diff := cmp.Diff(0, len(p.planner.crashes.suspects)); diff != "" {
		t.Errorf("suspects (-want +got):\n%s", diff)
	}
	p.wantOutcomes()
}

// Two suspects on a VM could not be told apart.
func TestNothingStartsBesideASuspectInQuarantine(t *testing.T) {
	p := newCrashPlay(t, 4)
	p.submit(2)
	p.play(100 * time.Millisecond)
	p.crashWorker("vm01")
	inQuarantine := 0
	for i := range 300 {
		if i%10 == 0 {
			p.submit(1)
		}
		p.play(crashStep)
		for _, v := range p.planner.sortedVMs {
			if !v.inQuarantine() {
				continue
			}
			inQuarantine++
			for key, r := range v.runs {
				if !r.quarantined && p.now.Sub(p.began[fmt.Sprintf("%s/%d", key.task, key.run)]) < 200*time.Millisecond {
					t.Fatalf("%s began on %s beside a suspect", key.task, v.name)
				}
			}
		}
	}
	if inQuarantine == 0 {
		t.Error("no suspect was in quarantine")
	}
	p.play(10 * time.Second)
	p.wantOutcomes()
}

// A suspect of a long-running step must not be away for long.
func TestLongRunningSuspectIsAtWorkWithinThreeSeconds(t *testing.T) {
	p := newCrashPlay(t, 4)
	serving := stepSpec(6, 1000)
	serving.LongRunning = true
	p.submitJob(jobID(99), serving)
	p.play(100 * time.Millisecond)
	p.submit(4)
	p.play(100 * time.Millisecond)
	for _, name := range p.vmNames() {
		if len(p.vms[name].active) > 0 && strings.HasPrefix(p.vms[name].active[0].Task, jobID(99)) {
			p.crashWorker(name)
			break
		}
	}
	p.play(6500 * time.Millisecond)
	if diff := cmp.Diff(6, len(p.placements(jobID(99)))); diff != "" {
		t.Errorf("long-running tasks at work (-want +got):\n%s", diff)
	}
}
