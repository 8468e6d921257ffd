package leader_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/wire/work"
)

// outcomes reads how the jobs have ended from the log.
type outcomes struct {
	cluster *cluster
	state   *jobreducer.State
	next    int64
}

func newOutcomes(c *cluster) *outcomes { return &outcomes{cluster: c, state: jobreducer.New()} }

// of returns the outcome of a job, nil if it has not ended.
func (o *outcomes) of(t *testing.T, job string) *work.Outcome {
	page, err := o.cluster.log.Read(context.Background(), o.next, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range page.Records {
		if err := o.state.Apply(r); err != nil {
			t.Fatal(err)
		}
	}
	o.next = page.Head
	if j := o.state.Jobs[job]; j != nil {
		return j.Outcome
	}
	return nil
}

// crashPlay is a cluster with jobs, some of which have a task that crashes its workers.
type crashPlay struct {
	*cluster
	culprits *culprits
	outcomes *outcomes
	// submittedAt is when each job was submitted, culpritOf the task of a job that
	// crashes its workers.
	submittedAt map[string]time.Time
	culpritOf   map[string]string
}

func newCrashPlay(entries, vms int, seed uint64) *crashPlay {
	c := newCluster(entries, vms, seed)
	p := &crashPlay{cluster: c, culprits: newCulprits(c, seed), outcomes: newOutcomes(c), submittedAt: map[string]time.Time{}, culpritOf: map[string]string{}}
	p.run(5 * time.Second)
	return p
}

// submitNext submits a job. A task of it crashes its workers if that is asked for.
func (p *crashPlay) submitNext(tasks int, crashes bool) {
	id := fmt.Sprintf("%016x", len(p.submittedAt)+1)
	if crashes {
		task := fmt.Sprintf("%s.0.0.%d", id, p.random.IntN(tasks))
		p.culpritOf[id] = task
		p.culprits.add(task)
	}
	p.submittedAt[id] = time.Now()
	p.submit(id, tasks)
}

// allEnded reports whether all jobs have ended.
func (p *crashPlay) allEnded(t *testing.T) bool {
	for id := range p.submittedAt {
		if p.outcomes.of(t, id) == nil {
			return false
		}
	}
	return true
}

// maxCrashPlayTime is the time that jobs have to end. It covers three crashes of the
// same worker for each of four tasks, one after the other.
const maxCrashPlayTime = 60 * time.Second

// finish waits until all jobs have ended, calls beside at each tick, and checks how
// they have ended.
func (p *crashPlay) finish(t *testing.T, beside func()) {
	for began := time.Now(); time.Since(began) < maxCrashPlayTime && !p.allEnded(t); {
		p.run(simulatedTick)
		beside()
	}
	p.run(crashRestartDelay + simulatedMaxLease) // Starts that follow the end of a job would show.
	p.stop()
	p.checker.report(t)
	p.check(t)
	p.checker.dump(t)
}

// check checks the outcomes and the bound, and logs what the crashes have cost.
func (p *crashPlay) check(t *testing.T) {
	var waits, longest time.Duration
	completed := 0
	for id, at := range p.submittedAt {
		outcome, task := p.outcomes.of(t, id), p.culpritOf[id]
		switch {
		case outcome == nil:
			t.Errorf("job %s has not ended", id)
		case task != "" && outcome.State != jobreducer.Failed:
			t.Errorf("job %s is %s, though one of its tasks crashes its workers", id, outcome.State)
		case task != "" && p.culprits.lost[task] < minLossesUntilGivenUp:
			t.Errorf("job %s is failed after %d crashes under its task", id, p.culprits.lost[task])
		case task == "" && outcome.State != jobreducer.Completed:
			t.Errorf("job %s is %s, none of its tasks crashes its workers", id, outcome.State)
		case task == "":
			completed++
			wait := outcome.EndedAt.Sub(at)
			waits += wait
			longest = max(longest, wait)
		}
	}
	crashes := p.culprits.check(t)
	t.Logf("%d crashes, %d runs lost, %d of %d other jobs completed, %s after their submission on average, %s at most",
		crashes, p.checker.crashed, completed, len(p.submittedAt)-len(p.culpritOf), (waits / time.Duration(max(completed, 1))).Round(time.Millisecond), longest.Round(time.Millisecond))
}

// check checks the bound and returns how many workers were crashed by tasks.
func (p *culprits) check(t *testing.T) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	crashes := 0
	for task, n := range p.crashes {
		crashes += n
		if n == 0 {
			continue
		}
		t.Logf("%s crashed %d workers, %d starts after %d of them", task, n, p.late[task], crashesUntilLimit)
		if late := p.late[task]; late > maxStartsAfterCrashes {
			t.Errorf("%s was started %d times after %d workers had crashed under it, want at most %d", task, late, crashesUntilLimit, maxStartsAfterCrashes)
		}
	}
	return crashes
}

