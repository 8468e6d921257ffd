package leader

import (
	"time"

	"knapweedspur/internal/job/planner"
	"knapweedspur/internal/wire/work"
)

// Uneven is what this entry, if it leads, knows about uneven VMs and tasks.
type Uneven struct {
	VMs      []work.VMProbation
	Counters planner.Counters
}

// Uneven returns the VMs that get little work and the decisions of this term, both
// empty if this entry does not lead.
func (l *Leader) Uneven() Uneven {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.planner == nil {
		return Uneven{}
	}
	var u Uneven
	l.guard(func() { u.VMs, u.Counters = l.planner.Uneven(time.Now()) })
	return u
}
