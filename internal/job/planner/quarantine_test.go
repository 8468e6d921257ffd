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
