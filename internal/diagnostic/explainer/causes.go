package explainer

import (
	"fmt"
	"strings"
	"time"
)

// causes derives the likely causes of problems from a timeline. The rules are in
// the order in which their causes are listed.
func causes(t *Timeline) []string {
	var found []string
	for _, rule := range []func(*Timeline) string{refusedForRoom, refusedSubmission, unansweredSubmission, attemptsExhausted, hopeless, crashesWorkers, quarantined, failedRuns, slowVMs, copies, unknownRuns, lostRuns, movedRuns, yieldedRuns, promisedWait, longPlacementWait, putBehind, loadDuringWait, leaderChange, logUnavailable, foldedLines} {
		if cause := rule(t); cause != "" {
			found = append(found, cause)
		}
	}
	if len(found) == 0 {
		found = append(found, "Nothing went wrong that the lines tell of.")
	}
	return found
}

func stringField(e *Event, key string) string {
	value, _ := e.Fields[key].(string)
	return value
}

// forEach calls f with each event that has the given message and concerns the id.
func (t *Timeline) forEach(message string, f func(e *Event)) {
	for i := range t.Events {
		if e := &t.Events[i]; e.Message == message && e.concerns(t.ID) {
			f(e)
		}
	}
}

// roomPrefix begins the outcome of a job that an entry refused for want of room.
const roomPrefix = "refused for room"

func refusedForRoom(t *Timeline) string {
	count, last := 0, ""
	t.forEach("accept", func(e *Event) {
		if outcome := stringField(e, "outcome"); strings.HasPrefix(outcome, roomPrefix) {
			count++
			last = fmt.Sprintf("last by %s, by a forecast %s old, to come back after %s: %s", e.Process, stringField(e, "forecast"), stringField(e, "return"), outcome)
		}
	})
	if count == 0 {
		return ""
	}
	return fmt.Sprintf("Refused for room %d times, %s. It did not run on these attempts.", count, last)
}

func refusedSubmission(t *Timeline) string {
	cause := ""
	t.forEach("accept", func(e *Event) {
		if outcome := stringField(e, "outcome"); strings.Contains(outcome, "(unrun)") && !strings.HasPrefix(outcome, roomPrefix) {
			cause = fmt.Sprintf("Refused by %s: %s. It did not run.", e.Process, outcome)
		}
	})
	return cause
}

func unansweredSubmission(t *Timeline) string {
	cause := ""
	t.forEach("accept", func(e *Event) {
		if outcome := stringField(e, "outcome"); strings.Contains(outcome, "(unknown)") {
			cause = fmt.Sprintf("%s could not tell whether the log took it: %s. The client had to send it again.", e.Process, outcome)
		}
	})
	return cause
}

func attemptsExhausted(t *Timeline) string {
	cause := ""
	t.forEach("finish", func(e *Event) {
		if stringField(e, "state") == "failed" {
			cause = "Given up: a task failed as often as its queue allows."
		}
	})
	if crashesWorkers(t) != "" {
		return ""
	}
	return cause
}

// crashesWorkers names the task that crashes its workers, for which a job failed.
func crashesWorkers(t *Timeline) string {
	cause := ""
	t.forEach("crashes its workers", func(e *Event) {
		cause = fmt.Sprintf("Given up: %s crashes its workers, %v of them, %v at once.", stringField(e, "task"), e.Fields["workers"], e.Fields["early"])
	})
	return cause
}

// quarantined tells of tasks that were lost with their worker and might have been the
// cause.
func quarantined(t *Timeline) string {
	suspects, runs, cleared := 0, 0, ""
	t.forEach("crash suspect", func(e *Event) {
		if stringField(e, "verdict") == "suspect" {
			suspects++
		}
	})
	t.forEach("quarantine", func(*Event) { runs++ })
	t.forEach("suspect cleared", func(e *Event) { cleared = stringField(e, "reason") })
	switch {
	case suspects == 0:
		return ""
	case cleared == "":
		return fmt.Sprintf("Lost with a worker that crashed soon after the start, %d times, and run %d times in quarantine.", suspects, runs)
	}
	return fmt.Sprintf("Lost with a worker that crashed soon after the start, %d times, and run %d times in quarantine; cleared, since %s.", suspects, runs, clearedReasons[cleared])
}

// clearedReasons completes the sentence about a suspect that was cleared.
var clearedReasons = map[string]string{
	"outlasted the quarantine": "its run outlasted the quarantine",
	"the culprit is known":     "another task was found to crash its workers",
}

// hopeless names the task for which a job failed.
func hopeless(t *Timeline) string {
	cause := ""
	t.forEach("can't be done", func(e *Event) {
		cause = fmt.Sprintf("Can't be done: %s failed %v times, on %v; %v of these failures are put down to a VM. %v of %v tasks of its step had begun.",
			stringField(e, "task"), e.Fields["failures"], e.Fields["vms"], e.Fields["blamed"], e.Fields["started"], e.Fields["tasks"])
	})
	return cause
}

// slowVMMessage is the message about a VM that gets little work from then on.
const slowVMMessage = "slow VM"

// slowVMs names the VMs of the job's runs that were found slow or failing.
func slowVMs(t *Timeline) string {
	found := map[string]string{}
	for i := range t.Events {
		if e := &t.Events[i]; e.Message == slowVMMessage {
			found[stringField(e, "vm")] = stringField(e, "cause")
		}
	}
	if len(found) == 0 {
		return ""
	}
	return fmt.Sprintf("Slow VM avoided: %v. Runs there took longer or failed; new ones go elsewhere while there is room.", found)
}

