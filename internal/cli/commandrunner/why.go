package commandrunner

import (
	"fmt"
	"net/http"
	"net/url"

	"knapweedspur/internal/wire/admin"
)

// whyCommand explains the state of a run, a VM or a declaration.
type whyCommand struct {
	entryClient
	Name string `arg:"" help:"Name of a run, a VM or a declaration."`
	JSON bool   `name:"json" help:"Print for programs."`
}

// Help shows an example.
func (c *whyCommand) Help() string {
	return `Example:
  knapweedspur why proofs-2026-12-03`
}

// Run prints the explanation.
func (c *whyCommand) Run(env *environment) error {
	var reason admin.Explanation
	if err := c.call(http.MethodGet, "/v1/why/"+url.PathEscape(c.Name), nil, &reason); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(env.stdout, reason)
	}
	for _, line := range reason.Lines {
		fmt.Fprintln(env.stdout, line)
	}
	return nil
}
