package leader_test

import (
	"context"
	"fmt"
	"hash/fnv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/log/journal"
	"knapweedspur/internal/wire/work"
)

// startBound is how long after an answer of the policy service could be there a job may wait: the 3 s
// that a job may have nothing running beside free room.
const startBound = 3 * time.Second

// policyPlay is a cluster with a policy service, and jobs of several queues.
type policyPlay struct {
	*cluster
	service     *policyService
	queues      map[string]*work.Queue
	submittedAt map[string]time.Time
	begunAt     map[string]time.Time
	stop        func()
}

// approvedQueue returns a queue whose steps need approval.
func approvedQueue(name string, base, perVM, lifetime time.Duration) *work.Queue {
	return &work.Queue{Name: name, Pool: "pool", MaxFailures: 100, Stretch: 2, Target: time.Second,
		Approval: &work.ApprovalPolicy{BaseLatency: base, LatencyPerVM: perVM, TicketLifetime: lifetime}}
}

func newPolicyPlay(vms int, service *policyService) *policyPlay {
	p := &policyPlay{cluster: newCluster(2, vms, 1), service: service, queues: map[string]*work.Queue{}, submittedAt: map[string]time.Time{}, begunAt: map[string]time.Time{}}
	service.queueOf = func(step string) *work.Queue {
		p.checker.mu.Lock()
		defer p.checker.mu.Unlock()
		return p.queues[strings.SplitN(step, ".", 2)[0]]
	}
	for _, v := range p.vms {
		v.onStart = append(v.onStart, func(_ *simulatedHost, _ *simulatedWorker, r *simulatedRun) {
			id := strings.SplitN(r.task, ".", 2)[0]
			p.checker.mu.Lock()
			defer p.checker.mu.Unlock()
			if _, begun := p.begunAt[id]; !begun {
				p.begunAt[id] = time.Now()
			}
		})
	}
	server := p.startPolicyService(service)
	p.stop = func() {
		p.cluster.stop()
		_ = server.Close()
		time.Sleep(10 * time.Minute) // calls that the service works on
	}
	p.run(5 * time.Second)
	return p
}

func (p *policyPlay) submit(number uint64, queue *work.Queue, steps ...work.Step) string {
	id := fmt.Sprintf("%016x", number)
	p.checker.mu.Lock()
	p.queues[id], p.submittedAt[id] = queue, time.Now()
	p.checker.mu.Unlock()
	for i := range steps {
		steps[i].Size, steps[i].EstimatedDuration = simulatedTaskSize, time.Second
	}
	job := &work.Job{ID: id, Spec: "spec", AcceptedAt: time.Now(), Queue: *queue, Steps: steps}
	_, _ = p.log.Append(context.Background(), []journal.Record{jobreducer.JobRecord(job)}, nil) // fails only under injected faults
	return id
}

// wantBegun fails the test unless a job has begun within a time of its submission.
func (p *policyPlay) wantBegun(t *testing.T, id string, within time.Duration) {
	t.Helper()
	p.checker.mu.Lock()
	begun, ok := p.begunAt[id]
	took := begun.Sub(p.submittedAt[id])
	queue := p.queues[id].Name
	p.checker.mu.Unlock()
	switch {
	case !ok:
		t.Errorf("job %s of queue %s has not begun, want within %s", id, queue, within)
	case took > within:
		t.Errorf("job %s of queue %s began after %s, want within %s", id, queue, took, within)
	}
}

// A queue whose query about all its VMs takes longer than a query may take must still start its jobs, as
// it did while it had fewer VMs.
func TestQueueIsServedAfterVMsAddedToItMadeItsQueriesLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPolicyPlay(14, &policyService{})
		queue := approvedQueue("approved", 500*time.Millisecond, 120*time.Millisecond, 3*time.Second)
		var ids []string
		for n := range uint64(4) {
			ids = append(ids, p.submit(n, queue, work.Step{Tasks: 2}))
		}
		p.run(20 * time.Second)
		p.stop()
		for n, id := range ids {
			p.wantBegun(t, id, time.Duration(n+1)*(500+14*120)*time.Millisecond+startBound)
		}
		p.checker.report(t)
		p.checker.dump(t)
	})
}

// policyCase is a load of the policy service under which jobs must begin.
type policyCase struct {
	name    string
	vms     int
	service *policyService
	queue   *work.Queue
	// jobs is the number of jobs, submitted at once.
	jobs uint64
	step work.Step
	// within is when each job must have begun, counted from its submission.
	within time.Duration
	// before is called once the cluster runs.
	before func(p *policyPlay)
}

// approveSome approves a VM for a step in one of n cases, and the first VM always.
func approveSome(n uint32) func(step, vm string) bool {
	return func(step, vm string) bool {
		h := fnv.New32a()
		_, _ = h.Write([]byte(step + "/" + vm)) // never fails
		return strings.HasPrefix(vm, "vm-0-") || h.Sum32()%n == 0
	}
}

