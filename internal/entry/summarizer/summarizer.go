// Package summarizer summarizes the state of runs and VMs for operators.
package summarizer

import (
	"fmt"
	"sort"

	"knapweedspur/internal/state/taskreducer"
	"knapweedspur/internal/task/scheduler"
	"knapweedspur/internal/wire/admin"
)

// Run returns the summary of a run, or nil if the run is not known.
func Run(k *scheduler.Scheduler, name string) *admin.Run {
	run := k.State.Runs[name]
	if run == nil {
		return nil
	}
	summary := &admin.Run{Run: name, Job: run.Job, Team: run.Team}
	for i := range run.Tasks {
		task := &run.Tasks[i]
		summary.Attempts += int(task.Attempt)
		switch task.Phase {
		case taskreducer.Pending:
			summary.Pending++
		case taskreducer.Open:
			summary.Open++
		case taskreducer.Done:
			summary.Done++
		case taskreducer.Failed:
			summary.Failed++
		case taskreducer.Canceled:
			summary.Canceled++
		}
	}
	_, summary.Reason = k.WaitingTasks(name)
	return summary
}

// Runs returns the summaries of all runs, sorted by name.
func Runs(k *scheduler.Scheduler) []admin.Run {
	names := make([]string, 0, len(k.State.Runs))
	for name := range k.State.Runs {
		names = append(names, name)
	}
	sort.Strings(names)
	list := make([]admin.Run, 0, len(names))
	for _, name := range names {
		list = append(list, *Run(k, name))
	}
	return list
}

// maxExplanationLines is the most lines in an explanation of a run.
const maxExplanationLines = 40

// Explain explains the state of a run or a VM. It returns nil if there is neither
// of this name.
func Explain(k *scheduler.Scheduler, name string) []string {
	if run := k.State.Runs[name]; run != nil {
		return explainRun(k, name, run)
	}
	if vm := k.State.VMs[name]; vm != nil {
		return explainVM(k, name, vm)
	}
	return nil
}

func explainRun(k *scheduler.Scheduler, name string, run *taskreducer.Run) []string {
	summary := Run(k, name)
	lines := []string{fmt.Sprintf("run of job %s of team %s: %d tasks pending, %d open, %d done, %d failed, %d canceled",
		run.Job, run.Team, summary.Pending, summary.Open, summary.Done, summary.Failed, summary.Canceled)}
	if summary.Pending > 0 {
		reason := summary.Reason
		if reason == "" {
			reason = "an owner will place it, or has just offered to"
		}
		lines = append(lines, "pending: "+reason)
	}
	for i := range run.Tasks {
		task := &run.Tasks[i]
		if task.Phase != taskreducer.Open || len(lines) >= maxExplanationLines {
			continue
		}
		lines = append(lines, fmt.Sprintf("task %d: attempt %d on %s, %d failures before", i, task.Attempt, task.VM, task.Failures))
	}
	return lines
}

func explainVM(k *scheduler.Scheduler, name string, vm *taskreducer.VM) []string {
	lines := []string{fmt.Sprintf("lease %d, boot %s, rack %s, domain %s, %d attempts open", vm.Lease, vm.Boot, vm.Rack, vm.Domain, k.State.OpenCount(name))}
	if vm.Fence != 0 {
		lines = append(lines, "fenced: no entry heard it for too long; what it held is closed one hold time later")
	}
	if vm.Drained {
		lines = append(lines, "drained: it gets no new work; `knapweedspur drain --undo "+name+"` allows it again")
	}
	if until := k.QuarantinedUntil(name); !until.IsZero() {
		lines = append(lines, "set aside until "+until.Format("15:04:05")+": several tasks failed on it in a row")
	}
	return lines
}
