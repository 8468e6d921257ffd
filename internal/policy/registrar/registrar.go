// Package registrar provides a registry of policies by name. Policies register
// themselves; a setting selects one.
package registrar

import (
	"fmt"
	"sort"
	"strings"
)

// Registry holds the policies of one kind. It is not synchronized: init functions
// fill it, and it is only read afterwards.
type Registry[P any] struct {
	// Kind is the kind of policy, for error messages.
	Kind string

	policies map[string]P
}

// Register adds a policy.
func (r *Registry[P]) Register(name string, p P) {
	if r.policies == nil {
		r.policies = map[string]P{}
	}
	r.policies[name] = p
}

// Lookup returns the policy with the given name. The error for an unknown name
// lists the registered ones.
func (r *Registry[P]) Lookup(name string) (P, error) {
	p, ok := r.policies[name]
	if !ok {
		return p, fmt.Errorf("no %s policy %q; there are %s", r.Kind, name, strings.Join(r.Names(), ", "))
	}
	return p, nil
}

// Names returns the names of all policies, sorted.
func (r *Registry[P]) Names() []string {
	names := make([]string, 0, len(r.policies))
	for name := range r.policies {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
