// Package jobreducer rebuilds the state that the work log holds (jobs, the state of
// their tasks, the sessions of VMs, the current leader and the entries), and
// builds the records that change it. An entry is a server process that accepts
// jobs and may lead; the log knows it as a member.
package jobreducer

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"knapweedspur/internal/log/journal"
	"knapweedspur/internal/wire/codec"
	"knapweedspur/internal/wire/work"
)

// Keys and key prefixes. The first letter of a key says what the record holds.
const (
	jobPrefix     = "j/"
	taskPrefix    = "p/"
	outcomePrefix = "o/"
	cancelPrefix  = "c/"
	sessionPrefix = "v/"
	memberPrefix  = "m/"
	termKey       = "t"

	estimatesKey = "w"
	speedsKey    = "s"
	forecastKey  = "f"
	durationsKey = "d"
)

// The final states of a job.
const (
	Completed = "completed"
	Failed    = "failed"
	Canceled  = "canceled"
)

const (
	// MaxTaskBytes is the limit for the encoded state of one task.
	MaxTaskBytes = 300
	// MaxSoundTaskBytes is that of a task under which no worker has crashed.
	MaxSoundTaskBytes = 256
	// MaxExcludedVMs limits the VMs that the state of a task lists as
	// excluded.
	MaxExcludedVMs = 4
)

// StepKey identifies one step of one occurrence of a job.
type StepKey struct {
	Occurrence, Step int
}

// TaskKey identifies one task of a job.
type TaskKey struct {
	StepKey
	Index int
}

// Job is the state of one job in the log. Description is nil once the job has
// ended and the record of its description was removed. Tasks holds the tasks that
// were ever placed; each has a record of its own, since the tasks of a wide step
// change one by one. Candidates are the appends of the job without the leader.
type Job struct {
	Description *work.Job
	Candidates  []Candidate
	Tasks       map[TaskKey]*work.Task
	Outcome     *work.Outcome
	Cancel      *work.Cancel
	// written is the description that a leader wrote.
	written *work.Job
}

// Accepted reports whether the log holds the job or its outcome.
func (j *Job) Accepted() bool { return j != nil && (j.Description != nil || j.Outcome != nil) }

// Started reports whether any run of a task of the job was ever placed.
func (j *Job) Started() bool {
	for _, t := range j.Tasks {
		if t.LastRun > 0 {
			return true
		}
	}
	return false
}

// State is the result of applying the work log up to an offset.
type State struct {
	Jobs     map[string]*Job
	Sessions map[string]*work.Session
	Members  map[string]*work.Member
	// Absences are the reports that a job does not exist, by the ID of the job.
	Absences map[string][]Absence
	Term     *work.Term
	// Estimates are the interference estimates that leaders have stored, nil if
	// there are none.
	Estimates *work.InterferenceEstimates
	// Speeds are the VMs that the last leader gave little work, nil if it wrote none.
	Speeds *work.Speeds
	// Forecast is the newest forecast of room, nil if there is none.
	Forecast *work.RoomForecast
	// Durations are the learned durations that leaders have stored, nil if there are
	// none.
	Durations *work.LearnedDurations
	// Next is the offset of the first record that is not yet applied.
	Next int64
}

// New returns the state of an empty log.
func New() *State {
	return &State{Jobs: map[string]*Job{}, Sessions: map[string]*work.Session{}, Members: map[string]*work.Member{}, Absences: map[string][]Absence{}}
}

// Apply applies one record. If the record cannot be read, it returns an error
// and leaves the state unchanged.
func (s *State) Apply(r journal.Record) error {
	if r.Key == termKey {
		return applyValue(r, func(v *work.WorkRecord) { s.Term = v.Term })
	}
	if r.Key == estimatesKey {
		return applyValue(r, func(v *work.WorkRecord) { s.Estimates = v.Estimates })
	}
	if r.Key == speedsKey {
		return applyValue(r, func(v *work.WorkRecord) { s.Speeds = v.Speeds })
	}
	if r.Key == forecastKey {
		return applyValue(r, func(v *work.WorkRecord) { s.Forecast = v.Forecast })
	}
	if r.Key == durationsKey {
		return applyValue(r, func(v *work.WorkRecord) { s.Durations = v.Durations })
	}
	if len(r.Key) < len(jobPrefix) {
		return trace.BadParameter("record at offset %d has unknown key %q", r.Offset, r.Key)
	}
	prefix, name := r.Key[:len(jobPrefix)], r.Key[len(jobPrefix):]
	switch prefix {
	case sessionPrefix:
		return applyValue(r, func(v *work.WorkRecord) { setOrDelete(s.Sessions, name, v.Session) })
	case memberPrefix:
		return applyValue(r, func(v *work.WorkRecord) { setOrDelete(s.Members, name, v.Member) })
	case jobPrefix:
		return s.applyJob(r, name)
	case candidatePrefix:
		return s.applyCandidate(r, name)
	case absencePrefix:
		return s.applyAbsence(r, name)
	case outcomePrefix:
		return applyValue(r, func(v *work.WorkRecord) { s.update(name, func(j *Job) { j.Outcome = v.Outcome }) })
	case cancelPrefix:
		return applyValue(r, func(v *work.WorkRecord) { s.update(name, func(j *Job) { j.Cancel = v.Cancel }) })
	case taskPrefix:
		id, key, err := parseTaskKey(name)
		if err != nil {
			return trace.BadParameter("record at offset %d: %v", r.Offset, err)
		}
		return applyValue(r, func(v *work.WorkRecord) {
			s.update(id, func(j *Job) { setOrDelete(j.Tasks, key, v.Task) })
		})
	}
	return trace.BadParameter("record at offset %d has unknown key %q", r.Offset, r.Key)
}

