package losscounter

import (
	"cmp"
	"time"
)

// end returns when a job ended, or the end of the logs.
func (j *job) end(logs time.Time) time.Time {
	if j.finishedAt.IsZero() {
		return logs
	}
	return j.finishedAt
}

// askedTime returns the time from the acceptance to the end of a job for all its tasks.
func (j *job) askedTime(logs time.Time) time.Duration {
	return max(j.end(logs).Sub(j.acceptedAt), 0) * time.Duration(len(j.tasks))
}

// startupTime is how long a serving task takes until it is at work.
const startupTime = 500 * time.Millisecond

// awayShares returns the share of the time of a long-running job's tasks in which they
// were not at work, by cause.
func (j *job) awayShares(pauses []pause, end time.Time) map[Cause]float64 {
	whole := j.askedTime(end).Seconds()
	if whole <= 0 {
		return nil
	}
	until := j.end(end)
	away := map[Cause]time.Duration{}
	for _, t := range j.tasks {
		from, cause := j.acceptedAt, Cause("")
		for i := range t.runs {
			r := &t.runs[i]
			if !r.placedAt.Before(until) {
				break
			}
			if cause == "" {
				j.addWait(away, from, r.placedAt, pauses)
				cause = Room
			} else {
				leaderless := overlap(pauses, from, r.placedAt)
				away[Leaderless] += leaderless
				away[cause] += max(r.placedAt.Sub(from)-leaderless, 0)
			}
			away[cause] += startupTime
			from, cause = r.endsAt, causeOfEnd(r.how)
			if r.endsAt.IsZero() {
				from = until
			}
		}
		if until.After(from) {
			away[cmp.Or(cause, Room)] += until.Sub(from)
		}
	}
	shares := map[Cause]float64{}
	for cause, d := range away {
		shares[cause] = min(d.Seconds()/whole, 1)
	}
	return shares
}