func policyCases() []policyCase {
	second := time.Second
	const first = 900
	aboutFirst := func(step string) bool { return strings.HasPrefix(step, fmt.Sprintf("%016x", first)) }
	submitFirst := func(p *policyPlay) {
		p.submit(first, approvedQueue("q", 500*time.Millisecond, 100*time.Millisecond, 3*second), work.Step{Tasks: 2})
	}
	return []policyCase{
		{"a query that takes long by itself", 5, &policyService{}, approvedQueue("q", 8*second, 100*time.Millisecond, 3*second), 1,
			work.Step{Tasks: 2}, 8*second + 500*time.Millisecond + startBound, nil},
		{"a query about many VMs", 40, &policyService{}, approvedQueue("q", 50*time.Millisecond, 200*time.Millisecond, 3*second), 4,
			work.Step{Tasks: 2}, 8*second + startBound, nil},
		{"few VMs are approved", 14, &policyService{approves: approveSome(20)}, approvedQueue("q", 500*time.Millisecond, 120*time.Millisecond, 3*second), 2,
			// Twice the time of a query about all of them, for each job.
			work.Step{Tasks: 2}, 4*2180*time.Millisecond + startBound, nil},
		{"tickets that are valid for less than a query takes", 6, &policyService{}, approvedQueue("q", 2*second, 300*time.Millisecond, 700*time.Millisecond), 2,
			work.Step{Tasks: 3}, 2*3800*time.Millisecond + startBound, nil},
		{"tickets that are valid for hardly longer than a start takes", 3, &policyService{}, approvedQueue("q", 200*time.Millisecond, 50*time.Millisecond, 200*time.Millisecond), 3,
			work.Step{Tasks: 2}, 2*second + startBound, nil},
		{"a gang whose tickets expire within a query", 8, &policyService{}, approvedQueue("q", 2*second, 200*time.Millisecond, second), 1,
			work.Step{Tasks: 6, Gang: true, MaxPerVM: 1}, 2*second + 8*200*time.Millisecond + startBound, nil},
		{"a service that is five times slower than declared and works on for callers that have gone", 10, &policyService{slowness: 5, worksOn: true},
			approvedQueue("q", 500*time.Millisecond, 100*time.Millisecond, 3*second), 2, work.Step{Tasks: 2}, 2*5*1500*time.Millisecond + startBound, nil},
		{"a service that declares nothing and takes seconds", 4, &policyService{slowness: 3_000_000, worksOn: true}, approvedQueue("q", time.Microsecond, 0, 3*second), 2,
			work.Step{Tasks: 1}, 3*3*second + startBound, nil},
		{"a service that drops every second call", 10, &policyService{drops: func(call int, _ string) bool { return call%2 == 1 }},
			approvedQueue("q", 500*time.Millisecond, 100*time.Millisecond, 3*second), 3, work.Step{Tasks: 2}, 4*(2*1500*time.Millisecond+second) + startBound, nil},
		{"a service that drops all calls about one step", 10, &policyService{drops: func(_ int, step string) bool { return aboutFirst(step) }},
			approvedQueue("q", 500*time.Millisecond, 100*time.Millisecond, 3*second), 3, work.Step{Tasks: 2}, 3*(2*1500*time.Millisecond+second) + startBound,
			submitFirst},
		{"a service that breaks off all calls about one step", 10, &policyService{breaksOff: aboutFirst},
			approvedQueue("q", 500*time.Millisecond, 100*time.Millisecond, 3*second), 3, work.Step{Tasks: 2}, 3*(1500*time.Millisecond+second) + startBound, submitFirst},
		// It is asked for the last time before it takes calls 2 s earlier at most.
		{"a service that refuses all calls for a while", 10, &policyService{fullFor: 15 * second}, approvedQueue("q", 500*time.Millisecond, 100*time.Millisecond, 3*second), 3,
			work.Step{Tasks: 2}, 10*second + 2*second + 3*1500*time.Millisecond + startBound, nil},
	}
}

func TestQueuesAreServedWhateverTheirQueriesTake(t *testing.T) {
	for _, c := range policyCases() {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPolicyPlay(c.vms, c.service)
				if c.before != nil {
					c.before(p)
				}
				var ids []string
				for n := range c.jobs {
					ids = append(ids, p.submit(n, c.queue, c.step))
				}
				p.run(c.within + time.Second)
				p.stop()
				for _, id := range ids {
					p.wantBegun(t, id, c.within)
				}
				p.checker.report(t)
				p.checker.dump(t)
			})
		})
	}
}

// Queries of one queue, however long, must not keep another queue from its tickets for longer than one of
// them takes.
func TestQuickQueueIsServedBesideSlowOne(t *testing.T) {
	second := time.Second
	for _, c := range []struct {
		name string
		slow *work.Queue
		// longest is the time of one query of the slow queue that the service must finish first.
		longest time.Duration
		drops   func(int, string) bool
	}{
		{"queries that take long by themselves", approvedQueue("slow", 4*second, second, 500*time.Millisecond), 8 * second, nil},
		{"queries about many VMs", approvedQueue("slow", 100*time.Millisecond, 500*time.Millisecond, 500*time.Millisecond), 2 * second, nil},
		{"queries that get no answer", approvedQueue("slow", 2*second, 100*time.Millisecond, 3*second), 2 * second,
			func(_ int, step string) bool { return strings.HasPrefix(step, "8") }},
		{"queries that would take a day", approvedQueue("slow", 24*time.Hour, time.Hour, 3*second), 2 * second,
			func(_ int, step string) bool { return strings.HasPrefix(step, "8") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPolicyPlay(12, &policyService{drops: c.drops})
				quick := approvedQueue("quick", 5*time.Millisecond, time.Millisecond, 3*second)
				var ids []string
				for n := range uint64(60) {
					slow := *c.slow
					p.submit(1<<63+n, &slow, work.Step{Tasks: 3})
					ids = append(ids, p.submit(n, quick, work.Step{Tasks: 1}))
					p.run(300 * time.Millisecond)
				}
				p.run(20 * time.Second)
				p.stop()
				for _, id := range ids {
					p.wantBegun(t, id, c.longest+startBound)
				}
				p.checker.report(t)
				p.checker.dump(t)
			})
		})
	}
}
