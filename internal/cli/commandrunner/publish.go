package commandrunner

import (
	"crypto/rand"
	"fmt"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"knapweedspur/internal/wire/admin"
	"knapweedspur/internal/wire/message"
)

const (
	// waitInForce gives up after --limit, or after ten times waitLimit if that is
	// sooner.
	waitLimit    = 30 * time.Second
	pollInterval = 100 * time.Millisecond
)

// publishCommand publishes declaration files.
type publishCommand struct {
	entryClient
	Paths  []string      `arg:"" optional:"" help:"Files, or folders that are searched for .yaml and .yml files." name:"path"`
	Remove []string      `help:"Names of declarations to remove."`
	Wait   bool          `help:"Wait until the change is in force at every entry and agent alive."`
	Limit  time.Duration `help:"How long to wait." default:"30s"`
}

// Help shows an example.
func (c *publishCommand) Help() string {
	return `The change is taken whole or not at all. If somebody else has published one of
the declarations in the meantime, nothing is changed and the command says who.

Example:
  knapweedspur publish --wait example/federation`
}

// Run publishes the declarations that differ from those in force.
func (c *publishCommand) Run(env *environment) error {
	if len(c.Paths) == 0 && len(c.Remove) == 0 {
		return usageError{trace.BadParameter("name files to publish, or declarations to --remove")}
	}
	var files []declaration
	if len(c.Paths) > 0 {
		read, problems, err := readDeclarations(c.Paths)
		if err != nil {
			return err
		}
		if len(problems) > 0 {
			for _, p := range problems {
				fmt.Fprintln(env.stderr, p)
			}
			return trace.BadParameter("%d problems; nothing was published", len(problems))
		}
		files = read
	}
	change, err := c.buildChange(files)
	if err != nil {
		return err
	}
	if len(change.Edits) == 0 {
		fmt.Fprintln(env.stdout, "everything is in force already")
		return nil
	}
	var outcome admin.ChangeResult
	if err := c.call(http.MethodPost, "/v1/changes", change, &outcome); err != nil {
		return err
	}
	fmt.Fprintf(env.stdout, "published %d declarations as version %d\n", len(change.Edits), outcome.Version)
	if !c.Wait {
		return nil
	}
	return c.waitInForce(env, outcome.Version)
}

// buildChange returns the change that turns the declarations in force into the
// given ones, with the removals.
func (c *publishCommand) buildChange(files []declaration) (*message.Change, error) {
	var current []admin.DeclarationVersion
	if err := c.call(http.MethodGet, "/v1/declarations", nil, &current); err != nil {
		return nil, err
	}
	byName := map[string]admin.DeclarationVersion{}
	for _, v := range current {
		byName[v.Name] = v
	}
	change := &message.Change{ID: rand.Text(), Who: c.auditName()}
	for _, f := range files {
		published := byName[f.spec.Name]
		if published.Body != f.body {
			change.Edits = append(change.Edits, message.Edit{Name: f.spec.Name, BaseVersion: published.Version, Body: f.body})
		}
	}
	for _, name := range c.Remove {
		published := byName[name]
		if published.Body == "" {
			return nil, trace.NotFound("no declaration %q is in force", name)
		}
		change.Edits = append(change.Edits, message.Edit{Name: name, BaseVersion: published.Version})
	}
	return change, nil
}

// waitInForce waits until every entry and agent has applied the version.
func (c *publishCommand) waitInForce(env *environment, version uint64) error {
	start := time.Now()
	for {
		lagging, err := c.lagging(version)
		if err == nil && len(lagging) == 0 {
			fmt.Fprintf(env.stdout, "in force everywhere after %.1f s\n", time.Since(start).Seconds())
			return nil
		}
		if time.Since(start) > min(c.Limit, waitLimit*10) {
			if err != nil {
				return err
			}
			return trace.LimitExceeded("published, but not in force yet at %v", lagging)
		}
		time.Sleep(pollInterval)
	}
}

// lagging returns the entries and agents that have not applied the version yet,
// and the entries that do not answer.
func (c *publishCommand) lagging(version uint64) ([]string, error) {
	var first admin.Status
	if err := c.call(http.MethodGet, "/v1/status", nil, &first); err != nil {
		return nil, err
	}
	var names []string
	for _, e := range first.Entries {
		var s admin.Status
		if err := c.callAt(e.Address, http.MethodGet, "/v1/status", nil, &s); err != nil {
			names = append(names, e.Entry)
			continue
		}
		if s.Offset < version {
			names = append(names, e.Entry)
		}
		for _, a := range s.Agents {
			if a.Offset < version {
				names = append(names, a.VM)
			}
		}
	}
	return names, nil
}
