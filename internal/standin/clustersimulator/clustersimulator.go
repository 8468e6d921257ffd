package clustersimulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/job/planner"
	"knapweedspur/internal/sidecar/pacer"
	"knapweedspur/internal/wire/work"
)

const (
	pool = "pool"
	// after is how long a day goes on after the last job came.
	after = 10 * time.Second
	// logDelay is the time until a batch is in the log and its orders arrive.
	logDelay = 25 * time.Millisecond
	// harm is how long fillers may keep a serving task over its objective.
	harm = 4 * time.Second
	// lateFactor is how many times its objective a job may take to be of use.
	lateFactor = 3
	// restore is how long a task takes to go on from a checkpoint.
	restore = 250 * time.Millisecond
	// driftPeriod is the period in which the weight of a pair changes.
	driftPeriod = 5 * time.Second
)

func jobID(number uint64) string { return fmt.Sprintf("%016x", number) }

// World is a day that is being played.
type Simulation struct {
	load     *Workload
	start    time.Time
	now      time.Duration
	book     *planner.Planner
	state    *jobreducer.State
	offset   int64
	machines []*machine
	clients  []*client
	byID     map[string]*client
	weights  map[string]float64
	pending  []delayed
	result   *Result
}

// delayed are orders on their way.
type delayed struct {
	at     time.Duration
	orders map[string]*work.Commands
	grants map[string]*work.Grant
}

// Play plays a day and returns what it was worth.
func Simulate(l *Workload, policy planner.Policy, seed uint64) *Result {
	random := rand.New(rand.NewPCG(seed, 1))
	w := &Simulation{load: l, start: time.Unix(1_000_000, 0), state: jobreducer.New(), byID: map[string]*client{}, weights: map[string]float64{}}
	w.result = newResult(seed)
	w.clients = l.draw(random, w.start)
	w.press(random)
	if l.Known {
		w.state.Estimates = w.known()
	}
	w.book = planner.New(planner.Settings{MaxLease: 6 * time.Second, FarFactor: 1.5, Policy: policy}, w.state, w.start, func(string, ...any) {})
	for i := range l.VMs {
		m := &machine{name: fmt.Sprintf("vm%04d", i), starts: map[string]work.Start{}, pacer: pacer.New(), due: time.Duration(i%5) * step}
		m.pacer.HarmLimit = harm
		m.vitals = work.WorkerStatus{VM: m.name, Incarnation: 1, Pool: pool, Capacity: work.Size{Millicores: l.Millis, Memory: l.Memory}}
		w.machines = append(w.machines, m)
		w.book.RegisterAgent(&work.Hello{WorkerStatus: m.vitals, AgentIncarnation: "agent-" + m.name, Slot: m.name}, w.start)
	}
	for w.now = 0; w.now < l.Length+after; w.now += step {
		w.pass()
	}
	w.result.close(w)
	return w.result
}

// press draws which kinds of fillers press on which kinds of serving tasks:
// each serving kind depends on shared resources, each heavy filler uses one.
func (w *Simulation) press(r *rand.Rand) {
	resources := max(w.load.Resources, 1)
	for i := range w.load.Kinds {
		serve := &w.load.Kinds[i]
		for s := range serve.Images {
			sense := make([]float64, resources)
			for j := range sense {
				sense[j] = r.Float64()
			}
			for j := range w.load.Kinds {
				if fill := &w.load.Kinds[j]; serve.Serves && fill.Fills {
					w.pressOn(r, fill, serve.Name+string(rune('a'+s)), sense)
				}
			}
		}
	}
}

func (w *Simulation) pressOn(r *rand.Rand, fill *Kind, serve string, sense []float64) {
	for f := range fill.Images {
		weight := 0.3 * r.Float64()
		if float64(f) < fill.Heavy*float64(fill.Images) {
			weight += fill.Presses / 2 * sense[f%len(sense)] * (0.7 + 0.6*r.Float64())
		}
		w.weights[fill.Name+string(rune('a'+f))+"/"+serve] = weight
	}
}

