package supervisor

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"knapweedspur/internal/sidecar/workercontroller"
	"knapweedspur/internal/wire/work"
)

const (
	// recentStartWindow is how long before a crash the start of a run was sent at most
	// for the run to be reported with the crash.
	recentStartWindow = 2 * time.Second
	// maxLostRuns is how many runs are reported with a crash.
	maxLostRuns = 64
	// crashReportTime is how long after a crash it is part of the reports: a new
	// leader has received reports by then.
	crashReportTime = 10 * time.Second
	// maxSilenceBeforeCrash is how long before its calls fail a worker process must
	// have shown a sign of life for the time of its crash to be known.
	maxSilenceBeforeCrash = time.Second
	// maxJudgmentDelay is how long after the first failed call the outcomes of start
	// calls are awaited at most: those that were refused are no part of the evidence.
	maxJudgmentDelay = 50 * time.Millisecond
	// maxLoggedRuns is how many runs the line about a crash names.
	maxLoggedRuns = 5
)

// sentStart is a start call that the worker process may have carried out.
type sentStart struct {
	run   work.RunRef
	fence int64
	// sent is when the call was sent, on the steady clock.
	sent time.Duration
	// inFlight is set until the outcome of the call is known.
	inFlight bool
}

// crash is a worker process that ended without having announced it. It outlasts the
// data of that process.
type crash struct {
	report work.WorkerCrash
	// at is when the process ended, noticedAt when the agent noticed it, on the boot
	// clock.
	at, noticedAt time.Duration
}

// isOf reports whether the process that a call is meant for has crashed.
func (c *crash) isOf(call workercontroller.Call) bool {
	return c.report.VM == call.VM && c.report.WorkerIncarnation == call.WorkerIncarnation
}

// recordStart records that a start is about to be sent. It returns the time on the
// steady clock.
func (s *Supervisor) recordStart(call workercontroller.Call, run work.RunRef) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Steady()
	if call.VM == s.session.vm && call.WorkerIncarnation == s.session.workerIncarnation {
		s.dropOldStarts(now)
		s.sentStarts = append(s.sentStarts, sentStart{run: run, fence: call.Fence, sent: now, inFlight: true})
	}
	return now
}

// recordStartOutcome records the outcome of a start call. One that was refused was not
// sent.
func (s *Supervisor) recordStartOutcome(call workercontroller.Call, run work.RunRef, sent time.Duration, err error) {
	s.mu.Lock()
	for i := range s.sentStarts {
		if x := &s.sentStarts[i]; x.run == run && x.fence == call.Fence {
			x.inFlight = false
		}
	}
	if errors.Is(err, workercontroller.ErrUnreachable) {
		s.dropVoidStart(call, run)
	}
	s.mu.Unlock()
	s.recordOutcome(call, sent, err)
}

// dropOldStarts drops the starts that were sent long ago, unless it is open whether the
// worker process has crashed.
func (s *Supervisor) dropOldStarts(now time.Duration) {
	if s.reachability.failedAt != 0 {
		return
	}
	s.sentStarts = slices.DeleteFunc(s.sentStarts, func(x sentStart) bool { return now-x.sent > recentStartWindow })
}

// dropVoidStart drops the start of a run that the worker process has not carried out
// and never will.
func (s *Supervisor) dropVoidStart(call workercontroller.Call, run work.RunRef) {
	s.sentStarts = slices.DeleteFunc(s.sentStarts, func(x sentStart) bool { return x.run == run && x.fence <= call.Fence })
	if s.crash != nil && s.crash.isOf(call) {
		isVoid := func(x work.LostRun) bool { return x.Task == run.Task && x.Run == run.Run }
		s.crash.report.Runs = slices.DeleteFunc(slices.Clone(s.crash.report.Runs), isVoid)
	}
}

// dropEndedStarts drops the starts of runs that have ended: these do not end with the
// worker process.
func (s *Supervisor) dropEndedStarts(ends []work.RunEnd) {
	s.dropOldStarts(s.Steady())
	ended := make(map[work.RunRef]bool, len(ends))
	for i := range ends {
		ended[work.RunRef{Task: ends[i].Task, Run: ends[i].Run}] = true
	}
	s.sentStarts = slices.DeleteFunc(s.sentStarts, func(x sentStart) bool { return ended[x.run] })
}

