// Package invariantchecker checks what the stand-ins saw against what must always hold.
// It is written once and watches every kind of run.
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

// Closes are the ways in which the log has it that attempts closed.
type CloseOutcomes map[message.Attempt]string

// Read folds the values of a task stream, from its first on, and returns how
// attempts closed.
func ReadCloseOutcomes(values [][]byte) CloseOutcomes {
	state := taskreducer.New()
	closes := CloseOutcomes{}
	for i, value := range values {
		for _, event := range state.Fold(uint64(i), value) {
			if c, ok := event.(taskreducer.AttemptClosed); ok {
				closes[message.Attempt{Run: c.Close.Run, Task: c.Close.Task, Attempt: c.Close.Attempt}] = c.Close.Outcome
			}
		}
	}
	return closes
}

// Tasks checks that no task ran in two places at once, that none was done
// twice, and that no checkpoint was resumed by two attempts. An attempt that
// lapsed counts for neither of the latter: its VM could not be heard for longer
// than its lease, so whatever it did there must be done again.
func CheckTasks(intervals []workeremulator.Interval, closes CloseOutcomes) []string {
	byTask := map[taskKey][]workeremulator.Interval{}
	for _, i := range intervals {
		key := taskKey{run: i.Run, task: i.Task}
		byTask[key] = append(byTask[key], i)
	}
	var faults []string
	for key, list := range byTask {
		faults = append(faults, overlaps(key, list)...)
		faults = append(faults, resumes(key, list, closes)...)
		faults = append(faults, ends(key, list, closes)...)
	}
	sort.Strings(faults)
	return faults
}

func overlaps(key taskKey, list []workeremulator.Interval) []string {
	sort.Slice(list, func(i, j int) bool { return list[i].From.Before(list[j].From) })
	var faults []string
	for i := 1; i < len(list); i++ {
		before, after := list[i-1], list[i]
		if after.From.Before(before.To) && before.VM != after.VM {
			faults = append(faults, fmt.Sprintf("task %s/%d ran on %s (attempt %d) and %s (attempt %d) at once for %v",
				key.run, key.task, before.VM, before.Attempt, after.VM, after.Attempt, before.To.Sub(after.From).Round(time.Millisecond)))
		}
	}
	return faults
}

// resumes finds checkpoints that two attempts began from, though the first of
// them neither lapsed nor failed nor was stopped without a checkpoint.
func resumes(key taskKey, list []workeremulator.Interval, closes CloseOutcomes) []string {
	first := map[string]int{}
	var faults []string
	for _, i := range list {
		if i.Resumed == "" {
			continue
		}
		attempt, known := first[i.Resumed]
		if known && attempt != i.Attempt && !again(closes[message.Attempt{Run: key.run, Task: key.task, Attempt: attempt}]) {
			faults = append(faults, fmt.Sprintf("checkpoint %s of task %s/%d was resumed by attempts %d and %d", i.Resumed, key.run, key.task, attempt, i.Attempt))
		}
		first[i.Resumed] = i.Attempt
	}
	return faults
}

// again reports whether an attempt that closed so leaves its checkpoint to the
// next one.
func again(how string) bool {
	return how == taskreducer.HowLapsed || how == taskreducer.HowFailed || how == taskreducer.HowStopped
}

// ends finds tasks that were done twice.
func ends(key taskKey, list []workeremulator.Interval, closes CloseOutcomes) []string {
	done := 0
	for _, i := range list {
		if i.How == "done" && closes[message.Attempt{Run: key.run, Task: key.task, Attempt: i.Attempt}] != taskreducer.HowLapsed {
			done++
		}
	}
	if done > 1 {
		return []string{fmt.Sprintf("task %s/%d was done %d times", key.run, key.task, done)}
	}
	return nil
}

// Capacity checks that what ran on a VM never needed more than it has.
func CheckCapacity(vm string, size message.Size, sizes map[string]message.Size, intervals []workeremulator.Interval) []string {
	type edge struct {
		at   time.Time
		size message.Size
		sign int
	}
	var edges []edge
	for _, i := range intervals {
		if i.VM == vm {
			edges = append(edges, edge{i.From, sizes[i.Run], 1}, edge{i.To, sizes[i.Run], -1})
		}
	}
	sort.Slice(edges, func(i, j int) bool {
		if !edges[i].at.Equal(edges[j].at) {
			return edges[i].at.Before(edges[j].at)
		}
		return edges[i].sign < edges[j].sign
	})
	var used message.Size
	for _, e := range edges {
		used.Millicores += e.sign * e.size.Millicores
		used.Memory += e.sign * e.size.Memory
		used.Accelerators += e.sign * e.size.Accelerators
		if used.Millicores > size.Millicores || used.Memory > size.Memory || used.Accelerators > size.Accelerators {
			return []string{fmt.Sprintf("VM %s ran more than it can hold at %s", vm, e.at.Format(time.StampMilli))}
		}
	}
	return nil
}

// Requests checks that no request that may run once ran twice, that one
// answered ran, and that one refused as not run did not.
func CheckRequests(runs map[string]int, fates map[string]string) []string {
	var faults []string
	for id, fate := range fates {
		n := runs[id]
		switch {
		case n > 1:
			faults = append(faults, fmt.Sprintf("request %s ran %d times", id, n))
		case fate == "ok" && n == 0:
			faults = append(faults, fmt.Sprintf("request %s was answered and did not run", id))
		case fate == "unrun" && n > 0:
			faults = append(faults, fmt.Sprintf("request %s was refused as not run and ran", id))
		}
	}
	sort.Strings(faults)
	return faults
}
