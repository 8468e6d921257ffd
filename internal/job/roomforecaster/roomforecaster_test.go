package roomforecaster

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/wire/codec"
	"knapweedspur/internal/wire/work"
)

var now = time.Unix(1000, 0)

func demands(count, priority int, jobWork time.Duration) []Demand {
	list := make([]Demand, count)
	for i := range list {
		list[i] = Demand{Priority: priority, JobWork: jobWork, Work: jobWork}
	}
	return list
}

func shape(priority int, work time.Duration) Shape {
	return Shape{Priority: priority, Chain: time.Second, Reserving: work, LargestReserving: size(1000)}
}

func size(millicores int) work.Size { return work.Size{Millicores: millicores, Memory: 100} }

// summarizeOne returns the forecast of a pool of 10 cores with the given demands.
func summarizeOne(t *testing.T, list ...Demand) *work.PoolForecast {
	t.Helper()
	f := Summarize(1, []Pool{{Name: "p", Millicores: 10_000, FillerMillicores: 5_000, LargestVM: size(16_000), Demands: list}}, now)
	if len(f.Pools) != 1 {
		t.Fatalf("%d pools in the forecast", len(f.Pools))
	}
	return &f.Pools[0]
}

func TestJobWaitsForUrgentAndSmallerJobs(t *testing.T) {
	small, large, urgent := demands(50, 1, 2*time.Second), demands(10, 1, 20*time.Second), demands(20, 0, 5*time.Second)
	late := Demand{Priority: 1, Late: true, JobWork: time.Second, Work: 30 * time.Second}
	filler := Demand{Priority: 0, Filler: true, JobWork: time.Second, Work: 40 * time.Second}
	p := summarizeOne(t, append(append(append(small, large...), urgent...), late, filler)...)
	cases := []struct {
		name         string
		shape        Shape
		start, fresh time.Duration
	}{
		{"smallest of its priority", shape(1, 100*time.Millisecond), 10 * time.Second, 10 * time.Second},
		{"as large as the small ones", shape(1, 2*time.Second), 23 * time.Second, 20 * time.Second},
		{"largest", shape(1, time.Minute), 43 * time.Second, 40 * time.Second},
		{"less urgent than all", shape(2, time.Second), 43 * time.Second, 40 * time.Second},
		{"urgent and larger than those ahead", shape(0, 6*time.Second), 10 * time.Second, 10 * time.Second},
		{"filler", Shape{Priority: 1, Chain: time.Second, Filling: time.Second}, 8 * time.Second, 8 * time.Second},
	}
	for _, c := range cases {
		got := Forecast(p, c.shape)
		want := []time.Duration{c.start, c.fresh, c.start + time.Second}
		if diff := cmp.Diff(want, []time.Duration{got.Start, got.FreshStart, got.End}); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}

// A job that fits into the largest gap starts there, whatever waits for a larger one.
func TestJobThatFitsIntoGapStartsAtOnce(t *testing.T) {
	p := summarizeOne(t, demands(50, 0, 10*time.Second)...)
	p.LargestGap = size(1000)
	if got := Forecast(p, shape(1, time.Hour)); got.Start != 0 {
		t.Errorf("starts in %s", got.Start)
	}
	wide := shape(1, time.Hour)
	wide.LargestReserving = size(1001)
	if got := Forecast(p, wide); got.Start != 50*time.Second {
		t.Errorf("one that does not fit starts in %s", got.Start)
	}
}

func TestForecastIsBounded(t *testing.T) {
	var pools []Pool
	for n := range 200 {
		p := Pool{Name: fmt.Sprintf("a-pool-with-a-rather-long-name-%d", n), Millicores: 1_000_000, FillerMillicores: 1_000_000, LargestVM: size(1 << 40), LargestGap: size(1 << 40)}
		for priority := range 9 {
			for i := range 100 {
				p.Demands = append(p.Demands, Demand{Priority: priority, Late: i%2 == 0, Filler: i%3 == 0, JobWork: time.Duration(i) * time.Hour, Work: time.Duration(n) * time.Minute})
			}
		}
		pools = append(pools, p)
	}
	f := Summarize(1<<40, pools, now)
	data, err := codec.Encode(f)
	if err != nil || len(data) > MaxBytes || len(f.Pools) == 0 {
		t.Fatalf("%d bytes, %d pools, error %v", len(data), len(f.Pools), err)
	}
	if f.Pools[0].Name != pools[199].Name {
		t.Errorf("first is %s, not the one with the longest wait", f.Pools[0].Name)
	}
}

func TestPoolWithRoomIsLeftOut(t *testing.T) {
	f := Summarize(1, []Pool{{Name: "p", Millicores: 10_000, Demands: demands(9, 0, time.Second)}}, now)
	data, err := codec.Encode(f)
	if len(f.Pools) != 0 || len(data) > 64 || err != nil {
		t.Errorf("%d pools in %d bytes, error %v", len(f.Pools), len(data), err)
	}
}

func TestDamagedForecastIsRead(t *testing.T) {
	for _, p := range []work.PoolForecast{
		{},
		{Millicores: -1, Backlog: []work.Backlog{{JobWork: []int64{1}, Work: nil}}},
		{Millicores: 1, Backlog: []work.Backlog{{JobWork: []int64{-1}, Work: []int64{-1 << 63}}, {JobWork: []int64{0}, Work: []int64{1<<63 - 1}}, {JobWork: []int64{0}, Work: []int64{1<<63 - 1}}}},
	} {
		got := Forecast(&p, shape(0, time.Second))
		if got.Start < 0 || got.Start > maxWait || got.Ahead < 0 {
			t.Errorf("%+v: %+v", p, got)
		}
	}
}
