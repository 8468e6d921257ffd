package planner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"knapweedspur/internal/job/healthtracker"
	"knapweedspur/internal/wire/work"
)

// fleet lets the VMs of a simulation work: their runs progress and end.
type fleet struct {
	*simulation
	random *rand.Rand
	began  time.Time
	// speed and fails give the speed of a VM and whether a run that ends there
	// fails, nil for sound VMs.
	speed func(vm string, elapsed time.Duration) float64
	fails func(vm, task string, elapsed time.Duration) bool
	// frozen is a VM whose list of runs does not change, although it works on.
	frozen string
	// seconds is how long a task takes on a sound VM.
	seconds func(task string) float64
	worked  map[string]float64
	jobs    int
	// occupied is for how long each run was at work, done the sum for those that
	// completed.
	occupied map[string]time.Duration
	done     time.Duration
}

func newFleet(t *testing.T, vms int) *fleet {
	f := &fleet{simulation: newSimulation(t), random: rand.New(rand.NewPCG(1, 1)), worked: map[string]float64{}, occupied: map[string]time.Duration{}}
	f.seconds = func(string) float64 { return 0.6 }
	for i := range vms {
		f.addVM(fmt.Sprintf("vm%02d", i), 4000, 100_000, fmt.Sprintf("rack%d", i/5))
	}
	f.began = f.now
	return f
}

func (f *fleet) elapsed() time.Duration { return f.now.Sub(f.began) }

// play lets time pass, and submits a job of some tasks at an interval.
func (f *fleet) play(d time.Duration, interval time.Duration, spec work.Step) {
	const tick = 50 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(tick)
		if interval > 0 && f.elapsed()%interval < tick {
			f.jobs++
			f.submitJob(jobID(f.jobs), spec)
		}
		for _, v := range f.planner.sortedVMs {
			f.work(v.name, tick)
		}
		f.runPass()
	}
}

func (f *fleet) work(name string, tick time.Duration) {
	v := f.vms[name]
	speed := 1.0
	if f.speed != nil {
		speed = f.speed(name, f.elapsed())
	}
	for _, a := range slices.Clone(v.active) {
		key := fmt.Sprintf("%s %d", a.Task, a.Run)
		f.occupied[key] += tick
		f.worked[key] += tick.Seconds() * speed
		if name == f.frozen {
			continue
		}
		if percent := int(100 * f.worked[key] / f.seconds(a.Task)); percent < 100 {
			i := slices.IndexFunc(v.active, func(o work.RunStatus) bool { return o.Task == a.Task })
			v.active[i].ProgressPercent = percent
			continue
		}
		outcome := endDone
		if f.fails != nil && f.fails(name, a.Task, f.elapsed()) {
			outcome = endFailed
		} else {
			f.done += f.occupied[key]
		}
		f.endRun(v, a.Task, outcome)
	}
	if !v.silent {
		f.sendReport(name)
	}
}

// lostShare returns the share of the work that was not completed.
func (f *fleet) lostShare() float64 {
	total := time.Duration(0)
	for _, d := range f.occupied {
		total += d
	}
	return 1 - f.done.Seconds()/total.Seconds()
}

// startsOn returns how many runs a VM has been sent.
func (f *fleet) startsOn(name string) int { return len(f.vms[name].mute.starts) }

// between reports whether a time is in a range of seconds.
func between(elapsed time.Duration, from, to float64) bool {
	return elapsed.Seconds() >= from && elapsed.Seconds() < to
}

