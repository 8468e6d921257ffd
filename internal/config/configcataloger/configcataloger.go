// Package configcataloger holds the declarations in force in an immutable catalog.
// The request path reads it without a lock; an update replaces it as a whole.
package configcataloger

import (
	"sync/atomic"

	"knapweedspur/internal/config/parser"
	"knapweedspur/internal/state/configreducer"
)

// Catalog holds the declarations in force at an offset. It is immutable.
type Catalog struct {
	// Next is the offset after the last record that the catalog includes.
	Next uint64
	// Specs holds the declarations by name.
	Specs map[string]*parser.Spec
	// Versions holds the versions of all declarations by name, also of removed and
	// unreadable ones.
	Versions map[string]uint64
	// Unreadable holds the declarations in force that this process cannot read, with
	// the first problem of each.
	Unreadable map[string]string
}

// Cataloger holds the newest catalog. It is safe for concurrent readers.
type Cataloger struct {
	current atomic.Pointer[Catalog]
}

// Current returns the newest catalog, or nil before the first update.
func (c *Cataloger) Current() *Catalog { return c.current.Load() }

// Update replaces the catalog by the declarations of a state. It parses only
// declarations that have changed or were unreadable, and ignores a state with a
// lower offset.
func (c *Cataloger) Update(s *configreducer.State) {
	old := c.current.Load()
	if old != nil && s.Next < old.Next {
		return
	}
	updated := &Catalog{Next: s.Next, Specs: map[string]*parser.Spec{}, Versions: map[string]uint64{}, Unreadable: map[string]string{}}
	for name, declaration := range s.Declarations {
		updated.addDeclaration(old, name, declaration)
	}
	c.current.Store(updated)
}

func (c *Catalog) addDeclaration(old *Catalog, name string, declaration configreducer.Declaration) {
	c.Versions[name] = declaration.Version
	if declaration.Body == "" {
		return
	}
	if old != nil && old.Versions[name] == declaration.Version {
		if spec := old.Specs[name]; spec != nil {
			c.Specs[name] = spec
			return
		}
	}
	spec, problems := parser.Parse(name, []byte(declaration.Body))
	if len(problems) > 0 {
		c.Unreadable[name] = problems[0].String()
		return
	}
	c.Specs[name] = spec
}

// Service returns the declaration of a service, or nil if there is none.
func (c *Catalog) Service(name string) *parser.Spec { return c.ofKind(name, parser.KindService) }

// Job returns the declaration of a job, or nil if there is none.
func (c *Catalog) Job(name string) *parser.Spec { return c.ofKind(name, parser.KindJob) }

// Team returns the declaration of a team, or nil if there is none.
func (c *Catalog) Team(name string) *parser.Spec { return c.ofKind(name, parser.KindTeam) }

// ofKind accepts a nil catalog, which is what Current returns before the first
// update.
func (c *Catalog) ofKind(name, kind string) *parser.Spec {
	if c == nil {
		return nil
	}
	if s := c.Specs[name]; s != nil && s.Kind == kind {
		return s
	}
	return nil
}
