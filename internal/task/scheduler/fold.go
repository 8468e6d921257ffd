package scheduler

import (
	"time"

	"knapweedspur/internal/placement/sizer"
	"knapweedspur/internal/state/taskreducer"
	"knapweedspur/internal/wire/message"
)

const (
	// retryPause is how long a task waits after its first failure; it doubles.
	retryPause = time.Second
	maxPause   = time.Minute
	// refusedPause is how long a task waits after a VM refused it.
	refusedPause = 200 * time.Millisecond
	// barAfter is how many failures in a row set a VM aside.
	barAfter = 3
	barPause = 30 * time.Second
	// blameJob is on how many VMs a job must have failed to be the cause itself.
	blameJob = 3
)

// foldedAll takes the changes of one log value.
func (s *step) foldedAll(changes []taskreducer.Event) {
	touched := map[string]bool{}
	for _, change := range changes {
		s.folded(change)
		touch(touched, change)
	}
	for name := range touched {
		if v := s.vms[name]; v != nil {
			s.recount(v)
		}
	}
}

// touch notes the VM whose free room a change alters.
func touch(touched map[string]bool, change taskreducer.Event) {
	switch c := change.(type) {
	case taskreducer.AttemptPlaced:
		touched[c.Place.VM] = true
	case taskreducer.AttemptClosed:
		touched[c.VM] = true
	case taskreducer.VMJoined:
		touched[c.VM] = true
	}
}

// folded takes one change of the fold.
func (s *step) folded(change taskreducer.Event) {
	switch change.(type) {
	case taskreducer.VMJoined, taskreducer.VMFenced, taskreducer.VMDrainChanged, taskreducer.VMForgotten:
		s.listed = false
	}
	switch c := change.(type) {
	case taskreducer.RunSubmitted:
		s.adopt(s.now, c.Run, s.State.Runs[c.Run])
	case taskreducer.RunCanceled:
		s.canceled(c)
	case taskreducer.AttemptPlaced:
		s.placed(c)
	case taskreducer.AttemptClosed:
		s.closed(c)
	case taskreducer.AttemptCarriedOver:
		delete(s.known(c.VM).starts, c.Key)
	case taskreducer.VMJoined:
		s.joined(s.now, c.VM)
		clear(s.known(c.VM).starts)
	case taskreducer.VMFenced:
		v := s.known(c.VM)
		v.fenced = s.now
		v.fence = c.Offset
	case taskreducer.VMDrainChanged:
		s.drained(c)
	case taskreducer.EntryAlive:
		if c.Entry == s.Entry {
			s.sign()
		}
	case taskreducer.RunEnded:
		s.forgetRun(c.Run)
	case taskreducer.VMForgotten:
		delete(s.vms, c.VM)
	case taskreducer.RecordRejected:
		s.rejected(c.Record)
	}
}

// wait puts a task into its run's backlog.
func (k *Scheduler) wait(since time.Time, key taskreducer.TaskKey) {
	b := k.runs[key.Run]
	if b == nil {
		b = &backlog{}
		k.runs[key.Run] = b
		k.order = append(k.order, key.Run)
	}
	b.tasks = append(b.tasks, waiting{task: key.Task, since: since})
	k.dirty = true
}

func (s *step) canceled(c taskreducer.RunCanceled) {
	s.forgetRun(c.Run)
	for _, place := range c.Open {
		key := taskreducer.TaskKey{Run: place.Run, Task: place.Task}
		s.stops[key] = &resend{due: s.now, stop: true}
	}
	s.resendStops()
}

// forgetRun drops a run's backlog.
func (k *Scheduler) forgetRun(run string) {
	if k.runs[run] == nil {
		return
	}
	delete(k.runs, run)
	for i, name := range k.order {
		if name == run {
			k.order = append(k.order[:i:i], k.order[i+1:]...)
			break
		}
	}
}

// unwait takes a task out of its run's backlog.
func (k *Scheduler) unwait(key taskreducer.TaskKey) {
	b := k.runs[key.Run]
	if b == nil {
		return
	}
	for i, w := range b.tasks {
		if w.task == key.Task {
			b.tasks = append(b.tasks[:i], b.tasks[i+1:]...)
			break
		}
	}
	if len(b.tasks) == 0 {
		k.forgetRun(key.Run)
	}
}

