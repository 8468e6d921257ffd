package planner

import (
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"knapweedspur/internal/frontend/admissiondecider"
	"knapweedspur/internal/job/jobmeasurer"
	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/wire/work"
)

// client submits one job and comes back as told, up to four times.
type client struct {
	job                   *work.Job
	firstSent, next, done time.Time
	attempts              int
	accepted              bool
}

// useful reports whether the client got its result in time to be useful.
func (c *client) useful() bool {
	return !c.done.IsZero() && c.done.Sub(c.firstSent) <= usefulFor
}

// admittingEntry is an entry that knows only the forecast, and that one late.
type admittingEntry struct {
	decider admissiondecider.Decider
	delay   time.Duration
	epoch   int64
}

// burst plays a load of 0.6 of two VMs, with a burst of burstLoad times their capacity
// from the 5th to the 11th second. Each task takes between half and twice its declared
// time. Entries take turns; without entries all jobs are accepted.
type burst struct {
	*simulation
	random    *rand.Rand
	filler    bool
	entries   []*admittingEntry
	forecasts []*work.RoomForecast
	clients   []*client
	// ran is the time of work that each task has got, at full speed.
	ran map[string]time.Duration
	// refusals counts all refusals, refusedWithRoom those while a VM had room.
	refusals, refusedWithRoom int
}

const (
	burstStep = 100 * time.Millisecond
	burstLoad = 12
	usualLoad = 0.6
	// usefulFor is how long a job of the burst is useful: three times its objective
	// of twice a second and 4 s more.
	usefulFor       = 18 * time.Second
	leaderEpoch     = 1
	burstCores      = 16
	clientsArriveIn = 120 * time.Second
	burstEndsAfter  = 150 * time.Second
)

func playBurst(t *testing.T, filler bool, entries ...*admittingEntry) *burst {
	b := &burst{simulation: newSimulation(t), random: rand.New(rand.NewPCG(3, 4)), filler: filler, entries: entries, ran: map[string]time.Duration{}}
	b.addVM("a", 1000*burstCores/2, 8000)
	b.addVM("b", 1000*burstCores/2, 8000)
	start, owed := b.now, 0.0
	for b.now.Before(start.Add(burstEndsAfter)) {
		elapsed := b.now.Sub(start)
		if elapsed < clientsArriveIn {
			load := usualLoad
			if elapsed > 5*time.Second && elapsed < 11*time.Second {
				load = burstLoad
			}
			for owed += load * burstCores * burstStep.Seconds(); owed > 0; {
				owed -= b.addClient()
			}
		}
		b.step()
	}
	return b
}

// addClient adds a client with a job of 1 to 8 tasks and returns its core-seconds.
func (b *burst) addClient() float64 {
	spec := stepSpec([]int{1, 2, 4, 8}[b.random.IntN(4)], 1000)
	spec.Filler = b.filler
	job := &work.Job{ID: jobID(len(b.clients) + 1), Steps: []work.Step{spec}, Queue: work.Queue{Name: "queue", Pool: "pool", MaxFailures: 2, Stretch: 2, Target: 4 * time.Second}}
	b.clients = append(b.clients, &client{job: job, firstSent: b.now, next: b.now})
	return float64(spec.Tasks)
}

func (b *burst) step() {
	b.now = b.now.Add(burstStep)
	for _, name := range []string{"a", "b"} {
		v := b.vms[name]
		share := min(1, burstCores/2/float64(max(len(v.active), 1)))
		for i := len(v.active) - 1; i >= 0; i-- {
			b.runTask(v, &v.active[i], share)
		}
		b.sendReport(name)
	}
	if f := b.planner.Outlook(leaderEpoch, b.now); f != nil {
		b.forecasts = append(b.forecasts, f)
	}
	for _, c := range b.clients {
		if !c.accepted && c.attempts <= 4 && !b.now.Before(c.next) {
			b.submit(c)
		}
		if c.accepted && c.done.IsZero() && b.outcome(c.job.ID) == jobreducer.Completed {
			c.done = b.now
		}
	}
}

// taskTime returns how long a task takes: the same in each play.
func taskTime(task string) time.Duration {
	h := fnv.New64a()
	_, _ = h.Write([]byte(task)) // a hash returns no error
	random := rand.New(rand.NewPCG(h.Sum64(), 1))
	return time.Duration(float64(time.Second) * (0.5 + 1.5*random.Float64()*random.Float64()))
}

