package test

import (
	"context"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/entry/entrybuilder"
	"knapweedspur/internal/standin/invariantchecker"
	"knapweedspur/internal/standin/logemulator"
	"knapweedspur/internal/standin/workeremulator"
)

// closes returns how attempts closed, or nothing if the log has cut records.
func (s *stage) closes() invariantchecker.CloseOutcomes {
	s.log.SetFaults(logemulator.Faults{})
	page, err := s.log.Read(context.Background(), entrybuilder.TaskStreamPrefix+"main", 0, 0)
	if err != nil {
		return nil
	}
	return invariantchecker.ReadCloseOutcomes(page.Items)
}

// verify checks the promises on what workers and upstreams saw.
func (s *stage) verify() {
	s.t.Helper()
	var intervals []workeremulator.Interval
	runs := map[string]int{}
	for _, v := range s.vms {
		intervals = append(intervals, v.worker.History(time.Now())...)
		for id, n := range v.upstream.RunCounts() {
			runs[id] += n
		}
		if peak := v.upstream.PeakInFlight(); peak > 8 {
			s.t.Errorf("%s ran %d requests at once on 8 slots", v.name, peak)
		}
	}
	faults := append(invariantchecker.CheckTasks(intervals, s.closes()), invariantchecker.CheckRequests(runs, s.posted)...)
	for _, v := range s.vms {
		faults = append(faults, invariantchecker.CheckCapacity(v.name, v.worker.Size, s.sizes, intervals)...)
	}
	if diff := cmp.Diff([]string(nil), faults); diff != "" {
		s.t.Errorf("broken promises (-want +got):\n%s", diff)
	}
}
