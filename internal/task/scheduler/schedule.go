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

// ownerBlock is how many consecutive tasks of a run have the same owner.
const ownerBlock = 64

// schedule places waiting tasks: urgent runs first, then the others by the share
// of its quota that the team uses, smallest first.
func (s *step) schedule() {
	if !s.dirty || len(s.runOrder) == 0 || !s.viewIsFresh(s.now) {
		return
	}
	s.dirty = false
	p := pass{step: s, available: s.candidates(), entries: s.AliveEntries(), noRoom: map[message.Size]bool{}, reserved: map[string]bool{}}
	urgent, normal := s.splitByUrgency()
	for _, name := range urgent {
		p.placeRun(name)
		p.reserve(name)
	}
	p.excludeReserved()
	s.sortByQuotaShare(normal)
	var overQuota []string
	for _, name := range normal {
		if s.quotaShare(s.State.Runs[name].Team) >= 1 {
			overQuota = append(overQuota, name)
			continue
		}
		p.placeRun(name)
	}
	// Teams at or above their quota get what the others leave unused.
	for _, name := range overQuota {
		p.placeRun(name)
	}
}

// splitByUrgency returns the runs with waiting tasks, urgent and normal ones
// apart.
func (s *step) splitByUrgency() (urgent, normal []string) {
	for _, name := range s.runOrder {
		if s.State.Runs[name].Urgent {
			urgent = append(urgent, name)
		} else {
			normal = append(normal, name)
		}
	}
	return urgent, normal
}

func (s *step) sortByQuotaShare(runs []string) {
	sort.SliceStable(runs, func(i, j int) bool {
		return s.quotaShare(s.State.Runs[runs[i]].Team) < s.quotaShare(s.State.Runs[runs[j]].Team)
	})
}

// quotaShare returns the largest share of its quota that a team uses, over all
// resources. It is 0 for a team without a quota.
func (s *step) quotaShare(team string) float64 {
	quota, ok := s.Quota(team)
	if !ok {
		return 0
	}
	used := s.teamUsage[team]
	return max(ratio(used.Millicores, quota.Millicores), ratio(used.Memory, quota.Memory), ratio(used.Accelerators, quota.Accelerators))
}

func ratio(amount, total int) float64 {
	if amount <= 0 {
		return 0
	}
	return float64(amount) / float64(max(total, 1))
}

// candidates returns the VMs that this entry may place on, sorted by name. The
// list is rebuilt when a VM has joined, left or changed its status, and once a
// tick.
func (s *step) candidates() []*placer.VM {
	if s.candidatesValid {
		return s.candidateVMs
	}
	s.candidateVMs = s.candidateVMs[:0]
	for name, v := range s.vms {
		if s.usable(name, v) {
			s.candidateVMs = append(s.candidateVMs, &v.VM)
		}
	}
	sort.Slice(s.candidateVMs, func(i, j int) bool { return s.candidateVMs[i].Name < s.candidateVMs[j].Name })
	s.candidatesValid = true
	return s.candidateVMs
}

func (s *step) usable(name string, v *vmState) bool {
	recorded := s.State.VMs[name]
	return recorded != nil && v.connected && recorded.Fence == 0 && !recorded.Drained && s.now.Sub(v.lastHeard) <= s.SuspectAfter/2
}

// pass is one scheduling pass over the backlogs.
type pass struct {
	*step
	available []*placer.VM
	entries   []string
	noRoom    map[message.Size]bool
	// reserved are the VMs kept for urgent tasks, whichever entry owns these
	// tasks.
	reserved map[string]bool
}

// placeRun places as many waiting tasks of a run as it can.
func (p *pass) placeRun(name string) {
	b := p.backlogs[name]
	run := p.State.Runs[name]
	if p.noRoom[run.Size] {
		b.reason = p.noRoomReason(run.Size)
		return
	}
	request := placer.Request{Run: name, Size: run.Size, Racks: map[string]int{}, Domains: map[string]int{}}
	remaining := b.tasks[:0]
	for i, w := range b.tasks {
		if len(p.pendingPlaces) >= maxPendingPlaces || p.noRoom[run.Size] {
			remaining = append(remaining, b.tasks[i:]...)
			break
		}
		if !p.mayPlace(name, w) || !p.placeTask(name, run, w, request) {
			remaining = append(remaining, w)
		}
	}
	b.tasks = remaining
	if len(remaining) == 0 {
		p.dropBacklog(name)
	}
}

// mayPlace reports whether this entry may place a task now. The entry ranked
// first may do so at once, each later one after RankDelay more.
func (p *pass) mayPlace(name string, w waitingTask) bool {
	waited := p.now.Sub(w.since)
	if waited < 0 {
		return false
	}
	rank := ranker.Rank(fmt.Sprintf("%s/%d", name, w.task/ownerBlock), p.Entry, p.entries)
	return waited >= time.Duration(rank)*RankDelay
}

