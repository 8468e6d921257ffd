package planner

import (
	"slices"
	"strings"
	"time"

	"knapweedspur/internal/job/estimator"
	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/wire/work"
)

const (
	// silence is how long an agent may be unheard until its session is
	// revoked: several heartbeats, and the restart of a process.
	silence = 1500 * time.Millisecond
	// clockDrift is by how much a worker's steady clock may be slow.
	clockDrift = 0.03
	// leaseSlack is added to a lease that must be over.
	leaseSlack = 150 * time.Millisecond
	// goneDelay is how long after its last word a worker may still run something.
	goneDelay = 500 * time.Millisecond
	// stopRepeat is when a stop that had no effect is sent again.
	stopRepeat = 400 * time.Millisecond
	// describeRepeat is when the kind of a run is told again to an agent that
	// still lacks it.
	describeRepeat = 500 * time.Millisecond
	// grantRepeat is when a session that was not taken up is sent again.
	grantRepeat = 500 * time.Millisecond
	// muteLimit is how long a worker may leave its agent without an answer
	// and still get work: one and a half polls.
	muteLimit = 600 * time.Millisecond
)

// vm is a VM as the planner sees it.
type vm struct {
	name    string
	session work.Session
	// vitals is the last that the worker said of itself.
	vitals work.Vitals
	// linked says that an agent is connected, synced that its first report
	// under the current session came.
	linked, synced bool
	// vouched says that the agent can give starts a lease.
	vouched bool
	heard   time.Time
	// agent is the life of the agent process, host where it runs; granted is
	// when it was last sent a session.
	agent   string
	host    string
	granted time.Time
	// revoked is when the log confirmed the revocation, zero before.
	revoked time.Time
	// gone is when the worker said its last word.
	gone time.Time
	mute time.Duration

	runs map[runKey]*placement
	// used is what the runs reserve; filled the processor share of runs that
	// reserve none; serving counts runs with a latency objective, and served
	// is what they reserve.
	used    work.Size
	filled  int
	serving int
	served  int

	// peaks are the shares that fillers used while the latencies were measured.
	peaks estimator.Peaks

	// told is what the agent was last told of interference, and when.
	told   map[work.Press]bool
	toldAt time.Time

	// numbered counts orders on the current connection.
	numbered int64
	// seen is the highest end that the agent may forget, settled those above
	// it that are dealt with.
	seen    int64
	settled map[int64]bool
	record  record
}

func (b *Planner) vm(name string) *vm {
	v := b.vms[name]
	if v == nil {
		v = &vm{name: name, runs: map[runKey]*placement{}, settled: map[int64]bool{}}
		b.vms[name] = v
		i, _ := slices.BinarySearchFunc(b.sorted, name, func(v *vm, name string) int { return strings.Compare(v.name, name) })
		b.sorted = slices.Insert(b.sorted, i, v)
	}
	return v
}

// lapse is how long after its last extension a lease is surely over.
func (b *Planner) lapse() time.Duration {
	return time.Duration(float64(b.Settings.MaxLease)*(1+clockDrift)) + leaseSlack
}

// place enters a run that the log has or is about to have.
func (b *Planner) place(s *step, index int, r work.Run, now time.Time) {
	v := b.vm(r.VM)
	p := &placement{step: s, index: index, run: r.Run, vm: v, fence: r.Fence, since: now, pace: fullPace}
	v.runs[runKey{s.name(index), r.Run}] = p
	v.reserve(s.spec, 1)
}

func (v *vm) reserve(spec *work.Step, sign int) {
	v.used.Memory += sign * spec.Size.Memory
	v.used.Accelerators += sign * spec.Size.Accelerators
	if spec.Fills {
		v.filled += sign * spec.Size.Millis
	} else {
		v.used.Millis += sign * spec.Size.Millis
	}
	if spec.Target > 0 {
		v.serving += sign
		v.served += sign * spec.Size.Millis
	}
}

// Hello takes the introduction of an agent and grants it a session.
func (b *Planner) RegisterAgent(h *work.Hello, now time.Time) {
	v := b.vm(h.Vitals.VM)
	// Orders count anew on each connection.
	v.linked, v.synced, v.heard, v.numbered, v.vitals = true, false, now, 0, h.Vitals
	v.agent, v.host, v.granted, v.told = h.Agent, h.Host, now, nil
	for _, p := range v.runs {
		p.sent = 0
	}
	if v.session.Agent == h.Agent && v.session.Born == h.Vitals.Born && !v.session.Revoked && v.session.Fence > 0 {
		b.grants[v.name] = &work.Grant{VM: v.name, Born: v.session.Born, Fence: v.session.Fence}
		return
	}
	b.grant(v, h, now)
}

// grant opens a new session of a VM. A new life of the worker ends all runs
// of the one before.
func (b *Planner) grant(v *vm, h *work.Hello, now time.Time) {
	if v.session.Born != h.Vitals.Born {
		b.voidAll(v, "reborn")
		v.seen = 0
		v.settled = map[int64]bool{}
		v.record = record{}
	}
	b.replace(v, h, now)
	v.session = work.Session{VM: v.name, Born: h.Vitals.Born, Fence: v.session.Fence + 1, Agent: h.Agent, Host: h.Host}
	v.revoked, v.gone, v.mute = time.Time{}, time.Time{}, 0
	b.records = append(b.records, jobreducer.SessionRecord(&v.session))
	b.grants[v.name] = &work.Grant{VM: v.name, Born: v.session.Born, Fence: v.session.Fence}
	delete(b.orders, v.name)
	b.log("session", "vm", v.name, "born", v.session.Born, "fence", v.session.Fence, "agent", h.Agent)
}

