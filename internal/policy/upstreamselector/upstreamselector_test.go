package upstreamselector

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func candidates(n int) []*Candidate {
	list := make([]*Candidate, n)
	for i := range list {
		list[i] = &Candidate{VM: fmt.Sprint("vm-", i)}
	}
	return list
}

func TestSlowUpstreamGetsFewRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 2))
	list := candidates(10)
	for i, c := range list {
		c.Begin()
		took := 5 * time.Millisecond
		if i == 3 {
			took *= 10
		}
		c.End(now, took)
	}
	counts := make([]int, len(list))
	for range 10_000 {
		counts[sampled(now, list, random)]++
	}
	if counts[3] > 100 {
		t.Errorf("the slow upstream got %d of 10000 requests", counts[3])
	}
}

func TestSlowUpstreamIsTriedAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	fast, slow := &Candidate{VM: "fast"}, &Candidate{VM: "slow"}
	for c, took := range map[*Candidate]time.Duration{fast: 5 * time.Millisecond, slow: 500 * time.Millisecond} {
		c.Begin()
		c.End(now, took)
	}
	later := now.Add(10 * time.Minute)
	fast.Begin()
	fast.End(later, 5*time.Millisecond)
	if slow.Score(later) >= fast.Score(later) {
		t.Errorf("an old latency still counts: slow %v, fast %v", slow.Score(later), fast.Score(later))
	}
}

func TestFastFailureIsNotPreferred(t *testing.T) {
	now := time.Unix(1000, 0)
	good, bad := &Candidate{VM: "good"}, &Candidate{VM: "bad"}
	good.Begin()
	good.End(now, 5*time.Millisecond)
	bad.Begin()
	bad.End(now, 5*time.Millisecond)
	bad.Begin()
	bad.Fail(now)
	if bad.Score(now) <= good.Score(now) {
		t.Errorf("the failing upstream is the favorite: bad %v, good %v", bad.Score(now), good.Score(now))
	}
}

func TestLookup(t *testing.T) {
	if diff := cmp.Diff([]string{"least", "random", "roundrobin", "sampled"}, Names()); diff != "" {
		t.Errorf("names (-want +got):\n%s", diff)
	}
	if _, err := Lookup("fastest"); err == nil {
		t.Error("an unknown policy was found")
	}
}

func BenchmarkChoose(b *testing.B) {
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 2))
	list := candidates(1000)
	for _, name := range Names() {
		policy, err := Lookup(name)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				policy(now, list, random)
			}
		})
	}
}
