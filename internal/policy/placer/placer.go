// Package placer picks the VM for a task. Policies register themselves by
// name; a setting selects one.
package placer

import (
	"fmt"
	"sort"
	"strings"
	"time"

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
	Barred time.Time
}

// Want is a task to place.
type Want struct {
	Run  string
	Size message.Size
	// Racks and Domains count the run's open attempts.
	Racks   map[string]int
	Domains map[string]int
}

// Policy returns the VM for a task, or nil if it fits on none.
type Policy func(now time.Time, want Want, vms []*VM) *VM

var policies = map[string]Policy{}

// Register adds a policy. It is called from init functions.
func Register(name string, p Policy) { policies[name] = p }

// Lookup returns the policy of a name.
func Lookup(name string) (Policy, error) {
	if p, ok := policies[name]; ok {
		return p, nil
	}
	return nil, fmt.Errorf("no placement policy %q; there are %s", name, strings.Join(Names(), ", "))
}

// Names returns the names of all policies.
func Names() []string {
	names := make([]string, 0, len(policies))
	for name := range policies {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Fits reports whether a size fits into what is free.
func Fits(size, free message.Size) bool {
	return size.Millis <= free.Millis && size.Memory <= free.Memory && size.Accelerators <= free.Accelerators
}

// Add returns the sum of two sizes.
func Add(a, b message.Size) message.Size {
	return message.Size{Millis: a.Millis + b.Millis, Memory: a.Memory + b.Memory, Accelerators: a.Accelerators + b.Accelerators}
}

// Sub returns the difference of two sizes.
func Sub(a, b message.Size) message.Size {
	return message.Size{Millis: a.Millis - b.Millis, Memory: a.Memory - b.Memory, Accelerators: a.Accelerators - b.Accelerators}
}
