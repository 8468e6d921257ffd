// Package invariantchecker checks what the emulators recorded against the system's
// invariants. Tests, the demo and chaos runs share these checks.
package invariantchecker

import (
	"fmt"
	"sort"
	"time"

	"knapweedspur/internal/standin/workeremulator"
	"knapweedspur/internal/state/taskreducer"
	"knapweedspur/internal/wire/message"
)

type taskKey struct {
	run  string
	task int
}

// CloseOutcomes is how each attempt was closed, according to the log.
type CloseOutcomes map[message.Attempt]string

// ReadCloseOutcomes folds the values of a task stream, from its first one on, and
// returns how attempts were closed.
func ReadCloseOutcomes(values [][]byte) CloseOutcomes {
	state := taskreducer.New()
	outcomes := CloseOutcomes{}
	for i, value := range values {
		for _, change := range state.Fold(uint64(i), value) {
			if c, ok := change.(taskreducer.AttemptClosed); ok {
				outcomes[message.Attempt{Run: c.Close.Run, Task: c.Close.Task, Attempt: c.Close.Attempt}] = c.Close.Outcome
			}
		}
	}
	return outcomes
}

// CheckTasks checks that no task ran on two VMs at once, that none completed
// twice, and that no checkpoint was resumed by two attempts. A lapsed attempt does
// not count for the latter two: its VM was not heard from for longer than its
// lease, so its work must be done again.
func CheckTasks(intervals []workeremulator.Interval, outcomes CloseOutcomes) []string {
	byTask := map[taskKey][]workeremulator.Interval{}
	for _, interval := range intervals {
		key := taskKey{run: interval.Run, task: interval.Task}
		byTask[key] = append(byTask[key], interval)
	}
	var violations []string
	for key, taskIntervals := range byTask {
		violations = append(violations, findOverlaps(key, taskIntervals)...)
		violations = append(violations, findDuplicateResumes(key, taskIntervals, outcomes)...)
		violations = append(violations, findDuplicateCompletions(key, taskIntervals, outcomes)...)
	}
	sort.Strings(violations)
	return violations
}

func findOverlaps(key taskKey, intervals []workeremulator.Interval) []string {
	sort.Slice(intervals, func(i, j int) bool { return intervals[i].From.Before(intervals[j].From) })
	var violations []string
	for i := 1; i < len(intervals); i++ {
		before, after := intervals[i-1], intervals[i]
		if after.From.Before(before.To) && before.VM != after.VM {
			violations = append(violations, fmt.Sprintf("task %s/%d ran on %s (attempt %d) and %s (attempt %d) at once for %v",
				key.run, key.task, before.VM, before.Attempt, after.VM, after.Attempt, before.To.Sub(after.From).Round(time.Millisecond)))
		}
	}
	return violations
}

// findDuplicateResumes finds checkpoints that two attempts resumed although the
// first of them neither lapsed nor failed nor was stopped without a checkpoint.
func findDuplicateResumes(key taskKey, intervals []workeremulator.Interval, outcomes CloseOutcomes) []string {
	resumedBy := map[string]int{}
	var violations []string
	for _, interval := range intervals {
		if interval.Resumed == "" {
			continue
		}
		attempt, known := resumedBy[interval.Resumed]
		if known && attempt != interval.Attempt && !keepsCheckpoint(outcomes[message.Attempt{Run: key.run, Task: key.task, Attempt: attempt}]) {
			violations = append(violations, fmt.Sprintf("checkpoint %s of task %s/%d was resumed by attempts %d and %d", interval.Resumed, key.run, key.task, attempt, interval.Attempt))
		}
		resumedBy[interval.Resumed] = interval.Attempt
	}
	return violations
}

// keepsCheckpoint reports whether an attempt that was closed in this way leaves
// the checkpoint that it resumed to the next attempt.
func keepsCheckpoint(how string) bool {
	return how == taskreducer.OutcomeLapsed || how == taskreducer.OutcomeFailed || how == taskreducer.OutcomeStopped
}

// findDuplicateCompletions reports a task that completed more than once.
func findDuplicateCompletions(key taskKey, intervals []workeremulator.Interval, outcomes CloseOutcomes) []string {
	completions := 0
	for _, interval := range intervals {
		if interval.How == "done" && outcomes[message.Attempt{Run: key.run, Task: key.task, Attempt: interval.Attempt}] != taskreducer.OutcomeLapsed {
			completions++
		}
	}
	if completions > 1 {
		return []string{fmt.Sprintf("task %s/%d completed %d times", key.run, key.task, completions)}
	}
	return nil
}

// CheckCapacity checks that the tasks on a VM never exceeded its capacity. At equal
// times, ends are applied before starts.
func CheckCapacity(vm string, capacity message.Size, runSizes map[string]message.Size, intervals []workeremulator.Interval) []string {
	type usageChange struct {
		at   time.Time
		size message.Size
		sign int
	}
	var changes []usageChange
	for _, interval := range intervals {
		if interval.VM == vm {
			changes = append(changes, usageChange{interval.From, runSizes[interval.Run], 1}, usageChange{interval.To, runSizes[interval.Run], -1})
		}
	}
	sort.Slice(changes, func(i, j int) bool {
		if !changes[i].at.Equal(changes[j].at) {
			return changes[i].at.Before(changes[j].at)
		}
		return changes[i].sign < changes[j].sign
	})
	var usage message.Size
	for _, change := range changes {
		usage.Millicores += change.sign * change.size.Millicores
		usage.Memory += change.sign * change.size.Memory
		usage.Accelerators += change.sign * change.size.Accelerators
		if usage.Millicores > capacity.Millicores || usage.Memory > capacity.Memory || usage.Accelerators > capacity.Accelerators {
			return []string{fmt.Sprintf("VM %s exceeded its capacity at %s", vm, change.at.Format(time.StampMilli))}
		}
	}
	return nil
}

// CheckRequests checks requests that may run only once: none ran twice, each
// answered one ran, and none refused as unrun ran.
func CheckRequests(runs map[string]int, outcomes map[string]string) []string {
	var violations []string
	for id, outcome := range outcomes {
		n := runs[id]
		switch {
		case n > 1:
			violations = append(violations, fmt.Sprintf("request %s ran %d times", id, n))
		case outcome == "ok" && n == 0:
			violations = append(violations, fmt.Sprintf("request %s was answered but did not run", id))
		case outcome == "unrun" && n > 0:
			violations = append(violations, fmt.Sprintf("request %s was refused as unrun but ran", id))
		}
	}
	sort.Strings(violations)
	return violations
}
