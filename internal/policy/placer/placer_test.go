package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/placement/sizer"
	"knapweedspur/internal/wire/message"
)

func newVMs(n int) []*VM {
	list := make([]*VM, n)
	for i := range list {
		size := message.Size{Millicores: 16000, Memory: 60 << 30}
		list[i] = &VM{Name: fmt.Sprint("vm-", i), Rack: fmt.Sprint("rack-", i/3), Domain: fmt.Sprint("domain-", i%3), Size: size, Free: size}
	}
	return list
}

func newRequest(millis int) Request {
	return Request{Run: "run", Size: message.Size{Millicores: millis, Memory: 1 << 30}, Racks: map[string]int{}, Domains: map[string]int{}}
}

func TestSpreadPutsARunOnAllDomains(t *testing.T) {
	list := newVMs(9)
	request := newRequest(4000)
	got := map[string]int{}
	for range 9 {
		vm := spread(time.Unix(1000, 0), request, list)
		vm.Free = sizer.Sub(vm.Free, request.Size)
		request.Domains[vm.Domain]++
		request.Racks[vm.Rack]++
		got[vm.Domain]++
	}
	if diff := cmp.Diff(map[string]int{"domain-0": 3, "domain-1": 3, "domain-2": 3}, got); diff != "" {
		t.Errorf("tasks by domain (-want +got):\n%s", diff)
	}
}

func TestPoliciesNeverExceedFreeCapacity(t *testing.T) {
	for _, name := range Names() {
		policy, err := Lookup(name)
		if err != nil {
			t.Fatal(err)
		}
		list := newVMs(3)
		placed := 0
		for {
			vm := policy(time.Unix(1000, 0), newRequest(5000), list)
			if vm == nil {
				break
			}
			vm.Free = sizer.Sub(vm.Free, newRequest(5000).Size)
			placed++
		}
		if placed != 9 {
			t.Errorf("%s placed %d tasks; 3 fit on each of 3 VMs", name, placed)
		}
	}
}

func TestQuarantinedVMGetsNoTask(t *testing.T) {
	now := time.Unix(1000, 0)
	list := newVMs(1)
	list[0].QuarantinedUntil = now.Add(time.Second)
	if vm := spread(now, newRequest(1), list); vm != nil {
		t.Errorf("placed on %s while it is in quarantine", vm.Name)
	}
	if vm := spread(now.Add(time.Second), newRequest(1), list); vm == nil {
		t.Error("the VM gets no task after the end of its quarantine")
	}
}

func TestTasksWithoutAcceleratorsAvoidVMsWithThem(t *testing.T) {
	list := newVMs(2)
	list[0].Size.Accelerators = 4
	list[0].Free.Accelerators = 4
	for i := range 20 {
		if vm := spread(time.Unix(int64(i), 0), newRequest(1000), list); vm != list[1] {
			t.Errorf("a task without accelerators was placed on %s", vm.Name)
		}
	}
}

func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{1000, 3000, 11000} {
		list := newVMs(n)
		for _, full := range []bool{false, true} {
			for _, vm := range list {
				vm.Free = vm.Size
				if full {
					vm.Free = message.Size{}
				}
			}
			b.Run(fmt.Sprintf("vms=%d/full=%v", n, full), func(b *testing.B) {
				request := newRequest(1000)
				now := time.Unix(1000, 0)
				for i := range b.N {
					spread(now.Add(time.Duration(i)*time.Microsecond), request, list)
				}
			})
		}
	}
}