// applyJob applies the record of a job. A description that no planner can work with,
// such as one that another release wrote, is an error.
func (s *State) applyJob(r journal.Record, id string) error {
	var invalid error
	err := applyValue(r, func(v *work.WorkRecord) {
		if invalid = validateJob(v.Job); invalid == nil {
			s.update(id, func(j *Job) { j.written = v.Job })
		}
	})
	if err != nil {
		return err
	}
	return trace.Wrap(invalid, "record %q at offset %d", r.Key, r.Offset)
}

// validateJob checks what every planner relies on. A nil job is a tombstone.
func validateJob(job *work.Job) error {
	if job == nil {
		return nil
	}
	if len(job.Steps) == 0 || job.Occurrences < 0 || job.Interval < 0 {
		return trace.BadParameter("job with %d steps, %d occurrences, interval %s", len(job.Steps), job.Occurrences, job.Interval)
	}
	for i := range job.Steps {
		step := &job.Steps[i]
		if step.Tasks <= 0 || step.EstimatedDuration < 0 || step.Size.Millicores < 0 || step.Size.Memory < 0 || step.Size.Accelerators < 0 {
			return trace.BadParameter("step %d has %d tasks of %+v for %s", i, step.Tasks, step.Size, step.EstimatedDuration)
		}
		for _, dependency := range step.DependsOn {
			if dependency < 0 || dependency >= i {
				return trace.BadParameter("step %d depends on step %d", i, dependency)
			}
		}
	}
	return nil
}

// update applies a change to the state of a job, and deletes the state if nothing
// is left in it.
func (s *State) update(id string, update func(j *Job)) {
	j := s.Jobs[id]
	if j == nil {
		j = &Job{Tasks: map[TaskKey]*work.Task{}}
		s.Jobs[id] = j
	}
	update(j)
	s.describe(id, j)
	if j.Description == nil && j.Outcome == nil && j.Cancel == nil && len(j.Tasks) == 0 && len(j.Candidates) == 0 {
		delete(s.Jobs, id)
	}
}

func setOrDelete[K comparable, V any](m map[K]*V, key K, value *V) {
	if value == nil {
		delete(m, key)
		return
	}
	m[key] = value
}

// applyValue calls apply with the decoded value of a record. The value of a
// tombstone is empty and decodes to a zero WorkRecord.
func applyValue(r journal.Record, apply func(*work.WorkRecord)) error {
	var v work.WorkRecord
	if len(r.Value) > 0 {
		if err := codec.Decode(r.Value, &v); err != nil {
			return trace.Wrap(err, "record %q at offset %d", r.Key, r.Offset)
		}
	}
	apply(&v)
	return nil
}

func parseTaskKey(name string) (string, TaskKey, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", TaskKey{}, fmt.Errorf("key %q does not identify a task", name)
	}
	var numbers [3]int
	for i := range numbers {
		number, err := strconv.Atoi(parts[i+1])
		if err != nil {
			return "", TaskKey{}, err
		}
		numbers[i] = number
	}
	return parts[0], TaskKey{StepKey{numbers[0], numbers[1]}, numbers[2]}, nil
}

func newRecord(key string, v *work.WorkRecord) journal.Record {
	data, err := codec.Encode(v)
	if err != nil {
		panic(fmt.Sprintf("a generated type has no encoding: %v", err))
	}
	return journal.Record{Key: key, Value: data}
}

// ClientRecord is a decoded record that is written for a client. Exactly one of the
// pointers is set.
type ClientRecord struct {
	JobID   string
	Job     *work.Job
	Cancel  *work.Cancel
	Absence *work.Absence
}

