package queuecataloger

import (
	"maps"
	"slices"
	"time"

	"knapweedspur/internal/log/journal"
	"knapweedspur/internal/wire/work"
)

// requests are the operators' requests by the key of their record.
type requests struct {
	// domains holds the evacuated failure domains, unserved the offsets of the
	// requests that are not served.
	domains  map[string]string
	unserved map[string]int64
}

func newRequests() *requests {
	return &requests{domains: map[string]string{}, unserved: map[string]int64{}}
}

// keep takes over what former holds for a key.
func (r *requests) keep(key string, former *requests) {
	if domain, ok := former.domains[key]; ok {
		r.domains[key] = domain
	}
	if offset, ok := former.unserved[key]; ok {
		r.unserved[key] = offset
	}
}

func (r *requests) setDomain(key string, c *DomainChange) {
	if c.TakenBack {
		delete(r.domains, key)
		return
	}
	r.domains[key] = c.Domain
}

func (r *requests) setUnserved(record journal.Record, c *UnservedRequest) {
	if c.TakenBack {
		delete(r.unserved, record.Key)
		return
	}
	r.unserved[record.Key] = record.Offset
}

// publishedRequests are the requests at the end of the stream at one time. They are
// not changed after publication.
type publishedRequests struct {
	domains []string
	// unserved holds the offsets of the requests that are not served, by key.
	unserved map[string]int64
	offset   int64
	// readSent is when the read that reached the end was sent, on the boot clock.
	readSent time.Duration
}

// publish makes the requests visible to readers and logs the changes.
func (w *Watcher) publish(readSent time.Duration) {
	former := w.published.Load()
	if former == nil {
		former = &publishedRequests{}
	}
	domains := slices.Compact(slices.Sorted(maps.Values(w.requests.domains)))
	for _, domain := range domains {
		if !slices.Contains(former.domains, domain) {
			w.Logger.Info("domain evacuated", "domain", domain, "offset", w.nextOffset)
		}
	}
	for _, domain := range former.domains {
		if !slices.Contains(domains, domain) {
			w.Logger.Info("domain in use again", "domain", domain, "offset", w.nextOffset)
		}
	}
	for key, offset := range w.requests.unserved {
		if seen, known := former.unserved[key]; !known || seen < offset {
			w.Logger.Warn("operator request is not served by this version", "key", key, "offset", offset)
		}
	}
	w.published.Store(&publishedRequests{domains: domains, unserved: maps.Clone(w.requests.unserved), offset: w.nextOffset, readSent: readSent})
}

// Evacuation returns the failure domains that are to get no new work, nil before they
// are known. The caller must not change the domains.
func (w *Watcher) Evacuation() *work.Evacuation {
	p := w.published.Load()
	if p == nil {
		return nil
	}
	return &work.Evacuation{Offset: p.offset, Age: w.Clock() - p.readSent, Domains: p.domains}
}

// Unserved returns how many requests of the operators are not served.
func (w *Watcher) Unserved() int {
	if p := w.published.Load(); p != nil {
		return len(p.unserved)
	}
	return 0
}
