package leader

import (
	"sync"
	"time"
)

// inbox holds what the follower has applied to the view. It has a lock of its own, so that
// the view stays up to date during a pass of the planner.
type inbox struct {
	mu sync.Mutex
	// leaderAt is when the last record of the leader was read, jobs are the jobs of which
	// a client's record was read since takeJobs was called.
	leaderAt time.Time
	jobs     []string
}

func (b *inbox) noteLeader(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaderAt = at
}

func (b *inbox) leaderRecordAt() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leaderAt
}

func (b *inbox) addJob(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.jobs = append(b.jobs, id)
}

func (b *inbox) takeJobs() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	jobs := b.jobs
	b.jobs = nil
	return jobs
}
