package taskreducer

import (
	"github.com/gravitational/trace"

	"knapweedspur/internal/wire/codec"
)

// Snapshot returns the state as bytes. Equal states give equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	return codec.Encode(s)
}

// Restore returns the state of a snapshot.
func Restore(data []byte) (*State, error) {
	s := New()
	if err := codec.DecodeSnapshot(data, s); err != nil {
		return nil, trace.Wrap(err, "restore a task snapshot")
	}
	for name, run := range s.Runs {
		s.index(name, run)
	}
	return s, nil
}

// index notes the open attempts of a run at their VMs.
func (s *State) index(name string, run *Run) {
	for i := range run.Tasks {
		task := &run.Tasks[i]
		if task.Phase != Open {
			continue
		}
		if vm := s.VMs[task.VM]; vm != nil {
			vm.hold(TaskKey{Run: name, Task: i})
		}
	}
}