func copies(t *Timeline) string {
	causes := map[string]int{}
	t.forEach("copy", func(e *Event) { causes[stringField(e, "cause")]++ })
	if len(causes) == 0 {
		return ""
	}
	return fmt.Sprintf("Copy started, by cause: %v. Of the two runs the first to complete counts, the other is stopped.", causes)
}

func failedRuns(t *Timeline) string {
	byVM := map[string]int{}
	total := 0
	t.forEach("end", func(e *Event) {
		if stringField(e, "how") == "failed" {
			byVM[stringField(e, "vm")]++
			total++
		}
	})
	if total == 0 {
		return ""
	}
	return fmt.Sprintf("%d runs failed, by VM: %v. Failures on one VM alone point at its worker, on several at the job.", total, byVM)
}

func unknownRuns(t *Timeline) string {
	found := ""
	t.forEach("unknown run", func(e *Event) {
		if found == "" {
			found = fmt.Sprintf("%s still had run %v of %s after the leader had given it up; the task may have run twice. The lines \"void\" and \"lease over\" before it say why.", stringField(e, "vm"), e.Fields["run"], stringField(e, "task"))
		}
	})
	return found
}

func lostRuns(t *Timeline) string {
	reasons := map[string]int{}
	t.forEach("void", func(e *Event) { reasons[stringField(e, "reason")]++ })
	t.forEach("end", func(e *Event) {
		if how := stringField(e, "how"); how == "lapsed" || how == "broken" || how == "alone" {
			reasons[how]++
		}
	})
	if len(reasons) == 0 {
		return ""
	}
	return fmt.Sprintf("Runs were lost or never began, by reason: %v. \"lapsed\" and \"replaced\" mean a lost VM, the others a worker that refused.", reasons)
}

func movedRuns(t *Timeline) string {
	count := 0
	t.forEach("halt", func(e *Event) {
		if stringField(e, "reason") == "move" {
			count++
		}
	})
	if count == 0 {
		return ""
	}
	return fmt.Sprintf("Moved %d times, since it pressed on serving tasks of its VM.", count)
}

// putBehind tells that a job was left out of those that can be in time.
func putBehind(t *Timeline) string {
	cause := ""
	t.forEach("sequence", func(e *Event) {
		if class := stringField(e, "class"); class != "in time" && cause == "" {
			cause = fmt.Sprintf("Put behind: cannot be in time (%s). It needed %v core-seconds and at least %v, with %v left to its objective; %v jobs shared %v cores.",
				class, e.Fields["work"], e.Fields["shortest"], e.Fields["left"], e.Fields["of"], e.Fields["cores"])
		}
	})
	return cause
}

// yieldedRuns tells of runs that were stopped for tasks of a more urgent queue.
func yieldedRuns(t *Timeline) string {
	count, lost, last := 0, 0.0, ""
	t.forEach("gave way", func(e *Event) {
		nanoseconds, _ := e.Fields["lost"].(float64)
		count, lost, last = count+1, lost+nanoseconds, stringField(e, "to")
	})
	if count == 0 {
		return ""
	}
	return fmt.Sprintf("Gave way %d times to tasks of more urgent queues, the last time to %s; %s of work was done again.", count, last, time.Duration(lost).Round(time.Millisecond))
}

// promisedWait tells of tasks that were too large for any VM and waited for a promised
// start, and of those that were held back for a promise.
func promisedWait(t *Timeline) string {
	promised, kept, longest := 0, 0, 0.0
	t.forEach("promise", func(*Event) { promised++ })
	t.forEach("promise kept", func(e *Event) {
		after, _ := e.Fields["after"].(float64)
		kept, longest = kept+1, max(longest, after)
	})
	heldBack, holder := 0, ""
	t.forEach("kept for", func(e *Event) { heldBack, holder = heldBack+1, stringField(e, "holder") })
	switch {
	case promised > 0:
		return fmt.Sprintf("Waits for a promised start: no VM had room, %d promises, %d kept, the longest after %s.", promised, kept, time.Duration(longest).Round(time.Millisecond))
	case heldBack > 0:
		return fmt.Sprintf("Held back %d times for room promised to a larger task, the last time to %s.", heldBack, holder)
	}
	return ""
}

// longWait is the wait for a first placement above which it is reported.
const longWait = 500 * time.Millisecond

func longPlacementWait(t *Timeline) string {
	var accepted, placed time.Time
	t.forEach("accept", func(e *Event) {
		if accepted.IsZero() && stringField(e, "outcome") == "done" {
			accepted = e.Time
		}
	})
	t.forEach("place", func(e *Event) {
		if placed.IsZero() {
			placed = e.Time
		}
	})
	switch {
	case accepted.IsZero():
		return ""
	case placed.IsZero():
		return "Accepted and never placed: no VM of its pool had room, or the line was folded."
	case placed.Sub(accepted) > longWait:
		return fmt.Sprintf("Waited %s for a first place.", placed.Sub(accepted).Round(time.Millisecond))
	}
	return ""
}

func leaderChange(t *Timeline) string {
	for i := range t.Events {
		if e := &t.Events[i]; e.Message == "lead ends" {
			return fmt.Sprintf("The lead changed meanwhile (%s: %s).", e.Process, stringField(e, "reason"))
		}
	}
	return ""
}

func logUnavailable(t *Timeline) string {
	for i := range t.Events {
		if e := &t.Events[i]; e.Message == "log lost" {
			return fmt.Sprintf("%s lost the log meanwhile: %s.", e.Process, stringField(e, "error"))
		}
	}
	return ""
}

func foldedLines(t *Timeline) string {
	for i := range t.Events {
		if t.Events[i].Message == "lines folded" {
			return "Some lines of that time were folded into counts; steps may be missing above."
		}
	}
	return ""
}
