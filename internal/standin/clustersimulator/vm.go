package clustersimulator

import (
	"math"
	"time"

	"knapweedspur/internal/sidecar/pacer"
	"knapweedspur/internal/wire/work"
)

const (
	// step is the time in which the world goes on.
	step = 25 * time.Millisecond
	// poll is the interval of an agent's reports without a change.
	poll = 125 * time.Millisecond
	// pollFar is the same on VMs where nothing is paced.
	pollFar = 250 * time.Millisecond
	// paceDelay is the time until a pace takes effect.
	paceDelay = 100 * time.Millisecond
	// latencyWindow is the time that a tail latency covers.
	latencyWindow = 500 * time.Millisecond
	// startUp is how long a serving task takes until it is at work.
	startUp = 500 * time.Millisecond
	// fullLoad bounds the load of a queue, so that its tail is finite.
	fullLoad = 0.98
)

// machine is a VM with its agent and worker.
type machine struct {
	name    string
	vitals  work.WorkerStatus
	fence   int64
	handled int64
	seen    int64
	number  int64
	tasks   []*task
	ends    []work.RunEnd
	starts  map[string]work.Start
	pacer   *pacer.Pacer
	due     time.Duration
}

// task is a run at work.
type task struct {
	start   work.Start
	client  *client
	step    int
	index   int
	began   time.Duration
	seconds float64
	// done is the progress in seconds of an idle VM.
	done  float64
	pace  float64
	next  float64
	since time.Duration
	used  float64
	phase float64
	tails []tail
	over  bool
	// theirs says that the task would meet its objective without fillers.
	theirs bool
}

type tail struct {
	at    time.Duration
	value float64
}

// load is the load of a serving task of its own.
func (t *task) load(now time.Duration) float64 {
	k := t.client.kind
	return k.Use * (1 + k.Swing*math.Sin(2*math.Pi*now.Seconds()/k.Period.Seconds()+t.phase))
}

// work lets the tasks of a VM go on for one step of time.
func (m *machine) work(w *Simulation, now time.Duration) {
	free := float64(m.vitals.Capacity.Millicores)
	wanted := 0.0
	for _, t := range m.tasks {
		if t.next != t.pace && now >= t.since {
			t.pace = t.next
		}
		size := float64(t.start.Millicores)
		switch k := t.client.kind; {
		case k.Serves:
			t.used = t.load(now) * size
			free -= t.used
		case k.Fills:
			wanted += size * t.pace
		default:
			t.used = size
			free -= size
			t.done += step.Seconds()
		}
	}
	share := min(1, max(0, free)/max(wanted, 1))
	pressure := map[string]float64{}
	for _, t := range m.tasks {
		if t.client.kind.Fills {
			got := t.pace * share
			t.used = got * float64(t.start.Millicores)
			t.done += step.Seconds() * got
			pressure[t.start.Image] += t.used / float64(m.vitals.Capacity.Millicores)
		}
	}
	for _, t := range m.tasks {
		if t.client.kind.Serves {
			m.serve(w, t, pressure, now)
		}
	}
}

// serve measures a serving task beside fillers.
func (m *machine) serve(w *Simulation, t *task, pressure map[string]float64, now time.Duration) {
	own := t.load(now)
	load := own
	for image, share := range pressure {
		load += share * w.weight(image, t.start.Image, now)
	}
	base := float64(t.client.kind.Tail) / float64(time.Millisecond)
	value := base / (1 - min(load, fullLoad))
	for len(t.tails) > 0 && (t.tails[len(t.tails)-1].value <= value) {
		t.tails = t.tails[:len(t.tails)-1]
	}
	t.tails = append(t.tails, tail{now, value})
	for now-t.tails[0].at > latencyWindow {
		t.tails = t.tails[1:]
	}
	limit := float64(t.start.LatencyTarget) / float64(time.Millisecond)
	t.over = now-t.began > startUp && t.tails[0].value > limit
	t.theirs = t.over && base/(1-min(own, fullLoad)) <= limit
}

// settle ends tasks that are done and returns whether there are any.
func (m *machine) settle() bool {
	changed := false
	kept := m.tasks[:0]
	for _, t := range m.tasks {
		if !t.client.kind.Serves && t.done >= t.seconds {
			m.end(t, "done")
			changed = true
			continue
		}
		kept = append(kept, t)
	}
	m.tasks = kept
	return changed
}

// end lists the end of a run.
func (m *machine) end(t *task, how string) {
	m.number++
	m.ends = append(m.ends, work.RunEnd{Number: m.number, Task: t.start.Task, Run: t.start.Run, Outcome: how})
}

// report is what the agent says, after it has paced its fillers.
func (m *machine) report(now time.Duration) *work.Report {
	active := make([]work.RunStatus, 0, len(m.tasks))
	paced := false
	for _, t := range m.tasks {
		a := work.RunStatus{Task: t.start.Task, Run: t.start.Run, Pace: int(math.Round(t.next * 100)), ProgressPercent: 100}
		switch {
		case t.client.kind.Serves:
			paced = true
			if now-t.began > startUp && len(t.tails) > 0 {
				a.Measurement = math.Ceil(t.tails[0].value)
			}
		default:
			a.Measurement, a.ProgressPercent = t.used, int(100*t.done/t.seconds)
		}
		active = append(active, a)
	}
	for run, percent := range m.pacer.Decide(active, m.starts, m.vitals.Capacity, now) {
		m.pacer.Confirm(run, percent)
		for _, t := range m.tasks {
			if t.start.Task == run.Task && t.start.Run == run.Run {
				t.next, t.since = float64(percent)/100, now+paceDelay
			}
		}
	}
	m.due = now + pollFar
	if paced {
		m.due = now + poll
	}
	return &work.Report{Fence: m.fence, WorkerStatus: m.vitals, CommandsHandled: m.handled, SessionConfirmed: true, ActiveRuns: active, Ends: append([]work.RunEnd(nil), m.ends...)}
}
