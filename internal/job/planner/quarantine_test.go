package planner

import (
	"testing"
	"time"
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
