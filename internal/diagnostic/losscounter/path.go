package losscounter

import (
	"slices"
	"time"
)

// delays returns the time that the critical path of a job lost, by cause.
func (j *job) delays(pauses []pause, end time.Time) map[Cause]time.Duration {
	delays := map[Cause]time.Duration{}
	until := j.finishedAt
	if until.IsZero() {
		until = end
		if !slices.ContainsFunc(j.sortedTasks(), func(t *task) bool { return t.open() }) {
			// Its next task waits.
			last := j.lastEnded(until)
			from := j.acceptedAt
			if last != nil {
				from = last.endedAt(end)
			}
			j.addWait(delays, from, until, pauses)
			until = from
		}
	}
	for {
		t := j.lastEnded(until)
		if t == nil {
			return delays
		}
		ready := j.acceptedAt
		if before := j.lastEnded(t.runs[0].placedAt); before != nil && before.step != t.step {
			ready = before.endedAt(end)
		}
		j.addTask(delays, t, ready, pauses, end)
		if ready.Equal(j.acceptedAt) || !ready.Before(until) {
			return delays
		}
		until = ready
	}
}

// addTask adds what a task lost from the time when its step was ready.
func (j *job) addTask(delays map[Cause]time.Duration, t *task, ready time.Time, pauses []pause, end time.Time) {
	from := ready
	for i := range t.runs {
		r := &t.runs[i]
		if i == 0 {
			j.addWait(delays, from, r.placedAt, pauses)
		} else {
			delays[causeOfEnd(t.runs[i-1].how)] += max(r.placedAt.Sub(from), 0)
		}
		ended := r.endsAt
		if ended.IsZero() {
			ended = end
		}
		from = ended
		took := ended.Sub(r.placedAt)
		if r.how == "done" || r.endsAt.IsZero() {
			delays[Slowed] += max(took-r.full, 0)
			continue
		}
		if cause := causeOfEnd(r.how); cause != Moved {
			delays[cause] += took
		} else {
			delays[Slowed] += max(took-r.full, 0)
		}
	}
}

// addWait adds a wait for room, split by what happened meanwhile.
func (j *job) addWait(delays map[Cause]time.Duration, from, to time.Time, pauses []pause) {
	if !to.After(from) {
		return
	}
	wait := to.Sub(from)
	leaderless := min(overlap(pauses, from, to), wait)
	delays[Leaderless] += leaderless
	behind := min(j.behindFor(from, to), wait-leaderless)
	delays[Behind] += behind
	delays[Room] += wait - leaderless - behind
}

// behindFor returns for how long the job was put behind others in a time.
func (j *job) behindFor(from, to time.Time) time.Duration {
	sum := time.Duration(0)
	for i, c := range j.behind {
		until := to
		if i+1 < len(j.behind) {
			until = earlier(to, j.behind[i+1].at)
		}
		if since := later(from, c.at); c.behind && until.After(since) {
			sum += until.Sub(since)
		}
	}
	return sum
}
