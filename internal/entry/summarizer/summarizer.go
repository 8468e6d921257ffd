// Package summarizer sums up for people what an entry knows.
package summarizer

import (
	"fmt"
	"sort"

	"knapweedspur/internal/state/taskreducer"
	"knapweedspur/internal/task/scheduler"
	"knapweedspur/internal/wire/admin"
)

// Run sums up a run, or returns nil if it is not known.
func Run(k *scheduler.Scheduler, name string) *admin.Run {
	run := k.State.Runs[name]
	if run == nil {
		return nil
	}
	sum := &admin.Run{Run: name, Job: run.Job, Team: run.Team}
	for i := range run.Tasks {
		task := &run.Tasks[i]
		sum.Attempts += int(task.Attempt)
		switch task.Phase {
		case taskreducer.Pending:
			sum.Pending++
		case taskreducer.Open:
			sum.Open++
		case taskreducer.Done:
			sum.Done++
		case taskreducer.Failed:
			sum.Failed++
		case taskreducer.Canceled:
			sum.Canceled++
		}
	}
	_, sum.Reason = k.WaitingTasks(name)
	return sum
}

// Runs sums up all runs by name.
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

// maxLines is the most lines of an explanation.
const maxLines = 40

// Why explains a run or a VM, or returns nil if neither is known.
func Explain(k *scheduler.Scheduler, name string) []string {
	if run := k.State.Runs[name]; run != nil {
		return whyRun(k, name, run)
	}
	if vm := k.State.VMs[name]; vm != nil {
		return whyVM(k, name, vm)
	}
	return nil
}

func whyRun(k *scheduler.Scheduler, name string, run *taskreducer.Run) []string {
	sum := Run(k, name)
	lines := []string{fmt.Sprintf("run of job %s of team %s: %d tasks pending, %d open, %d done, %d failed, %d canceled",
		run.Job, run.Team, sum.Pending, sum.Open, sum.Done, sum.Failed, sum.Canceled)}
	if sum.Pending > 0 {
		reason := sum.Reason
		if reason == "" {
			reason = "an owner will place it, or has just offered to"
		}
		lines = append(lines, "pending: "+reason)
	}
	for i := range run.Tasks {
		task := &run.Tasks[i]
		if task.Phase != taskreducer.Open || len(lines) >= maxLines {
			continue
		}
		lines = append(lines, fmt.Sprintf("task %d: attempt %d on %s, %d failures before", i, task.Attempt, task.VM, task.Failures))
	}
	return lines
}

func whyVM(k *scheduler.Scheduler, name string, vm *taskreducer.VM) []string {
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
