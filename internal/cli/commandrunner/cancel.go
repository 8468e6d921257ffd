package commandrunner

import (
	"fmt"
	"net/http"
	"net/url"

	"knapweedspur/internal/wire/admin"
)

// cancelCommand cancels a run.
type cancelCommand struct {
	entryClient
	Name string `arg:"" name:"run" help:"Name of the run."`
}

// Help shows an example.
func (c *cancelCommand) Help() string {
	return `Example:
  knapweedspur cancel proofs-2026-12-03`
}

// Run cancels the run.
func (c *cancelCommand) Run(env *environment) error {
	var run admin.Run
	if err := c.call(http.MethodDelete, "/v1/runs/"+url.PathEscape(c.Name)+"?who="+url.QueryEscape(c.auditName()), nil, &run); err != nil {
		return err
	}
	fmt.Fprintf(env.stdout, "canceled %s: %d done, %d canceled, %d still stopping\n", run.Run, run.Done, run.Canceled, run.Open)
	return nil
}