// known returns the true weights.
func (w *Simulation) known() *work.InterferenceEstimates {
	e := &work.InterferenceEstimates{}
	for name, weight := range w.weights {
		fill, serve, _ := strings.Cut(name, "/")
		e.Pairs = append(e.Pairs, work.InterferenceEstimate{FillerImage: fill, ServingImage: serve, LoadIncrease: weight})
	}
	return e
}

// weight is by how much a kind of filler presses on a kind of serving task now.
func (w *Simulation) weight(fill, serve string, now time.Duration) float64 {
	x := w.weights[fill+"/"+serve]
	return x * (1 + w.load.Drift*math.Sin(2*math.Pi*now.Seconds()/driftPeriod.Seconds()+10*x))
}

// pass lets one step of time pass.
func (w *Simulation) pass() {
	now := w.start.Add(w.now)
	w.arrive(now)
	for len(w.pending) > 0 && w.pending[0].at <= w.now {
		w.deliver(w.pending[0])
		w.pending = w.pending[1:]
	}
	for _, m := range w.machines {
		m.work(w, w.now)
		if m.settle() || w.now >= m.due {
			w.book.HandleReport(m.name, m.report(w.now), now)
		}
	}
	w.result.observe(w)
	w.book.Tick(now)
	batch := w.book.Flush()
	for _, r := range batch.Records {
		r.Offset = w.offset
		w.offset++
		if err := w.state.Apply(r); err != nil {
			panic(fmt.Sprintf("the planner wrote a record that cannot be read: %v", err))
		}
	}
	batch.Confirm(now)
	w.pending = append(w.pending, delayed{w.now + logDelay, batch.Orders, batch.Grants})
}

// arrive hands in and cancels the jobs of clients.
func (w *Simulation) arrive(now time.Time) {
	for _, c := range w.clients {
		switch {
		case w.byID[c.record.ID] == nil && c.at <= w.now:
			w.byID[c.record.ID] = c
			w.book.AddJob(c.record, now)
		case c.kind.Serves && !c.left && c.leaves <= w.now:
			c.left = true
			w.book.CancelJob(c.record.ID, now)
		}
	}
}

func (w *Simulation) deliver(d delayed) {
	for _, m := range w.machines {
		if g := d.grants[m.name]; g != nil {
			m.fence, m.handled = g.Fence, 0
		}
		o := d.orders[m.name]
		if o == nil || o.Fence != m.fence {
			continue
		}
		m.handled, m.seen = o.Number, max(m.seen, o.EndsAcked)
		for len(m.ends) > 0 && m.ends[0].Number <= m.seen {
			m.ends = m.ends[1:]
		}
		m.pacer.Learn(o.Interference)
		for _, s := range o.Starts {
			w.begin(m, s)
		}
		for _, s := range o.Stops {
			m.stop(s)
		}
		m.due = w.now
	}
}

// begin starts a run.
func (w *Simulation) begin(m *machine, s work.Start) {
	parts := strings.Split(s.Task, ".")
	c := w.byID[parts[0]]
	number, err := strconv.Atoi(parts[2])
	if err != nil || c == nil {
		panic("the planner started " + s.Task)
	}
	index, err := strconv.Atoi(parts[3])
	if err != nil {
		panic("the planner started " + s.Task)
	}
	for _, t := range m.tasks {
		if t.start.Task == s.Task {
			return
		}
	}
	t := &task{start: s, client: c, step: number, index: index, began: w.now, seconds: c.seconds[number], pace: 1, next: 1}
	t.phase = c.phase
	if s.Checkpoint != "" {
		if done, err := strconv.ParseFloat(s.Checkpoint, 64); err == nil {
			t.done = done - restore.Seconds()
		}
	}
	m.starts[s.Task] = s
	m.tasks = append(m.tasks, t)
}

func (m *machine) stop(s work.RunRef) {
	for i, t := range m.tasks {
		if t.start.Task == s.Task && t.start.Run == s.Run {
			m.tasks = append(m.tasks[:i:i], m.tasks[i+1:]...)
			m.end(t, "stopped")
			if t.client.kind.Saves {
				m.ends[len(m.ends)-1].Checkpoint = strconv.FormatFloat(t.done, 'f', 3, 64)
			}
			return
		}
	}
}
