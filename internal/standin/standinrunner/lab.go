package standinrunner

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"

	"knapweedspur/internal/job/planner"
	"knapweedspur/internal/setting/gatekeeper"
	"knapweedspur/internal/standin/clustersimulator"
	"knapweedspur/internal/standin/paircomparer"
)

// labCommand simulates the decisions of the planner and the pacer in virtual time.
type labCommand struct {
	Run labRun `cmd:"" help:"Play days of a load and print what they were worth."`
}

// labOptions are the options of a simulation. A day is one simulation run.
type labOptions struct {
	Load string `arg:"" type:"existingfile" help:"File that describes the VMs and the jobs (YAML)."`
	Jobs int    `default:"4" help:"Days that are played at once."`
}

type labRun struct {
	labOptions
	Seeds   int      `default:"6" help:"Number of days."`
	First   uint64   `default:"1" help:"Seed of the first day."`
	Without []string `help:"Mechanisms to switch off." placeholder:"NAME"`
	JSON    bool     `help:"Print one JSON object a day."`
}

// simulate runs one simulation per seed, several in parallel.
func (o *labOptions) simulate(gates gatekeeper.Gates, seeds []uint64) ([]*clustersimulator.Result, error) {
	workload, err := clustersimulator.ReadWorkload(o.Load)
	if err != nil {
		return nil, err
	}
	results := make([]*clustersimulator.Result, len(seeds))
	semaphore := make(chan struct{}, max(o.Jobs, 1))
	var group sync.WaitGroup
	for i := range results {
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			results[i] = clustersimulator.Simulate(workload, planner.Settings{Gates: gates}, seeds[i])
		})
	}
	group.Wait()
	return results, nil
}

// Run simulates the days and prints the mean worth.
func (c *labRun) Run(env *environment) error {
	gates, err := gatekeeper.Parse(c.Without, true)
	if err != nil {
		return err
	}
	var seeds []uint64
	for i := range c.Seeds {
		seeds = append(seeds, c.First+uint64(i))
	}
	results, err := c.simulate(gates, seeds)
	if err != nil {
		return err
	}
	var worths, over []float64
	for _, r := range results {
		worths, over = append(worths, r.Total), append(over, r.Over.Seconds())
		if err := printResult(env, r, c.JSON); err != nil {
			return err
		}
	}
	if c.JSON {
		return nil
	}
	mean, seconds := paircomparer.NewInterval(worths), paircomparer.NewInterval(over)
	fmt.Fprintf(env.stdout, "mean worth %.3f ± %.3f, over %.0f s\n", mean.Mean, mean.Half, seconds.Mean)
	return nil
}

func printResult(env *environment, r *clustersimulator.Result, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(env.stdout).Encode(r)
	}
	fmt.Fprintf(env.stdout, "seed %d worth %.3f over %s fillers used %.0f cores", r.Seed, r.Total, r.Over, r.Used)
	for _, kind := range slices.Sorted(maps.Keys(r.Worth)) {
		fmt.Fprintf(env.stdout, " %s %.3f", kind, r.Worth[kind])
	}
	fmt.Fprintln(env.stdout)
	return nil
}
