package reserver

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/wire/work"
)

var start = time.Unix(1000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

func cores(n int) work.Size { return work.Size{Millicores: 1000 * n} }

// fullVM returns a VM of 8 cores whose releases are of 2 cores each.
func fullVM(name string, releases ...time.Duration) VM {
	v := VM{Name: name, Capacity: cores(8), Used: cores(8)}
	for _, d := range releases {
		v.Releases = append(v.Releases, Release{At: after(d), Size: cores(2)})
	}
	return v
}

func anywhere(string) int { return 10 }

// demand returns a demand for half of a VM.
func demand(id string) Demand {
	return Demand{ID: id, Size: cores(4), Tasks: 1, MayRun: anywhere}
}

func TestPromiseIsWhereRoomComesTogetherFirst(t *testing.T) {
	r := New()
	got := r.Renew([]VM{fullVM("a", time.Second, 3*time.Second), fullVM("b", 1500*time.Millisecond, 2*time.Second), fullVM("c", 500*time.Millisecond)}, []Demand{demand("x")}, start)
	if len(got) != 1 || got[0].VM != "b" || !got[0].Start.Equal(after(2*time.Second)) {
		t.Fatalf("promises %+v, want one on b in 2 s", got)
	}
}

func TestPromiseBeyondHorizonIsNotGiven(t *testing.T) {
	r := New()
	if got := r.Renew([]VM{fullVM("a", time.Second, Horizon+time.Second)}, []Demand{demand("x")}, start); len(got) != 0 {
		t.Errorf("promises %+v, want none", got)
	}
}

func TestSmallerTaskMayStartBesidePromise(t *testing.T) {
	v := fullVM("a", time.Second, 2*time.Second, 2*time.Second)
	p := New().Renew([]VM{v}, []Demand{demand("x")}, start)[0]
	cases := []struct {
		name     string
		size     work.Size
		duration time.Duration
		want     bool
	}{
		{"ends before", cores(4), 2 * time.Second, true},
		{"leaves the room", cores(2), 9 * time.Second, true},
		{"leaves the room and never ends", cores(2), 0, true},
		{"takes the room", cores(3), 3 * time.Second, false},
		{"takes the room and never ends", cores(3), 0, false},
	}
	got, want := map[string]bool{}, map[string]bool{}
	for _, c := range cases {
		got[c.name], want[c.name] = p.Allows(c.size, c.duration, start), c.want
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("allowed (-want +got):\n%s", diff)
	}
}

func TestRoomBesidePromiseIsGivenOnce(t *testing.T) {
	r := New()
	p := r.Renew([]VM{fullVM("a", time.Second, 2*time.Second, 2*time.Second)}, []Demand{demand("x")}, start)[0]
	r.Started("a", "other", cores(2), 9*time.Second, start)
	if p.Allows(cores(1), 9*time.Second, start) {
		t.Error("a second task may take the promised room")
	}
}

func TestPromiseStaysUnlessAnotherVMIsClearlySooner(t *testing.T) {
	r := New()
	demands := []Demand{demand("x")}
	r.Renew([]VM{fullVM("a", time.Second, 2*time.Second)}, demands, start)
	r.Renew([]VM{fullVM("a", time.Second, 2*time.Second), fullVM("b", time.Second, 1600*time.Millisecond)}, demands, start)
	if r.On("a") == nil {
		t.Error("the promise moved to a VM that is hardly sooner")
	}
	r.Renew([]VM{fullVM("a", time.Second, 2*time.Second), fullVM("b", 300*time.Millisecond, 300*time.Millisecond)}, demands, start)
	if p := r.On("b"); p == nil || r.Len() != 1 || !p.FirstStart.Equal(after(2*time.Second)) {
		t.Errorf("promise on b %+v, want the one that was on a", p)
	}
}

// Runs that take longer than expected push a start back. The VM must not stay closed to
// others for ever.
func TestVMRestsAfterPromiseThatWasPushedBack(t *testing.T) {
	r := New()
	var given time.Duration
	for at := time.Duration(0); at < 30*time.Second; at += 100 * time.Millisecond {
		r.Renew([]VM{fullVM("a", at+time.Second, at+time.Second)}, []Demand{demand("x")}, after(at))
		if r.On("a") != nil {
			given += 100 * time.Millisecond
		}
	}
	if share := given.Seconds() / 30; share < 0.7 || share > 0.8 {
		t.Errorf("promised for %.2f of the time, want 6 s of 8 s", share)
	}
}

func TestPromisesTakeAtMostAQuarterOfTheVMs(t *testing.T) {
	r := New()
	var vms []VM
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		vms = append(vms, fullVM(name, time.Second, time.Second))
	}
	less := demand("less")
	less.Rank, less.Tasks = Rank{Class: 1}, 5
	r.Renew(vms, []Demand{less}, start)
	if r.Len() != 2 {
		t.Fatalf("%d VMs have promises, want 2", r.Len())
	}
	more := demand("more")
	more.Tasks = 5
	r.Renew(vms, []Demand{more, less}, start)
	if got := len(r.held("more")); got != 2 || r.Len() != 2 {
		t.Errorf("%d of %d promises belong to the more urgent demand, want 2 of 2", got, r.Len())
	}
}

func TestVMsWithPromisedTasksCountAsPromised(t *testing.T) {
	vms := []VM{fullVM("a", time.Second, time.Second), fullVM("b"), fullVM("c"), fullVM("d")}
	vms[1].Taken = true
	batch := demand("batch")
	batch.Rank = Rank{Class: 1}
	if got := New().Renew(vms, []Demand{batch}, start); len(got) != 0 {
		t.Errorf("promises %+v beside a promised task on a quarter of the VMs, want none", got)
	}
	if got := New().Renew(vms, []Demand{demand("serving")}, start); len(got) != 1 {
		t.Error("a serving task got no promise beside a promised batch task")
	}
}

func TestPromiseBindsOnlyTasksThatComeNoEarlier(t *testing.T) {
	p := &Promise{Rank: Rank{Class: 1, Priority: 1}}
	got := []bool{p.Binds(Rank{0, 5}), p.Binds(Rank{1, 0}), p.Binds(Rank{1, 1}), p.Binds(Rank{2, 0})}
	if diff := cmp.Diff([]bool{false, false, true, true}, got); diff != "" {
		t.Errorf("binds (-want +got):\n%s", diff)
	}
}

func TestGangIsPromisedRoomForAllAtOnce(t *testing.T) {
	r := New()
	vms := []VM{
		fullVM("a", time.Second, time.Second), fullVM("b", 2*time.Second, 2*time.Second), fullVM("c"), fullVM("d"),
		fullVM("e"), fullVM("f"), fullVM("g"), fullVM("h"),
	}
	gang := Demand{ID: "x", Size: cores(2), Tasks: 4, Gang: true, MayRun: anywhere}
	r.Renew(vms, []Demand{gang}, start)
	a, b := r.On("a"), r.On("b")
	if a == nil || b == nil || a.Tasks != 2 || b.Tasks != 2 || !a.Start.Equal(after(2*time.Second)) || !b.Start.Equal(a.Start) {
		t.Fatalf("promises %+v and %+v, want two tasks each in 2 s", a, b)
	}
	// VM b leaves.
	r.Renew(append(vms[:1:1], vms[2:]...), []Demand{gang}, start)
	if r.Len() != 0 {
		t.Error("a gang that lost one of its promises kept the others")
	}
}
