package placer

import (
	"hash/fnv"
	"time"

	"knapweedspur/internal/placement/sizer"
)

const (
	// probes is how many VMs that fit are compared before one is taken.
	probes = 16
	// domainCost and rackCost weigh company of the same run against use.
	domainCost = 0.10
	rackCost   = 0.05
	// acceleratorCost keeps tasks without accelerators off VMs that have some.
	acceleratorCost = 0.5
)

func init() {
	Register("spread", spread)
	Register("firstfit", firstFit)
}

// spread takes the emptiest of a few VMs that fit, away from the run's other
// tasks. It starts at a place that the run's name gives, so that owners who
// place at once do not all meet on the same VM.
func spread(now time.Time, want Request, vms []*VM) *VM {
	if len(vms) == 0 {
		return nil
	}
	var best *VM
	var lowest float64
	seen := 0
	start := offset(want.Run, now, len(vms))
	for i := range vms {
		vm := vms[(start+i)%len(vms)]
		if !usable(now, want, vm) {
			continue
		}
		cost := use(vm) + domainCost*float64(want.Domains[vm.Domain]) + rackCost*float64(want.Racks[vm.Rack])
		if want.Size.Accelerators == 0 && vm.Size.Accelerators > 0 {
			cost += acceleratorCost
		}
		if best == nil || cost < lowest {
			best, lowest = vm, cost
		}
		seen++
		if seen == probes {
			break
		}
	}
	return best
}

func offset(run string, now time.Time, n int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(run))
	return int((uint64(h.Sum32()) + uint64(now.UnixMicro())) % uint64(n))
}

// use returns the larger share of processors and memory in use, 0 to 1.
func use(vm *VM) float64 {
	processors := 1 - float64(vm.Free.Millis)/float64(max(vm.Size.Millis, 1))
	memory := 1 - float64(vm.Free.Memory)/float64(max(vm.Size.Memory, 1))
	return max(processors, memory)
}

func usable(now time.Time, want Request, vm *VM) bool {
	return !now.Before(vm.QuarantinedUntil) && sizer.Fits(want.Size, vm.Free)
}

// firstFit takes the first VM that fits.
func firstFit(now time.Time, want Request, vms []*VM) *VM {
	for _, vm := range vms {
		if usable(now, want, vm) {
			return vm
		}
	}
	return nil
}
