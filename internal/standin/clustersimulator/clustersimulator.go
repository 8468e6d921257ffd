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
	poolName = "pool"
	// drainTime is how long a simulation continues after the last job can arrive.
	drainTime = 10 * time.Second
	// deliveryLatency is the time until a batch is in the log and its commands
	// arrive at the VMs.
	deliveryLatency = 25 * time.Millisecond
	// maxTargetMiss is how long fillers may keep a serving task over its objective.
	maxTargetMiss = 4 * time.Second
	// lateFactor is how many times its objective a job may take and still earn its
	// late worth.
	lateFactor = 3
	// restoreTime is how long a task takes to resume from a checkpoint.
	restoreTime = 250 * time.Millisecond
	// driftPeriod is the period of the change of a pair's interference weight.
	driftPeriod = 5 * time.Second
)

func jobID(number uint64) string { return fmt.Sprintf("%016x", number) }

// Simulation is the state of one simulation run. interference is the weight by
// which a filler image slows a serving image, keyed filler/serving.
type Simulation struct {
	workload     *Workload
	startTime    time.Time
	elapsed      time.Duration
	planner      *planner.Planner
	state        *jobreducer.State
	nextOffset   int64
	vms          []*vm
	jobs         []*simulatedJob
	jobsByID     map[string]*simulatedJob
	interference map[string]float64
	deliveries   []delivery
	result       *Result
	// noise disturbs measured latencies.
	noise *rand.Rand
}

// delivery holds commands and grants that are on their way to the VMs.
type delivery struct {
	due      time.Duration
	commands map[string]*work.Commands
	grants   map[string]*work.Grant
}

// Simulate runs a workload under a planner's settings and returns the worth it
// earned. A seed always draws the same jobs, so that settings can be compared.
func Simulate(workload *Workload, settings planner.Settings, seed uint64) *Result {
	random := rand.New(rand.NewPCG(seed, 1))
	s := &Simulation{workload: workload, startTime: time.Unix(1_000_000, 0), state: jobreducer.New(), jobsByID: map[string]*simulatedJob{}, interference: map[string]float64{}}
	s.noise = rand.New(rand.NewPCG(seed, 2))
	s.result = newResult(seed)
	s.jobs = workload.drawJobs(random, s.startTime)
	s.drawInterference(random)
	if workload.Known {
		s.state.Estimates = s.trueEstimates()
	}
	settings.MaxLease, settings.FarFactor = 6*time.Second, 1.5
	s.planner = planner.New(settings, s.state, s.startTime, func(string, ...any) {})
	for i := range workload.VMs {
		v := &vm{name: fmt.Sprintf("vm%04d", i), starts: map[string]work.Start{}, pacer: pacer.New(), nextReport: time.Duration(i%5) * timeStep}
		v.pacer.MaxTargetMiss, v.pacer.Gates = maxTargetMiss, settings.Gates
		v.workerStatus = work.WorkerStatus{VM: v.name, Incarnation: 1, Pool: poolName, Capacity: work.Size{Millicores: workload.Millis, Memory: workload.Memory}}
		s.vms = append(s.vms, v)
		s.planner.RegisterAgent(&work.Hello{WorkerStatus: v.workerStatus, AgentIncarnation: "agent-" + v.name, Host: v.name}, s.startTime)
	}
	for s.elapsed = 0; s.elapsed < workload.Length+drainTime; s.elapsed += timeStep {
		s.advance()
	}
	s.result.summarize(s)
	return s.result
}

// drawInterference draws by how much each filler image slows each serving image:
// each serving image is sensitive to shared resources, and each heavy filler image
// uses one of them.
func (s *Simulation) drawInterference(random *rand.Rand) {
	resources := max(s.workload.Resources, 1)
	for i := range s.workload.Kinds {
		serving := &s.workload.Kinds[i]
		for image := range serving.Images {
			sensitivities := make([]float64, resources)
			for j := range sensitivities {
				sensitivities[j] = s.workload.drawSensitivity(random)
			}
			for j := range s.workload.Kinds {
				if filler := &s.workload.Kinds[j]; serving.Serves && filler.Fills {
					s.drawWeights(random, filler, serving.Name+string(rune('a'+image)), sensitivities)
				}
			}
		}
	}
}

// drawSensitivity draws how sensitive a serving image is to one resource.
func (w *Workload) drawSensitivity(random *rand.Rand) float64 {
	x := random.Float64()
	if w.Sensitive == 0 {
		return x
	}
	if x < w.Sensitive {
		return 1
	}
	return 0
}

func (s *Simulation) drawWeights(random *rand.Rand, filler *Kind, serving string, sensitivities []float64) {
	for image := range filler.Images {
		weight := 0.3 * random.Float64()
		if float64(image) < filler.Heavy*float64(filler.Images) {
			weight += filler.Presses / 2 * sensitivities[image%len(sensitivities)] * (0.7 + 0.6*random.Float64())
		}
		s.interference[filler.Name+string(rune('a'+image))+"/"+serving] = weight
	}
}

