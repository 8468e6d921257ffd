// Package configreducer applies the records of the configuration stream to the
// declarations in force and the audit trail. This fold is deterministic: the same
// records in the same order give the same state in every process.
package configreducer

import (
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"knapweedspur/internal/wire/codec"
	"knapweedspur/internal/wire/message"
)

// Limits of the state: how many of the latest items are kept. Older ones are
// removed in one go when there are more than twice as many.
const (
	maxAudit   = 512
	maxWriters = 4096
	maxChanges = 4096
)

// Declaration is one declaration in force.
type Declaration struct {
	// Version is the offset after that of the change that set the
	// declaration.
	Version uint64 `cbor:"1,keyasint"`
	// Body is the declaration's text.
	Body string `cbor:"2,keyasint"`
	// Who is the publisher of that change.
	Who string `cbor:"3,keyasint"`
	// Time is when that change was published, by the writer's clock.
	Time time.Time `cbor:"4,keyasint"`
}

// Outcome is the result of a change.
type Outcome struct {
	// Version is the version that the change set, 0 if it was rejected.
	Version uint64 `cbor:"1,keyasint"`
	// Reason is why the change was rejected.
	Reason string `cbor:"2,keyasint"`
}

// State is the result of applying the configuration stream. It is not safe for
// concurrent use.
type State struct {
	// Next is the offset of the next batch to apply.
	Next uint64 `cbor:"1,keyasint"`
	// Writers holds the number of the last batch of each writer, in order to
	// detect repeated batches.
	Writers map[string]uint64 `cbor:"2,keyasint"`
	// WriterOrder holds the writers in the order of their first batch.
	WriterOrder []string `cbor:"3,keyasint"`
	// Declarations holds the declarations by name.
	Declarations map[string]Declaration `cbor:"4,keyasint"`
	// Changes holds the outcomes of the latest changes by identifier.
	Changes map[string]Outcome `cbor:"5,keyasint"`
	// ChangeOrder holds the identifiers in Changes, oldest first.
	ChangeOrder []string `cbor:"6,keyasint"`
	// Audit holds the latest audit lines, oldest first.
	Audit []message.Audit `cbor:"7,keyasint"`
}

// New returns the state before the first record.
func New() *State {
	return &State{Writers: map[string]uint64{}, Declarations: map[string]Declaration{}, Changes: map[string]Outcome{}}
}

// Offset returns the offset of the next batch to apply.
func (s *State) Offset() uint64 { return s.Next }

// Fold applies the value at an offset and returns whether a declaration changed.
// A value whose offset was already applied changes nothing, nor does a batch that
// its writer has appended twice.
func (s *State) Fold(offset uint64, value []byte) bool {
	if offset < s.Next {
		return false
	}
	s.Next = offset + 1
	batch, err := codec.DecodeBatch(value)
	if err != nil {
		return false
	}
	if batch.Number <= s.Writers[batch.Writer] {
		return false
	}
	s.recordWriter(batch)
	changed := false
	for i := range batch.Records {
		if c := batch.Records[i].Change; c != nil && s.applyChange(offset, batch, c) {
			changed = true
		}
	}
	return changed
}

func (s *State) recordWriter(batch *message.Batch) {
	if _, known := s.Writers[batch.Writer]; !known {
		s.WriterOrder = append(s.WriterOrder, batch.Writer)
	}
	s.Writers[batch.Writer] = batch.Number
	if len(s.WriterOrder) > 2*maxWriters {
		s.WriterOrder = dropOldest(s.Writers, s.WriterOrder, maxWriters)
	}
}

func (s *State) applyChange(offset uint64, batch *message.Batch, c *message.Change) bool {
	if _, known := s.Changes[c.ID]; known {
		return false
	}
	outcome := Outcome{Version: offset + 1}
	if reason := s.conflict(c); reason != "" {
		outcome = Outcome{Reason: reason}
	}
	s.recordOutcome(c.ID, outcome)
	for _, e := range c.Edits {
		s.applyEdit(offset, batch, c, e, outcome)
	}
	return outcome.Version != 0 && len(c.Edits) > 0
}

// conflict returns why a change is rejected, or an empty string: every edit must
// be based on the current version of its declaration.
func (s *State) conflict(c *message.Change) string {
	for _, e := range c.Edits {
		current := s.Declarations[e.Name]
		if current.Version != e.BaseVersion {
			return fmt.Sprintf("%s is at version %d, set by %s; the change was based on version %d", e.Name, current.Version, orNobody(current.Who), e.BaseVersion)
		}
	}
	return ""
}

func orNobody(who string) string {
	if who == "" {
		return "nobody"
	}
	return who
}

func (s *State) applyEdit(offset uint64, batch *message.Batch, c *message.Change, e message.Edit, outcome Outcome) {
	line := message.Audit{Offset: offset, Time: batch.Time, Who: c.Who, Action: "publish", Target: e.Name, BaseVersion: e.BaseVersion, Outcome: "accepted"}
	if e.Body == "" {
		line.Action = "remove"
	}
	if outcome.Version == 0 {
		line.Outcome = outcome.Reason
	} else {
		s.Declarations[e.Name] = Declaration{Version: outcome.Version, Body: e.Body, Who: c.Who, Time: batch.Time}
	}
	s.Audit = append(s.Audit, line)
	if len(s.Audit) > 2*maxAudit {
		s.Audit = append([]message.Audit(nil), s.Audit[maxAudit:]...)
	}
}

func (s *State) recordOutcome(id string, outcome Outcome) {
	s.Changes[id] = outcome
	s.ChangeOrder = append(s.ChangeOrder, id)
	if len(s.ChangeOrder) > 2*maxChanges {
		s.ChangeOrder = dropOldest(s.Changes, s.ChangeOrder, maxChanges)
	}
}

// dropOldest removes the n oldest keys from a map and returns the order of the
// remaining ones.
func dropOldest[V any](m map[string]V, order []string, n int) []string {
	for _, key := range order[:n] {
		delete(m, key)
	}
	return append([]string(nil), order[n:]...)
}

// Snapshot returns the state as bytes. Equal states give equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	return codec.Encode(s)
}

// Restore returns the state that a snapshot holds.
func Restore(data []byte) (*State, error) {
	s := New()
	if err := codec.DecodeSnapshot(data, s); err != nil {
		return nil, trace.Wrap(err, "restore a configuration snapshot")
	}
	return s, nil
}
