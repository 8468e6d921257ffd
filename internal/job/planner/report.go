package planner

import (
	"slices"
	"time"

	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/wire/work"
)

// Report takes the state of a VM.
func (b *Planner) HandleReport(name string, r *work.Report, now time.Time) {
	v := b.vms[name]
	if v == nil || !v.linked {
		return
	}
	if r.Fence != v.session.Fence || r.Vitals.Born != v.session.Born || v.session.Revoked {
		b.renew(v, r, now)
		return
	}
	first := !v.synced
	v.heard, v.synced, v.vitals, v.mute, v.vouched = now, true, r.Vitals, r.Mute, r.Vouched
	known := map[runKey]bool{}
	for i := range r.Active {
		b.active(v, &r.Active[i], known, now)
	}
	for _, p := range r.Pending {
		known[runKey{p.Task, p.Run}] = true
	}
	for i := range r.Ends {
		known[runKey{r.Ends[i].Task, r.Ends[i].Run}] = true
		b.end(v, &r.Ends[i], now)
	}
	b.note(v, r.Ends)
	for i := range r.Voids {
		known[runKey{r.Voids[i].Task, r.Voids[i].Run}] = true
		b.void(v, &r.Voids[i], now)
	}
	b.reconcile(v, r.Handled, known, first)
	if r.Lapsed {
		b.revoke(v, "the worker does not answer and its lease is over", now)
		b.voidAll(v, "lapsed")
	}
	if r.Gone && v.gone.IsZero() {
		v.gone = now
		b.log("gone", "vm", v.name)
	}
}

// active takes a run that is at work.
func (b *Planner) active(v *vm, a *work.Active, known map[runKey]bool, now time.Time) {
	key := runKey{a.Task, a.Run}
	known[key] = true
	p := v.runs[key]
	if p == nil {
		// The run belongs to a job that ended, or to a placement that was given up.
		b.order(v).Stops = append(b.order(v).Stops, work.Stop{Task: a.Task, Run: a.Run})
		return
	}
	if !p.active || a.Percent < p.firstPercent {
		p.firstSeen, p.firstPercent = now, a.Percent
	}
	p.active, p.percent, p.gauge = true, a.Percent, a.Gauge
	if a.Unknown && now.Sub(p.described) > describeRepeat {
		p.described = now
		b.order(v).Kinds = append(b.order(v).Kinds, p.kind())
	}
	if p.pace != a.Pace {
		p.pace, p.paced = a.Pace, now
	}
	task := &p.step.tasks[p.index]
	if a.Saved != "" && a.Saved != task.Saved && task.Last == a.Run {
		// Written with the next change of the step; it is no reason for one.
		task.Saved = a.Saved
	}
	if i := runIndex(task, a.Run); i >= 0 && task.Runs[i].Halted != "" && now.Sub(p.stopped) > stopRepeat {
		p.stopped = now
		b.order(v).Stops = append(b.order(v).Stops, work.Stop{Task: a.Task, Run: a.Run})
	}
}

// note tells the agent up to which end the log knows. It stops before an end
// that must not be acknowledged yet.
func (b *Planner) note(v *vm, ends []work.End) {
	for i := range ends {
		number := ends[i].Number
		if number > v.seen && !v.settled[number] {
			break
		}
		v.seen = max(v.seen, number)
		delete(v.settled, number)
	}
	if len(ends) > 0 {
		b.order(v).Seen = v.seen
	}
}

// overtaken says whether a run ended well after its task was started anew,
// since its VM had been given up. Its end is not acknowledged until the task
// is done by the newer run: otherwise the task would be done twice.
func (s *step) overtaken(index int, e *work.End) bool {
	t := &s.tasks[index]
	return e.How == endDone && !s.spec.Lasts && !t.Done && t.Last > e.Run && s.job.outcome == nil
}

// end takes the end of a run.
func (b *Planner) end(v *vm, e *work.End, now time.Time) {
	if e.Number <= v.seen || v.settled[e.Number] {
		return
	}
	p := v.runs[runKey{e.Task, e.Run}]
	s, index := b.task(e.Task)
	if p == nil && s != nil && s.overtaken(index, e) {
		return
	}
	b.log("end", "task", e.Task, "run", e.Run, "vm", v.name, "how", e.How, "known", p != nil)
	if p != nil {
		b.remove(p)
	}
	if s != nil {
		b.settle(s, index, v, p, e, now)
	}
	v.settled[e.Number] = true
}

