package commandrunner

import (
	"fmt"
	"net/http"
	"time"

	"knapweedspur/internal/wire/message"
)

// auditCommand shows the audit trail of changes.
type auditCommand struct {
	entryClient
	JSON bool `name:"json" help:"Print for programs."`
}

// Help shows an example.
func (c *auditCommand) Help() string {
	return `Example:
  knapweedspur audit --json`
}

// Run prints the audit trail.
func (c *auditCommand) Run(env *environment) error {
	var lines []message.Audit
	if err := c.call(http.MethodGet, "/v1/audit", nil, &lines); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(env.stdout, lines)
	}
	rows := make([]string, 0, len(lines))
	for _, l := range lines {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%d\t%d\t%s", l.Time.Format(time.RFC3339), l.Who, l.Action, l.Target, l.BaseVersion, l.Offset, l.Outcome))
	}
	printTable(env.stdout, "TIME\tWHO\tACTION\tTARGET\tBASE\tOFFSET\tOUTCOME", rows)
	return nil
}
