package supervisor

import (
	"slices"
	"time"

	"knapweedspur/internal/wire/work"
)

// evacuation holds the failure domains that the operators want to get no new work. It
// outlasts the worker process.
type evacuation struct {
	domains []string
	offset  int64
	// knownAt is the latest time, on the boot clock, at which these were known to
	// be all of them.
	knownAt time.Duration
	// known is set once knownAt is.
	known bool
	// refusals counts the starts that were refused for them.
	refusals int
}

// recent reports whether the requests are known up to maxAge before now.
func (e *evacuation) recent(now, maxAge time.Duration) bool {
	return maxAge == 0 || e.known && now-e.knownAt <= maxAge
}

// RecordEvacuation records the evacuated failure domains that an entry knows. The ones
// of the highest offset count. An entry may have read these at a later time than an
// entry with a higher offset, which then knew them as well.
func (s *Supervisor) RecordEvacuation(e *work.Evacuation, knownAt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, wasRecent := s.Clock(), s.evacuation.recent(s.Clock(), s.MaxRequestAge)
	if e.Offset > s.evacuation.offset || !s.evacuation.known {
		if !slices.Equal(e.Domains, s.evacuation.domains) {
			s.Logger.Info("evacuated domains", "domains", e.Domains, "offset", e.Offset, "own", s.workerStatus.Zone)
		}
		s.evacuation.domains, s.evacuation.offset = e.Domains, e.Offset
	}
	if !s.evacuation.known || knownAt > s.evacuation.knownAt {
		s.evacuation.known, s.evacuation.knownAt = true, knownAt
	}
	if !wasRecent && s.evacuation.recent(now, s.MaxRequestAge) {
		s.OnChange()
	}
}

// Reasons to refuse a start because of the operators' requests.
const (
	refusalEvacuated = "evacuated"
	// refusalRequestsUnknown means that the VM's failure domain may have been
	// evacuated meanwhile.
	refusalRequestsUnknown = "requests unknown"
)

// evacuationRefusal returns why the operators' requests forbid a start, or "" if they
// do not.
func (s *Supervisor) evacuationRefusal() string {
	switch {
	case slices.Contains(s.evacuation.domains, s.workerStatus.Zone):
		return refusalEvacuated
	case !s.evacuation.recent(s.Clock(), s.MaxRequestAge):
		return refusalRequestsUnknown
	}
	return ""
}

// logRefusal logs a refused start, and counts it if the operators' requests forbid it.
func (s *Supervisor) logRefusal(run work.RunRef, refusal string) {
	if refusal == refusalEvacuated || refusal == refusalRequestsUnknown {
		s.evacuation.refusals++
	}
	s.Logger.Info("start refused", "task", run.Task, "run", run.Run, "reason", refusal, "domain", s.workerStatus.Zone, "offset", s.evacuation.offset)
}

// EvacuationRefusals returns how many starts the operators' requests forbade.
func (s *Supervisor) EvacuationRefusals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuation.refusals
}
