package placer

import (
	"hash/fnv"
	"time"

	"knapweedspur/internal/placement/sizer"
)

const (
	// maxCompared is how many VMs on which the task fits are compared before the
	// best of them is taken.
	maxCompared = 16
	// domainCost and rackCost are the costs of each task of the same run in the
	// same failure domain and rack, in terms of a VM's utilization.
	domainCost = 0.10
	rackCost   = 0.05
	// acceleratorCost keeps tasks that need no accelerators off VMs that have
	// some.
	acceleratorCost = 0.5
)

func init() {
	Register("spread", spread)
	Register("firstfit", firstFit)
}

// spread takes the VM with the lowest cost among the first maxCompared VMs on
// which the task fits: the least utilized one, away from the run's other tasks.
// The search starts at an index derived from the run's name and the time, so that
// entries that place tasks at the same time do not all choose the same VM.
func spread(now time.Time, request Request, vms []*VM) *VM {
	if len(vms) == 0 {
		return nil
	}
	var best *VM
	var lowest float64
	compared := 0
	start := startIndex(request.Run, now, len(vms))
	for i := range vms {
		vm := vms[(start+i)%len(vms)]
		if !usable(now, request, vm) {
			continue
		}
		cost := utilization(vm) + domainCost*float64(request.Domains[vm.Domain]) + rackCost*float64(request.Racks[vm.Rack])
		if request.Size.Accelerators == 0 && vm.Size.Accelerators > 0 {
			cost += acceleratorCost
		}
		if best == nil || cost < lowest {
			best, lowest = vm, cost
		}
		compared++
		if compared == maxCompared {
			break
		}
	}
	return best
}

func startIndex(run string, now time.Time, n int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(run))
	return int((uint64(h.Sum32()) + uint64(now.UnixMicro())) % uint64(n))
}

// utilization returns the larger share of processors and memory in use, 0 to 1.
func utilization(vm *VM) float64 {
	processors := 1 - float64(vm.Free.Millicores)/float64(max(vm.Size.Millicores, 1))
	memory := 1 - float64(vm.Free.Memory)/float64(max(vm.Size.Memory, 1))
	return max(processors, memory)
}

func usable(now time.Time, request Request, vm *VM) bool {
	return !now.Before(vm.QuarantinedUntil) && sizer.Fits(request.Size, vm.Free)
}

// firstFit takes the first VM on which the task fits.
func firstFit(now time.Time, request Request, vms []*VM) *VM {
	for _, vm := range vms {
		if usable(now, request, vm) {
			return vm
		}
	}
	return nil
}