// The ways in which a run ends.
const (
	endDone   = "done"
	endFailed = "failed"
)

// settle enters the end of a run into the state of its task.
func (b *Planner) settle(s *step, index int, v *vm, p *placement, e *work.End, now time.Time) {
	t := &s.tasks[index]
	if e.Saved != "" && e.Run == t.Last {
		t.Saved = e.Saved
	}
	switch {
	case e.How == endDone && !s.spec.Lasts && !t.Done:
		t.Done = true
		b.haltAll(s, index, "done", now)
		v.record.succeed()
		if s.spec.Gang {
			b.finishGang(s, now)
		}
	case e.How == endFailed && p != nil:
		t.Failed++
		if !slices.Contains(t.Shunned, v.name) {
			t.Shunned = append(t.Shunned, v.name)
			t.Shunned = t.Shunned[max(len(t.Shunned)-jobreducer.MaxShunned, 0):]
		}
		v.record.fail(e.Task, now)
	}
	b.touch(s)
	b.conclude(s, t, now)
}

// finishGang marks all members of a gang done: one end stands for all.
func (b *Planner) finishGang(s *step, now time.Time) {
	for i := range s.tasks {
		if !s.tasks[i].Done {
			s.tasks[i].Done = true
			b.haltAll(s, i, "done", now)
		}
	}
}

// conclude ends the job if the change of a task decides it.
func (b *Planner) conclude(s *step, t *work.Task, now time.Time) {
	j := s.job
	if j.outcome == nil {
		switch {
		case !s.spec.Lasts && !t.Done && t.Failed >= j.record.Queue.Attempts:
			b.finish(j, jobreducer.Failed, now)
		case s.done == len(s.tasks) && j.complete():
			b.finish(j, jobreducer.Completed, now)
		}
	}
	b.drop(j)
}

// voidTicket is the reason of a start whose ticket the worker did not accept.
const voidTicket = "ticket"

// void takes a run that never started.
func (b *Planner) void(v *vm, x *work.Void, now time.Time) {
	if p := v.runs[runKey{x.Task, x.Run}]; p != nil {
		b.log("void", "task", x.Task, "run", x.Run, "vm", v.name, "reason", x.Reason)
		if x.Reason == voidTicket {
			p.step.dropTicket(v.name)
		} else {
			v.record.reject(now)
		}
		b.giveUp(p)
	}
	b.order(v).Settled = append(b.order(v).Settled, work.Stop{Task: x.Task, Run: x.Run})
}

// reconcile compares what was placed on a VM with what its agent knows.
func (b *Planner) reconcile(v *vm, handled int64, known map[runKey]bool, first bool) {
	for key, p := range v.runs {
		if known[key] {
			continue
		}
		switch {
		case p.fence != v.session.Fence && first:
			// The worker confirmed the new fence and does not list the run.
			b.log("void", "task", key.task, "run", key.run, "vm", v.name, "reason", "not there under the new fence")
			b.giveUp(p)
		case p.sent == 0 || p.sent <= handled:
			b.sendStart(p)
		}
	}
}

// kind describes a run without what only its start needs.
func (p *placement) kind() work.Start {
	spec := p.step.spec
	return work.Start{
		Task: p.step.name(p.index), Run: p.run,
		Serves: spec.Target > 0, Fills: spec.Fills, Target: spec.Target, Image: spec.Image, Millis: spec.Size.Millis,
	}
}

// sendStart orders a run. The orders leave after the records before them.
func (b *Planner) sendStart(p *placement) {
	s := p.step
	t := &s.tasks[p.index]
	start := p.kind()
	start.Spec = s.job.record.Spec
	if i := runIndex(t, p.run); i >= 0 {
		if t.Runs[i].Halted != "" {
			// Never started and no longer wanted: the stop keeps it so.
			b.order(p.vm).Stops = append(b.order(p.vm).Stops, work.Stop{Task: start.Task, Run: p.run})
			p.sent = p.vm.numbered
			return
		}
		start.Ticket = t.Runs[i].Ticket
	}
	if p.run > 1 {
		start.Saved = t.Saved
	}
	o := b.order(p.vm)
	o.Starts = append(o.Starts, start)
	p.sent = o.Number
}