// trueEstimates returns the true interference weights.
func (s *Simulation) trueEstimates() *work.InterferenceEstimates {
	estimates := &work.InterferenceEstimates{}
	for name, weight := range s.interference {
		filler, serving, _ := strings.Cut(name, "/")
		estimates.Pairs = append(estimates.Pairs, work.InterferenceEstimate{FillerImage: filler, ServingImage: serving, LoadIncrease: weight})
	}
	return estimates
}

// weightAt is the interference weight of a filler image on a serving image at a
// time.
func (s *Simulation) weightAt(filler, serving string, now time.Duration) float64 {
	base := s.interference[filler+"/"+serving]
	return base * (1 + s.workload.Drift*math.Sin(2*math.Pi*now.Seconds()/driftPeriod.Seconds()+10*base))
}

// advance simulates one time step.
func (s *Simulation) advance() {
	now := s.startTime.Add(s.elapsed)
	s.submitAndCancelJobs(now)
	for len(s.deliveries) > 0 && s.deliveries[0].due <= s.elapsed {
		s.deliver(s.deliveries[0])
		s.deliveries = s.deliveries[1:]
	}
	for _, v := range s.vms {
		v.advance(s, s.elapsed)
		if v.finishTasks() || s.elapsed >= v.nextReport {
			s.planner.HandleReport(v.name, v.report(s, s.elapsed), now)
		}
	}
	s.result.observe(s)
	s.planner.Tick(now)
	batch := s.planner.Flush()
	for _, r := range batch.Records {
		r.Offset = s.nextOffset
		s.nextOffset++
		if err := s.state.Apply(r); err != nil {
			panic(fmt.Sprintf("the planner wrote an unreadable record: %v", err))
		}
	}
	batch.Confirm(now)
	s.deliveries = append(s.deliveries, delivery{s.elapsed + deliveryLatency, batch.Commands, batch.Grants})
}

// submitAndCancelJobs submits jobs whose arrival has come and cancels serving jobs
// whose end has come.
func (s *Simulation) submitAndCancelJobs(now time.Time) {
	for _, j := range s.jobs {
		switch {
		case s.jobsByID[j.record.ID] == nil && j.arrival <= s.elapsed:
			s.jobsByID[j.record.ID] = j
			s.planner.AddJob(j.record, now)
		case j.kind.Serves && !j.canceled && j.cancelAt <= s.elapsed:
			j.canceled = true
			s.planner.CancelJob(j.record.ID, now)
		}
	}
}

func (s *Simulation) deliver(d delivery) {
	for _, v := range s.vms {
		if grant := d.grants[v.name]; grant != nil {
			v.fence, v.handledCommands = grant.Fence, 0
		}
		commands := d.commands[v.name]
		if commands == nil || commands.Fence != v.fence {
			continue
		}
		v.handledCommands, v.acknowledgedEnds = commands.Number, max(v.acknowledgedEnds, commands.EndsAcked)
		for len(v.unacknowledgedEnds) > 0 && v.unacknowledgedEnds[0].Number <= v.acknowledgedEnds {
			v.unacknowledgedEnds = v.unacknowledgedEnds[1:]
		}
		v.pacer.Learn(commands.Interference)
		for _, start := range commands.Starts {
			s.startTask(v, start)
		}
		for _, stop := range commands.Stops {
			v.stopTask(stop)
		}
		v.nextReport = s.elapsed
	}
}

// startTask starts a run of a task on a VM. A start of a task that already runs
// there has no effect.
func (s *Simulation) startTask(v *vm, start work.Start) {
	parts := strings.Split(start.Task, ".")
	j := s.jobsByID[parts[0]]
	stepIndex, err := strconv.Atoi(parts[2])
	if err != nil || j == nil {
		panic("the planner started an unknown task: " + start.Task)
	}
	taskIndex, err := strconv.Atoi(parts[3])
	if err != nil {
		panic("the planner started an unknown task: " + start.Task)
	}
	for _, t := range v.tasks {
		if t.start.Task == start.Task {
			return
		}
	}
	t := &task{start: start, job: j, stepIndex: stepIndex, taskIndex: taskIndex, startedAt: s.elapsed, totalSeconds: j.taskSeconds[stepIndex][taskIndex], pace: 1, nextPace: 1}
	t.phase = j.loadPhase
	if start.Checkpoint != "" {
		if done, err := strconv.ParseFloat(start.Checkpoint, 64); err == nil {
			t.doneSeconds = done - restoreTime.Seconds()
		}
	}
	v.starts[start.Task] = start
	v.tasks = append(v.tasks, t)
}

func (v *vm) stopTask(stop work.RunRef) {
	for i, t := range v.tasks {
		if t.start.Task == stop.Task && t.start.Run == stop.Run {
			v.tasks = append(v.tasks[:i:i], v.tasks[i+1:]...)
			v.recordEnd(t, "stopped")
			if t.job.kind.Saves {
				v.unacknowledgedEnds[len(v.unacknowledgedEnds)-1].Checkpoint = strconv.FormatFloat(t.doneSeconds, 'f', 3, 64)
			}
			return
		}
	}
}
