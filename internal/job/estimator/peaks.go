package estimator

import "time"

// latencyWindow is the time that a tail latency covers. Until it has passed, a
// tail shows the worst of it, also of fillers that have been slowed since.
const latencyWindow = 500 * time.Millisecond

// Peaks keeps the greatest share of a VM that each kind of filler used within
// the time that a tail latency covers. The zero value is empty. It is not safe
// for concurrent use.
type Peaks struct {
	// marks hold falling shares, the oldest first.
	marks map[string][]mark
}

type mark struct {
	at    time.Duration
	share float64
}

// Observe takes what kinds of fillers use now and returns their peaks.
func (p *Peaks) Observe(shares map[string]float64, now time.Duration) map[string]float64 {
	if p.marks == nil {
		p.marks = map[string][]mark{}
	}
	for kind, share := range shares {
		if p.marks[kind] == nil && share > 0 {
			p.marks[kind] = []mark{}
		}
	}
	peaks := make(map[string]float64, len(p.marks))
	for kind, marks := range p.marks {
		share := shares[kind]
		for len(marks) > 0 && marks[len(marks)-1].share <= share {
			marks = marks[:len(marks)-1]
		}
		marks = append(marks, mark{now, share})
		for now-marks[0].at > latencyWindow {
			marks = marks[1:]
		}
		if marks[0].share == 0 {
			delete(p.marks, kind)
			continue
		}
		p.marks[kind] = marks
		peaks[kind] = marks[0].share
	}
	return peaks
}
