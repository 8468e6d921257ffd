package leader_test

import (
	"testing"
	"testing/synctest"
	"time"

	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/job/planner"
	"knapweedspur/internal/log/journal"
	"knapweedspur/internal/standin/keyedlogemulator"
	"knapweedspur/internal/wire/work"
)

// The leader's forecast reaches every entry through the log, with its term.
func TestForecastReachesEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := keyedlogemulator.New()
		a, b := start(t, log, "a"), start(t, log, "b")
		first := waitForLeader(t, a, b)
		first.leader.WithPlanner(func(p *planner.Planner, now time.Time) {
			p.RegisterAgent(&work.Hello{AgentIncarnation: "x", WorkerStatus: work.WorkerStatus{
				VM: "v", Incarnation: 1, Pool: "pool", Capacity: work.Size{Millicores: 8000, Memory: 1000},
			}}, now)
		})
		job := &work.Job{ID: "0000000000000001", AcceptedAt: time.Now(), Queue: work.Queue{Pool: "pool", Stretch: 2}, Steps: []work.Step{
			{Tasks: 100, EstimatedDuration: 20 * time.Second, Size: work.Size{Millicores: 1000, Memory: 10}},
		}}
		if err := first.leader.Write(t.Context(), []journal.Record{jobreducer.JobRecord(job)}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(1200 * time.Millisecond)
		for _, e := range []*entry{a, b} {
			e.follower.Forecast(func(state *jobreducer.State, age time.Duration) {
				f := state.Forecast
				if f == nil || f.Epoch != first.leader.Leading() || len(f.Pools) != 1 || age > 2*time.Second {
					t.Errorf("forecast %+v, %s old", f, age)
				}
			})
		}
		first.leader.Resign()
		time.Sleep(3 * time.Second)
		b.follower.Forecast(func(_ *jobreducer.State, age time.Duration) {
			if age < 2*time.Second {
				t.Errorf("after the VM is lost the forecast is %s old", age)
			}
		})
		a.shutdown()
		b.shutdown()
	})
}
