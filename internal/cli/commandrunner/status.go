package commandrunner

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"knapweedspur/internal/wire/admin"
)

// statusCommand shows the entries, agents and runs that an entry knows, and its
// request counts.
type statusCommand struct {
	entryClient
	JSON bool `name:"json" help:"Print for programs."`
}

// Help shows an example.
func (c *statusCommand) Help() string {
	return `Example:
  knapweedspur status --entry 10.0.0.5:7071`
}

// Run prints the status.
func (c *statusCommand) Run(env *environment) error {
	var s admin.Status
	if err := c.call(http.MethodGet, "/v1/status", nil, &s); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(env.stdout, s)
	}
	logState := "up"
	if s.Stalled {
		logState = "not answering appends"
	}
	fmt.Fprintf(env.stdout, "entry %s in %s, %d entries alive\nconfiguration in force up to offset %d; log %s, last seen %s ago\n",
		s.Entry, s.Domain, len(s.Entries), s.Offset, logState, s.Age.Round(time.Millisecond))
	if len(s.Without) > 0 {
		fmt.Fprintf(env.stdout, "switched off: %s\n", strings.Join(s.Without, ", "))
	}
	counts := s.Counts
	fmt.Fprintf(env.stdout, "requests %d, answered %d, retries %d, refused: unrun %d, unknown %d, ran %d\n\n",
		counts.Requests, counts.Answered, counts.Retries, counts.Unrun, counts.Unknown, counts.Ran)
	printTable(env.stdout, "DOMAIN\tRACK\tVM\tSERVICE\tREQUESTS\tTASKS\tLEASE\tOFFSET\tSTATE", agentRows(s.Agents))
	if len(s.Runs) > 0 {
		fmt.Fprintln(env.stdout)
		printTable(env.stdout, "RUN\tTEAM\tPENDING\tOPEN\tDONE\tFAILED\tCANCELED\tATTEMPTS\tREASON", runRows(s.Runs))
	}
	return nil
}

func agentRows(agents []admin.Agent) []string {
	rows := make([]string, 0, len(agents))
	for _, a := range agents {
		service := a.Service
		if service == "" {
			service = "-"
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s", a.Domain, a.Rack, a.VM, service, a.Running, a.Tasks, a.Lease, a.Offset, agentState(a)))
	}
	return rows
}

// agentState returns the most important state of an agent, for the STATE column.
func agentState(a admin.Agent) string {
	switch {
	case a.Fenced:
		return "fenced"
	case a.Leaving:
		return "leaving"
	case a.Drained:
		return "drained"
	case a.Service != "" && !a.AcceptsRequests:
		return "upstream not ready"
	}
	return "ready"
}

func runRows(runs []admin.Run) []string {
	rows := make([]string, 0, len(runs))
	for _, r := range runs {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s", r.Run, r.Team, r.Pending, r.Open, r.Done, r.Failed, r.Canceled, r.Attempts, r.Reason))
	}
	return rows
}
