// Package registrar keeps policies by name, for plug-ins that register
// themselves and settings that select one.
package registrar

import (
	"fmt"
	"sort"
	"strings"
)

// Registrar keeps the policies of one kind. It is filled by init functions and
// only read after them.
type Registry[P any] struct {
	// Kind names the kind of policy, for errors.
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

// Lookup returns the policy of a name. The error names those that there are.
func (r *Registry[P]) Lookup(name string) (P, error) {
	p, ok := r.policies[name]
	if !ok {
		return p, fmt.Errorf("no %s policy %q; there are %s", r.Kind, name, strings.Join(r.Names(), ", "))
	}
	return p, nil
}

// Names returns the names of all policies.
func (r *Registry[P]) Names() []string {
	names := make([]string, 0, len(r.policies))
	for name := range r.policies {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
