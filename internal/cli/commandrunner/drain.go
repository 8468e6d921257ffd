package commandrunner

import (
	"fmt"
	"net/http"
	"net/url"
)

// drainCommand moves work off a VM, or lets the VM get work again.
type drainCommand struct {
	entryClient
	VM   string `arg:"" name:"vm" help:"Name of the VM."`
	Undo bool   `help:"Let the VM get work again."`
}

// Help shows an example.
func (c *drainCommand) Help() string {
	return `Its tasks are checkpointed and go on elsewhere; requests in flight end.

Example:
  knapweedspur drain vm-17`
}

// Run drains the VM, or ends its draining.
func (c *drainCommand) Run(env *environment) error {
	method, action := http.MethodPost, "drained"
	if c.Undo {
		method, action = http.MethodDelete, "takes work again"
	}
	if err := c.call(method, "/v1/vms/"+url.PathEscape(c.VM)+"/drain?who="+url.QueryEscape(c.auditName()), nil, nil); err != nil {
		return err
	}
	fmt.Fprintln(env.stdout, c.VM, action)
	return nil
}
