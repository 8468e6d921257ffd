// Package admissiondecider decides which jobs an entry refuses because they would end
// too late for their result to be useful. It rests on the forecast that the leader
// writes to the log, and accepts whatever the forecast leaves open.
package admissiondecider

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"time"

	"knapweedspur/internal/job/jobmeasurer"
	"knapweedspur/internal/job/roomforecaster"
	"knapweedspur/internal/wire/work"
)

const (
	// maxForecastAge is the age from which a forecast is not used. A leader that is
	// short of room writes one each second; the rest is for the log and the view.
	maxForecastAge = 2500 * time.Millisecond
	// sureMargin is how many times longer than allowed the wait must be. A job may
	// take twice the time that it declares, and is then useful for twice as long.
	sureMargin = 2
	// minRetryAfter and maxRetryAfter limit when a refused client is told to come
	// back. Clients retry four times, so that they outlast minutes of overload.
	minRetryAfter, maxRetryAfter = time.Second, 2 * time.Minute
	// returnShare is the share of the processors that the jobs which come back ask for
	// together, so that they leave room to new ones: as much as the leader's sequence
	// gives to jobs that have waited for long.
	returnShare = 0.2
	// returnGrace is how long after the time told to it a client is expected.
	returnGrace = 2 * time.Second
	// maxAwaited bounds the refused jobs that are remembered.
	maxAwaited = 2048
)

// Situation is what the view of an entry says about room.
type Situation struct {
	// Forecast is the forecast in the view, nil for none, and Age the greatest age
	// that it can have.
	Forecast *work.RoomForecast
	Age      time.Duration
	// Epoch is the term in the view.
	Epoch int64
	// Entries is the number of entries, which all send clients back to the same room.
	Entries int
}

// Refusal says why a job is refused, and when to come back.
type Refusal struct {
	roomforecaster.Estimate
	Pool string
	// Useful is the time within which the job would have to end.
	Useful time.Duration
	// Age is the age of the forecast.
	Age        time.Duration
	RetryAfter time.Duration
}

// Reason returns a sentence with the figures.
func (r *Refusal) Reason() string {
	return fmt.Sprintf("refused for room: would start in %s and end in %s at the earliest, useful for %s; ahead are %s of work on %.1f cores of pool %s",
		r.Start.Round(time.Second), r.End.Round(time.Second), r.Useful.Round(100*time.Millisecond), r.Ahead.Round(time.Second), float64(r.Millicores)/1000, r.Pool)
}

// awaited is a refused job whose client is expected to come back.
type awaited struct {
	pool         string
	firstRefused time.Time
	returnsAt    time.Time
	work         time.Duration
}

// Decider remembers the jobs that it has refused, so that their clients come back one
// after the other, those that were refused first before others. It is not safe for
// concurrent use.
type Decider struct {
	refused map[string]awaited
}

// Judge returns a refusal, without a time to come back, if the job cannot be useful even
// if the forecast is off by sureMargin, or nil if it is to be accepted.
func Judge(job *work.Job, s Situation) *Refusal {
	pool := Pool(job, s)
	if pool == nil {
		return nil
	}
	shape := roomforecaster.ShapeOf(job)
	if !roomforecaster.Fits(shape.LargestTask, pool.LargestVM) {
		return nil // it fails by the rules of its queue, or a larger VM comes
	}
	objective := jobmeasurer.Objective(job)
	r := &Refusal{Estimate: roomforecaster.Forecast(pool, shape), Pool: pool.Name, Useful: jobmeasurer.LateFactor * objective, Age: s.Age}
	// A job that starts while it can meet its objective goes before all late ones.
	if startsWithin(r.FreshStart, objective-shape.Chain, s.Age) || startsWithin(r.Start, r.Useful-shape.Chain, s.Age) {
		return nil
	}
	return r
}

// startsWithin reports whether a job may start within its slack. The forecast counts
// jobs with at least half of their slack left, so that within as much time all of them
// give way to newer ones.
func startsWithin(start, slack, age time.Duration) bool {
	if 2*age >= slack {
		return true
	}
	left := 1 - 2*age.Seconds()/slack.Seconds()
	return start.Seconds()*left <= sureMargin*slack.Seconds()
}

// Pool returns the forecast of the pool that would run a job, or nil if there is none to
// refuse it by.
func Pool(job *work.Job, s Situation) *work.PoolForecast {
	if s.Forecast == nil || s.Age > maxForecastAge || s.Forecast.Epoch != s.Epoch || hasSchedule(job) {
		return nil
	}
	for i := range job.Steps {
		if job.Steps[i].LongRunning {
			return nil
		}
	}
	for i := range s.Forecast.Pools {
		if p := &s.Forecast.Pools[i]; p.Name == job.Queue.Pool && !p.Closed {
			return p
		}
	}
	return nil
}

func hasSchedule(job *work.Job) bool { return job.Occurrences > 0 || !job.DueAt.IsZero() }

// Refuse sets when the client of a refused job should come back: once all that goes
// before it is done, after those that were refused before it.
func (d *Decider) Refuse(job *work.Job, r *Refusal, entries int, now time.Time) {
	d.forgetAbsent(now)
	if d.refused == nil {
		d.refused = map[string]awaited{}
	}
	self, known := d.refused[job.ID]
	if !known {
		shape := roomforecaster.ShapeOf(job)
		self = awaited{pool: r.Pool, firstRefused: now, work: shape.Reserving + shape.Filling}
	}
	older := time.Duration(0)
	for id, a := range d.refused {
		if a.pool == self.pool && compareTurn(id, a, job.ID, self) < 0 {
			older += a.work
		}
	}
	turn := time.Duration(float64(older) * float64(max(entries, 1)) * 1000 / (returnShare * float64(max(r.Millicores, 1))))
	r.RetryAfter = max(r.Start+turn, minRetryAfter)
	if r.RetryAfter > maxRetryAfter {
		r.RetryAfter = maxRetryAfter - spread(job.ID, maxRetryAfter/2)
	}
	self.returnsAt = now.Add(r.RetryAfter)
	if known || len(d.refused) < maxAwaited {
		d.refused[job.ID] = self
	}
}

// Accept forgets a job that is no longer refused.
func (d *Decider) Accept(id string) { delete(d.refused, id) }

func compareTurn(idA string, a awaited, idB string, b awaited) int {
	if byTime := a.firstRefused.Compare(b.firstRefused); byTime != 0 {
		return byTime
	}
	return cmp.Compare(idA, idB)
}

// forgetAbsent forgets the jobs whose clients have not come back here.
func (d *Decider) forgetAbsent(now time.Time) {
	for id, a := range d.refused {
		if now.Sub(a.returnsAt) > returnGrace {
			delete(d.refused, id)
		}
	}
}

// spread returns a part of a range that depends on the id alone, so that those who are
// all told the longest time do not come back in one moment.
func spread(id string, size time.Duration) time.Duration {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // a hash returns no error
	return time.Duration(h.Sum64() % uint64(size))
}