// judgeFailure decides whether the worker process has crashed, since its calls fail and
// it refuses connections, once the outcomes of the start calls are known.
func (s *Supervisor) judgeFailure(call workercontroller.Call, now time.Duration) {
	r := &s.reachability
	awaited := slices.ContainsFunc(s.sentStarts, func(x sentStart) bool { return x.inFlight })
	if r.judged || awaited && now-r.failedAt < maxJudgmentDelay {
		return
	}
	r.judged = true
	failedFor := s.Steady() - r.failedAt
	silent := r.failedAt - s.lastSignOfLife()
	if reason := s.otherCauseThanCrash(silent); reason != "" {
		s.Logger.Warn("failed calls not counted as a crash of the worker", "vm", call.VM, "born", call.WorkerIncarnation, "reason", reason, "silent", silent.String(), "ago", failedFor.String())
		return
	}
	bootNow, runs := s.Clock(), s.lostRuns()
	s.crash = &crash{at: bootNow - failedFor, noticedAt: bootNow, report: work.WorkerCrash{VM: call.VM, WorkerIncarnation: call.WorkerIncarnation, Runs: runs}}
	s.Logger.Warn("worker crashed", "vm", call.VM, "born", call.WorkerIncarnation, "ago", failedFor.String(), "silent", silent.String(), "recent_runs", len(runs), "newest", describeRuns(runs))
	s.OnChange()
}

// otherCauseThanCrash returns why a worker process that refuses connections does not
// count as crashed, or "" if it does. It had been silent for the given time when its
// calls began to fail.
func (s *Supervisor) otherCauseThanCrash(silent time.Duration) string {
	r := &s.reachability
	switch {
	case s.workerStatus.Draining || s.deregistered:
		return "draining"
	case s.replaced:
		return "replaced"
	case r.answeredAt == 0:
		return "never answered"
	case (s.Clock()-s.Steady())-r.suspended > time.Millisecond:
		return "agent suspended"
	case s.stalls.endedAt > r.answeredCall && r.failedAt-s.stalls.endedAt < maxSilenceBeforeCrash:
		// No call that was sent after the stall has been answered, so this may be news
		// from before its end.
		return "agent stalled"
	case silent > maxSilenceBeforeCrash:
		return "silent before"
	}
	return ""
}

// lastSignOfLife returns when the worker process last answered or sent a heartbeat, on
// the steady clock.
func (s *Supervisor) lastSignOfLife() time.Duration {
	heartbeat := s.Steady() - (s.Clock() - s.heartbeatAt)
	return max(s.reachability.answeredAt, heartbeat)
}

// lostRuns returns the runs whose start was sent shortly before the crash, the newest
// first.
func (s *Supervisor) lostRuns() []work.LostRun {
	runs := []work.LostRun{}
	for _, x := range slices.Backward(s.sentStarts) {
		ranFor := s.reachability.failedAt - x.sent
		if ranFor < 0 && x.inFlight || ranFor > recentStartWindow || len(runs) == maxLostRuns {
			continue
		}
		runs = append(runs, work.LostRun{Task: x.run.Task, Run: x.run.Run, RanFor: max(0, ranFor)})
	}
	return runs
}

func describeRuns(runs []work.LostRun) []string {
	descriptions := []string{}
	for _, x := range runs[:min(len(runs), maxLoggedRuns)] {
		descriptions = append(descriptions, fmt.Sprintf("%s run %d after %s", x.Task, x.Run, x.RanFor))
	}
	return descriptions
}

// disproveCrash drops the crash of a worker process that has answered a call which was
// sent, on the boot clock, after the crash had been noticed.
func (s *Supervisor) disproveCrash(call workercontroller.Call, sent time.Duration) {
	c := s.crash
	if c == nil || !c.isOf(call) || sent <= c.noticedAt {
		return
	}
	s.Logger.Warn("worker had not crashed; it answers again", "vm", call.VM, "born", call.WorkerIncarnation)
	s.crash = nil
	s.OnChange()
}

// crashReport returns the last crash of a worker process for a report, nil if there was
// none lately.
func (s *Supervisor) crashReport() *work.WorkerCrash {
	if s.crash == nil || s.Clock()-s.crash.at > crashReportTime {
		return nil
	}
	report := s.crash.report
	report.Ago = s.Clock() - s.crash.at
	return &report
}
