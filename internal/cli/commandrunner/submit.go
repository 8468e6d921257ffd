package commandrunner

import (
	"fmt"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"knapweedspur/internal/wire/admin"
)

// runPollInterval is the time between two requests for the state of a run.
const runPollInterval = 250 * time.Millisecond

// submitCommand submits a run of a job.
type submitCommand struct {
	entryClient
	Job  string `arg:"" help:"Name of the declared job."`
	Name string `name:"run" help:"Name of the run. A name used before is refused, so a repeat cannot run twice."`
	Wait bool   `help:"Wait until the run has ended."`
}

// Help shows an example.
func (c *submitCommand) Help() string {
	return `Example:
  knapweedspur submit proofs --run proofs-2026-12-03 --wait`
}

// Run submits the run, and with --wait polls it until it has ended.
func (c *submitCommand) Run(env *environment) error {
	var run admin.Run
	submission := admin.Submission{Job: c.Job, Run: c.Name, Who: c.auditName()}
	if err := c.call(http.MethodPost, "/v1/runs", submission, &run); err != nil {
		return err
	}
	fmt.Fprintf(env.stdout, "submitted %s with %d tasks\n", run.Run, run.Pending+run.Open+run.Done)
	if run.Reason != "" {
		fmt.Fprintln(env.stdout, run.Reason)
	}
	for c.Wait && run.Pending+run.Open > 0 {
		time.Sleep(runPollInterval)
		if err := c.call(http.MethodGet, "/v1/runs/"+run.Run, nil, &run); err != nil {
			return err
		}
	}
	if c.Wait {
		fmt.Fprintf(env.stdout, "%s ended: %d done, %d failed, %d canceled\n", run.Run, run.Done, run.Failed, run.Canceled)
		if run.Failed+run.Canceled > 0 {
			return trace.Errorf("some tasks failed or were canceled")
		}
	}
	return nil
}
