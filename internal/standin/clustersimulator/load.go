// Package clustersimulator plays the planner and the pacer, as entries and agents run
// them, against emulated VMs and clients in virtual time and without a network.
package clustersimulator

import (
	"math"
	"math/rand/v2"
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/gravitational/trace"

	"knapweedspur/internal/wire/work"
)

// Load describes a day: the VMs and the kinds of jobs that come.
type Workload struct {
	// VMs is their number; each has Millis thousandths of a core and Memory MB.
	VMs    int
	Millis int
	Memory int
	// Length is how long jobs come. The day ends a while after it.
	Length time.Duration
	Kinds  []Kind
	// Resources is the number of shared resources over which fillers press on
	// serving tasks.
	Resources int
	// Drift is by what share the weight of a pair changes back and forth.
	Drift float64
	// Known gives the planner the weights of all pairs at the start, which
	// shows what learning them costs.
	Known bool
}

// Kind is a kind of job.
type Kind struct {
	Name string
	// Rate is how many jobs come in a second, Initial how many are there at once.
	Rate    float64
	Initial int
	Steps   Distribution
	Width   Distribution
	Millis  Distribution
	Memory  Distribution
	// Seconds is how long a task works on an idle VM, Off the spread of what is
	// declared against it.
	Seconds Distribution
	Off     float64
	// Worth and Late are earned in time and up to three times the objective.
	Worth, Late float64
	Stretch     float64
	Target      time.Duration
	Priority    int
	// Images is the number of kinds of tasks among the jobs.
	Images int
	// Fills, Presses, Heavy: the tasks use what others leave; a share of the
	// images presses on serving tasks by up to Presses for each VM filled.
	Fills   bool
	Presses float64
	Heavy   float64
	Saves   bool
	// Serves, Stay, Use, Swing, Period, Tail, Limit: the tasks last for Stay
	// seconds and use a share of their size that swings. Their tail without load
	// is Tail, their objective Limit times that.
	Serves bool
	Stay   Distribution
	Use    float64
	Swing  float64
	Period time.Duration
	Tail   time.Duration
	Limit  float64
	// Apart is the share of jobs with at most one task of a step on a VM.
	Apart float64
	// Burst multiplies the rate for a while.
	Burst Burst
}

// Burst is a time in which more jobs come.
type Burst struct {
	At, For time.Duration
	Times   float64
}

// Spread is a distribution: log-normal around a mean, up to a maximum.
type Distribution struct{ Mean, Spread, Max float64 }

func (s Distribution) draw(r *rand.Rand) float64 {
	x := s.Mean * math.Exp(s.Spread*r.NormFloat64()-s.Spread*s.Spread/2)
	return min(x, s.Max)
}

// Read reads a load from a YAML file.
func ReadWorkload(path string) (*Workload, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	var l Workload
	if err := yaml.UnmarshalWithOptions(text, &l, yaml.Strict()); err != nil {
		return nil, trace.BadParameter("load file %s: %v", path, err)
	}
	if l.VMs <= 0 || l.Millis <= 0 || l.Memory <= 0 || l.Length <= 0 || len(l.Kinds) == 0 {
		return nil, trace.BadParameter("load file %s: vms, millis, memory, length and kinds must be set", path)
	}
	return &l, nil
}

// client is a job that a client hands in, with what the planner cannot know.
type client struct {
	kind   *Kind
	record *work.Job
	at     time.Duration
	// leaves is when a serving job is canceled.
	leaves time.Duration
	// phase is that of the swing of a serving job's load.
	phase float64
	// seconds are the true lengths of the tasks of each step.
	seconds []float64
	work    float64
	done    time.Duration
	left    bool
}

// draw returns the jobs of a day in the order in which they come.
func (l *Workload) draw(r *rand.Rand, start time.Time) []*client {
	var clients []*client
	number := uint64(0)
	for i := range l.Kinds {
		k := &l.Kinds[i]
		for range k.Initial {
			number++
			clients = append(clients, l.job(k, r, start, 0, number))
		}
		const step = 20 * time.Millisecond
		for at := time.Duration(0); at < l.Length; at += step {
			rate := k.Rate
			if at >= k.Burst.At && at < k.Burst.At+k.Burst.For {
				rate *= k.Burst.Times
			}
			if r.Float64() < rate*step.Seconds() {
				number++
				clients = append(clients, l.job(k, r, start, at, number))
			}
		}
	}
	return clients
}

func (l *Workload) job(k *Kind, r *rand.Rand, start time.Time, at time.Duration, number uint64) *client {
	c := &client{kind: k, at: at}
	steps := max(1, int(math.Round(k.Steps.draw(r))))
	image := k.Name + string(rune('a'+r.IntN(max(k.Images, 1))))
	spread := 0
	if r.Float64() < k.Apart {
		spread = 1
	}
	var list []work.Step
	for i := range steps {
		seconds := max(0.1, k.Seconds.draw(r))
		spec := work.Step{
			Tasks: max(1, int(math.Round(k.Width.draw(r)))), Image: image, Filler: k.Fills, Checkpoints: k.Saves, LongRunning: k.Serves, MaxPerVM: spread,
			Size:     work.Size{Millicores: max(50, int(k.Millis.draw(r))), Memory: max(16, int(k.Memory.draw(r)))},
			EstimatedDuration: time.Duration(seconds * math.Exp(k.Off*r.NormFloat64()) * float64(time.Second)),
		}
		if k.Serves {
			spec.LatencyTarget = time.Duration(k.Limit * float64(k.Tail))
		}
		if i > 0 {
			spec.DependsOn = []int{i - 1}
		}
		c.seconds = append(c.seconds, seconds)
		c.work += seconds * float64(spec.Tasks*spec.Size.Millicores) / 1000
		list = append(list, spec)
	}
	if k.Serves {
		c.phase = 2 * math.Pi * r.Float64()
		c.leaves = at + time.Duration(k.Stay.draw(r)*float64(time.Second))
	}
	c.record = &work.Job{ID: jobID(number), AcceptedAt: start.Add(at), Steps: list, Queue: work.Queue{
		Name: k.Name, Pool: pool, MaxFailures: 3, Stretch: k.Stretch, Target: k.Target, Priority: k.Priority,
	}}
	return c
}

// objective is the time in which the job is worth all, by its true lengths.
func (c *client) objective() time.Duration {
	sum := 0.0
	for _, s := range c.seconds {
		sum += s
	}
	return time.Duration(c.kind.Stretch*sum*float64(time.Second)) + c.kind.Target
}