// A VM that is unwell from 5 s to 11 s gets at most three tasks more than a sound one
// from 6 s on, and its share of work again after.
func TestUnwellVMGetsLittleWork(t *testing.T) {
	cases := []struct {
		name  string
		speed func(vm string, elapsed time.Duration) float64
		fails func(f *fleet) func(vm, task string, elapsed time.Duration) bool
		// most is the most starts from 6 s to 11 s.
		most int
	}{
		{name: "slow", most: 3, speed: func(vm string, elapsed time.Duration) float64 {
			if vm == "vm00" && between(elapsed, 5, 11) {
				return 0.2
			}
			return 1
		}},
		{name: "fails all", most: 3, fails: func(*fleet) func(string, string, time.Duration) bool {
			return func(vm, _ string, elapsed time.Duration) bool { return vm == "vm00" && between(elapsed, 5, 11) }
		}},
		{name: "fails half", most: 10, fails: func(f *fleet) func(string, string, time.Duration) bool {
			return func(vm, _ string, elapsed time.Duration) bool {
				return vm == "vm00" && between(elapsed, 5, 11) && f.random.IntN(2) == 0
			}
		}},
		{name: "flaps", most: 10, fails: func(*fleet) func(string, string, time.Duration) bool {
			return func(vm, _ string, elapsed time.Duration) bool {
				return vm == "vm00" && between(elapsed, 5, 11) && elapsed%(2*time.Second) < time.Second
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 8)
			f.speed = c.speed
			if c.fails != nil {
				f.fails = c.fails(f)
			}
			spec := stepSpec(4, 500)
			f.play(6*time.Second, 150*time.Millisecond, spec)
			before, other := f.startsOn("vm00"), f.startsOn("vm01")
			f.play(5*time.Second, 150*time.Millisecond, spec)
			unwell, sound := f.startsOn("vm00")-before, f.startsOn("vm01")-other
			f.play(5*time.Second, 150*time.Millisecond, spec)
			before, other = f.startsOn("vm00"), f.startsOn("vm01")
			f.play(4*time.Second, 150*time.Millisecond, spec)
			again, usual := f.startsOn("vm00")-before, f.startsOn("vm01")-other
			t.Logf("starts while unwell %d, sound %d; after %d, sound %d", unwell, sound, again, usual)
			if unwell > c.most {
				t.Errorf("%d starts on the unwell VM in 5 s, want at most %d (a sound one got %d)", unwell, c.most, sound)
			}
			if 2*again < usual {
				t.Errorf("%d starts on the VM once it is well, want about as many as on another (%d)", again, usual)
			}
		})
	}
}

// A VM that stays slow is tried now and then only.
func TestVMSlowForGood(t *testing.T) {
	f := newFleet(t, 8)
	f.speed = func(vm string, _ time.Duration) float64 {
		if vm == "vm00" {
			return 0.15
		}
		return 1
	}
	f.play(4*time.Second, 150*time.Millisecond, stepSpec(4, 500))
	before := f.startsOn("vm00")
	f.play(20*time.Second, 150*time.Millisecond, stepSpec(4, 500))
	if n := f.startsOn("vm00") - before; n > 8 || n == 0 {
		t.Errorf("%d starts in 20 s on a VM that stays slow, want 1 to 8", n)
	}
}

// A rack whose VMs are all slow is used again once they are well, and as long as
// nothing else has room.
func TestSlowRack(t *testing.T) {
	f := newFleet(t, 10)
	f.speed = func(vm string, elapsed time.Duration) float64 {
		if vm < "vm05" && between(elapsed, 3, 8) {
			return 0.2
		}
		return 1
	}
	spec := stepSpec(6, 500)
	f.play(4500*time.Millisecond, 150*time.Millisecond, spec)
	before := f.startsOn("vm02")
	f.play(3500*time.Millisecond, 150*time.Millisecond, spec)
	if n := f.startsOn("vm02") - before; n > 4 {
		t.Errorf("%d starts in 3.5 s on a VM of the slow rack, want at most 4", n)
	}
	f.play(5*time.Second, 150*time.Millisecond, spec)
	before, other := f.startsOn("vm02"), f.startsOn("vm07")
	f.play(4*time.Second, 150*time.Millisecond, spec)
	if n, usual := f.startsOn("vm02")-before, f.startsOn("vm07")-other; 2*n < usual {
		t.Errorf("%d starts on a VM of the rack once it is well, want about %d", n, usual)
	}
}

