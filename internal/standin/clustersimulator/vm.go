package clustersimulator

import (
	"math"
	"time"

	"knapweedspur/internal/sidecar/pacer"
	"knapweedspur/internal/wire/work"
)

const (
	// timeStep is the time step of the simulation.
	timeStep = 25 * time.Millisecond
	// reportInterval is the interval of an agent's reports if nothing changes.
	reportInterval = 125 * time.Millisecond
	// unpacedReportInterval is the same on VMs without serving tasks, where fillers
	// are not paced.
	unpacedReportInterval = 250 * time.Millisecond
	// paceDelay is the time until a new pace takes effect.
	paceDelay = 100 * time.Millisecond
	// latencyWindow is the time window of a tail latency.
	latencyWindow = 500 * time.Millisecond
	// startupTime is how long a serving task takes until it serves.
	startupTime = 500 * time.Millisecond
	// maxLoad bounds the load of a queue, so that its tail latency is finite.
	maxLoad = 0.98
)

// vm is a VM with its agent and worker.
type vm struct {
	name               string
	workerStatus       work.WorkerStatus
	fence              int64
	handledCommands    int64
	acknowledgedEnds   int64
	lastEndNumber      int64
	tasks              []*task
	unacknowledgedEnds []work.RunEnd
	starts             map[string]work.Start
	pacer              *pacer.Pacer
	nextReport         time.Duration
}

// task is a task that is running on a VM.
type task struct {
	start        work.Start
	job          *simulatedJob
	stepIndex    int
	taskIndex    int
	startedAt    time.Duration
	totalSeconds float64
	// doneSeconds is the progress, in seconds on an idle VM.
	doneSeconds    float64
	pace           float64
	nextPace       float64
	paceChangeAt   time.Duration
	usedMillicores float64
	phase          float64
	latencyPeaks   []latencySample
	overObjective  bool
	// causedByFillers says that the task is over its objective and would meet it
	// without fillers.
	causedByFillers bool
}

type latencySample struct {
	at    time.Duration
	value float64
}

// ownLoad is the load of a serving task without interference.
func (t *task) ownLoad(now time.Duration) float64 {
	k := t.job.kind
	return k.Use * (1 + k.Swing*math.Sin(2*math.Pi*now.Seconds()/k.Period.Seconds()+t.phase))
}

// advance runs the tasks of a VM for one time step. Fillers share the capacity that
// other tasks leave.
func (v *vm) advance(s *Simulation, now time.Duration) {
	freeMillicores := float64(v.workerStatus.Capacity.Millicores)
	fillerMillicores := 0.0
	for _, t := range v.tasks {
		if t.nextPace != t.pace && now >= t.paceChangeAt {
			t.pace = t.nextPace
		}
		size := float64(t.start.Millicores)
		switch k := t.job.kind; {
		case k.Serves:
			t.usedMillicores = t.ownLoad(now) * size
			freeMillicores -= t.usedMillicores
		case k.Fills:
			fillerMillicores += size * t.pace
		default:
			t.usedMillicores = size
			freeMillicores -= size
			t.doneSeconds += timeStep.Seconds()
			t.job.usedCoreSeconds += timeStep.Seconds() * size / 1000
		}
	}
	share := min(1, max(0, freeMillicores)/max(fillerMillicores, 1))
	pressure := map[string]float64{}
	for _, t := range v.tasks {
		if t.job.kind.Fills {
			rate := t.pace * share
			t.usedMillicores = rate * float64(t.start.Millicores)
			t.doneSeconds += timeStep.Seconds() * rate
			t.job.usedCoreSeconds += timeStep.Seconds() * t.usedMillicores / 1000
			pressure[t.start.Image] += t.usedMillicores / float64(v.workerStatus.Capacity.Millicores)
		}
	}
	for _, t := range v.tasks {
		if t.job.kind.Serves {
			v.measureLatency(s, t, pressure, now)
		}
	}
}

// measureLatency updates the tail latency of a serving task under the interference
// of fillers. latencyPeaks holds the samples of the window that no later one
// exceeds, so its first is the maximum.
func (v *vm) measureLatency(s *Simulation, t *task, pressure map[string]float64, now time.Duration) {
	ownLoad := t.ownLoad(now)
	load := ownLoad
	for image, share := range pressure {
		load += share * s.weightAt(image, t.start.Image, now)
	}
	baseLatency := float64(t.job.kind.Tail) / float64(time.Millisecond)
	latency := baseLatency / (1 - min(load, maxLoad))
	for len(t.latencyPeaks) > 0 && (t.latencyPeaks[len(t.latencyPeaks)-1].value <= latency) {
		t.latencyPeaks = t.latencyPeaks[:len(t.latencyPeaks)-1]
	}
	t.latencyPeaks = append(t.latencyPeaks, latencySample{now, latency})
	for now-t.latencyPeaks[0].at > latencyWindow {
		t.latencyPeaks = t.latencyPeaks[1:]
	}
	objective := float64(t.start.LatencyTarget) / float64(time.Millisecond)
	t.overObjective = now-t.startedAt > startupTime && t.latencyPeaks[0].value > objective
	t.causedByFillers = t.overObjective && baseLatency/(1-min(ownLoad, maxLoad)) <= objective
}

// finishTasks ends tasks that are done and reports whether there were any.
func (v *vm) finishTasks() bool {
	anyFinished := false
	unfinished := v.tasks[:0]
	for _, t := range v.tasks {
		if !t.job.kind.Serves && t.doneSeconds >= t.totalSeconds {
			v.recordEnd(t, "done")
			anyFinished = true
			continue
		}
		unfinished = append(unfinished, t)
	}
	v.tasks = unfinished
	return anyFinished
}

// recordEnd queues the end of a run for the next reports.
func (v *vm) recordEnd(t *task, outcome string) {
	v.lastEndNumber++
	v.unacknowledgedEnds = append(v.unacknowledgedEnds, work.RunEnd{Number: v.lastEndNumber, Task: t.start.Task, Run: t.start.Run, Outcome: outcome})
}

// report paces the fillers and returns the agent's report.
func (v *vm) report(s *Simulation, now time.Duration) *work.Report {
	active := make([]work.RunStatus, 0, len(v.tasks))
	hasServingTask := false
	for _, t := range v.tasks {
		a := work.RunStatus{Task: t.start.Task, Run: t.start.Run, Pace: int(math.Round(t.nextPace * 100)), ProgressPercent: 100}
		switch {
		case t.job.kind.Serves:
			hasServingTask = true
			if now-t.startedAt > startupTime && len(t.latencyPeaks) > 0 {
				a.Measurement = math.Ceil(t.latencyPeaks[0].value * math.Exp(s.workload.Noise*s.noise.NormFloat64()))
			}
		default:
			a.Measurement, a.ProgressPercent = t.usedMillicores, int(100*t.doneSeconds/t.totalSeconds)
		}
		active = append(active, a)
	}
	for run, percent := range v.pacer.Decide(active, v.starts, v.workerStatus.Capacity, now) {
		v.pacer.Confirm(run, percent)
		for _, t := range v.tasks {
			if t.start.Task == run.Task && t.start.Run == run.Run {
				t.nextPace, t.paceChangeAt = float64(percent)/100, now+paceDelay
			}
		}
	}
	v.nextReport = now + unpacedReportInterval
	if hasServingTask {
		v.nextReport = now + reportInterval
	}
	return &work.Report{Fence: v.fence, WorkerStatus: v.workerStatus, CommandsHandled: v.handledCommands, SessionConfirmed: true, ActiveRuns: active, Ends: append([]work.RunEnd(nil), v.unacknowledgedEnds...)}
}
