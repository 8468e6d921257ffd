// Package roomforecaster condenses what a leader knows of its pools into a forecast
// of a bounded size, and reads from it when a job would start and end at the
// earliest. What is left out of a forecast makes it earlier, never later.
package roomforecaster

import (
	"cmp"
	"slices"
	"time"

	"knapweedspur/internal/wire/codec"
	"knapweedspur/internal/wire/work"
)

const (
	// MaxBytes bounds the encoding of a forecast: it goes to every entry each second,
	// over links that carry 10 Mbit/s.
	MaxBytes = 2000
	// maxPools is the number of pools in a forecast, those with the longest wait.
	maxPools = 5
	// maxBacklogs is the number of backlogs of a pool in a forecast, those with the
	// most work.
	maxBacklogs = 6
	// maxLimits is the number of sizes of waiting jobs that a backlog tells apart.
	maxLimits = 4
	// shortWait is the wait from which a pool counts as short of room. Below it,
	// even the shortest jobs are of use when they start last.
	shortWait = time.Second
)

// Pool is the state of a pool.
type Pool struct {
	Name string
	// Closed is set while all VMs of the pool are evacuated.
	Closed bool
	// Millicores are the processors of the VMs that can get work, less what
	// long-running tasks reserve. FillerMillicores is what fillers have lately got.
	Millicores, FillerMillicores int
	// LargestVM is the largest VM ever seen in the pool. LargestGap is the largest
	// free room of one VM for a task that reserves processors.
	LargestVM, LargestGap work.Size
	Demands               []Demand
}

// Demand is the work of the tasks of one kind that wait or run for one job.
type Demand struct {
	Priority int
	Filler   bool
	// Late is set for a job that is useful for some time, but misses its objective
	// or soon will. Any job that does not goes before it.
	Late bool
	// JobWork is the remaining work of the whole job. It is 0 for work that runs,
	// since that goes before any job of its priority.
	JobWork time.Duration
	// Work is the work of the waiting and running tasks of this kind, in core time.
	Work time.Duration
}

// class identifies the demands that are summed up in one backlog.
type class struct {
	priority     int
	filler, late bool
}

// Summarize returns the forecast of a leader. Pools with room are left out.
func Summarize(epoch int64, pools []Pool, now time.Time) *work.RoomForecast {
	var short []work.PoolForecast
	for i := range pools {
		if p := summarizePool(&pools[i]); p.longestWait() >= shortWait {
			short = append(short, p.PoolForecast)
		}
	}
	slices.SortStableFunc(short, func(a, b work.PoolForecast) int {
		return cmp.Compare(poolForecast{b}.longestWait(), poolForecast{a}.longestWait())
	})
	forecast := &work.RoomForecast{Epoch: epoch, WrittenAt: now.Round(time.Millisecond), Pools: short[:min(len(short), maxPools)]}
	for len(forecast.Pools) > 0 && encodedSize(forecast) > MaxBytes {
		forecast.Pools = forecast.Pools[:len(forecast.Pools)-1]
	}
	return forecast
}

func encodedSize(f *work.RoomForecast) int {
	data, err := codec.Encode(f)
	if err != nil {
		return MaxBytes + 1 // an unreadable forecast is left out
	}
	return len(data)
}

// poolForecast adds methods to the generated type.
type poolForecast struct{ work.PoolForecast }

func summarizePool(p *Pool) poolForecast {
	byClass := map[class][]Demand{}
	for _, d := range p.Demands {
		if d.Work > 0 {
			c := class{d.Priority, d.Filler, d.Late}
			byClass[c] = append(byClass[c], d)
		}
	}
	summary := poolForecast{work.PoolForecast{
		Name: p.Name, Closed: p.Closed, Millicores: p.Millicores, FillerMillicores: p.FillerMillicores, LargestVM: p.LargestVM, LargestGap: p.LargestGap,
	}}
	for c, demands := range byClass {
		limits, sums := cumulate(demands)
		summary.Backlog = append(summary.Backlog, work.Backlog{Priority: c.priority, Filler: c.filler, Late: c.late, JobWork: limits, Work: sums})
	}
	slices.SortFunc(summary.Backlog, func(a, b work.Backlog) int {
		return cmp.Or(cmp.Compare(total(&b), total(&a)), cmp.Compare(a.Priority, b.Priority), compareBool(a.Filler, b.Filler), compareBool(a.Late, b.Late))
	})
	summary.Backlog = summary.Backlog[:min(len(summary.Backlog), maxBacklogs)]
	return summary
}

// total returns the work of a backlog, in core-milliseconds.
func total(b *work.Backlog) int64 {
	if len(b.Work) == 0 {
		return 0
	}
	return b.Work[len(b.Work)-1]
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// cumulate divides demands, ordered by the work of their jobs, into what runs and parts
// of about the same work. It returns the largest job of each part and the work up to it.
func cumulate(demands []Demand) (limits, sums []int64) {
	slices.SortFunc(demands, func(a, b Demand) int { return cmp.Compare(a.JobWork, b.JobWork) })
	all, sum := time.Duration(0), time.Duration(0)
	for _, d := range demands {
		all += d.Work
	}
	parts := 0
	for i, d := range demands {
		sum += d.Work
		last := i == len(demands)-1
		if !last && demands[i+1].JobWork == d.JobWork {
			continue
		}
		full := sum >= all*time.Duration(parts+1)/maxLimits
		if full {
			parts++
		}
		if full || last || d.JobWork == 0 {
			limits, sums = append(limits, d.JobWork.Milliseconds()), append(sums, sum.Milliseconds())
		}
	}
	return limits, sums
}

// longestWait returns how long a job that goes last would wait.
func (p poolForecast) longestWait() time.Duration {
	var reserving, filling int64
	for i := range p.Backlog {
		if b := &p.Backlog[i]; b.Filler {
			filling += total(b)
		} else {
			reserving += total(b)
		}
	}
	return max(drainTime(reserving, p.Millicores), drainTime(filling, p.FillerMillicores))
}

// maxWait bounds a wait: where nothing is served, there is no better estimate.
const maxWait = time.Hour

// drainTime returns how long a number of millicores takes for work in
// core-milliseconds.
func drainTime(work int64, millicores int) time.Duration {
	if work <= 0 {
		return 0
	}
	if millicores <= 0 {
		return maxWait
	}
	return time.Duration(min(float64(work)/float64(millicores)*float64(time.Second), float64(maxWait)))
}