// placeTask appends a place record, or notes that the size fits on no VM now.
func (p *pass) placeTask(name string, run *taskreducer.Run, w waitingTask, request placer.Request) bool {
	vm := p.Placement(p.now, request, p.available)
	if vm == nil {
		p.noRoom[run.Size] = true
		p.backlogs[name].reason = p.noRoomReason(run.Size)
		return false
	}
	key := taskreducer.TaskKey{Run: name, Task: w.task}
	vm.Free = sizer.Sub(vm.Free, run.Size)
	v := p.vms[vm.Name]
	v.pendingSize = sizer.Add(v.pendingSize, run.Size)
	request.Racks[vm.Rack]++
	request.Domains[vm.Domain]++
	p.pendingPlaces[key] = pendingPlace{vm: vm.Name, size: run.Size}
	p.appendRecord(message.Record{Place: &message.Place{
		Run: name, Task: w.task, Attempt: int(run.Tasks[w.task].Attempt) + 1, VM: vm.Name, Lease: vm.Lease,
	}})
	return true
}

// noRoomReason returns why a size fits on no VM now.
func (p *pass) noRoomReason(size message.Size) string {
	return Explain(size, p.available)
}

// Explain returns why a size fits on none of the VMs. If none is large enough in
// total, the text names the one that comes closest.
func Explain(size message.Size, vms []*placer.VM) string {
	if len(vms) == 0 {
		return "no VM takes tasks now"
	}
	nearest := vms[0]
	least := needRatio(size, nearest.Size)
	for _, vm := range vms {
		if sizer.Fits(size, vm.Size) {
			return "all VMs that are large enough are in use"
		}
		if r := needRatio(size, vm.Size); r < least {
			nearest, least = vm, r
		}
	}
	return fmt.Sprintf("fits on no VM: it needs %s, the nearest, %s, has %s", formatSize(size), nearest.Name, formatSize(nearest.Size))
}

// needRatio returns the largest ratio of need to size over all resources.
func needRatio(need, size message.Size) float64 {
	return max(ratio(need.Millicores, size.Millicores), ratio(need.Memory, size.Memory), ratio(need.Accelerators, size.Accelerators))
}

func formatSize(s message.Size) string {
	return fmt.Sprintf("%.2f processors, %d MiB, %d accelerators", float64(s.Millicores)/1000, s.Memory>>20, s.Accelerators)
}

// maxEvictions is how many tasks one call of reserve may stop for urgent tasks.
const maxEvictions = 64

// reserve keeps VMs free for the urgent tasks of a run that still wait, so that
// no other task takes the resources freed for them. Only an entry that has itself
// found no room for an urgent task of this size in this pass frees resources: it
// stops evictable tasks on these VMs after a checkpoint.
func (p *pass) reserve(name string) {
	b := p.backlogs[name]
	if b == nil {
		return
	}
	run := p.State.Runs[name]
	unplaced := len(b.tasks)
	mayEvict := p.noRoom[run.Size]
	stopped := 0
	for _, vm := range p.available {
		if unplaced == 0 {
			break
		}
		victims, enough := p.victims(vm, run.Size)
		if p.reserved[vm.Name] || !enough {
			continue
		}
		unplaced--
		p.reserved[vm.Name] = true
		for _, key := range victims {
			if mayEvict && p.stops[key] == nil && stopped < maxEvictions {
				p.stops[key] = &resend{due: p.now, stop: true, checkpoint: true}
				stopped++
			}
		}
	}
	p.resendStops()
}

// excludeReserved removes the VMs kept for urgent tasks from the available ones.
func (p *pass) excludeReserved() {
	if len(p.reserved) == 0 {
		return
	}
	var kept []*placer.VM
	for _, vm := range p.available {
		if !p.reserved[vm.Name] {
			kept = append(kept, vm)
		}
	}
	p.available = kept
	p.noRoom = map[message.Size]bool{}
}

// victims returns the evictable tasks to stop so that the size fits on a VM, and
// whether stopping them is enough. Tasks that are being stopped already come
// first.
func (p *pass) victims(vm *placer.VM, size message.Size) ([]taskreducer.TaskKey, bool) {
	free := vm.Free
	var victims []taskreducer.TaskKey
	var keys []taskreducer.TaskKey
	p.State.ForEachOpen(vm.Name, func(key taskreducer.TaskKey, run *taskreducer.Run, _ *taskreducer.Task) {
		if run.Evictable && !run.Urgent {
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
