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
		latency := 5 * time.Millisecond
		if i == 3 {
			latency *= 10
		}
		c.End(now, latency)
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
	for c, latency := range map[*Candidate]time.Duration{fast: 5 * time.Millisecond, slow: 500 * time.Millisecond} {
		c.Begin()
		c.End(now, latency)
	}
	later := now.Add(10 * time.Minute)
	fast.Begin()
	fast.End(later, 5*time.Millisecond)
	if slow.Score(later) >= fast.Score(later) {
		t.Errorf("an old latency keeps its weight: slow %v, fast %v", slow.Score(later), fast.Score(later))
	}
}

func TestFastFailureIsNotPreferred(t *testing.T) {
	now := time.Unix(1000, 0)
	healthy, failing := &Candidate{VM: "good"}, &Candidate{VM: "bad"}
	healthy.Begin()
	healthy.End(now, 5*time.Millisecond)
	failing.Begin()
	failing.End(now, 5*time.Millisecond)
	failing.Begin()
	failing.Fail(now)
	if failing.Score(now) <= healthy.Score(now) {
		t.Errorf("the failing upstream has the better score: failing %v, healthy %v", failing.Score(now), healthy.Score(now))
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