func (s *step) placed(c taskreducer.AttemptPlaced) {
	key := taskreducer.TaskKey{Run: c.Place.Run, Task: c.Place.Task}
	v := s.known(c.Place.VM)
	s.used[c.Team] = sizer.Add(s.used[c.Team], c.Size)
	if !s.withdraw(key) {
		s.unwait(key)
	}
	due := s.now
	if c.Writer != s.Entry {
		due = s.now.Add(ResendInterval / 2)
	}
	v.starts[key] = &resend{due: due}
	s.resendStarts(v)
}

// withdraw drops the note of an offered place, gives its room back and returns
// true, or returns false if there is no such note.
func (k *Scheduler) withdraw(key taskreducer.TaskKey) bool {
	o, ok := k.offered[key]
	if !ok {
		return false
	}
	delete(k.offered, key)
	if v := k.vms[o.vm]; v != nil {
		v.offered = sizer.Sub(v.offered, o.size)
		k.recount(v)
	}
	return true
}

func (s *step) closed(c taskreducer.AttemptClosed) {
	key := taskreducer.TaskKey{Run: c.Close.Run, Task: c.Close.Task}
	delete(s.stops, key)
	delete(s.closing, message.Attempt{Run: c.Close.Run, Task: c.Close.Task, Attempt: c.Close.Attempt})
	v := s.known(c.VM)
	delete(v.starts, key)
	s.used[c.Team] = sizer.Sub(s.used[c.Team], c.Size)
	s.judge(v, c.Job, c.Close.How)
	if v.linked {
		s.taken(c.VM, []message.Close{c.Close})
	}
	if _, task := s.State.Task(key); task != nil && c.Phase == taskreducer.Pending {
		s.wait(s.now.Add(pause(c.Close.How, int(task.Failures))), key)
	}
	s.dirty = true
}

// pause returns how long a task waits before its next attempt.
func pause(how string, failures int) time.Duration {
	switch how {
	case taskreducer.HowRefused:
		return refusedPause
	case taskreducer.HowFailed:
		return min(retryPause<<min(failures, 10), maxPause)
	}
	return 0
}

// judge sets a VM aside on which everything fails, unless the job is to blame.
func (s *step) judge(v *vm, job, how string) {
	switch how {
	case taskreducer.HowDone:
		v.Failures = 0
		v.barCount = 0
		delete(s.failing, job)
	case taskreducer.HowFailed:
		on := s.failing[job]
		if on == nil {
			on = map[string]bool{}
			s.failing[job] = on
		}
		on[v.Name] = true
		if len(on) >= blameJob {
			return
		}
		v.Failures++
		if v.Failures >= barAfter {
			v.Failures = barAfter - 1
			v.QuarantinedUntil = s.now.Add(min(barPause<<min(v.barCount, 5), time.Hour))
			v.barCount++
		}
	}
}

func (s *step) drained(c taskreducer.VMDrainChanged) {
	s.dirty = true
	if !c.On {
		return
	}
	s.State.ForEachOpen(c.VM, func(key taskreducer.TaskKey, _ *taskreducer.Run, _ *taskreducer.Task) {
		s.stops[key] = &resend{due: s.now, stop: true, check: true}
	})
	s.resendStops()
}

// rejected takes back what this entry noted of a record that does not count.
func (s *step) rejected(r message.Record) {
	switch {
	case r.Place != nil:
		key := taskreducer.TaskKey{Run: r.Place.Run, Task: r.Place.Task}
		if !s.withdraw(key) {
			return
		}
		if _, task := s.State.Task(key); task != nil && task.Phase == taskreducer.Pending {
			s.wait(s.now.Add(refusedPause), key)
		}
	case r.Close != nil:
		name := message.Attempt{Run: r.Close.Run, Task: r.Close.Task, Attempt: r.Close.Attempt}
		delete(s.closing, name)
	case r.Fence != nil:
		s.known(r.Fence.VM).fencing = time.Time{}
	}
}

// refused takes back what was noted of a record that the appender did not take.
func (s *step) refused(r message.Record) { s.rejected(r) }
