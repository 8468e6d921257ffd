package scheduler

import (
	"time"

	"knapweedspur/internal/placement/ranker"
	"knapweedspur/internal/state/taskreducer"
	"knapweedspur/internal/wire/message"
)

// link takes a new connection: starts that its agent may not have got are
// sent soon.
func (s *step) link(name string) {
	v := s.known(name)
	v.linked = true
	s.listed = false
	s.State.ForEachOpen(name, func(key taskreducer.TaskKey, _ *taskreducer.Run, _ *taskreducer.Task) {
		if v.starts[key] == nil {
			v.starts[key] = &resend{due: s.now.Add(ResendInterval / 2)}
		}
	})
	s.dirty = true
}

func (s *step) heard(e HeartbeatReceived) {
	v := s.known(e.VM)
	if e.Lease == 0 || e.Lease != v.Lease {
		return
	}
	if s.now.Sub(v.good) > s.SuspectAfter/2 {
		s.listed = false
	}
	v.good = s.now
}

// resendStarts sends the starts of a VM that are due.
func (s *step) resendStarts(v *vm) {
	if !v.linked {
		return
	}
	for key, r := range v.starts {
		if s.now.Before(r.due) {
			continue
		}
		run, task := s.State.Task(key)
		if task == nil || task.Phase != taskreducer.Open || task.VM != v.Name {
			delete(v.starts, key)
			continue
		}
		r.due = s.now.Add(ResendInterval)
		if run.Canceled {
			continue
		}
		s.send(v.Name, &message.Frame{Start: &message.Start{
			Run: key.Run, Task: key.Task, Attempt: int(task.Attempt), Lease: int(task.Lease), Job: run.Job,
			Size: run.Size, Checkpoint: task.Checkpoint, Offset: s.State.Next,
		}})
	}
}

// resendStops sends the stops that are due.
func (s *step) resendStops() {
	for key, r := range s.stops {
		if s.now.Before(r.due) {
			continue
		}
		_, task := s.State.Task(key)
		if task == nil || task.Phase != taskreducer.Open {
			delete(s.stops, key)
			continue
		}
		r.due = s.now.Add(ResendInterval)
		if !s.known(task.VM).linked {
			continue
		}
		s.send(task.VM, &message.Frame{Stop: &message.Stop{
			Run: key.Run, Task: key.Task, Attempt: int(task.Attempt), Checkpoint: r.check, Offset: s.State.Next,
		}})
	}
}

// reported takes the closes of an agent. What the state does not know as open
// waits for a fresh view, since this entry may be behind the one that placed it.
func (s *step) reported(e ClosesReported) {
	var later []message.Close
	for _, c := range e.Closes {
		if !s.offerClose(c) {
			later = append(later, c)
		}
	}
	if len(later) > 0 {
		s.held = append(s.held, ClosesReported{VM: e.VM, Closes: later})
		s.heldAt = append(s.heldAt, s.now)
	}
}

// offerClose offers the close of an open attempt, once. It returns false if
// the attempt is not open here.
func (s *step) offerClose(c message.Close) bool {
	_, task := s.State.Task(taskreducer.TaskKey{Run: c.Run, Task: c.Task})
	if task == nil || task.Phase != taskreducer.Open || int(task.Attempt) != c.Attempt {
		return false
	}
	name := message.Attempt{Run: c.Run, Task: c.Task, Attempt: c.Attempt}
	if _, offered := s.closing[name]; !offered {
		s.closing[name] = s.now
		s.offer(message.Record{Close: &c})
	}
	return true
}

// viewed settles the reports that came before the read of the view was sent.
func (s *step) viewed(asked time.Time) {
	s.viewAt = asked
	n := 0
	for n < len(s.held) && s.heldAt[n].Before(asked) {
		s.settle(s.held[n])
		n++
	}
	s.held = s.held[n:]
	s.heldAt = s.heldAt[n:]
}

func (s *step) settle(e ClosesReported) {
	var known []message.Close
	for _, c := range e.Closes {
		if !s.offerClose(c) {
			known = append(known, c)
		}
	}
	if len(known) > 0 {
		s.taken(e.VM, known)
	}
}

// taken tells an agent which of its closes the log has.
func (s *step) taken(vm string, closes []message.Close) {
	t := &message.Taken{}
	for _, c := range closes {
		t.Attempts = append(t.Attempts, message.Attempt{Run: c.Run, Task: c.Task, Attempt: c.Attempt})
	}
	s.send(vm, &message.Frame{Taken: t})
}

// tick sends what is due, and looks after the VMs that are lost.
func (s *step) tick() {
	s.resendStops()
	entries := s.AliveEntries()
	for name, v := range s.vms {
		s.resendStarts(v)
		if folded := s.State.VMs[name]; folded != nil && s.fresh(s.now) {
			s.guard(v, folded, entries)
		}
	}
	s.dirty = true
	s.listed = false
}

// guard fences a VM that is lost, and lapses what it held one hold time later.
func (s *step) guard(v *vm, folded *taskreducer.VM, entries []string) {
	rank := time.Duration(ranker.Rank(v.Name, s.Entry, entries))
	if folded.Fence != 0 {
		s.lapse(v, folded, rank)
		return
	}
	limit := s.SuspectAfter
	if s.State.OpenCount(v.Name) == 0 {
		limit = ForgetAfter
	}
	if s.now.Sub(v.good) < limit+rank*s.SuspectAfter/2 || s.now.Sub(v.asked) < s.SuspectAfter/2 {
		return
	}
	v.asked = s.now
	s.actions = append(s.actions, AskPeers{VM: v.Name})
}

// peersAnswered fences a VM that no entry hears.
func (s *step) peersAnswered(e PeersAnswered) {
	v := s.vms[e.VM]
	folded := s.State.VMs[e.VM]
	if v == nil || folded == nil || folded.Fence != 0 || !v.fencing.IsZero() {
		return
	}
	if e.Heard {
		v.good = s.now
		return
	}
	if s.now.Sub(v.good) < s.SuspectAfter {
		return
	}
	v.fencing = s.now
	s.offer(message.Record{Fence: &message.Fence{VM: e.VM, Lease: folded.Lease}})
}

// lapse closes what a fenced VM held, after its lease has surely run out.
func (s *step) lapse(v *vm, folded *taskreducer.VM, rank time.Duration) {
	waited := s.now.Sub(v.fenced)
	if waited < s.Hold+s.Hold/margin+rank*RankDelay {
		return
	}
	if s.State.OpenCount(v.Name) == 0 {
		if waited > ForgetAfter+rank*RankDelay && !v.lapsing {
			v.lapsing = true
			s.offer(message.Record{Forget: &message.Forget{VM: v.Name, Lease: folded.Lease}})
		}
		return
	}
	s.State.ForEachOpen(v.Name, func(key taskreducer.TaskKey, _ *taskreducer.Run, task *taskreducer.Task) {
		s.offerClose(message.Close{Run: key.Run, Task: key.Task, Attempt: int(task.Attempt), How: taskreducer.HowLapsed, Fence: folded.Fence})
	})
}
