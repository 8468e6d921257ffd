package commandrunner

import (
	"fmt"

	"knapweedspur/internal/setting/gatekeeper"
)

// gatesCommand lists the mechanisms that can be switched off.
type gatesCommand struct{}

// Run prints the table of mechanisms.
func (c *gatesCommand) Run(env *environment) error {
	var rows []string
	for _, r := range gatekeeper.Rows() {
		guards := "-"
		if r.Guards != "" {
			guards = r.Guards
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s", r.Name, r.Does, r.Instead, guards))
	}
	printTable(env.stdout, "NAME\tDOES\tWITHOUT IT\tGUARDS (NEEDS --unsafe)", rows)
	return nil
}
