// Package configreducer folds the records of the configuration stream into the
// declarations in force and the audit trail. The fold is pure.
package configreducer

import (
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"knapweedspur/internal/wire/codec"
	"knapweedspur/internal/wire/message"
)

// Limits of the state: what is remembered at the least, and half of what is
// remembered at the most.
const (
	maxAudit   = 512
	maxWriters = 4096
	maxChanges = 4096
)

// Item is one declaration in force.
type Declaration struct {
	// Version is the offset after that of the change that set it.
	Version uint64 `cbor:"1,keyasint"`
	// Body is the declaration's text.
	Body string `cbor:"2,keyasint"`
	// Who set it.
	Who string `cbor:"3,keyasint"`
	// Time is the publisher's clock.
	Time time.Time `cbor:"4,keyasint"`
}

// Outcome is what became of a change.
type Outcome struct {
	// Version is the version that the change set, 0 if it did not count.
	Version uint64 `cbor:"1,keyasint"`
	// Reason says why it did not count.
	Reason string `cbor:"2,keyasint"`
}

// State is the fold of the configuration stream. It is not safe for
// concurrent use.
type State struct {
	// Next is the offset of the next batch to fold.
	Next uint64 `cbor:"1,keyasint"`
	// Writers are the last numbers seen of each writer.
	Writers map[string]uint64 `cbor:"2,keyasint"`
	// Order holds the writers, oldest first.
	WriterOrder []string `cbor:"3,keyasint"`
	// Items are the declarations by name.
	Declarations map[string]Declaration `cbor:"4,keyasint"`
	// Changes are the outcomes of the latest changes by identifier.
	Changes map[string]Outcome `cbor:"5,keyasint"`
	// Recent holds the identifiers of Changes, oldest first.
	ChangeOrder []string `cbor:"6,keyasint"`
	// Audit are the latest audit lines, oldest first.
	Audit []message.Audit `cbor:"7,keyasint"`
}

// New returns the state before the first record.
func New() *State {
	return &State{Writers: map[string]uint64{}, Declarations: map[string]Declaration{}, Changes: map[string]Outcome{}}
}

// Offset returns the offset that the fold reads next.
func (s *State) Offset() uint64 { return s.Next }

// Fold takes the value at an offset and returns whether a declaration changed.
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
	s.remember(batch)
	changed := false
	for i := range batch.Records {
		if c := batch.Records[i].Change; c != nil && s.change(offset, batch, c) {
			changed = true
		}
	}
	return changed
}

func (s *State) remember(batch *message.Batch) {
	if _, known := s.Writers[batch.Writer]; !known {
		s.WriterOrder = append(s.WriterOrder, batch.Writer)
	}
	s.Writers[batch.Writer] = batch.Number
	if len(s.WriterOrder) > 2*maxWriters {
		s.WriterOrder = forget(s.Writers, s.WriterOrder, maxWriters)
	}
}

func (s *State) change(offset uint64, batch *message.Batch, c *message.Change) bool {
	if _, known := s.Changes[c.ID]; known {
		return false
	}
	outcome := Outcome{Version: offset + 1}
	if reason := s.conflict(c); reason != "" {
		outcome = Outcome{Reason: reason}
	}
	s.note(c.ID, outcome)
	for _, e := range c.Edits {
		s.edit(offset, batch, c, e, outcome)
	}
	return outcome.Version != 0 && len(c.Edits) > 0
}

// conflict returns why a change does not count, or nothing.
func (s *State) conflict(c *message.Change) string {
	for _, e := range c.Edits {
		item := s.Declarations[e.Name]
		if item.Version != e.Base {
			return fmt.Sprintf("%s is at version %d, set by %s; the change was based on version %d", e.Name, item.Version, nobody(item.Who), e.Base)
		}
	}
	return ""
}

func nobody(who string) string {
	if who == "" {
		return "nobody"
	}
	return who
}

func (s *State) edit(offset uint64, batch *message.Batch, c *message.Change, e message.Edit, outcome Outcome) {
	line := message.Audit{Offset: offset, Time: batch.Time, Who: c.Who, Action: "publish", Target: e.Name, Base: e.Base, Outcome: "accepted"}
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

func (s *State) note(id string, outcome Outcome) {
	s.Changes[id] = outcome
	s.ChangeOrder = append(s.ChangeOrder, id)
	if len(s.ChangeOrder) > 2*maxChanges {
		s.ChangeOrder = forget(s.Changes, s.ChangeOrder, maxChanges)
	}
}

// forget drops the n oldest keys of a map and returns the order of the rest.
func forget[V any](m map[string]V, order []string, n int) []string {
	for _, key := range order[:n] {
		delete(m, key)
	}
	return append([]string(nil), order[n:]...)
}

// Snapshot returns the state as bytes. Equal states give equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	return codec.Encode(s)
}

// Restore returns the state of a snapshot.
func Restore(data []byte) (*State, error) {
	s := New()
	if err := codec.DecodeSnapshot(data, s); err != nil {
		return nil, trace.Wrap(err, "restore a configuration snapshot")
	}
	return s, nil
}
