// Package placer picks the VM for a task. Placement policies register themselves
// by name; a setting selects one.
package placer

import (
	"time"

	"knapweedspur/internal/policy/registrar"
	"knapweedspur/internal/wire/message"
)

// VM is what a placement policy knows of a VM.
type VM struct {
	Name   string
	Rack   string
	Domain string
	Lease  int
	Size   message.Size
	Free   message.Size
	// Failures is how many attempts have failed here in a row.
	Failures int
	// QuarantinedUntil is the time before which the VM gets no task.
	QuarantinedUntil time.Time
}

// Request is a task to place.
type Request struct {
	Run  string
	Size message.Size
	// Racks and Domains count the tasks of the run that this scheduling pass has
	// placed in each rack and failure domain.
	Racks   map[string]int
	Domains map[string]int
}

// Policy returns the VM for a task, or nil if the task fits on none.
type Policy func(now time.Time, request Request, vms []*VM) *VM

var policies = registrar.Registry[Policy]{Kind: "placement"}

// Register adds a policy. It is called from init functions.
func Register(name string, p Policy) { policies.Register(name, p) }

// Lookup returns the policy with the given name.
func Lookup(name string) (Policy, error) { return policies.Lookup(name) }

// Names returns the names of all policies.
func Names() []string { return policies.Names() }
