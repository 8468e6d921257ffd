package reserver

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"knapweedspur/internal/wire/work"
)

// search finds the VMs for the promises of one call of Renew.
type search struct {
	reserver *Reserver
	vms      []VM
	now      time.Time
}

// room returns what is expected to be free on a VM at a time.
func (v *VM) room(at time.Time) work.Size {
	free := minus(v.Capacity, v.Used)
	for i := range v.Releases {
		if !v.Releases[i].At.After(at) {
			free = plus(free, v.Releases[i].Size)
		}
	}
	return free
}

// start returns when a VM is expected to have room for a size, and whether that is
// within the horizon.
func (v *VM) start(size work.Size, now time.Time) (time.Time, bool) {
	if !fits(size, v.Capacity) {
		return time.Time{}, false
	}
	slices.SortFunc(v.Releases, func(a, b Release) int { return a.At.Compare(b.At) })
	free := minus(v.Capacity, v.Used)
	if fits(size, free) {
		return now, true
	}
	for _, released := range v.Releases {
		if released.At.After(now.Add(Horizon)) {
			break
		}
		if free = plus(free, released.Size); fits(size, free) {
			return later(released.At, now), true
		}
	}
	return time.Time{}, false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// open reports whether a VM may get a promise for a demand. A promise to one that comes
// later gives way.
func (s *search) open(vm string, d *Demand) bool {
	_, rests := s.reserver.restsTo[vm]
	p := s.reserver.promises[vm]
	return !rests && (p == nil || !p.Binds(d.Rank))
}

// vm returns the VM with the given name.
func (s *search) vm(name string) *VM {
	return &s.vms[slices.IndexFunc(s.vms, func(v VM) bool { return v.Name == name })]
}

// limit returns the number of VMs on which room may be promised.
func (s *search) limit() int { return max(1, len(s.vms)/maxShare) }

// left returns on how many further VMs room may be promised to a demand.
func (s *search) left(d *Demand) int {
	n := s.limit()
	for i := range s.vms {
		if s.vms[i].Taken && d.Rank.Class > 0 && s.reserver.promises[s.vms[i].Name] == nil {
			n--
		}
	}
	for _, p := range s.reserver.promises {
		if p.Binds(d.Rank) {
			n--
		}
	}
	return n
}

// give gives a promise. Beyond the limit, the one that comes last is dropped.
func (s *search) give(p *Promise, v *VM) {
	p.VM, p.spare = v.Name, minus(v.room(p.Start), p.Room())
	s.reserver.promises[p.VM] = p
	if s.reserver.Len() <= s.limit() {
		return
	}
	var last *Promise
	for _, o := range s.reserver.promises {
		if last == nil || compareRank(last, o) < 0 {
			last = o
		}
	}
	if last != p {
		delete(s.reserver.promises, last.VM)
	}
}

func compareRank(p, o *Promise) int {
	return cmp.Or(cmp.Compare(p.Rank.Class, o.Rank.Class), cmp.Compare(p.Rank.Priority, o.Rank.Priority), p.GivenAt.Compare(o.GivenAt), cmp.Compare(p.VM, o.VM))
}

// renewTasks renews the promises of a demand whose tasks start one by one, and gives
// further ones.
func (s *search) renewTasks(d *Demand) []*Promise {
	held := s.reserver.held(d.ID)
	for len(held) > d.Tasks {
		delete(s.reserver.promises, held[len(held)-1].VM)
		held = held[:len(held)-1]
	}
	var changed []*Promise
	for _, p := range held {
		if moved := s.renew(p, d); moved != nil {
			changed = append(changed, moved)
		}
	}
	for range d.Tasks - len(held) {
		if s.left(d) <= 0 {
			break
		}
		v, start := s.soonest(d)
		if v == nil {
			break
		}
		p := &Promise{Demand: d.ID, Rank: d.Rank, Tasks: 1, Size: d.Size, GivenAt: s.now, FirstStart: start, Start: start}
		s.give(p, v)
		changed = append(changed, p)
	}
	return changed
}

// renew updates the start of a promise and returns the promise if it moved to another
// VM. It is dropped if no VM has the room within the horizon.
func (s *search) renew(p *Promise, d *Demand) *Promise {
	v := s.vm(p.VM)
	start, ok := v.start(d.Size, s.now)
	other, otherStart := s.soonest(d)
	clearly := other != nil && (!ok || otherStart.Add(minGain).Before(start) && 2*otherStart.Sub(s.now) < start.Sub(s.now))
	switch {
	case clearly:
		delete(s.reserver.promises, p.VM)
		p.Start = otherStart
		s.give(p, other)
		return p
	case !ok:
		delete(s.reserver.promises, p.VM)
	default:
		p.Start = start
		p.spare = minus(v.room(start), p.Room())
	}
	return nil
}

// soonest returns the VM without a promise that has room for a task first, or nil if
// none has within the horizon.
func (s *search) soonest(d *Demand) (best *VM, bestStart time.Time) {
	for i := range s.vms {
		v := &s.vms[i]
		if !s.open(v.Name, d) || d.MayRun(v.Name) < 1 {
			continue
		}
		if start, ok := v.start(d.Size, s.now); ok && (best == nil || start.Before(bestStart)) {
			best, bestStart = v, start
		}
	}
	return best, bestStart
}

// renewGang updates the promises of a gang, or gives it promises on all VMs that it
// needs. All of them are for the same time.
func (s *search) renewGang(d *Demand) []*Promise {
	held := s.reserver.held(d.ID)
	var names []string
	for _, p := range held {
		delete(s.reserver.promises, p.VM)
		names = append(names, p.VM)
	}
	found := s.promiseGang(d, names)
	stays := len(found) > 0
	if !stays {
		names = nil
		for i := range s.vms {
			if s.open(s.vms[i].Name, d) {
				names = append(names, s.vms[i].Name)
			}
		}
		found = s.promiseGang(d, names)
	}
	for _, p := range found {
		if len(held) > 0 {
			p.GivenAt, p.FirstStart = held[0].GivenAt, held[0].FirstStart
		}
	}
	if stays {
		return nil
	}
	return found
}

// promiseGang gives promises to a gang on some of the given VMs, at the first time at
// which all tasks have room there, or none.
func (s *search) promiseGang(d *Demand, names []string) []*Promise {
	times := s.times(names)
	first := sort.Search(len(times), func(i int) bool { return s.gangAt(d, names, times[i]) != nil })
	if first == len(times) {
		return nil
	}
	found := s.gangAt(d, names, times[first])
	for _, p := range found {
		s.give(p, s.vm(p.VM))
	}
	return found
}

// gangAt returns the promises on the given VMs with which a gang could start at a
// time, or nil.
func (s *search) gangAt(d *Demand, names []string, at time.Time) []*Promise {
	var list []*Promise
	for i := range s.vms {
		v := &s.vms[i]
		if !slices.Contains(names, v.Name) {
			continue
		}
		if n := min(d.MayRun(v.Name), count(d.Size, v.room(at))); n > 0 {
			list = append(list, &Promise{Demand: d.ID, Rank: d.Rank, VM: v.Name, Tasks: n, Size: d.Size, GivenAt: s.now, FirstStart: at, Start: at})
		}
	}
	// The VMs with the most room first, so that few have to be kept.
	slices.SortStableFunc(list, func(p, o *Promise) int { return cmp.Compare(o.Tasks, p.Tasks) })
	missing := d.Tasks
	for i, p := range list {
		p.Tasks = min(p.Tasks, missing)
		if missing -= p.Tasks; missing == 0 {
			if i+1 > s.left(d) {
				return nil
			}
			return list[:i+1]
		}
	}
	return nil
}

// times returns the times within the horizon at which the given VMs release room, now
// among them, in order.
func (s *search) times(names []string) []time.Time {
	list := []time.Time{s.now}
	for i := range s.vms {
		if !slices.Contains(names, s.vms[i].Name) {
			continue
		}
		for _, released := range s.vms[i].Releases {
			if released.At.After(s.now) && !released.At.After(s.now.Add(Horizon)) {
				list = append(list, released.At)
			}
		}
	}
	slices.SortFunc(list, time.Time.Compare)
	return slices.CompactFunc(list, time.Time.Equal)
}

// count returns how many tasks of a size fit into a room.
func count(size, room work.Size) int {
	n := -1
	for _, x := range [][2]int{{size.Millicores, room.Millicores}, {size.Memory, room.Memory}, {size.Accelerators, room.Accelerators}} {
		if x[0] <= 0 {
			continue
		}
		if k := max(0, x[1]/x[0]); n < 0 || k < n {
			n = k
		}
	}
	return max(n, 0)
}
