// Package jobreducer keeps the state that the work log holds: jobs, the progress
// of their steps, the sessions of VMs, the leader and the entries.
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

// The first letter of a key says what the record holds.
const (
	jobKey      = "j/"
	progressKey = "p/"
	outcomeKey  = "o/"
	cancelKey   = "c/"
	sessionKey  = "v/"
	memberKey   = "m/"
	termKey     = "t"

	estimatesKey = "w"
)

// The states of a job that ended.
const (
	Completed = "completed"
	Failed    = "failed"
	Canceled  = "canceled"
)

const (
	// TaskBytes bounds the state of one task in the record of its step.
	MaxTaskBytes = 256
	// MaxShunned is how many VMs a task remembers to avoid.
	MaxShunned = 4
)

// StepKey names one step of one occurrence of a job.
type StepKey struct {
	Occurrence, Step int
}

// Job is what the log holds of one job. Record is nil once the job has ended
// and its description was dropped.
type Job struct {
	Record   *work.Job
	Progress map[StepKey]*work.Progress
	Outcome  *work.Outcome
	Cancel   *work.Cancel
}

// Known says whether the job was accepted.
func (j *Job) Accepted() bool { return j != nil && (j.Record != nil || j.Outcome != nil) }

// Started says whether a run of a task was ever placed.
func (j *Job) Started() bool {
	for _, p := range j.Progress {
		for i := range p.Tasks {
			if p.Tasks[i].Last > 0 {
				return true
			}
		}
	}
	return false
}

// State is the fold of the work log up to an offset.
type State struct {
	Jobs     map[string]*Job
	Sessions map[string]*work.Session
	Members  map[string]*work.Member
	Term     *work.Term
	// Estimates is what the leaders have learned, nil for nothing.
	Estimates *work.Estimates
	// Next is the offset of the first record that is not in the state.
	Next int64
}

// New returns the state of an empty log.
func New() *State {
	return &State{Jobs: map[string]*Job{}, Sessions: map[string]*work.Session{}, Members: map[string]*work.Member{}}
}

// Apply folds one record. A record that cannot be read is passed over with an error.
func (s *State) Apply(r journal.Record) error {
	if r.Key == termKey {
		return applyTo(r, func(v *work.WorkRecord) { s.Term = v.Term })
	}
	if r.Key == estimatesKey {
		return applyTo(r, func(v *work.WorkRecord) { s.Estimates = v.Estimates })
	}
	if len(r.Key) < len(jobKey) {
		return trace.BadParameter("record at offset %d has the unknown key %q", r.Offset, r.Key)
	}
	prefix, name := r.Key[:len(jobKey)], r.Key[len(jobKey):]
	switch prefix {
	case sessionKey:
		return applyTo(r, func(v *work.WorkRecord) { setOrDelete(s.Sessions, name, v.Session) })
	case memberKey:
		return applyTo(r, func(v *work.WorkRecord) { setOrDelete(s.Members, name, v.Member) })
	case jobKey:
		return applyTo(r, func(v *work.WorkRecord) { s.change(name, func(j *Job) { j.Record = v.Job }) })
	case outcomeKey:
		return applyTo(r, func(v *work.WorkRecord) { s.change(name, func(j *Job) { j.Outcome = v.Outcome }) })
	case cancelKey:
		return applyTo(r, func(v *work.WorkRecord) { s.change(name, func(j *Job) { j.Cancel = v.Cancel }) })
	case progressKey:
		id, key, err := parseStep(name)
		if err != nil {
			return trace.BadParameter("record at offset %d: %v", r.Offset, err)
		}
		return applyTo(r, func(v *work.WorkRecord) {
			s.change(id, func(j *Job) { setOrDelete(j.Progress, key, v.Progress) })
		})
	}
	return trace.BadParameter("record at offset %d has the unknown key %q", r.Offset, r.Key)
}

