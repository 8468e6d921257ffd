package soaktester

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"knapweedspur/internal/log/journal"
	"knapweedspur/platform"
	"knapweedspur/platform/platformemulator"
)

const (
	// domainCount is the number of failure domains.
	domainCount = 2
	// maxEvacuation is the longest time for which a domain is evacuated, and between
	// two evacuations: three times the bound, so that most outlast it.
	maxEvacuation = 3 * platformemulator.EvacuationBound
)

// domainOf returns the failure domain of the VM with an index.
func domainOf(index int) string { return fmt.Sprintf("domain-%d", index%domainCount) }

// evacuateDomains evacuates random failure domains while faults are injected, at times
// all of them. It draws from a source of its own, so that the other faults of a seed
// stay the same.
func (s *soak) evacuateDomains(done chan<- struct{}) {
	defer close(done)
	random := rand.New(rand.NewPCG(s.config.Seed, 5))
	for start := time.Now(); time.Since(start) < s.config.FaultDuration; {
		s.setEvacuated(domainOf(random.IntN(domainCount)), random.IntN(2) == 0)
		time.Sleep(min(time.Duration(random.Int64N(int64(maxEvacuation))), max(0, s.config.FaultDuration-time.Since(start))))
		if random.IntN(4) == 0 {
			s.logService.Stream(platform.OperatorStream).Compact()
		}
	}
	for i := range domainCount {
		s.setEvacuated(domainOf(i), false)
	}
}

// setEvacuated requests an evacuation or takes it back.
func (s *soak) setEvacuated(domain string, evacuated bool) {
	s.checker.mu.Lock()
	if !evacuated {
		delete(s.checker.evacuatedAt, domain)
	}
	s.checker.mu.Unlock()
	records := []journal.Record{platformemulator.EvacuationRecord(domain, evacuated)}
	for err := journal.ErrRefused; err != nil; time.Sleep(pauseCheckInterval) {
		_, err = s.logService.Stream(platform.OperatorStream).Append(context.Background(), records, nil)
	}
	s.logFault("%s evacuated: %t", domain, evacuated)
	s.checker.mu.Lock()
	defer s.checker.mu.Unlock()
	if _, was := s.checker.evacuatedAt[domain]; evacuated && !was {
		s.checker.evacuatedAt[domain] = time.Now()
	}
}