// renew answers a report under a session that is not in force: the agent gets
// the current one, or a new one once its worker answers again.
func (b *Planner) renew(v *vm, r *work.Report, now time.Time) {
	v.heard = now
	if r.Mute > 0 || now.Sub(v.granted) < grantRepeat {
		return
	}
	v.granted = now
	h := &work.Hello{Vitals: r.Vitals, Agent: v.agent, Host: v.host}
	if v.session.Revoked || v.session.Born != r.Vitals.Born {
		b.grant(v, h, now)
		return
	}
	b.grants[v.name] = &work.Grant{VM: v.name, Born: v.session.Born, Fence: v.session.Fence}
}

// Heard takes a sign of life of an agent.
func (b *Planner) RecordHeartbeat(name string, now time.Time) {
	if v := b.vms[name]; v != nil && v.linked {
		v.heard = now
	}
}

// replace ends the runs of workers that were on the same host before.
func (b *Planner) replace(v *vm, h *work.Hello, now time.Time) {
	for _, former := range b.sorted {
		if former == v || h.Host == "" || former.session.Host != h.Host || former.session.Born >= h.Vitals.Born {
			continue
		}
		b.voidAll(former, "replaced")
		if former.gone.IsZero() {
			former.gone = now
		}
	}
}

// Unlinked takes the loss of the connection to an agent.
func (b *Planner) DisconnectAgent(name string) {
	if v := b.vms[name]; v != nil {
		v.linked, v.synced = false, false
	}
}

func runIndex(t *work.Task, run int) int {
	return slices.IndexFunc(t.Runs, func(r work.Run) bool { return r.Run == run })
}

// touch counts a step anew and marks it to be written.
func (b *Planner) touch(s *step) {
	s.count()
	if !s.job.dropped {
		b.dirty[s] = true
	}
}

// remove takes a run off its VM and its task.
func (b *Planner) remove(p *placement) {
	t := &p.step.tasks[p.index]
	if i := runIndex(t, p.run); i >= 0 {
		t.Runs = slices.Delete(t.Runs, i, i+1)
	}
	delete(p.vm.runs, runKey{p.step.name(p.index), p.run})
	p.vm.reserve(p.step.spec, -1)
}

// giveUp ends a run that is known not to run and not to have ended by itself.
func (b *Planner) giveUp(p *placement) {
	s := p.step
	b.remove(p)
	b.touch(s)
	b.drop(s.job)
}

// voidAll ends all runs of a VM.
func (b *Planner) voidAll(v *vm, reason string) {
	for key, p := range v.runs {
		b.log("void", "task", key.task, "run", key.run, "vm", v.name, "reason", reason)
		b.giveUp(p)
	}
}

// haltAll stops all runs of a task.
func (b *Planner) haltAll(s *step, index int, reason string, now time.Time) {
	t := &s.tasks[index]
	for i := range t.Runs {
		b.halt(s, index, i, reason, now)
	}
}

// halt stops one run of a task.
func (b *Planner) halt(s *step, index, i int, reason string, now time.Time) {
	r := &s.tasks[index].Runs[i]
	if r.Halted != "" {
		return
	}
	r.Halted = reason
	b.touch(s)
	v := b.vm(r.VM)
	if p := v.runs[runKey{s.name(index), r.Run}]; p != nil && v.linked {
		p.stopped = now
		b.order(v).Stops = append(b.order(v).Stops, work.Stop{Task: s.name(index), Run: r.Run})
	}
	b.log("halt", "task", s.name(index), "run", r.Run, "vm", r.VM, "reason", reason)
}

// order returns the orders for a VM that are being collected.
func (b *Planner) order(v *vm) *work.Orders {
	o := b.orders[v.name]
	if o == nil {
		v.numbered++
		o = &work.Orders{Fence: v.session.Fence, Number: v.numbered, Seen: v.seen}
		b.orders[v.name] = o
	}
	return o
}

// revoke closes the session of a VM: no entry vouches for its lease any more.
func (b *Planner) revoke(v *vm, reason string, now time.Time) {
	if v.session.Revoked || v.session.Fence == 0 {
		return
	}
	v.session.Revoked = true
	v.synced = false
	b.records = append(b.records, jobreducer.SessionRecord(&v.session))
	fence := v.session.Fence
	b.confirm = append(b.confirm, func(confirmed time.Time) {
		if v.session.Fence == fence {
			v.revoked = confirmed
		}
	})
	b.log("revoke", "vm", v.name, "fence", fence, "reason", reason, "unheard", now.Sub(v.heard))
}

// watch revokes sessions of agents that are not heard, and ends runs on VMs
// whose lease is over.
func (b *Planner) watch(now time.Time) {
	for _, v := range b.sorted {
		since := v.heard
		if since.Before(b.began) {
			since = b.began
		}
		if v.session.Fence > 0 && !v.session.Revoked && now.Sub(since) > silence {
			b.revoke(v, "the agent is not heard", now)
		}
		if v.session.Revoked && !v.revoked.IsZero() && len(v.runs) > 0 && now.Sub(v.revoked) > b.lapse() {
			b.voidAll(v, "lapsed")
		}
		if !v.gone.IsZero() && now.Sub(v.gone) > goneDelay {
			b.voidAll(v, "gone")
		}
	}
}

// Unheard returns how many of the VMs that were heard in this term are not
// heard now, and how many were.
func (b *Planner) CountUnresponsiveVMs(now time.Time, limit time.Duration) (unheard, total int) {
	for _, v := range b.sorted {
		if v.heard.Before(b.began) || v.session.Revoked || !v.gone.IsZero() {
			continue
		}
		total++
		if now.Sub(v.heard) > limit {
			unheard++
		}
	}
	return unheard, total
}
