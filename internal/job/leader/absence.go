package leader

import (
	"math"
	"time"

	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/log/journal"
)

const (
	// absenceRetention is how long the log keeps the report that a job does not exist: far
	// longer than an entry holds a submission or the log an append, which are seconds.
	absenceRetention = 2 * time.Minute
	// absenceSweepInterval is how often reports are checked for expiry.
	absenceSweepInterval = 5 * time.Second
	// maxAbsences bounds the jobs of which reports are kept, at about 200 bytes each.
	maxAbsences = 20_000
	// viewDelay is more than the time until the view of a leader includes a record.
	viewDelay = 10 * time.Second
)

// pendingOffset stands for the offset of a record that is not written yet, or of which
// the log did not tell the offset.
const pendingOffset = math.MaxInt64

// absences are the reports of this term that may not be in the view yet. A leader knows
// those of earlier terms from its view, which includes its claim.
type absences struct {
	byJob map[string]reportedAbsence
	// unwritten are the jobs of the batch that is being written.
	unwritten []string
	// seenAt is when this leader first found the record of a report in its view, by key.
	seenAt    map[string]time.Time
	lastSweep time.Time
}

type reportedAbsence struct {
	offset int64
	// at is when the report was in the log, zero before.
	at time.Time
}

// report notes that a job is reported absent with the next batch.
func (a *absences) report(id string) {
	if a.byJob == nil {
		a.byJob = map[string]reportedAbsence{}
	}
	a.byJob[id] = reportedAbsence{offset: pendingOffset}
	a.unwritten = append(a.unwritten, id)
}

// written notes that the batch is in the log. The offset is that of its last record, or
// pendingOffset if it is not known.
func (a *absences) written(offset int64, now time.Time) {
	for _, id := range a.unwritten {
		a.byJob[id] = reportedAbsence{offset, now}
	}
	a.unwritten = nil
}

// since returns the last report of a job in this term if it is at or after an offset.
func (a *absences) since(id string, offset int64) (reportedAbsence, bool) {
	r, ok := a.byJob[id]
	return r, ok && r.offset >= offset
}

// expireAbsences forgets reports that are in the view by now, and returns the records that
// remove old ones from the log. The caller holds the lock.
func (l *Leader) expireAbsences(now time.Time) []journal.Record {
	if now.Sub(l.absences.lastSweep) < absenceSweepInterval {
		return nil
	}
	l.absences.lastSweep = now
	viewAge := l.Follower.Age()
	for id, r := range l.absences.byJob {
		if !r.at.IsZero() && now.Sub(r.at) > viewDelay && viewAge < maxViewAge {
			delete(l.absences.byJob, id)
		}
	}
	var records []journal.Record
	seenAt := map[string]time.Time{}
	l.Follower.View(func(state *jobreducer.State, _ time.Duration) {
		for _, reports := range state.Absences {
			for _, r := range reports {
				first, seen := l.absences.seenAt[r.Key]
				if !seen {
					first = now
				}
				seenAt[r.Key] = first
				if now.Sub(first) > absenceRetention {
					records = append(records, journal.Record{Key: r.Key})
				}
			}
		}
	})
	l.absences.seenAt = seenAt
	return records
}

// adoptCandidates returns the records that replace the candidates of a job: its
// description, if a candidate counts and the job has not ended, and their removal. The
// caller holds the lock.
func (l *Leader) adoptCandidates(id string, j *jobreducer.Job) []journal.Record {
	var records []journal.Record
	if _, open := l.planner.FindJob(id); open && j.Adoptable() {
		records = append(records, jobreducer.JobRecord(j.Description))
	}
	for _, c := range j.Candidates {
		records = append(records, journal.Record{Key: c.Key})
	}
	if len(records) > 0 {
		l.Logger.Info("candidates replaced", "job", id, "candidates", len(j.Candidates), "adopted", len(records) > len(j.Candidates))
	}
	return records
}
