package estimator

import "time"

// latencyWindow is the time that a tail latency covers. A tail latency shows the
// worst of that time, including the effect of fillers throttled since.
const latencyWindow = 500 * time.Millisecond

// Peaks is the sliding-window maximum of the share of a VM that each kind of
// filler used, over the time that a tail latency covers. The zero value is
// empty. It is not safe for concurrent use.
type Peaks struct {
	// window holds, for each kind, samples with decreasing shares, oldest first.
	window map[string][]peakSample
}

type peakSample struct {
	at    time.Duration
	share float64
}

// Observe adds the shares that kinds of fillers use now and returns the peak
// share of each kind.
func (p *Peaks) Observe(shares map[string]float64, now time.Duration) map[string]float64 {
	if p.window == nil {
		p.window = map[string][]peakSample{}
	}
	for kind, share := range shares {
		if p.window[kind] == nil && share > 0 {
			p.window[kind] = []peakSample{}
		}
	}
	peaks := make(map[string]float64, len(p.window))
	for kind, window := range p.window {
		share := shares[kind]
		for len(window) > 0 && window[len(window)-1].share <= share {
			window = window[:len(window)-1]
		}
		window = append(window, peakSample{now, share})
		for now-window[0].at > latencyWindow {
			window = window[1:]
		}
		if window[0].share == 0 {
			delete(p.window, kind)
			continue
		}
		p.window[kind] = window
		peaks[kind] = window[0].share
	}
	return peaks
}
