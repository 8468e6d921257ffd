package standinrunner

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"

	"knapweedspur/internal/job/planner"
	"knapweedspur/internal/job/reserver"
	"knapweedspur/internal/standin/clustersimulator"
)

// labCommand simulates the decisions of the planner and the pacer in virtual time.
type labCommand struct {
	Run     labRun     `cmd:"" help:"Play days of a load and print what they were worth."`
	Compare labCompare `cmd:"" help:"Play the same days under two policies and print the paired difference."`
}

// labOptions are the options of both commands. A day is one simulation run.
type labOptions struct {
	Load  string `arg:"" type:"existingfile" help:"File that describes the VMs and the jobs (YAML)."`
	Seeds int    `default:"6" help:"Number of days."`
	First uint64 `default:"1" help:"Seed of the first day."`
	Jobs  int    `default:"4" help:"Days that are played at once."`
	JSON  bool   `help:"Print one JSON object a day."`
	// Declared trusts declared durations; of two policies, only under the first.
	Declared bool `help:"Trust declared durations (in a comparison: the base only)."`

	Promises string `default:"all" enum:"none,first,all" help:"Waiting tasks to which room is promised: none, first or all."`
}

type labRun struct {
	labOptions
	Policy string `default:"sequence" enum:"sequence,worth,deadline,arrival" help:"Order of jobs: sequence, worth, deadline or arrival."`
}

type labCompare struct {
	labOptions
	Base string `default:"worth" enum:"sequence,worth,deadline,arrival" help:"The policy to compare with."`
	With string `default:"sequence" enum:"sequence,worth,deadline,arrival" help:"The policy in question."`
}

// simulate runs one simulation per seed under settings, several in parallel.
func (o *labOptions) simulate(settings planner.Settings) ([]*clustersimulator.Result, error) {
	workload, err := clustersimulator.ReadWorkload(o.Load)
	if err != nil {
		return nil, err
	}
	workload.Promises = reserver.Policy(o.Promises)
	results := make([]*clustersimulator.Result, o.Seeds)
	semaphore := make(chan struct{}, max(o.Jobs, 1))
	var group sync.WaitGroup
	for i := range results {
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			results[i] = clustersimulator.Simulate(workload, settings, o.First+uint64(i))
		})
	}
	group.Wait()
	return results, nil
}

func (o *labOptions) printResults(env *environment, name string, results []*clustersimulator.Result) error {
	for _, r := range results {
		if o.JSON {
			if err := json.NewEncoder(env.stdout).Encode(r); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(env.stdout, "%s seed %d worth %.3f over %s fillers used %.0f cores", name, r.Seed, r.Total, r.Over, r.Used)
		for _, kind := range slices.Sorted(maps.Keys(r.Worth)) {
			fmt.Fprintf(env.stdout, " %s %.3f", kind, r.Worth[kind])
		}
		fmt.Fprintln(env.stdout)
	}
	return nil
}

// Run simulates the days under one policy and prints the mean worth.
func (c *labRun) Run(env *environment) error {
	results, err := c.simulate(planner.Settings{Policy: planner.Policy(c.Policy), DeclaredDurations: c.Declared})
	if err != nil {
		return err
	}
	if err := c.printResults(env, c.Policy, results); err != nil {
		return err
	}
	if c.JSON {
		return nil
	}
	mean, halfWidth := confidenceInterval(results, func(r *clustersimulator.Result) float64 { return r.Total })
	over, _ := confidenceInterval(results, func(r *clustersimulator.Result) float64 { return r.Over.Seconds() })
	fmt.Fprintf(env.stdout, "mean worth %.3f ± %.3f, over %.0f s\n", mean, halfWidth, over)
	return nil
}

// Run simulates the days under both policies and prints the paired difference.
func (c *labCompare) Run(env *environment) error {
	baseline, err := c.simulate(planner.Settings{Policy: planner.Policy(c.Base), DeclaredDurations: c.Declared})
	if err != nil {
		return err
	}
	candidate, err := c.simulate(planner.Settings{Policy: planner.Policy(c.With)})
	if err != nil {
		return err
	}
	if err := c.printResults(env, c.Base, baseline); err != nil {
		return err
	}
	if err := c.printResults(env, c.With, candidate); err != nil {
		return err
	}
	baselineTotals := map[uint64]float64{}
	for _, r := range baseline {
		baselineTotals[r.Seed] = r.Total
	}
	if c.JSON {
		return nil
	}
	mean, halfWidth := confidenceInterval(candidate, func(r *clustersimulator.Result) float64 { return r.Total - baselineTotals[r.Seed] })
	fmt.Fprintf(env.stdout, "%s less %s: %+.3f ± %.3f (95 %%, %d pairs)\n", c.With, c.Base, mean, halfWidth, len(candidate))
	return nil
}

// normalQuantile is the quantile of the normal distribution for a two-sided 95 %
// confidence interval.
const normalQuantile = 1.96

// confidenceInterval returns the mean of a metric and half the width of its
// confidence interval.
func confidenceInterval(results []*clustersimulator.Result, metric func(*clustersimulator.Result) float64) (mean, halfWidth float64) {
	n := float64(len(results))
	sum, squares := 0.0, 0.0
	for _, r := range results {
		value := metric(r)
		sum += value
		squares += value * value
	}
	mean = sum / n
	if n < 2 {
		return mean, math.Inf(1)
	}
	variance := max(0, (squares-n*mean*mean)/(n-1))
	return mean, normalQuantile * math.Sqrt(variance/n)
}
