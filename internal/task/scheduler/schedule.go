package scheduler

import (
	"fmt"
	"sort"
	"time"

	"knapweedspur/internal/placement/ranker"
	"knapweedspur/internal/placement/sizer"
	"knapweedspur/internal/policy/placer"
	"knapweedspur/internal/state/taskreducer"
	"knapweedspur/internal/wire/message"
)

// block is how many neighboring tasks of a run have the same owner.
const block = 64

// schedule places what waits, teams with the least of their quota in use first.
func (s *step) schedule() {
	if !s.dirty || len(s.order) == 0 || !s.fresh(s.now) {
		return
	}
	s.dirty = false
	p := pass{step: s, list: s.candidates(), entries: s.AliveEntries(), full: map[message.Size]bool{}, reserved: map[string]bool{}}
	urgent, normal := s.split()
	for _, name := range urgent {
		p.run(name)
		p.reserve(name)
	}
	p.withoutReserved()
	s.byShare(normal)
	var over []string
	for _, name := range normal {
		if s.share(s.State.Runs[name].Team) >= 1 {
			over = append(over, name)
			continue
		}
		p.run(name)
	}
	// What is left over of the quotas is lent.
	for _, name := range over {
		p.run(name)
	}
}

// split returns the runs that wait, urgent ones and others.
func (s *step) split() (urgent, normal []string) {
	for _, name := range s.order {
		if s.State.Runs[name].Urgent {
			urgent = append(urgent, name)
		} else {
			normal = append(normal, name)
		}
	}
	return urgent, normal
}

func (s *step) byShare(runs []string) {
	sort.SliceStable(runs, func(i, j int) bool {
		return s.share(s.State.Runs[runs[i]].Team) < s.share(s.State.Runs[runs[j]].Team)
	})
}

// share returns the largest part that a team uses of its quota.
func (s *step) share(team string) float64 {
	quota, ok := s.Quota(team)
	if !ok {
		return 0
	}
	used := s.used[team]
	return max(part(used.Millis, quota.Millis), part(used.Memory, quota.Memory), part(used.Accelerators, quota.Accelerators))
}

func part(used, quota int) float64 {
	if used <= 0 {
		return 0
	}
	return float64(used) / float64(max(quota, 1))
}

// candidates returns the VMs that this entry may place on, by name. The list
// is made anew when a VM has come, gone or changed its standing, and once a tick.
func (s *step) candidates() []*placer.VM {
	if s.listed {
		return s.list
	}
	s.list = s.list[:0]
	for name, v := range s.vms {
		if s.usable(name, v) {
			s.list = append(s.list, &v.VM)
		}
	}
	sort.Slice(s.list, func(i, j int) bool { return s.list[i].Name < s.list[j].Name })
	s.listed = true
	return s.list
}

func (s *step) usable(name string, v *vm) bool {
	folded := s.State.VMs[name]
	return folded != nil && v.linked && folded.Fence == 0 && !folded.Drained && s.now.Sub(v.good) <= s.SuspectAfter/2
}

// pass is one pass over the backlogs.
type pass struct {
	*step
	list    []*placer.VM
	entries []string
	full    map[message.Size]bool
	// reserved are the VMs kept for urgent tasks, whichever entry owns those.
	reserved map[string]bool
}

// run places what it can of one run.
func (p *pass) run(name string) {
	b := p.runs[name]
	run := p.State.Runs[name]
	if p.full[run.Size] {
		b.reason = p.reason(run.Size)
		return
	}
	want := placer.Request{Run: name, Size: run.Size, Racks: map[string]int{}, Domains: map[string]int{}}
	kept := b.tasks[:0]
	for i, w := range b.tasks {
		if len(p.offered) >= maxOffers || p.full[run.Size] {
			kept = append(kept, b.tasks[i:]...)
			break
		}
		if !p.mine(name, w) || !p.place(name, run, w, want) {
			kept = append(kept, w)
		}
	}
	b.tasks = kept
	if len(kept) == 0 {
		p.forgetRun(name)
	}
}

// mine reports whether it is this entry's turn to place a task. The one ranked
// first has it at once, the others when the task has waited longer.
func (p *pass) mine(name string, w waiting) bool {
	waited := p.now.Sub(w.since)
	if waited < 0 {
		return false
	}
	rank := ranker.Rank(fmt.Sprintf("%s/%d", name, w.task/block), p.Entry, p.entries)
	return waited >= time.Duration(rank)*RankDelay
}

