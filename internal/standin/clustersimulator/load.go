// Package clustersimulator runs the planner and the pacer, as entries and agents do,
// against emulated VMs and clients in virtual time, without a network.
package clustersimulator

import (
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/gravitational/trace"

	"knapweedspur/internal/wire/work"
)

// Workload describes a simulation run: the VMs and the kinds of jobs that arrive.
type Workload struct {
	// VMs is the number of VMs; each has Millis thousandths of a core and Memory MB.
	VMs    int
	Millis int
	Memory int
	// Length is how long jobs arrive. The simulation ends drainTime later.
	Length time.Duration
	Kinds  []Kind
	// Resources is the number of shared resources through which fillers slow
	// serving tasks.
	Resources int
	// Sensitive is the share of these resources to which a serving image is sensitive,
	// 0 if each is sensitive to all of them, to differing degrees.
	Sensitive float64
	// Noise is the spread of measured latencies around the true ones.
	Noise float64
	// Drift is the amplitude of the periodic change of a pair's interference weight,
	// as a share of the weight.
	Drift float64
	// Known gives the planner the interference weights of all pairs at the start.
	// Comparison with a run without it shows what learning them costs.
	Known bool
}

// Kind is a kind of job.
type Kind struct {
	Name string
	// Rate is the mean number of jobs that arrive per second, Initial the number
	// at the start.
	Rate    float64
	Initial int
	Steps   Distribution
	Width   Distribution
	Millis  Distribution
	Memory  Distribution
	// Seconds is how long a task runs on an idle VM, Off the spread of the declared
	// duration around it.
	Seconds Distribution
	Off     float64
	// Uneven is the spread of the durations of the tasks of a step around its own.
	Uneven float64
	// Worth is earned by a job that ends within its objective, Late by one that ends
	// within lateFactor times its objective.
	Worth, Late float64
	Stretch     float64
	Target      time.Duration
	Priority    int
	// Images is the number of different task images among the jobs.
	Images int
	// Fills marks fillers, which use the capacity that other tasks leave. The share
	// Heavy of their images slows serving tasks: on a VM filled with such fillers,
	// the load of a serving task rises by up to Presses.
	Fills   bool
	Presses float64
	Heavy   float64
	Saves   bool
	// Serves marks serving tasks, which last for Stay seconds. Their load is the
	// share Use of their size and oscillates by the share Swing with Period. Their
	// tail latency without load is Tail, their objective Limit times that.
	Serves bool
	Stay   Distribution
	Use    float64
	Swing  float64
	Period time.Duration
	Tail   time.Duration
	Limit  float64
	// Apart is the share of jobs that allow at most one task of a step on a VM.
	Apart float64
	// Burst multiplies Rate for a limited time.
	Burst Burst
}

// Burst is a period, from At for the time For, with Times the arrival rate.
type Burst struct {
	At, For time.Duration
	Times   float64
}

// Distribution is a log-normal distribution with a mean, a spread (the standard
// deviation of the logarithm) and an upper bound.
type Distribution struct{ Mean, Spread, Max float64 }

func (d Distribution) sample(random *rand.Rand) float64 {
	x := d.Mean * math.Exp(d.Spread*random.NormFloat64()-d.Spread*d.Spread/2)
	return min(x, d.Max)
}

// ReadWorkload reads a workload from a YAML file.
func ReadWorkload(path string) (*Workload, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	var w Workload
	if err := yaml.UnmarshalWithOptions(text, &w, yaml.Strict()); err != nil {
		return nil, trace.BadParameter("workload file %s: %v", path, err)
	}
	if w.VMs <= 0 || w.Millis <= 0 || w.Memory <= 0 || w.Length <= 0 || len(w.Kinds) == 0 {
		return nil, trace.BadParameter("workload file %s: vms, millis, memory, length and kinds must be set", path)
	}
	return &w, nil
}

// simulatedJob is a job that a client submits, with properties that the planner
// does not know.
type simulatedJob struct {
	kind    *Kind
	record  *work.Job
	arrival time.Duration
	// cancelAt is when a serving job is canceled.
	cancelAt time.Duration
	// loadPhase is the phase of the oscillation of a serving job's load.
	loadPhase float64
	// taskSeconds are the true durations of the tasks, by step.
	taskSeconds [][]float64
	coreSeconds float64
	// usedCoreSeconds is what the tasks used so far.
	usedCoreSeconds float64
	completedAt     time.Duration
	canceled        bool
}

