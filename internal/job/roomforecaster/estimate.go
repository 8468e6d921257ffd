package roomforecaster

import (
	"time"

	"knapweedspur/internal/job/jobmeasurer"
	"knapweedspur/internal/wire/work"
)

// Shape is what a forecast needs to know of a job.
type Shape struct {
	Priority int
	// Chain is the longest declared time from start to end.
	Chain time.Duration
	// Reserving and Filling are the work of the tasks of each kind, in core time.
	Reserving, Filling time.Duration
	// LargestTask holds the largest needs of any of its tasks, LargestReserving
	// those of a task that reserves processors.
	LargestTask, LargestReserving work.Size
}

// ShapeOf returns the shape of one occurrence of a job.
func ShapeOf(j *work.Job) Shape {
	s := Shape{Priority: j.Queue.Priority, Chain: jobmeasurer.Chain(j.Steps)}
	for i := range j.Steps {
		spec := &j.Steps[i]
		s.LargestTask = larger(s.LargestTask, spec.Size)
		if spec.Filler {
			s.Filling += jobmeasurer.CoreTime(spec, spec.Tasks)
			continue
		}
		s.Reserving += jobmeasurer.CoreTime(spec, spec.Tasks)
		s.LargestReserving = larger(s.LargestReserving, spec.Size)
	}
	return s
}

func larger(a, b work.Size) work.Size {
	return work.Size{Millicores: max(a.Millicores, b.Millicores), Memory: max(a.Memory, b.Memory), Accelerators: max(a.Accelerators, b.Accelerators)}
}

// Fits reports whether a size fits into another.
func Fits(size, room work.Size) bool {
	return size.Millicores <= room.Millicores && size.Memory <= room.Memory && size.Accelerators <= room.Accelerators
}

// Estimate is when a job would start and end, from now on.
type Estimate struct {
	// Start is the time until all that goes before the job is done. FreshStart
	// counts only jobs that can still meet their objective: a job that can goes
	// before all that cannot.
	Start, FreshStart time.Duration
	// End is the earliest end.
	End time.Duration
	// Ahead is the work that Start counts, in core time, and Millicores the
	// processors that it gets.
	Ahead      time.Duration
	Millicores int
}

// Forecast returns when a job of a shape would start and end at the earliest. What
// arrives after it is not counted.
func Forecast(p *work.PoolForecast, s Shape) Estimate {
	var e Estimate
	if s.Reserving > 0 && !Fits(s.LargestReserving, p.LargestGap) {
		e = estimateKind(p, s, false)
	}
	if s.Filling > 0 {
		if f := estimateKind(p, s, true); f.Start > e.Start {
			e = f
		}
	}
	e.End = e.Start + s.Chain
	return e
}

// estimateKind returns the start of the steps of one kind.
func estimateKind(p *work.PoolForecast, s Shape, filler bool) Estimate {
	var all, fresh int64
	for i := range p.Backlog {
		b := &p.Backlog[i]
		if b.Filler != filler {
			continue
		}
		ahead := aheadOf(b, s)
		all += ahead
		if !b.Late {
			fresh += ahead
		}
	}
	e := Estimate{Ahead: time.Duration(all) * time.Millisecond, Millicores: p.Millicores}
	if filler {
		e.Millicores = p.FillerMillicores
	}
	if e.Millicores <= 0 {
		return Estimate{} // when there will be processors is not known
	}
	e.Start, e.FreshStart = drainTime(all, e.Millicores), drainTime(fresh, e.Millicores)
	return e
}

// aheadOf returns the work of a backlog that goes before a job, in core-milliseconds:
// that of more urgent jobs, and of smaller ones of the same priority. Lists of
// different lengths, as a damaged record may hold, are read up to the shorter one.
func aheadOf(b *work.Backlog, s Shape) int64 {
	if b.Priority > s.Priority {
		return 0
	}
	ahead := int64(0)
	jobWork := (s.Reserving + s.Filling).Milliseconds()
	for i := range min(len(b.Work), len(b.JobWork)) {
		if b.Priority == s.Priority && b.JobWork[i] > jobWork {
			break
		}
		ahead = b.Work[i]
	}
	return min(max(ahead, 0), maxBacklog)
}

// maxBacklog bounds the work of one backlog, so that sums of a damaged record do not
// overflow: a million cores for a day, in core-milliseconds.
const maxBacklog = 1_000_000 * 86_400_000
