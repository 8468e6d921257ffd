// Package configcataloger keeps the declarations in force as the request path reads
// them: an immutable catalog that is replaced whole.
package configcataloger

import (
	"sync/atomic"

	"knapweedspur/internal/config/parser"
	"knapweedspur/internal/state/configreducer"
)

// Catalog is the declarations in force at an offset. It is immutable.
type Catalog struct {
	// Next is the offset after the last one folded.
	Next uint64
	// Specs are the declarations by name.
	Specs map[string]*parser.Spec
	// Versions are their versions.
	Versions map[string]uint64
	// Broken are declarations in force that this process cannot read.
	Unreadable map[string]string
}

// Cataloger holds the newest catalog.
type Cataloger struct {
	current atomic.Pointer[Catalog]
}

// Current returns the newest catalog, or nil before the first.
func (c *Cataloger) Current() *Catalog { return c.current.Load() }

// Update replaces the catalog by one of the state. Only declarations that have
// changed are read again. It never goes back to a lower offset.
func (c *Cataloger) Update(s *configreducer.State) {
	old := c.current.Load()
	if old != nil && s.Next < old.Next {
		return
	}
	fresh := &Catalog{Next: s.Next, Specs: map[string]*parser.Spec{}, Versions: map[string]uint64{}, Unreadable: map[string]string{}}
	for name, item := range s.Declarations {
		fresh.add(old, name, item)
	}
	c.current.Store(fresh)
}

func (c *Catalog) add(old *Catalog, name string, item configreducer.Declaration) {
	c.Versions[name] = item.Version
	if item.Body == "" {
		return
	}
	if old != nil && old.Versions[name] == item.Version {
		if spec := old.Specs[name]; spec != nil {
			c.Specs[name] = spec
			return
		}
	}
	spec, problems := parser.Parse(name, []byte(item.Body))
	if len(problems) > 0 {
		c.Unreadable[name] = problems[0].String()
		return
	}
	c.Specs[name] = spec
}

// Service returns the declaration of a service.
func (c *Catalog) Service(name string) *parser.Spec { return c.kind(name, parser.KindService) }

// Job returns the declaration of a job.
func (c *Catalog) Job(name string) *parser.Spec { return c.kind(name, parser.KindJob) }

// Team returns the declaration of a team.
func (c *Catalog) Team(name string) *parser.Spec { return c.kind(name, parser.KindTeam) }

func (c *Catalog) kind(name, kind string) *parser.Spec {
	if c == nil {
		return nil
	}
	if s := c.Specs[name]; s != nil && s.Kind == kind {
		return s
	}
	return nil
}
