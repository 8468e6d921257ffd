package jobreducer

import (
	"slices"
	"strings"
	"time"

	"knapweedspur/internal/log/journal"
	"knapweedspur/internal/wire/work"
)

// Key prefixes of candidates and of reported absences. Each record has a key of its own,
// the ID of the job and a suffix, so that a late append replaces none that counts.
const (
	candidatePrefix = "q/"
	absencePrefix   = "x/"
)

// Candidate is a job that an entry appended without the leader.
type Candidate struct {
	Key    string
	Offset int64
	Job    *work.Job
}

// Absence is a report to a client that a job did not exist.
type Absence struct {
	Key        string
	Offset     int64
	ReportedAt time.Time
}

// CandidateRecord returns the record of a job that is appended without the leader. The
// suffix must be new for each append: the log may carry one out late.
func CandidateRecord(j *work.Job, suffix string) journal.Record {
	return newRecord(candidatePrefix+j.ID+"."+suffix, &work.WorkRecord{Job: j})
}

// AbsenceRecord returns the record of a report that a job does not exist. Only leaders
// write it. The suffix must be new for each report.
func AbsenceRecord(id, suffix string, a *work.Absence) journal.Record {
	return newRecord(absencePrefix+id+"."+suffix, &work.WorkRecord{Absence: a})
}

// ClientJobID returns the ID of the job that a client's record is about, and false for
// the records of leaders and entries.
func ClientJobID(key string) (string, bool) {
	for _, prefix := range []string{jobPrefix, cancelPrefix, candidatePrefix} {
		if name, ok := strings.CutPrefix(key, prefix); ok {
			return jobOfKey(name), true
		}
	}
	return "", false
}

// jobOfKey returns the ID of the job in a key without its prefix.
func jobOfKey(name string) string {
	id, _, _ := strings.Cut(name, ".")
	return id
}

func (s *State) applyCandidate(r journal.Record, name string) error {
	var invalid error
	err := applyValue(r, func(v *work.WorkRecord) {
		if invalid = validateJob(v.Job); invalid != nil {
			return
		}
		s.update(jobOfKey(name), func(j *Job) {
			j.Candidates = slices.DeleteFunc(j.Candidates, func(c Candidate) bool { return c.Key == r.Key })
			if v.Job != nil {
				j.Candidates = append(j.Candidates, Candidate{Key: r.Key, Offset: r.Offset, Job: v.Job})
			}
		})
	})
	if err != nil {
		return err
	}
	return invalid
}

func (s *State) applyAbsence(r journal.Record, name string) error {
	return applyValue(r, func(v *work.WorkRecord) {
		id := jobOfKey(name)
		kept := slices.DeleteFunc(s.Absences[id], func(a Absence) bool { return a.Key == r.Key })
		if v.Absence != nil {
			kept = append(kept, Absence{Key: r.Key, Offset: r.Offset, ReportedAt: v.Absence.ReportedAt})
		}
		s.Absences[id] = kept
		if len(kept) == 0 {
			delete(s.Absences, id)
		}
		if s.Jobs[id] != nil {
			s.update(id, func(*Job) {})
		}
	})
}

// describe sets the description of a job: that of the leader, else the first candidate
// that counts. A view that is rebuilt reads the records by key, so the result depends on
// their offsets only.
func (s *State) describe(id string, j *Job) {
	j.Description = j.written
	if j.written != nil {
		return
	}
	first := int64(-1)
	for _, c := range j.Candidates {
		if s.counts(id, c) && (first < 0 || c.Offset < first) {
			first, j.Description = c.Offset, c.Job
		}
	}
}

// Adoptable reports whether the description is that of a candidate.
func (j *Job) Adoptable() bool { return j.Description != nil && j.written == nil }

// counts reports whether a candidate was appended before the first report of its absence
// that the entry did not know when the submission arrived.
func (s *State) counts(id string, c Candidate) bool {
	return !slices.ContainsFunc(s.Absences[id], func(a Absence) bool { return c.Job.Since <= a.Offset && a.Offset < c.Offset })
}

// SubmittedAfterReport reports whether a job was submitted after a report, at or after an
// offset, that it does not exist.
func (s *State) SubmittedAfterReport(id string, offset int64) bool {
	j := s.Jobs[id]
	if j == nil || j.Description == nil {
		return false
	}
	return slices.ContainsFunc(s.Absences[id], func(a Absence) bool { return offset <= a.Offset && a.Offset < j.Description.Since })
}

// ReportedAbsentSince reports whether a record at or after an offset says that the job
// does not exist.
func (s *State) ReportedAbsentSince(id string, offset int64) bool {
	return slices.ContainsFunc(s.Absences[id], func(a Absence) bool { return a.Offset >= offset })
}
