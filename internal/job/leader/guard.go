package leader

import (
	"fmt"
	"runtime/debug"
)

// guard calls f, which uses the planner, and ends the leadership if f panics. The
// next leader rebuilds the planner from the log; no command of the broken one was
// sent before its records. The caller holds the lock.
func (l *Leader) guard(f func()) {
	defer func() {
		if cause := recover(); cause != nil {
			l.Logger.Error("the planner failed", "epoch", l.epoch, "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
			l.stepDown("the planner failed", failedPause)
		}
	}()
	f()
}