// runTask moves a task on that gets a share of the core that it asks for, and ends it
// after its time.
func (b *burst) runTask(v *simulatedVM, run *work.RunStatus, share float64) {
	if b.filler {
		run.Measurement = 1000 * share
	}
	ran, takes := b.ran[run.Task], taskTime(run.Task)
	b.ran[run.Task] += time.Duration(share * float64(burstStep))
	run.ProgressPercent = int(100 * ran / takes)
	if ran >= takes {
		b.endRun(v, run.Task, "done")
	}
}

func (b *burst) submit(c *client) {
	c.attempts++
	if len(b.entries) > 0 && b.refuse(b.entries[(len(b.clients)+c.attempts)%len(b.entries)], c) {
		return
	}
	c.accepted, c.job.AcceptedAt = true, b.now
	b.acceptJob(c.job)
}

// refuse lets an entry decide, and returns whether it refuses the job.
func (b *burst) refuse(e *admittingEntry, c *client) bool {
	s := admissiondecider.Situation{Epoch: e.epoch, Entries: len(b.entries)}
	for _, f := range b.forecasts {
		if age := b.now.Sub(f.WrittenAt); age >= e.delay {
			s.Forecast, s.Age = f, age
		}
	}
	r := admissiondecider.Judge(c.job, s)
	if r == nil {
		return false
	}
	e.decider.Refuse(c.job, r, s.Entries, b.now)
	c.next = b.now.Add(r.RetryAfter)
	b.refusals++
	for _, v := range b.planner.sortedVMs {
		if v.fits(&c.job.Steps[0]) {
			b.refusedWithRoom++
			break
		}
	}
	return true
}

// count returns how many clients got their result within their objective, and how many
// in time for any use.
func (b *burst) count() (inTime, useful int) {
	for _, c := range b.clients {
		if c.useful() {
			useful++
			if c.done.Sub(c.firstSent) <= jobmeasurer.Objective(c.job) {
				inTime++
			}
		}
	}
	return inTime, useful
}

// Refusals must not cost any client a useful result, and must spare others the wait for
// one that is useless.
func TestRefusalsInBurstCostNoUsefulResult(t *testing.T) {
	entry := func(delay time.Duration, epoch int64) *admittingEntry {
		return &admittingEntry{delay: delay, epoch: epoch}
	}
	const soon = 300 * time.Millisecond
	cases := []struct {
		name            string
		filler, refuses bool
		entries         []*admittingEntry
	}{
		{"two entries", false, true, []*admittingEntry{entry(soon, leaderEpoch), entry(soon, leaderEpoch)}},
		{"fillers", true, true, []*admittingEntry{entry(soon, leaderEpoch), entry(soon, leaderEpoch)}},
		{"one entry lags", false, true, []*admittingEntry{entry(soon, leaderEpoch), entry(2*time.Second, leaderEpoch)}},
		{"slow log", false, true, []*admittingEntry{entry(1500*time.Millisecond, leaderEpoch), entry(1500*time.Millisecond, leaderEpoch)}},
		{"forecast 20 s old", false, false, []*admittingEntry{entry(20*time.Second, leaderEpoch)}},
		{"forecast of an earlier leader", false, false, []*admittingEntry{entry(soon, leaderEpoch+1)}},
	}
	baselines := map[bool]*burst{false: playBurst(t, false), true: playBurst(t, true)}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			before, after := baselines[c.filler], playBurst(t, c.filler, c.entries...)
			inTimeBefore, usefulBefore := before.count()
			inTime, useful := after.count()
			shortestWait := time.Hour
			for i, x := range after.clients {
				if old := before.clients[i]; x.attempts > 1 && !old.done.IsZero() {
					shortestWait = min(shortestWait, old.done.Sub(old.firstSent))
				}
			}
			t.Logf("of %d clients %d in time and %d useful, with refusals %d and %d; %d refusals; the refused waited %s and more", len(after.clients), inTimeBefore, usefulBefore, inTime, useful, after.refusals, shortestWait)
			if inTime < inTimeBefore || useful < usefulBefore || after.refusedWithRoom > 0 {
				t.Errorf("%d in time, %d useful, %d refused with room", inTime, useful, after.refusedWithRoom)
			}
			if refuses := after.refusals > 0; refuses != c.refuses {
				t.Errorf("%d refusals", after.refusals)
			}
			if c.refuses && shortestWait <= usefulFor {
				t.Errorf("a refused client would have got a useful result after %s", shortestWait)
			}
		})
	}
}
