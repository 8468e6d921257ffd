// Package queuecataloger follows the operators' stream. It holds the queues that
// their configuration defines, finds the queue of a request, and holds the failure
// domains that are to get no new work.
package queuecataloger

import (
	"strings"
	"sync/atomic"

	"knapweedspur/internal/wire/work"
)

// Queue is a queue and the requests that belong to it.
type Queue struct {
	work.Queue
	// Host and Prefix, a prefix of the path, select the requests.
	Host, Prefix string
}

// Change is what a record of the operators' stream changes: a *Catalog, a
// *DomainChange or an *UnservedRequest.
type Change interface{ isChange() }

// DomainChange requests that the VMs of a failure domain get no new work, or takes
// that back.
type DomainChange struct {
	Domain    string
	TakenBack bool
}

// UnservedRequest is a request that this version does not know, or that it is no
// longer made.
type UnservedRequest struct{ TakenBack bool }

func (*Catalog) isChange()         {}
func (*DomainChange) isChange()    {}
func (*UnservedRequest) isChange() {}

// Catalog is one version of the configuration.
type Catalog struct {
	Version int64
	Queues  []Queue
	// RejectsOverload holds the pools whose workers themselves refuse a task for
	// which they lack capacity.
	RejectsOverload map[string]bool
	// MaxBodyBytes is the configured limit of a request body, 0 for none. It is not
	// applied to requests.
	MaxBodyBytes int64
}

// Find returns the queue of a request: the one with the longest matching prefix
// among those of its host, nil if there is none.
func (c *Catalog) Find(host, path string) *Queue {
	var found *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if strings.EqualFold(q.Host, host) && strings.HasPrefix(path, q.Prefix) && (found == nil || len(q.Prefix) > len(found.Prefix)) {
			found = q
		}
	}
	return found
}

// ByName returns the queue with a name, nil if there is none.
func (c *Catalog) ByName(name string) *Queue {
	if c == nil {
		return nil
	}
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}

// Cataloger holds the newest catalog. Readers load it without a lock.
type Cataloger struct {
	current atomic.Pointer[Catalog]
}

// Current returns the current catalog, nil before the first.
func (c *Cataloger) Current() *Catalog { return c.current.Load() }

// Update replaces the current catalog, unless the version is not newer. It reports
// whether it did.
func (c *Cataloger) Update(catalog *Catalog) bool {
	for {
		old := c.current.Load()
		if old != nil && catalog.Version <= old.Version {
			return false
		}
		if c.current.CompareAndSwap(old, catalog) {
			return true
		}
	}
}
