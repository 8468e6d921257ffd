package planner

import (
	"fmt"
	"testing"
	"time"

	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/wire/work"
)

// stage plays a book against VMs that carry out its orders, in virtual time.
type stage struct {
	t     *testing.T
	now   time.Time
	book  *Planner
	state *jobreducer.State
	next  int64
	vms   map[string]*stageVM
	// starts lists all starts that were ordered, in order.
	starts []work.Start
}

// stageVM is a VM with its agent and worker.
type stageVM struct {
	vitals  work.Vitals
	host    string
	fence   int64
	handled int64
	seen    int64
	number  int64
	silent  bool
	active  []work.Active
	ends    []work.End
	voids   []work.Void
	kinds   []work.Start
	presses []work.Press
}

func newStage(t *testing.T) *stage {
	s := &stage{t: t, now: time.Unix(1000, 0), state: jobreducer.New(), vms: map[string]*stageVM{}}
	s.restart()
	return s
}

// restart gives the lead to a new process that knows only the log.
func (s *stage) restart() {
	s.book = New(Settings{MaxLease: 6 * time.Second, FarFactor: 2}, s.state, s.now, func(string, ...any) {})
	s.book.Resume(s.state, s.now)
	for name := range s.vms {
		s.hello(name)
	}
	s.pass()
}

// add adds a VM with a worker.
func (s *stage) add(name string, millis, memory int, labels ...string) *stageVM {
	v := &stageVM{host: "host-" + name, vitals: work.Vitals{
		VM: name, Born: s.now.UnixMilli(), Pool: "pool", Size: work.Size{Millis: millis, Memory: memory}, Labels: labels,
	}}
	s.vms[name] = v
	s.hello(name)
	s.pass()
	s.report(name)
	return v
}

func (s *stage) hello(name string) {
	v := s.vms[name]
	if !v.silent {
		s.book.RegisterAgent(&work.Hello{Vitals: v.vitals, Agent: "agent-" + name, Host: v.host}, s.now)
	}
}

// report sends the state of a VM to the book, and releases what follows.
func (s *stage) report(name string) {
	v := s.vms[name]
	if v.silent {
		return
	}
	s.book.HandleReport(name, &work.Report{
		Fence: v.fence, Vitals: v.vitals, Handled: v.handled, Vouched: true,
		Active: append([]work.Active(nil), v.active...), Ends: append([]work.End(nil), v.ends...), Voids: append([]work.Void(nil), v.voids...),
	}, s.now)
	s.pass()
}

// pass plans, writes the records and carries out the orders.
func (s *stage) pass() {
	s.book.Tick(s.now)
	batch := s.book.Flush()
	for _, r := range batch.Records {
		r.Offset = s.next
		s.next++
		if err := s.state.Apply(r); err != nil {
			s.t.Fatalf("record %q: %v", r.Key, err)
		}
	}
	batch.Confirm(s.now)
	for name, g := range batch.Grants {
		if v := s.vms[name]; v != nil && g.Born == v.vitals.Born {
			v.fence, v.handled = g.Fence, 0
		}
	}
	for name, o := range batch.Orders {
		if v := s.vms[name]; v != nil && !v.silent && o.Fence == v.fence {
			s.carryOut(v, o)
		}
	}
}

func (s *stage) carryOut(v *stageVM, o *work.Orders) {
	v.handled, v.seen = o.Number, max(v.seen, o.Seen)
	v.ends = filter(v.ends, func(e work.End) bool { return e.Number > v.seen })
	for _, settled := range o.Settled {
		v.voids = filter(v.voids, func(x work.Void) bool { return x.Task != settled.Task || x.Run != settled.Run })
	}
	v.presses = append(v.presses, o.Presses...)
	v.kinds = append(v.kinds, o.Kinds...)
	for _, kind := range o.Kinds {
		for i := range v.active {
			v.active[i].Unknown = v.active[i].Unknown && v.active[i].Task != kind.Task
		}
	}
	for _, start := range o.Starts {
		if !v.has(start.Task, start.Run) {
			s.starts = append(s.starts, start)
			v.active = append(v.active, work.Active{Task: start.Task, Run: start.Run, Pace: 100})
		}
	}
	for _, stop := range o.Stops {
		s.end(v, stop.Task, "stopped")
	}
}

func filter[T any](list []T, keep func(T) bool) []T {
	var kept []T
	for _, x := range list {
		if keep(x) {
			kept = append(kept, x)
		}
	}
	return kept
}

func (v *stageVM) has(task string, run int) bool {
	for _, a := range v.active {
		if a.Task == task && a.Run == run {
			return true
		}
	}
	return false
}

// end ends the run of a task on a VM.
func (s *stage) end(v *stageVM, task, how string) {
	for i, a := range v.active {
		if a.Task == task {
			v.number++
			v.ends = append(v.ends, work.End{Number: v.number, Task: task, Run: a.Run, How: how})
			v.active = append(v.active[:i:i], v.active[i+1:]...)
			return
		}
	}
}

// finishAll ends all runs on all VMs that can be heard.
func (s *stage) finishAll(how string) {
	for name, v := range s.vms {
		if v.silent {
			continue
		}
		for len(v.active) > 0 {
			s.end(v, v.active[0].Task, how)
		}
		s.report(name)
	}
}

// wait lets time pass, with the heartbeats of all VMs.
func (s *stage) wait(d time.Duration) {
	const step = 100 * time.Millisecond
	for ; d > 0; d -= step {
		s.now = s.now.Add(step)
		for name, v := range s.vms {
			if !v.silent {
				s.report(name)
			}
		}
		s.pass()
	}
}

// submit accepts a job.
func (s *stage) submit(id string, steps ...work.Step) {
	job := &work.Job{ID: id, Spec: "spec", Accepted: s.now, Steps: steps, Queue: work.Queue{
		Name: "queue", Pool: "pool", Attempts: 2, Stretch: 2, Target: time.Second,
	}}
	s.accept(job)
}

func (s *stage) accept(job *work.Job) {
	r := jobreducer.JobRecord(job)
	r.Offset = s.next
	s.next++
	if err := s.state.Apply(r); err != nil {
		s.t.Fatal(err)
	}
	s.book.AddJob(job, s.now)
	s.pass()
}

// running returns where the tasks of a job run.
func (s *stage) running(id string) map[string]string {
	where := map[string]string{}
	for name, v := range s.vms {
		for _, a := range v.active {
			if len(a.Task) > len(id) && a.Task[:len(id)] == id {
				where[a.Task] = name
			}
		}
	}
	return where
}

func (s *stage) outcome(id string) string {
	if j := s.state.Jobs[id]; j != nil && j.Outcome != nil {
		return j.Outcome.State
	}
	return ""
}

// id returns an id of 16 digits.
func id(n int) string { return fmt.Sprintf("%016x", n) }

func tasks(count, millis int) work.Step {
	return work.Step{Tasks: count, Size: work.Size{Millis: millis, Memory: 100}, Estimate: time.Second}
}