// change changes the entry of a job and drops it once it is empty.
func (s *State) change(id string, change func(j *Job)) {
	j := s.Jobs[id]
	if j == nil {
		j = &Job{Progress: map[StepKey]*work.Progress{}}
		s.Jobs[id] = j
	}
	change(j)
	if j.Record == nil && j.Outcome == nil && j.Cancel == nil && len(j.Progress) == 0 {
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

// applyTo decodes the value of a record; a removed key has none.
func applyTo(r journal.Record, apply func(*work.WorkRecord)) error {
	var v work.WorkRecord
	if len(r.Value) > 0 {
		if err := codec.Decode(r.Value, &v); err != nil {
			return trace.Wrap(err, "record %q at offset %d", r.Key, r.Offset)
		}
	}
	apply(&v)
	return nil
}

func parseStep(name string) (string, StepKey, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 3 {
		return "", StepKey{}, fmt.Errorf("key %q names no step", name)
	}
	occurrence, err := strconv.Atoi(parts[1])
	if err != nil {
		return "", StepKey{}, err
	}
	step, err := strconv.Atoi(parts[2])
	return parts[0], StepKey{occurrence, step}, err
}

func record(key string, v *work.WorkRecord) journal.Record {
	data, err := codec.Encode(v)
	if err != nil {
		panic(fmt.Sprintf("a generated type has no encoding: %v", err))
	}
	return journal.Record{Key: key, Value: data}
}

// DecodeClient reads a record that a client caused: a job or a cancellation.
func DecodeClientRecord(r journal.Record) (id string, job *work.Job, cancel bool, err error) {
	if len(r.Key) <= len(jobKey) {
		return "", nil, false, trace.BadParameter("key %q is not of a client's record", r.Key)
	}
	var v work.WorkRecord
	if err := codec.Decode(r.Value, &v); err != nil {
		return "", nil, false, trace.Wrap(err)
	}
	id = r.Key[len(jobKey):]
	switch {
	case strings.HasPrefix(r.Key, jobKey) && v.Job != nil && v.Job.ID == id:
		return id, v.Job, false, nil
	case strings.HasPrefix(r.Key, cancelKey) && v.Cancel != nil:
		return id, nil, true, nil
	}
	return "", nil, false, trace.BadParameter("key %q is not of a client's record", r.Key)
}

// EstimatesRecord returns the record of what a leader has learned.
func EstimatesRecord(e *work.Estimates) journal.Record {
	return record(estimatesKey, &work.WorkRecord{Estimates: e})
}

// JobRecord returns the record of an accepted job.
func JobRecord(j *work.Job) journal.Record {
	return record(jobKey+j.ID, &work.WorkRecord{Job: j})
}

// ProgressRecord returns the record of a step's progress.
func ProgressRecord(id string, key StepKey, p *work.Progress) journal.Record {
	return record(stepName(id, key), &work.WorkRecord{Progress: p})
}

// OutcomeRecord returns the record of how a job ended.
func OutcomeRecord(id string, o *work.Outcome) journal.Record {
	return record(outcomeKey+id, &work.WorkRecord{Outcome: o})
}

// CancelRecord returns the record of a request to cancel.
func CancelRecord(id string, c *work.Cancel) journal.Record {
	return record(cancelKey+id, &work.WorkRecord{Cancel: c})
}

// SessionRecord returns the record of a VM's session.
func SessionRecord(s *work.Session) journal.Record {
	return record(sessionKey+s.VM, &work.WorkRecord{Session: s})
}

// MemberRecord returns the record of an entry.
func MemberRecord(m *work.Member) journal.Record {
	return record(memberKey+m.Name, &work.WorkRecord{Member: m})
}

// TermRecord returns the record of a leader's term.
func TermRecord(t *work.Term) journal.Record {
	return record(termKey, &work.WorkRecord{Term: t})
}

// DropMember returns the record that removes an entry.
func MemberTombstone(name string) journal.Record { return journal.Record{Key: memberKey + name} }

// DropOutcome returns the record that forgets a job that ended.
func OutcomeTombstone(id string) journal.Record { return journal.Record{Key: outcomeKey + id} }

// DropJob returns the records that remove the description and progress of a job.
func JobTombstones(id string, steps []StepKey) []journal.Record {
	records := []journal.Record{{Key: jobKey + id}, {Key: cancelKey + id}}
	for _, key := range steps {
		records = append(records, journal.Record{Key: stepName(id, key)})
	}
	return records
}

func stepName(id string, key StepKey) string {
	return fmt.Sprintf("%s%s.%d.%d", progressKey, id, key.Occurrence, key.Step)
}
