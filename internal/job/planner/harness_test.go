package planner

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/log/journal"
	"knapweedspur/internal/wire/work"
)

// simulation runs a planner in virtual time against VMs that carry out its
// commands.
type simulation struct {
	t          *testing.T
	now        time.Time
	planner    *Planner
	state      *jobreducer.State
	nextOffset int64
	// writtenBytes is the size of all records that the planner produced.
	writtenBytes int
	vms          map[string]*simulatedVM
	// starts holds the starts that the VMs carried out, in order.
	starts []work.Start
	// runs checks that no task runs twice, and makes leases lapse; nil for neither.
	runs *runChecker
	// evacuation is what the leader knows of evacuated failure domains, and
	// maxRequestAge how old that may be.
	evacuation    *work.Evacuation
	maxRequestAge time.Duration
}

// simulatedVM is a VM with its agent and worker.
type simulatedVM struct {
	workerStatus    work.WorkerStatus
	host            string
	fence           int64
	handled         int64
	acknowledgedEnd int64
	lastEnd         int64
	silent          bool
	deregistered    bool
	ignoreStops     bool
	loseStarts      bool
	active          []work.RunStatus
	ends            []work.RunEnd
	voids           []work.VoidRun
	adoptedRuns     []work.Start
	weights         []work.Interference
	// moreEnds is set if the worker has ends that it does not list.
	moreEnds bool

	// agentRestarts counts the agent processes that ended.
	agentRestarts int
	mute          muteWorker
	lease         workerLease
	crash         crashedWorker
}

func newSimulation(t *testing.T) *simulation {
	s := &simulation{t: t, now: time.Unix(1000, 0), state: jobreducer.New(), vms: map[string]*simulatedVM{}}
	s.restart()
	return s
}

// restart replaces the leader by a new process that knows only the log.
func (s *simulation) restart() {
	s.planner = New(Settings{MaxLease: 6 * time.Second, FarFactor: 2, MaxRequestAge: s.maxRequestAge}, s.state, s.now, func(string, ...any) {})
	s.planner.Resume(s.state, s.now)
	for _, name := range s.vmNames() {
		s.sendHello(name)
	}
	s.runPass()
}

// vmNames returns the names of the VMs in order, so that each run of a test sends
// their reports in the same order.
func (s *simulation) vmNames() []string { return slices.Sorted(maps.Keys(s.vms)) }

// addVM adds a VM with a worker and connects its agent.
func (s *simulation) addVM(name string, millicores, memory int, labels ...string) *simulatedVM {
	return s.addVMIn("", name, millicores, memory, labels...)
}

// addVMIn adds a VM in a failure domain.
func (s *simulation) addVMIn(domain, name string, millicores, memory int, labels ...string) *simulatedVM {
	v := &simulatedVM{host: "host-" + name, workerStatus: work.WorkerStatus{
		VM: name, Zone: domain, Incarnation: s.now.UnixMilli(), Pool: "pool", Capacity: work.Size{Millicores: millicores, Memory: memory}, Labels: labels,
	}}
	s.vms[name] = v
	s.sendHello(name)
	s.runPass()
	s.sendReport(name)
	return v
}

func (s *simulation) sendHello(name string) {
	v := s.vms[name]
	if !v.silent {
		s.planner.RegisterAgent(&work.Hello{WorkerStatus: v.workerStatus, AgentIncarnation: fmt.Sprintf("agent-%s-%d", name, v.agentRestarts), Host: v.host}, s.now)
	}
}

// sendReport sends the state of a VM to the planner and runs a pass.
func (s *simulation) sendReport(name string) {
	v := s.vms[name]
	if v.silent {
		return
	}
	report := &work.Report{
		Fence: v.fence, WorkerStatus: v.workerStatus, CommandsHandled: v.handled, SessionConfirmed: true, MoreEnds: v.moreEnds, Deregistered: v.deregistered,
		ActiveRuns: append([]work.RunStatus(nil), v.active...), Ends: append([]work.RunEnd(nil), v.ends...), Voids: append([]work.VoidRun(nil), v.voids...),
	}
	v.muteReport(report, s.now)
	v.crashReport(report, s.now)
	s.planner.HandleReport(name, report, s.now)
	s.runPass()
}

// runPass runs a planning pass, applies its records to the log state and
// carries out its commands.
func (s *simulation) runPass() {
	s.planner.SetEvacuation(s.evacuation, s.now)
	s.planner.Tick(s.now)
	batch := s.planner.Flush()
	for _, r := range batch.Records {
		r.Offset = s.nextOffset
		s.nextOffset++
		s.writtenBytes += len(r.Key) + len(r.Value)
		if err := s.state.Apply(r); err != nil {
			s.t.Fatalf("record %q: %v", r.Key, err)
		}
	}
	batch.Confirm(s.now)
	for name, g := range batch.Grants {
		if v := s.vms[name]; v != nil && g.WorkerIncarnation == v.workerStatus.Incarnation {
			s.acceptGrant(v, g.Fence)
		}
	}
	for name, commands := range batch.Commands {
		if v := s.vms[name]; v != nil && !v.silent && commands.Fence == v.fence {
			s.applyCommands(v, commands)
		}
	}
}

