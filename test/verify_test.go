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

// closeOutcomes returns how attempts were closed according to the log, or nil if
// the log no longer has all its records.
func (c *cluster) closeOutcomes() invariantchecker.CloseOutcomes {
	c.log.SetFaults(logemulator.Faults{})
	page, err := c.log.Read(context.Background(), entrybuilder.TaskStreamPrefix+"main", 0, 0)
	if err != nil {
		return nil
	}
	return invariantchecker.ReadCloseOutcomes(page.Items)
}

// checkInvariants checks the invariants of tasks, requests and capacity against
// what workers and upstreams recorded.
func (c *cluster) checkInvariants() {
	c.t.Helper()
	var intervals []workeremulator.Interval
	requestRuns := map[string]int{}
	for _, v := range c.vms {
		intervals = append(intervals, v.worker.History(time.Now())...)
		for id, n := range v.upstream.RunCounts() {
			requestRuns[id] += n
		}
		if peak := v.upstream.PeakInFlight(); peak > 8 {
			c.t.Errorf("%s ran %d requests at once on 8 slots", v.name, peak)
		}
	}
	violations := append(invariantchecker.CheckTasks(intervals, c.closeOutcomes()), invariantchecker.CheckRequests(requestRuns, c.postOutcomes)...)
	for _, v := range c.vms {
		violations = append(violations, invariantchecker.CheckCapacity(v.name, v.worker.Size, c.sizes, intervals)...)
	}
	if diff := cmp.Diff([]string(nil), violations); diff != "" {
		c.t.Errorf("violated invariants (-want +got):\n%s", diff)
	}
}
