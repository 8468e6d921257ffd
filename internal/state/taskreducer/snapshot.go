package taskreducer

import (
	"github.com/gravitational/trace"

	"knapweedspur/internal/wire/codec"
)

// Snapshot returns the state as bytes. Equal states give equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	return codec.Encode(s)
}

// Restore returns the state that a snapshot holds. The index of open attempts
// by VM is not part of a snapshot and is rebuilt.
func Restore(data []byte) (*State, error) {
	s := New()
	if err := codec.DecodeSnapshot(data, s); err != nil {
		return nil, trace.Wrap(err, "restore a task snapshot")
	}
	for name, run := range s.Runs {
		s.indexOpenAttempts(name, run)
	}
	return s, nil
}

// indexOpenAttempts adds the open attempts of a run to the index of their VMs.
func (s *State) indexOpenAttempts(name string, run *Run) {
	for i := range run.Tasks {
		task := &run.Tasks[i]
		if task.Phase != Open {
			continue
		}
		if vm := s.VMs[task.VM]; vm != nil {
			vm.addOpen(TaskKey{Run: name, Task: i})
		}
	}
}
