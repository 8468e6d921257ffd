// Package placer picks the VM for a task. Policies register themselves by
// name; a setting selects one.
package placer

import (
	"time"

	"knapweedspur/internal/policy/registrar"
	"knapweedspur/internal/wire/message"
)

// VM is a VM as the placer sees it.
type VM struct {
	Name   string
	Rack   string
	Domain string
	Lease  int
	Size   message.Size
	Free   message.Size
	// Failures is how many tasks failed here in a row.
	Failures int
	// Barred is until when the VM gets no task.
	QuarantinedUntil time.Time
}

// Want is a task to place.
type Request struct {
	Run  string
	Size message.Size
	// Racks and Domains count the run's open attempts.
	Racks   map[string]int
	Domains map[string]int
}

// Policy returns the VM for a task, or nil if it fits on none.
type Policy func(now time.Time, want Request, vms []*VM) *VM

var policies = registrar.Registry[Policy]{Kind: "placement"}

// Register adds a policy. It is called from init functions.
func Register(name string, p Policy) { policies.Register(name, p) }

// Lookup returns the policy of a name.
func Lookup(name string) (Policy, error) { return policies.Lookup(name) }

// Names returns the names of all policies.
func Names() []string { return policies.Names() }