// DecodeClientRecord decodes a record that a leader writes for a client: a job, a
// cancellation or a report that a job does not exist.
func DecodeClientRecord(r journal.Record) (ClientRecord, error) {
	if len(r.Key) <= len(jobPrefix) {
		return ClientRecord{}, trace.BadParameter("key %q is not that of a client's record", r.Key)
	}
	var v work.WorkRecord
	if err := codec.Decode(r.Value, &v); err != nil {
		return ClientRecord{}, trace.Wrap(err)
	}
	prefix, name := r.Key[:len(jobPrefix)], r.Key[len(jobPrefix):]
	switch {
	case prefix == jobPrefix && v.Job != nil && v.Job.ID == name:
		if err := validateJob(v.Job); err != nil {
			return ClientRecord{}, trace.Wrap(err, "record %q", r.Key)
		}
		return ClientRecord{JobID: name, Job: v.Job}, nil
	case prefix == cancelPrefix && v.Cancel != nil:
		return ClientRecord{JobID: name, Cancel: v.Cancel}, nil
	case prefix == absencePrefix && v.Absence != nil:
		return ClientRecord{JobID: jobOfKey(name), Absence: v.Absence}, nil
	}
	return ClientRecord{}, trace.BadParameter("key %q is not that of a client's record", r.Key)
}

// EstimatesRecord returns the record of the interference estimates of a leader.
func EstimatesRecord(e *work.InterferenceEstimates) journal.Record {
	return newRecord(estimatesKey, &work.WorkRecord{Estimates: e})
}

// SpeedsRecord returns the record of the VMs that get little work.
func SpeedsRecord(s *work.Speeds) journal.Record {
	return newRecord(speedsKey, &work.WorkRecord{Speeds: s})
}

// ForecastRecord returns the record of a leader's forecast of room.
func ForecastRecord(f *work.RoomForecast) journal.Record {
	return newRecord(forecastKey, &work.WorkRecord{Forecast: f})
}

// DurationsRecord returns the record of the durations that a leader has learned.
func DurationsRecord(d *work.LearnedDurations) journal.Record {
	return newRecord(durationsKey, &work.WorkRecord{Durations: d})
}

// JobRecord returns the record of an accepted job.
func JobRecord(j *work.Job) journal.Record {
	return newRecord(jobPrefix+j.ID, &work.WorkRecord{Job: j})
}

// TaskRecord returns the record of the state of a task.
func TaskRecord(id string, key TaskKey, t *work.Task) journal.Record {
	return newRecord(taskRecordKey(id, key), &work.WorkRecord{Task: t})
}

// OutcomeRecord returns the record of how a job ended.
func OutcomeRecord(id string, o *work.Outcome) journal.Record {
	return newRecord(outcomePrefix+id, &work.WorkRecord{Outcome: o})
}

// CancelRecord returns the record of a request to cancel a job.
func CancelRecord(id string, c *work.Cancel) journal.Record {
	return newRecord(cancelPrefix+id, &work.WorkRecord{Cancel: c})
}

// SessionRecord returns the record of a VM's session.
func SessionRecord(s *work.Session) journal.Record {
	return newRecord(sessionPrefix+s.VM, &work.WorkRecord{Session: s})
}

// MemberRecord returns the record of an entry.
func MemberRecord(m *work.Member) journal.Record {
	return newRecord(memberPrefix+m.Name, &work.WorkRecord{Member: m})
}

// TermRecord returns the record of a leader's term.
func TermRecord(t *work.Term) journal.Record {
	return newRecord(termKey, &work.WorkRecord{Term: t})
}

// MemberTombstone returns the record that removes an entry.
func MemberTombstone(name string) journal.Record { return journal.Record{Key: memberPrefix + name} }

// OutcomeTombstone returns the record that removes the outcome of a job.
func OutcomeTombstone(id string) journal.Record { return journal.Record{Key: outcomePrefix + id} }

// JobTombstones returns the records that remove the description, cancellation
// and tasks of a job. The description comes last: a leader that finds it beside an outcome
// removes what is left.
func JobTombstones(id string, tasks []TaskKey) []journal.Record {
	var records []journal.Record
	for _, key := range tasks {
		records = append(records, journal.Record{Key: taskRecordKey(id, key)})
	}
	return append(records, journal.Record{Key: cancelPrefix + id}, journal.Record{Key: jobPrefix + id})
}

func taskRecordKey(id string, key TaskKey) string {
	return fmt.Sprintf("%s%s.%d.%d.%d", taskPrefix, id, key.Occurrence, key.Step, key.Index)
}
