// Package queuecataloger holds the queues that the operators' configuration
// defines, and finds the queue of a request.
package queuecataloger

import (
	"strings"
	"sync/atomic"

	"knapweedspur/internal/wire/work"
)

// Queue is a queue with the requests that belong to it.
type Queue struct {
	work.Queue
	// Host and Prefix select the requests.
	Host, Prefix string
}

// Catalog is one version of the configuration.
type Catalog struct {
	Version int64
	Queues  []Queue
	// Guarded pools have workers that refuse what does not fit.
	RejectsOverload map[string]bool
	// MaxBody is the largest request body, in bytes, 0 for no limit.
	MaxBodyBytes int64
}

// Find returns the queue of a request: the longest prefix of its host.
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

// Named returns the queue of a name, nil if there is none.
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

// Cataloger holds the newest catalog. Readers take it without a lock.
type Cataloger struct {
	current atomic.Pointer[Catalog]
}

// Current returns the catalog in force, nil before the first.
func (k *Cataloger) Current() *Catalog { return k.current.Load() }

// Offer puts a catalog in force unless it is older than the current one.
func (k *Cataloger) Update(c *Catalog) bool {
	for {
		old := k.current.Load()
		if old != nil && c.Version <= old.Version {
			return false
		}
		if k.current.CompareAndSwap(old, c) {
			return true
		}
	}
}