func (s *simulation) applyCommands(v *simulatedVM, commands *work.Commands) {
	v.handled, v.acknowledgedEnd = max(v.handled, commands.Number), max(v.acknowledgedEnd, commands.EndsAcked)
	s.runs.acknowledge(v, v.acknowledgedEnd)
	v.ends = keepIf(v.ends, func(e work.RunEnd) bool { return e.Number > v.acknowledgedEnd })
	for _, acknowledged := range commands.VoidsAcked {
		v.voids = keepIf(v.voids, func(x work.VoidRun) bool { return x.Task != acknowledged.Task || x.Run != acknowledged.Run })
	}
	v.weights = append(v.weights, commands.Interference...)
	v.adoptedRuns = append(v.adoptedRuns, commands.AdoptedRuns...)
	for _, kind := range commands.AdoptedRuns {
		for i := range v.active {
			v.active[i].KindUnknown = v.active[i].KindUnknown && v.active[i].Task != kind.Task
		}
	}
	for _, start := range commands.Starts {
		if v.crash.down {
			v.voids = append(v.voids, work.VoidRun{Task: start.Task, Run: start.Run, Reason: "unreachable"})
			continue
		}
		if !v.loseStarts && !v.hasRun(start.Task, start.Run) {
			s.starts = append(s.starts, start)
			s.runs.start(s, v, start)
			v.mute.starts = append(v.mute.starts, work.RunRef{Task: start.Task, Run: start.Run})
			v.active = append(v.active, work.RunStatus{Task: start.Task, Run: start.Run, Pace: 100})
		}
	}
	for _, stop := range commands.Stops {
		if v.ignoreStops {
			break
		}
		if !s.endRun(v, stop.Task, "stopped") {
			v.voids = append(v.voids, work.VoidRun{Task: stop.Task, Run: stop.Run, Reason: voidReasonStopped})
		}
	}
}

func keepIf[T any](list []T, keep func(T) bool) []T {
	var kept []T
	for _, x := range list {
		if keep(x) {
			kept = append(kept, x)
		}
	}
	return kept
}

func (v *simulatedVM) hasRun(task string, run int) bool {
	for _, a := range v.active {
		if a.Task == task && a.Run == run {
			return true
		}
	}
	return false
}

// endRun ends the run of a task on a VM. It returns false if there is none.
func (s *simulation) endRun(v *simulatedVM, task, outcome string) bool {
	for i, a := range v.active {
		if a.Task == task {
			v.lastEnd++
			v.ends = append(v.ends, work.RunEnd{Number: v.lastEnd, Task: task, Run: a.Run, Outcome: outcome})
			s.runs.end(v, v.ends[len(v.ends)-1])
			v.active = append(v.active[:i:i], v.active[i+1:]...)
			return true
		}
	}
	return false
}

// endAllRuns ends all runs on all VMs that are not silent.
func (s *simulation) endAllRuns(outcome string) {
	for name, v := range s.vms {
		if v.silent {
			continue
		}
		for len(v.active) > 0 {
			s.endRun(v, v.active[0].Task, outcome)
		}
		s.sendReport(name)
	}
}

// advance moves time forward, with a report from each VM that is not silent
// every 100 ms.
func (s *simulation) advance(d time.Duration) {
	const step = 100 * time.Millisecond
	for ; d > 0; d -= step {
		s.now = s.now.Add(step)
		s.passTime()
		for _, name := range s.vmNames() {
			if !s.vms[name].silent {
				s.sendReport(name)
			}
		}
		s.runPass()
	}
}

// submitJob submits a job to the default queue.
func (s *simulation) submitJob(id string, steps ...work.Step) {
	job := &work.Job{ID: id, Spec: "spec", AcceptedAt: s.now, Steps: steps, Queue: work.Queue{
		Name: "queue", Pool: "pool", MaxFailures: 2, Stretch: 2, Target: time.Second,
	}}
	s.acceptJob(job)
}

func (s *simulation) acceptJob(job *work.Job) {
	s.writeToState(jobreducer.JobRecord(job))
	s.planner.AddJob(job, s.now)
	s.runPass()
}

// writeToState adds a record to the log.
func (s *simulation) writeToState(r journal.Record) {
	r.Offset = s.nextOffset
	s.nextOffset++
	if err := s.state.Apply(r); err != nil {
		s.t.Fatal(err)
	}
}

// placements returns the VM of each running task of a job.
func (s *simulation) placements(id string) map[string]string {
	vmOf := map[string]string{}
	for name, v := range s.vms {
		for _, a := range v.active {
			if len(a.Task) > len(id) && a.Task[:len(id)] == id {
				vmOf[a.Task] = name
			}
		}
	}
	return vmOf
}

func (s *simulation) outcome(id string) string {
	if j := s.state.Jobs[id]; j != nil && j.Outcome != nil {
		return j.Outcome.State
	}
	return ""
}

// jobID returns a job ID of 16 hexadecimal digits.
func jobID(n int) string { return fmt.Sprintf("%016x", n) }

func stepSpec(count, millicores int) work.Step {
	return work.Step{Tasks: count, Size: work.Size{Millicores: millicores, Memory: 100}, EstimatedDuration: time.Second}
}

// wantStarts fails the test unless the VMs have carried out n starts so far.
func (s *simulation) wantStarts(n int, when string) {
	s.t.Helper()
	if diff := cmp.Diff(n, len(s.starts)); diff != "" {
		s.t.Fatalf("starts %s (-want +got):\n%s", when, diff)
	}
}
