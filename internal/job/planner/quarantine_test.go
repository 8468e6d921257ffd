package planner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/job/jobreducer"
)

// VMs with one long run each lose the least by a crash, but have no room for suspects.
func TestSuspectsDoNotWaitForFullVMsBesideFreeRoom(t *testing.T) {
	p := newCrashPlay(t, 2)
	p.duration = func(task string) time.Duration {
		if jobOf(task) == jobID(1) {
			return time.Second
		}
		return time.Minute
	}
	p.submitJob(jobID(98), stepSpec(2, 16000))
	p.play(200 * time.Millisecond)
	p.addVM("vm02", 16000, 100000)
	p.addVM("vm03", 16000, 100000)
	p.submitJob(jobID(99), stepSpec(10, 1000))
	p.play(500 * time.Millisecond)
	p.submit(1)
	p.play(100 * time.Millisecond)
	p.crashWorker(p.placements(jobID(1))[firstTask(1)])
	p.play(7 * time.Second)
	p.wantOutcomes()
}

// The members of a gang start together, so never in quarantine.
func TestGangThatWasLongAtWorkBetweenCrashesIsNotGivenUp(t *testing.T) {
	p := newCrashPlay(t, 4)
	p.duration = func(string) time.Duration { return time.Hour }
	gang := stepSpec(2, 9000)
	gang.Gang = true
	p.submitJob(jobID(99), gang)
	for crash := range 4 {
		p.play(100 * time.Millisecond)
		if got := p.outcome(jobID(99)); got != "" {
			t.Fatalf("the gang is %s after %d crashes", got, crash)
		}
		p.crashWorker(p.placements(jobID(99))[jobID(99)+".0.0.0"])
		for _, v := range p.vms {
			p.endRun(v, jobID(99)+".0.0.1", "alone")
		}
		p.play(10 * time.Second)
		// The next run of the gang begins a while before the next crash.
		for _, v := range p.vms {
			p.endRun(v, jobID(99)+".0.0.0", "alone")
			p.endRun(v, jobID(99)+".0.0.1", "alone")
		}
		for i := 0; i < 100 && len(p.placements(jobID(99))) < 2; i++ {
			p.play(crashStep)
		}
	}
}

// Agents reach a new leader one after the other.
func TestCrashOfSeveralWorkersIsOneEventToANewLeader(t *testing.T) {
	p := newCrashPlay(t, 8)
	p.submit(20)
	p.play(100 * time.Millisecond)
	for _, name := range p.vmNames()[:4] {
		p.crashWorker(name)
	}
	p.now = p.now.Add(time.Second)
	p.planner = New(Settings{MaxLease: 6 * time.Second, FarFactor: 2}, p.state, p.now, func(string, ...any) {})
	p.planner.Resume(p.state, p.now)
	for _, name := range p.vmNames() {
		p.sendHello(name)
		p.runPass()
		p.now = p.now.Add(40 * time.Millisecond)
		p.sendReport(name)
	}
	p.play(time.Second)
	if suspects := len(p.planner.crashes.suspects); suspects > 0 {
		t.Errorf("%d suspects of a crash of 4 workers", suspects)
	}
	p.play(15 * time.Second)
	p.wantOutcomes()
}

// Tasks that were lost with a worker are placed again beside the one that crashed it.
func TestTasksBesideThoseThatCrashWorkersLateAreNotGivenUp(t *testing.T) {
	p := newCrashPlay(t, 3, jobID(2)+".0.0.1", jobID(10)+".0.0.3", jobID(15)+".0.0.5")
	p.crashAfter = 400 * time.Millisecond
	p.duration = func(string) time.Duration { return 4 * time.Second }
	for range 20 {
		p.submit(1)
		p.play(500 * time.Millisecond)
	}
	p.play(50 * time.Second)
	p.wantOutcomes()
}

// A job that its client cancels takes what is known of its tasks with it.
func TestCrashUnderACanceledJobIsNoCrashOfTheWorkersOwn(t *testing.T) {
	p := newCrashPlay(t, 6, firstTask(1), firstTask(3))
	p.submit(1)
	p.play(100 * time.Millisecond)
	p.planner.CancelJob(jobID(1), p.now)
	p.runPass()
	p.submit(2)
	p.play(20 * time.Second)
	if diff := cmp.Diff(jobreducer.Failed, p.outcome(jobID(3))); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(3, p.crashes); diff != "" {
		t.Errorf("workers that crashed, one under the canceled job (-want +got):\n%s", diff)
	}
}

// The agent may end or be cut off at the crash.
func TestSuspectWhoseAgentIsNotHeardIsNotCleared(t *testing.T) {
	p := newCrashPlay(t, 4)
	p.submit(1)
	p.play(100 * time.Millisecond)
	p.crashWorker(p.placements(jobID(1))[firstTask(1)])
	var suspect string
	for i := 0; i < 500 && suspect == ""; i++ {
		p.play(crashStep)
		for _, v := range p.planner.sortedVMs {
			for _, r := range v.runs {
				if r.quarantined && r.active && isSuspect(&r.step.tasks[r.index]) {
					suspect = v.name
				}
			}
		}
	}
	if suspect == "" {
		t.Fatal("no suspect is at work in quarantine")
	}
	before := len(p.planner.crashes.suspects)
	for range 50 {
		p.now = p.now.Add(crashStep)
		for _, name := range p.vmNames() {
			if name != suspect {
				p.sendReport(name)
			}
		}
		p.runPass()
	}
	if got := len(p.planner.crashes.suspects); got != before {
		t.Errorf("%d suspects while the agent is not heard, want %d", got, before)
	}
}