// eachSeed runs a test in virtual time for each seed.
func eachSeed(t *testing.T, test func(t *testing.T, seed uint64)) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, seed) })
		})
	}
}

// A task that crashes its workers is lost with each, which is no failure of a run.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		p := newCrashPlay(3, 6, seed)
		for n := range 24 {
			p.submitNext(1+p.random.IntN(4), n%8 == 3)
			p.run(200 * time.Millisecond)
		}
		p.finish(t, func() {})
	})
}

// Many such tasks at once may cost the others all workers again and again.
func TestManyTasksThatCrashWorkersAreGivenUp(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		p := newCrashPlay(3, 11, seed)
		for n := range 80 {
			p.submitNext(1+p.random.IntN(4), p.random.IntN(10) == 0 || n == 0)
			p.run(100 * time.Millisecond)
		}
		p.finish(t, func() {})
	})
}

// The leader that a crash was reported to may end before the next one.
func TestCrashCountOutlivesLeader(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		p := newCrashPlay(3, 4, seed)
		crashes := make(chan struct{}, 1000)
		p.culprits.onCrash = func() { crashes <- struct{}{} }
		for range 6 {
			p.submitNext(1+p.random.IntN(3), false)
		}
		p.submitNext(2, true)
		var killAt time.Time
		p.finish(t, func() {
			now := time.Now()
			select {
			case <-crashes:
				killAt = now.Add(time.Duration(p.random.Int64N(int64(time.Second))))
			default:
			}
			if killAt.IsZero() || now.Before(killAt) {
				return
			}
			for _, e := range p.leading() {
				killAt = time.Time{}
				p.killEntry(e)
				p.startEntry(e)
			}
		})
	})
}

// The same tasks are lost several times, each time beside another task that crashes
// its workers.
func TestTasksBesideCulpritComplete(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		p := newCrashPlay(2, 2, seed)
		for range 4 {
			p.submitNext(1, true)
			p.submitNext(3, false)
			p.run(time.Duration(p.random.Int64N(int64(time.Second))))
		}
		p.finish(t, func() {})
	})
}

// A task may be lost beside one culprit after another, each time long after its start.
func TestTasksBesideOneCulpritAfterAnotherComplete(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		p := newCrashPlay(2, 1, seed)
		p.vms[0].taskTime = 10 * time.Second
		p.submitNext(3, false)
		var calmSince time.Time
		p.finish(t, func() {
			now := time.Now()
			if len(p.culpritOf) == 6 || len(p.vms[0].runs()) == 0 {
				calmSince = now
			}
			if now.Sub(calmSince) > time.Second {
				p.submitNext(1, true)
				calmSince = now.Add(crashRestartDelay)
			}
		})
	})
}

// Workers end for many reasons that are no fault of their tasks.
func TestOwnCrashesOfWorkersFailNoJob(t *testing.T) {
	kinds := []string{"agent-killed", "agents-killed", "entry-killed", "worker-leaves", "worker-mute", "worker-reborn", "worker-replaced", "worker-stays"}
	kinds = append(kinds, append(crashKinds(), crashKinds()...)...)
	eachSeed(t, func(t *testing.T, seed uint64) {
		var c *cluster
		playFaults(t, seed, kinds, false, func(played *cluster) { c = played })
		checkNoneFailed(t, c, nil)
	})
}

// The evidence of a crash may be lost in another fault, and a fault may look like one.
func TestCrashBoundHoldsBesideFaults(t *testing.T) {
	kinds := append(enabledKinds(), crashKinds()...)
	eachSeed(t, func(t *testing.T, seed uint64) {
		var c *cluster
		var p *culprits
		playFaults(t, seed, kinds, false, func(played *cluster) {
			if c != nil {
				return
			}
			c, p = played, newCulprits(played, seed)
			for n := 5; n < 200; n += 10 {
				p.add(fmt.Sprintf("%016x.0.0.0", n))
			}
		})
		t.Logf("%d crashes by tasks", p.check(t))
		checkNoneFailed(t, c, p)
	})
}

func crashKinds() []string { return slices.Sorted(maps.Keys(crashFaults)) }

// checkNoneFailed checks that no job has failed without a task that crashes its workers.
func checkNoneFailed(t *testing.T, c *cluster, p *culprits) {
	ended := newOutcomes(c)
	ended.of(t, "")
	states := map[string]int{}
	for id, j := range ended.state.Jobs {
		state := "not ended"
		if j.Outcome != nil {
			state = j.Outcome.State
		}
		if p != nil && p.has(id+".0.0.0") {
			states["crashing "+state]++
			continue
		}
		states[state]++
		if state == jobreducer.Failed {
			t.Errorf("job %s is failed", id)
		}
	}
	t.Logf("%d runs lost in crashes, jobs by state: %v", c.checker.crashed, states)
	if c.checker.crashed == 0 {
		t.Error("no run was lost in a crash, so the test shows nothing")
	}
	c.checker.dump(t)
}
