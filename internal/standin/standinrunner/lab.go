package standinrunner

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"

	"knapweedspur/internal/job/planner"
	"knapweedspur/internal/standin/clustersimulator"
)

// labCommand plays the decisions of the planner and the pacer in virtual time.
type labCommand struct {
	Run     labRun     `cmd:"" help:"Play days of a load and print what they were worth."`
	Compare labCompare `cmd:"" help:"Play the same days under two policies and print the paired difference."`
}

// labFlags are what both commands take.
type labFlags struct {
	Load  string `arg:"" type:"existingfile" help:"File that describes the VMs and the jobs (YAML)."`
	Seeds int    `default:"6" help:"Number of days."`
	First uint64 `default:"1" help:"Seed of the first day."`
	Jobs  int    `default:"4" help:"Days that are played at once."`
	JSON  bool   `help:"Print one JSON object a day."`
}

type labRun struct {
	labFlags
	Policy string `default:"worth" enum:"worth,deadline,arrival" help:"Order of jobs: worth, deadline or arrival."`
}

type labCompare struct {
	labFlags
	Base string `default:"arrival" enum:"worth,deadline,arrival" help:"The policy to compare with."`
	With string `default:"worth" enum:"worth,deadline,arrival" help:"The policy in question."`
}

// play plays the days of a policy, several at once.
func (f *labFlags) play(policy string) ([]*clustersimulator.Result, error) {
	load, err := clustersimulator.ReadWorkload(f.Load)
	if err != nil {
		return nil, err
	}
	results := make([]*clustersimulator.Result, f.Seeds)
	slots := make(chan struct{}, max(f.Jobs, 1))
	var group sync.WaitGroup
	for i := range results {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			results[i] = clustersimulator.Simulate(load, planner.Policy(policy), f.First+uint64(i))
		})
	}
	group.Wait()
	return results, nil
}

func (f *labFlags) print(env *environment, name string, results []*clustersimulator.Result) error {
	for _, r := range results {
		if f.JSON {
			if err := json.NewEncoder(env.out).Encode(r); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(env.out, "%s seed %d worth %.3f over %s fillers used %.0f cores", name, r.Seed, r.Total, r.Over, r.Used)
		for _, kind := range slices.Sorted(maps.Keys(r.Worth)) {
			fmt.Fprintf(env.out, " %s %.3f", kind, r.Worth[kind])
		}
		fmt.Fprintln(env.out)
	}
	return nil
}

// Run plays the days.
func (c *labRun) Run(env *environment) error {
	results, err := c.play(c.Policy)
	if err != nil {
		return err
	}
	if err := c.print(env, c.Policy, results); err != nil {
		return err
	}
	if c.JSON {
		return nil
	}
	mean, half := interval(results, func(r *clustersimulator.Result) float64 { return r.Total })
	over, _ := interval(results, func(r *clustersimulator.Result) float64 { return r.Over.Seconds() })
	fmt.Fprintf(env.out, "mean worth %.3f ± %.3f, over %.0f s\n", mean, half, over)
	return nil
}

// Run plays the days under both policies.
func (c *labCompare) Run(env *environment) error {
	base, err := c.play(c.Base)
	if err != nil {
		return err
	}
	with, err := c.play(c.With)
	if err != nil {
		return err
	}
	if err := c.print(env, c.Base, base); err != nil {
		return err
	}
	if err := c.print(env, c.With, with); err != nil {
		return err
	}
	bases := map[uint64]float64{}
	for _, r := range base {
		bases[r.Seed] = r.Total
	}
	if c.JSON {
		return nil
	}
	mean, half := interval(with, func(r *clustersimulator.Result) float64 { return r.Total - bases[r.Seed] })
	fmt.Fprintf(env.out, "%s less %s: %+.3f ± %.3f (95 %%, %d pairs)\n", c.With, c.Base, mean, half, len(with))
	return nil
}

// normal is the quantile of the normal distribution for 95 % on both sides.
const normal = 1.96

// interval returns the mean of a figure and half of its confidence interval.
func interval(results []*clustersimulator.Result, figure func(*clustersimulator.Result) float64) (mean, half float64) {
	n := float64(len(results))
	sum, squares := 0.0, 0.0
	for _, r := range results {
		x := figure(r)
		sum += x
		squares += x * x
	}
	mean = sum / n
	if n < 2 {
		return mean, math.Inf(1)
	}
	variance := max(0, (squares-n*mean*mean)/(n-1))
	return mean, normal * math.Sqrt(variance/n)
}