// Steps that take far longer than declared, and single tasks that do, are no fault of
// their VMs; neither is a VM that is only silent.
func TestHardTasksAndSilenceAreNoSlowVM(t *testing.T) {
	judged := ""
	f := newFleet(t, 8)
	f.planner.logDecision = func(decision string, fields ...any) {
		if decision == "slow VM" {
			judged += fmt.Sprintln(fields...)
		}
	}
	f.seconds = func(task string) float64 {
		if strings.HasSuffix(task, ".7") {
			return 7 * 0.6
		}
		return 0.6
	}
	hard := stepSpec(16, 500)
	hard.EstimatedDuration = 100 * time.Millisecond
	f.play(6*time.Second, 800*time.Millisecond, hard)
	f.vms["vm03"].silent = true
	f.play(time.Second, 800*time.Millisecond, hard)
	f.vms["vm03"].silent = false
	f.play(4*time.Second, 800*time.Millisecond, hard)
	if judged != "" {
		t.Errorf("VMs counted as slow:\n%s", judged)
	}
}

// A VM whose agent reports an old list of runs for a while is not slow.
func TestOldListIsNoSlowVM(t *testing.T) {
	f := newFleet(t, 8)
	f.play(4*time.Second, 800*time.Millisecond, stepSpec(16, 500))
	f.frozen = "vm04"
	f.play(550*time.Millisecond, 800*time.Millisecond, stepSpec(16, 500))
	f.frozen = ""
	f.play(time.Second, 800*time.Millisecond, stepSpec(16, 500))
	if f.planner.counters.SlowVMs > 0 {
		t.Error("the VM counts as slow")
	}
}

// Where only a slow VM has room, tasks wait for less than the three seconds that they
// may wait beside room.
func TestSlowVMIsTheLastResort(t *testing.T) {
	f := newFleet(t, 1)
	for _, run := range []string{"a", "b", "c"} {
		f.planner.vms["vm00"].health.ObserveRun(run, 0.1, healthtracker.PeerSpread, f.now)
	}
	f.runPass()
	if f.planner.vms["vm00"].health.OnProbation() != healthtracker.Slow {
		t.Fatal("the VM does not count as slow")
	}
	f.submitJob(jobID(1), stepSpec(1, 500))
	if n := f.startsOn("vm00"); n != 0 {
		t.Fatalf("%d starts at once on a slow VM, want none before the pause is over", n)
	}
	f.play(maxSlowWait+200*time.Millisecond, 0, work.Step{})
	if n := f.startsOn("vm00"); n != 1 {
		t.Errorf("%d starts on the only VM, want 1", n)
	}
}

// A new leader goes on with the VMs on probation, unless their worker is another one.
func TestNewLeaderKnowsSlowVMs(t *testing.T) {
	f := newFleet(t, 2)
	slow := func(name string) bool { return f.planner.vms[name].health.OnProbation() == healthtracker.Slow }
	for _, name := range []string{"vm00", "vm01"} {
		for _, run := range []string{"a", "b"} {
			f.planner.vms[name].health.ObserveRun(run, 0.1, healthtracker.PeerSpread, f.now)
		}
	}
	f.play(100*time.Millisecond, 0, work.Step{})
	if !slow("vm00") || !slow("vm01") {
		t.Fatal("the VMs do not count as slow")
	}
	f.vms["vm01"].workerStatus.Incarnation++
	f.sendHello("vm01")
	f.runPass()
	f.restart()
	if !slow("vm00") || slow("vm01") {
		t.Errorf("under a new leader slow: %t, with another worker: %t; want true, false", slow("vm00"), slow("vm01"))
	}
}

// All tasks of a long-running step start in time where only a slow VM has room: none
// of them may be away for long, whether others run or not.
func TestLongRunningTasksDoNotWaitForSoundVM(t *testing.T) {
	f := newFleet(t, 1)
	for _, run := range []string{"a", "b", "c"} {
		f.planner.vms["vm00"].health.ObserveRun(run, 0.1, healthtracker.PeerSpread, f.now)
	}
	f.runPass()
	f.seconds = func(string) float64 { return 1000 }
	f.submitJob(jobID(1), longRunningSpec(4))
	f.play(maxSlowWait+servingBatchMaxWait+200*time.Millisecond, 0, work.Step{})
	if n := f.startsOn("vm00"); n != 4 {
		t.Errorf("%d tasks were started, want 4", n)
	}
}
