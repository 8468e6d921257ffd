package standinrunner

import (
	"fmt"
	"os"
	"time"

	"github.com/gravitational/trace"

	"knapweedspur/internal/standin/soaktester"
)

// maxPrintedViolations is how many invariant violations of a run are printed.
const maxPrintedViolations = 20

type soakCommand struct {
	Binary  string        `help:"The program under test." default:"bin/knapweedspur"`
	Seed    uint64        `help:"Seed of the first run." default:"1"`
	Seeds   int           `help:"Number of runs, each with the next seed." default:"1"`
	Length  time.Duration `help:"How long faults come." default:"15s"`
	Entries int           `help:"Entry processes." default:"3"`
	Agents  int           `help:"Agent processes." default:"4"`
	Faults  string        `help:"Faults to inject: single ones, pairs at one VM, both (all), crashes of workers, or single ones beside very large jobs (heavy) or beside faults of the policy service (policy)." enum:"all,single,pairs,crashes,heavy,policy" default:"all"`
	Slot    int           `help:"Keeps soaks that run at the same time apart, 0 to 200." default:"0"`
	Logs    string        `help:"Directory for logs of runs that break a promise." default:"report/soak"`
}

// Run runs the soak once for each seed. It fails if an invariant was violated. Only
// the logs of failed runs are kept.
func (c *soakCommand) Run(env *environment) error {
	failed := 0
	for seed := c.Seed; seed < c.Seed+uint64(c.Seeds); seed++ {
		logs := fmt.Sprintf("%s/%d", c.Logs, seed)
		if err := os.MkdirAll(logs, 0o755); err != nil {
			return trace.Wrap(err)
		}
		result, err := soaktester.Run(soaktester.Config{Binary: c.Binary, Seed: seed, FaultDuration: c.Length, Entries: c.Entries, Agents: c.Agents, Slot: c.Slot, SingleFaults: c.Faults == "all" || c.Faults == "single" || c.Faults == "heavy" || c.Faults == "policy", Policy: c.Faults == "policy", Heavy: c.Faults == "heavy", Pairs: c.Faults == "all" || c.Faults == "pairs", Crashes: c.Faults == "crashes", LogDir: logs})
		if err != nil {
			return trace.Wrap(err, "seed %d", seed)
		}
		fmt.Fprintf(env.stdout, "seed %d: %d jobs, %d starts, %d faults, %d promises broken\n", seed, result.Jobs, result.Starts, result.Faults, len(result.Violations))
		if len(result.Violations) == 0 {
			if err := os.RemoveAll(logs); err != nil {
				return trace.Wrap(err)
			}
			continue
		}
		failed++
		fmt.Fprintf(env.stdout, "logs in %s\n", logs)
		for _, violation := range result.Violations[:min(len(result.Violations), maxPrintedViolations)] {
			fmt.Fprintln(env.stdout, "  ", violation)
		}
	}
	if failed > 0 {
		return trace.Errorf("%d of %d seeds violated an invariant", failed, c.Seeds)
	}
	return nil
}