// drawJobs draws the jobs of a simulation, kind by kind, each in order of arrival.
func (w *Workload) drawJobs(random *rand.Rand, start time.Time) []*simulatedJob {
	var jobs []*simulatedJob
	number := uint64(0)
	for i := range w.Kinds {
		k := &w.Kinds[i]
		for range k.Initial {
			number++
			jobs = append(jobs, w.drawJob(k, random, start, 0, number))
		}
		const arrivalStep = 20 * time.Millisecond
		for arrival := time.Duration(0); arrival < w.Length; arrival += arrivalStep {
			rate := k.Rate
			if arrival >= k.Burst.At && arrival < k.Burst.At+k.Burst.For {
				rate *= k.Burst.Times
			}
			if random.Float64() < rate*arrivalStep.Seconds() {
				number++
				jobs = append(jobs, w.drawJob(k, random, start, arrival, number))
			}
		}
	}
	return jobs
}

func (w *Workload) drawJob(k *Kind, random *rand.Rand, start time.Time, arrival time.Duration, number uint64) *simulatedJob {
	j := &simulatedJob{kind: k, arrival: arrival}
	steps := max(1, int(math.Round(k.Steps.sample(random))))
	image := k.Name + string(rune('a'+random.IntN(max(k.Images, 1))))
	maxPerVM := 0
	if random.Float64() < k.Apart {
		maxPerVM = 1
	}
	var stepSpecs []work.Step
	for i := range steps {
		seconds := max(0.1, k.Seconds.sample(random))
		spec := work.Step{
			Tasks: max(1, int(math.Round(k.Width.sample(random)))), Image: image, Filler: k.Fills, Checkpoints: k.Saves, LongRunning: k.Serves, MaxPerVM: maxPerVM,
			Size:              work.Size{Millicores: max(50, int(k.Millis.sample(random))), Memory: max(16, int(k.Memory.sample(random)))},
			EstimatedDuration: time.Duration(seconds * math.Exp(k.Off*random.NormFloat64()) * float64(time.Second)),
		}
		if k.Serves {
			spec.LatencyTarget = time.Duration(k.Limit * float64(k.Tail))
		}
		if i > 0 {
			spec.DependsOn = []int{i - 1}
		}
		tasks := k.drawTasks(random, spec.Tasks, seconds)
		j.taskSeconds = append(j.taskSeconds, tasks)
		for _, taskSeconds := range tasks {
			j.coreSeconds += taskSeconds * float64(spec.Size.Millicores) / 1000
		}
		stepSpecs = append(stepSpecs, spec)
	}
	if k.Serves {
		j.loadPhase = 2 * math.Pi * random.Float64()
		j.cancelAt = arrival + time.Duration(k.Stay.sample(random)*float64(time.Second))
	}
	j.record = &work.Job{ID: jobID(number), AcceptedAt: start.Add(arrival), Steps: stepSpecs, Queue: work.Queue{
		Name: k.Name, Pool: poolName, MaxFailures: 3, Stretch: k.Stretch, Target: k.Target, Priority: k.Priority,
	}}
	return j
}

// drawTasks draws the durations of the tasks of a step.
func (k *Kind) drawTasks(random *rand.Rand, count int, seconds float64) []float64 {
	tasks := make([]float64, count)
	for i := range tasks {
		tasks[i] = seconds
		if k.Uneven > 0 {
			tasks[i] = Distribution{Mean: seconds, Spread: k.Uneven, Max: math.Inf(1)}.sample(random)
		}
	}
	return tasks
}

// objective is the latency up to which the job earns its full worth, computed from
// the true durations.
func (j *simulatedJob) objective() time.Duration {
	sum := 0.0
	for _, tasks := range j.taskSeconds {
		sum += slices.Max(tasks)
	}
	return time.Duration(j.kind.Stretch*sum*float64(time.Second)) + j.kind.Target
}
