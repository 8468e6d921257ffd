package planner

import "time"

const (
	// askedAtOnce is the most VMs in one question to the policy service: the
	// service needs time for each.
	askedAtOnce = 30
	// ticketMargin is kept of the time that a ticket holds, for the start.
	ticketMargin = 300 * time.Millisecond
	// askAgain is when a VM that was refused is asked about again.
	askAgain = 2 * time.Second
)

// ticket is what the policy service said of a step on a VM.
type ticket struct {
	text  string
	born  int64
	until time.Time
}

// Question asks the policy service which VMs may run a step.
type PolicyQuery struct {
	Step string
	VMs  []string
}

// stepTitle names a step as the policy service knows it.
func (s *step) stepTitle() string {
	name := s.name(0)
	return name[:len(name)-len(".0")]
}

// Question returns the next question to the policy service: the most urgent
// step that lacks tickets. Steps are asked for before their turn comes.
func (b *Planner) NextPolicyQuery(now time.Time) (PolicyQuery, bool) {
	var best *candidate
	for _, j := range b.jobs {
		if j.outcome != nil || j.record == nil || j.record.Queue.Advice == nil {
			continue
		}
		for _, s := range j.steps {
			if s.free == 0 || len(b.unasked(s, now)) == 0 || s.ticketed(b, now) >= s.free {
				continue
			}
			if c := b.rank(s, now); best == nil || c.before(best, b.Settings.Policy) {
				best = &c
			}
		}
	}
	if best == nil {
		return PolicyQuery{}, false
	}
	vms := b.unasked(best.step, now)
	return PolicyQuery{Step: best.step.stepTitle(), VMs: vms[:min(len(vms), askedAtOnce)]}, true
}

// ticketed counts the VMs that have room and may run a step.
func (s *step) ticketed(b *Planner, now time.Time) int {
	count := 0
	for _, v := range b.sorted {
		if v.usable(now) && v.fits(s.spec) && s.holds(v, now) {
			count++
		}
	}
	return count
}

// holds says whether a step has a ticket for a VM, or needs none.
func (s *step) holds(v *vm, now time.Time) bool {
	if s.job.record.Queue.Advice == nil {
		return true
	}
	t, ok := s.tickets[v.name]
	return ok && t.text != "" && t.born == v.session.Born && now.Add(ticketMargin).Before(t.until)
}

// unasked returns the VMs of a step's pool with room that nothing is known of.
func (b *Planner) unasked(s *step, now time.Time) []string {
	var names []string
	for _, v := range b.sorted {
		name := v.name
		t, asked := s.tickets[name]
		known := asked && t.born == v.session.Born && now.Before(t.until)
		if !known && v.vitals.Pool == s.job.record.Queue.Pool && v.usable(now) && v.fits(s.spec) {
			names = append(names, name)
		}
	}
	return names
}

// Answer takes the answer of the policy service. VMs that were asked about and
// got no ticket may not run the step.
func (b *Planner) HandlePolicyAnswer(q PolicyQuery, tickets map[string]string, valid time.Duration, now time.Time) {
	s, _ := b.task(q.Step + ".0")
	if s == nil {
		return
	}
	if s.tickets == nil {
		s.tickets = map[string]ticket{}
	}
	for _, name := range q.VMs {
		t := ticket{text: tickets[name], born: b.vm(name).session.Born, until: now.Add(valid)}
		if t.text == "" {
			t.until = now.Add(askAgain)
		}
		s.tickets[name] = t
	}
	b.log("advice", "job", s.job.id, "step", q.Step, "asked", len(q.VMs), "good", len(tickets))
}

// dropTicket forgets a ticket that a worker did not accept.
func (s *step) dropTicket(vm string) { delete(s.tickets, vm) }
