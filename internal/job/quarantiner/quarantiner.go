// Package quarantiner tells the tasks that crash their workers from those that only ran
// beside one. It has no clock and no network: it judges a run that was lost with its
// worker process by what is known of the crash.
//
// A crash says little about the tasks that ran, since any of them may be the cause, or
// none. Those that had just begun become suspects, and run next in quarantine: on a VM
// where nothing else has begun for a while. A second crash there names the culprit.
package quarantiner

import (
	"time"

	"knapweedspur/internal/wire/work"
)

const (
	// EarlyTime is how long after the start of a run a crash of its worker counts as
	// early, and how long a suspect stays in quarantine.
	EarlyTime = 300 * time.Millisecond
	// SimilarTime is by how much the times from start to crash of one culprit differ at
	// most: agents notice a broken connection within milliseconds, and a start waits for
	// others to be sent.
	SimilarTime = 40 * time.Millisecond
	// SettleTime is how long after a crash it is judged. By then the agents have
	// reported the crashes at the same time.
	SettleTime = 400 * time.Millisecond
	// MassWindow is the time within which crashes count as one event, and massCrashes
	// the least number of workers that have one cause outside of their tasks.
	MassWindow  = 300 * time.Millisecond
	massCrashes = 3
	// LateTime is the age from which a run that is lost with its worker says nothing
	// about the task.
	LateTime = 3 * time.Second
	// guiltyEarly and guiltyAny are the numbers of crashes, early ones and all, from
	// which a task is the culprit without quarantine. A task that crashes its workers may
	// start twice after three have crashed under it.
	guiltyEarly, guiltyAny = 3, 5
	// suspectAny is the number of crashes from which a task is a suspect however long its
	// runs took.
	suspectAny = 3
)

// Verdict is what a crash says about a task that was lost with the worker.
type Verdict string

// The verdicts. Unaffected means that the crash says nothing, Counted that it counts but
// the task may start anywhere, Suspect that it runs next in quarantine, and Culprit that
// it crashes its workers.
const (
	Unaffected Verdict = "unaffected"
	Counted    Verdict = "counted"
	Suspect    Verdict = "suspect"
	Culprit    Verdict = "culprit"
)

// Loss is a run that was lost with its worker process.
type Loss struct {
	// Run is the number of the run, RanFor the time from its start to the crash.
	Run    int
	RanFor time.Duration
	// Quarantined is set if the crash has no other likely cause: nothing else had begun on
	// the worker for a while, workers have not crashed by themselves lately, and the task
	// was lost as soon after its start as before.
	Quarantined bool
	// Mass is set if several workers crashed at the same time.
	Mass bool
}

// Judge adds the loss of a run to the history of its task, and returns the verdict. A
// run counts once.
func Judge(h work.CrashHistory, l *Loss) (work.CrashHistory, Verdict) {
	if l.Run <= h.Run || l.RanFor > LateTime {
		return h, Unaffected
	}
	h.Run = l.Run
	h.Workers++
	early := l.RanFor <= EarlyTime
	if early {
		h.Early++
	}
	switch {
	case h.Workers >= guiltyAny, !l.Mass && (h.Early >= guiltyEarly && early || l.Quarantined && max(h.Early, h.Workers-suspectAny+1) > 1):
		return h, Culprit
	case !early && h.Workers < suspectAny, l.Mass && h.Early == 1:
		return h, Counted
	}
	h.Suspect = true
	return h, Suspect
}

// Clear returns the history of a task that need not be the cause of its last crash, since
// the culprit is known. The crash still counts, as there may have been two culprits.
func Clear(h work.CrashHistory) work.CrashHistory {
	h.Suspect, h.Early = false, 0
	return h
}

// Outlast returns the history of a suspect that has outlasted its quarantine. The next
// crash makes it a suspect again, whatever the number before.
func Outlast(h work.CrashHistory) work.CrashHistory {
	h = Clear(h)
	h.Workers = min(h.Workers, suspectAny-1)
	return h
}

// QuarantineTime returns how long a suspect stays in quarantine, by how long its run had
// run when it was lost: longer than that.
func QuarantineTime(ranFor time.Duration) time.Duration {
	return min(max(EarlyTime, 2*ranFor), LateTime)
}

// IsMass reports whether so many workers crashed at the same time that their tasks are
// not the likely cause.
func IsMass(workers int) bool { return workers >= massCrashes }

// maxVMShare is the share of the VMs of a pool that is kept for suspects at most.
const maxVMShare = 0.25

// jobsPerVM is the number of jobs with suspects that wait for one VM before another is kept
// for them. Each takes about 0.4 s.
const jobsPerVM = 2

// VMs returns how many VMs of a pool are kept for suspects of the given number of jobs.
func VMs(jobs, usableVMs int) int {
	if jobs == 0 {
		return 0
	}
	wanted := (jobs + jobsPerVM - 1) / jobsPerVM
	return min(wanted, max(1, int(maxVMShare*float64(usableVMs))))
}