// place offers a place record, or notes that the size fits nowhere.
func (p *pass) place(name string, run *taskreducer.Run, w waiting, want placer.Request) bool {
	vm := p.Placement(p.now, want, p.list)
	if vm == nil {
		p.full[run.Size] = true
		p.runs[name].reason = p.reason(run.Size)
		return false
	}
	key := taskreducer.TaskKey{Run: name, Task: w.task}
	vm.Free = sizer.Sub(vm.Free, run.Size)
	v := p.vms[vm.Name]
	v.offered = sizer.Add(v.offered, run.Size)
	want.Racks[vm.Rack]++
	want.Domains[vm.Domain]++
	p.offered[key] = offered{vm: vm.Name, size: run.Size}
	p.offer(message.Record{Place: &message.Place{
		Run: name, Task: w.task, Attempt: int(run.Tasks[w.task].Attempt) + 1, VM: vm.Name, Lease: vm.Lease,
	}})
	return true
}

// reason says why a size fits nowhere now.
func (p *pass) reason(size message.Size) string {
	return Explain(size, p.list)
}

// Explain says why a size fits on none of the VMs, and which comes nearest.
func Explain(size message.Size, vms []*placer.VM) string {
	if len(vms) == 0 {
		return "no VM takes tasks now"
	}
	nearest := vms[0]
	lack := missing(size, nearest.Size)
	for _, vm := range vms {
		if sizer.Fits(size, vm.Size) {
			return "all VMs that are large enough are in use"
		}
		if m := missing(size, vm.Size); m < lack {
			nearest, lack = vm, m
		}
	}
	return fmt.Sprintf("fits on no VM: it needs %s, the nearest, %s, has %s", describe(size), nearest.Name, describe(nearest.Size))
}

// missing returns how many times the need exceeds the size, at the worst.
func missing(need, size message.Size) float64 {
	return max(part(need.Millis, size.Millis), part(need.Memory, size.Memory), part(need.Accelerators, size.Accelerators))
}

func describe(s message.Size) string {
	return fmt.Sprintf("%.2f processors, %d MiB, %d accelerators", float64(s.Millis)/1000, s.Memory>>20, s.Accelerators)
}

// displaceLimit is how many tasks one pass may displace for urgent work.
const displaceLimit = 64

// reserve keeps VMs for the urgent tasks of a run that still wait, so that
// nothing else takes the room made for them. The tasks' owner makes that room:
// it stops evictable tasks there, after a checkpoint.
func (p *pass) reserve(name string) {
	b := p.runs[name]
	if b == nil {
		return
	}
	run := p.State.Runs[name]
	n := len(b.tasks)
	owner := p.full[run.Size]
	stopped := 0
	for _, vm := range p.list {
		if n == 0 {
			break
		}
		victims, room := p.victims(vm, run.Size)
		if p.reserved[vm.Name] || !room {
			continue
		}
		n--
		p.reserved[vm.Name] = true
		for _, key := range victims {
			if owner && p.stops[key] == nil && stopped < displaceLimit {
				p.stops[key] = &resend{due: p.now, stop: true, check: true}
				stopped++
			}
		}
	}
	p.resendStops()
}

// withoutReserved leaves only the VMs that are not kept for urgent tasks.
func (p *pass) withoutReserved() {
	if len(p.reserved) == 0 {
		return
	}
	var kept []*placer.VM
	for _, vm := range p.list {
		if !p.reserved[vm.Name] {
			kept = append(kept, vm)
		}
	}
	p.list = kept
	p.full = map[message.Size]bool{}
}

// victims returns the evictable tasks whose stop makes room on a VM, and
// whether there are enough.
func (p *pass) victims(vm *placer.VM, size message.Size) ([]taskreducer.TaskKey, bool) {
	free := vm.Free
	var victims []taskreducer.TaskKey
	var keys []taskreducer.TaskKey
	p.State.ForEachOpen(vm.Name, func(key taskreducer.TaskKey, run *taskreducer.Run, _ *taskreducer.Task) {
		if run.Evict && !run.Urgent {
			keys = append(keys, key)
		}
	})
	sort.Slice(keys, func(i, j int) bool {
		a, b := p.stops[keys[i]] != nil, p.stops[keys[j]] != nil
		if a != b {
			return a
		}
		return keys[i].Run < keys[j].Run || keys[i].Run == keys[j].Run && keys[i].Task < keys[j].Task
	})
	for _, key := range keys {
		if sizer.Fits(size, free) {
			break
		}
		run, _ := p.State.Task(key)
		free = sizer.Add(free, run.Size)
		victims = append(victims, key)
	}
	return victims, sizer.Fits(size, free)
}
