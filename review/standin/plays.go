package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	startLimit = 20 * time.Second
	// finish is how long after the end of the traffic submissions are asked for, idle for
	// how long one may have nothing running then.
	finish = 14 * time.Second
	idle   = 3 * time.Second
	second = time.Second
	ms     = time.Millisecond
)

// startAll starts three entries and a number of workers, and waits until all work.
func startAll(d *deployment, workers int, relayed bool, label func(n int) string) error {
	d.configure(3)
	for n := range 3 {
		if err := d.addEntry(n + 1); err != nil {
			return err
		}
	}
	for n := range workers {
		if _, err := d.addWorker(16000, 62500, label(n+1), relayed); err != nil {
			return err
		}
	}
	return d.ready(startLimit)
}

func sameLabel(int) string { return "a" }

// findIdle watches submissions for a while after the end of the traffic. It returns the
// first that has nothing running for idle while a task's turn has come, there is room for
// the task twice over and under half of the capacity is in use.
func (d *deployment) findIdle(submissions []*submission, watched time.Duration) string {
	since := map[string]time.Time{}
	for began := time.Now(); time.Since(began) < watched; time.Sleep(50 * ms) {
		tasks := d.history.tasks()
		for _, s := range submissions {
			waits, active := turnHasCome(s, tasks)
			if active || waits == "" || !d.roomy(waits, tasks) {
				delete(since, s.ID)
				continue
			}
			if since[s.ID].IsZero() {
				since[s.ID] = time.Now()
			}
			if time.Since(since[s.ID]) >= idle {
				return fmt.Sprintf("LOST: %s is accepted, and has nothing running for %s while the turn of %s has come; state %q", s.ID, idle, waits, d.state(s.ID))
			}
		}
	}
	return ""
}

// roomy reports whether the workers have room for a task twice over, and use under half of
// their processors and memory.
func (d *deployment) roomy(task string, tasks map[string]*taskState) bool {
	cpu, memMb := map[string]int{}, map[string]int{}
	usedCPU, usedMemMb := 0, 0
	for name, t := range tasks {
		size := d.history.sizeOf(name)
		for _, machine := range t.running {
			cpu[machine] += size.CPU
			memMb[machine] += size.MemMb
			usedCPU += size.CPU
			usedMemMb += size.MemMb
		}
	}
	size, room, allCPU, allMemMb := d.history.sizeOf(task), 0, 0, 0
	for _, w := range d.workers {
		allCPU += w.cpu
		allMemMb += w.memMb
		room += min((w.cpu-cpu[w.machine])/size.CPU, (w.memMb-memMb[w.machine])/size.MemMb)
	}
	return room >= 2 && 2*usedCPU < allCPU && 2*usedMemMb < allMemMb
}

// turnHasCome returns a task of a submission that could run and doesn't, and whether any
// task of it runs.
func turnHasCome(s *submission, tasks map[string]*taskState) (waits string, active bool) {
	doneSteps := make([]bool, len(s.Steps))
	for i := range s.Steps {
		turn, done := true, 0
		for _, dependency := range s.Steps[i].DependsOn {
			turn = turn && doneSteps[dependency]
		}
		for index := range s.Steps[i].Count {
			name := fmt.Sprintf("%s.0.%d.%d", s.ID, i, index)
			t := tasks[name]
			switch {
			case t != nil && t.done:
				done++
			case t != nil && len(t.running) > 0:
				active = true
			case turn && waits == "":
				waits = name
			}
		}
		doneSteps[i] = done == s.Steps[i].Count
	}
	return waits, active
}

// playFronts replaces entries one after the other; each new one has another address.
func playFronts(d *deployment, trouble bool) (string, error) {
	if err := startAll(d, 3, false, sameLabel); err != nil {
		return "", err
	}
	const replacements, gap = 36, 1300 * ms
	for n := range replacements {
		if !trouble {
			time.Sleep(gap)
			continue
		}
		d.mu.Lock()
		oldest := d.entries[0]
		d.entries = append([]*process(nil), d.entries[1:]...)
		d.mu.Unlock()
		d.kill(oldest)
		if err := d.addEntry(n + 4); err != nil {
			return "", err
		}
		time.Sleep(gap)
	}
	time.Sleep(5 * second) // the machines are back for longer than contactMs
	s := &submission{ID: newID(), Spec: "after", Steps: []step{{Count: 3, CPU: 1000, MemMb: 500, EstimateMs: 1000}}, Run: []time.Duration{second}}
	if !d.submit(s) {
		return "", fmt.Errorf("the submission was not accepted")
	}
	time.Sleep(finish)
	return d.findIdle([]*submission{s}, 5*second), nil
}

// playEnds cuts one of six workers off while a long task ends there. The task starts again on
// another worker; then many short tasks run.
func playEnds(d *deployment, trouble bool) (string, error) {
	if err := startAll(d, 6, true, sameLabel); err != nil {
		return "", err
	}
	const long, cutBefore, cutFor = 30 * second, 1500 * ms, 8 * second
	first := &submission{ID: newID(), Spec: "long", Steps: []step{{Count: 1, CPU: 2000, MemMb: 1000, EstimateMs: long.Milliseconds()}}, Run: []time.Duration{long}}
	if !d.submit(first) {
		return "", fmt.Errorf("the long submission was not accepted")
	}
	host, err := d.waitForStart(first.ID, 5*second)
	if err != nil {
		return "", err
	}
	time.Sleep(long - cutBefore)
	host.setCut(trouble)
	time.Sleep(cutFor)
	host.setCut(false)
	time.Sleep(2 * second)
	var burst []*submission
	for range 6 {
		s := &submission{
			ID: newID(), Spec: "burst", Run: []time.Duration{100 * ms, 500 * ms},
			Steps: []step{{Count: 900, CPU: 250, MemMb: 100, EstimateMs: 100}, {Count: 1, CPU: 1000, MemMb: 500, EstimateMs: 500, DependsOn: []int{0}}},
		}
		if !d.submit(s) {
			return "", fmt.Errorf("a submission was not accepted")
		}
		burst = append(burst, s)
	}
	time.Sleep(finish)
	finding := d.findIdle(burst, 6*second)
	d.history.add("the long task was started %d times", d.history.tasks()[first.ID+".0.0.0"].starts)
	return finding, nil
}

// waitForStart returns the worker on which the first run of a submission starts.
func (d *deployment) waitForStart(id string, limit time.Duration) (*worker, error) {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(10 * ms) {
		for _, e := range d.history.all() {
			if !strings.HasPrefix(e.task, id) {
				continue
			}
			for _, w := range d.workers {
				if w.machine == e.machine {
					return w, nil
				}
			}
		}
	}
	return nil, fmt.Errorf("%s did not start in %s", id, limit)
}

// playSchedule hands in ordinary submissions, and while their first steps run a schedule
// of which many occurrences are due.
func playSchedule(d *deployment, trouble bool) (string, error) {
	if err := startAll(d, 3, false, sameLabel); err != nil {
		return "", err
	}
	const occurrences, overdue = 20000, 4 * time.Hour
	var ordinary []*submission
	for range 3 {
		s := &submission{
			ID: newID(), Spec: "ordinary", Run: []time.Duration{4 * second, second},
			Steps: []step{{Count: 2, CPU: 1000, MemMb: 500, EstimateMs: 4000}, {Count: 1, CPU: 1000, MemMb: 500, EstimateMs: 1000, DependsOn: []int{0}}},
		}
		if !d.submit(s) {
			return "", fmt.Errorf("a submission was not accepted")
		}
		ordinary = append(ordinary, s)
	}
	time.Sleep(second)
	schedule := &submission{
		ID: newID(), Spec: "schedule", Steps: []step{{Count: 1, CPU: 100, MemMb: 50, EstimateMs: 50}}, Run: []time.Duration{50 * ms},
		StartAtMs: time.Now().UnixMilli(), IntervalMs: second.Milliseconds(), RepeatCount: occurrences,
	}
	if trouble {
		schedule.StartAtMs -= overdue.Milliseconds()
	}
	if !d.submit(schedule) {
		return "", fmt.Errorf("the schedule was not accepted")
	}
	time.Sleep(finish)
	return d.findIdle(ordinary, 20*second), nil
}

// playFlap lets the only worker of a kind go down and up by turns while two submissions
// run there that need this kind: one of a task that ends, one of a task that lasts.
func playFlap(d *deployment, trouble bool) (string, error) {
	label := func(n int) string { return map[bool]string{true: "b", false: "a"}[n == 1] }
	if err := startAll(d, 10, false, label); err != nil {
		return "", err
	}
	const period, flapsFor = 1400 * ms, 6500 * ms
	ends := &submission{ID: newID(), Spec: "needs b", Steps: []step{{Count: 1, CPU: 2000, MemMb: 1000, EstimateMs: 4000, Requires: "b"}}, Run: []time.Duration{4 * second}}
	lasts := &submission{ID: newID(), Spec: "needs b, lasts", Steps: []step{{Count: 1, CPU: 2000, MemMb: 1000, EstimateMs: 500, Requires: "b", LongRunning: true}}, Run: []time.Duration{time.Hour}}
	if !d.submit(ends) || !d.submit(lasts) {
		return "", fmt.Errorf("a submission was not accepted")
	}
	w, err := d.waitForStart(lasts.ID, 5*second)
	if err != nil {
		return "", err
	}
	time.Sleep(300 * ms)
	for began := time.Now(); trouble && time.Since(began) < flapsFor; time.Sleep(period / 2) {
		w.crash()
		time.Sleep(period / 2)
		if err := w.startProcess(); err != nil {
			return "", err
		}
	}
	time.Sleep(12 * second)
	var findings []string
	for _, s := range []*submission{ends, lasts} {
		if finding := d.judgeFailed(s); finding != "" {
			findings = append(findings, finding)
		}
	}
	return strings.Join(findings, "; "), nil
}

// judgeFailed reports that a submission is shown as failed although no run of it has
// ended so.
func (d *deployment) judgeFailed(s *submission) string {
	if d.state(s.ID) != "failed" {
		return ""
	}
	runs := 0
	for _, e := range d.history.all() {
		if !strings.HasPrefix(e.task, s.ID) {
			continue
		}
		if e.how == "failed" {
			return ""
		}
		if e.how == "" {
			runs++
		}
	}
	return fmt.Sprintf("LOST: %s (%s) is shown as failed; none of its %d runs has ended failed", s.ID, s.Spec, runs)
}

// playGang crashes one of eight workers, and hands in a gang of which each worker may run
// one task.
func playGang(d *deployment, trouble bool) (string, error) {
	const workers, downFor = 8, 4500 * ms
	if err := startAll(d, workers, false, sameLabel); err != nil {
		return "", err
	}
	if trouble {
		d.workers[workers-1].crash()
	}
	time.Sleep(second)
	s := &submission{ID: newID(), Spec: "gang", Steps: []step{{Count: workers, CPU: 1000, MemMb: 500, EstimateMs: 2000, Gang: true, AntiAffinity: 1}}, Run: []time.Duration{2 * second}}
	if !d.submit(s) {
		return "", fmt.Errorf("the submission was not accepted")
	}
	time.Sleep(downFor - second)
	if trouble {
		if err := d.workers[workers-1].startProcess(); err != nil {
			return "", err
		}
	}
	time.Sleep(8 * second)
	d.state(s.ID)
	return tooMany(d.history.all(), s.ID, 1), nil
}

// tooMany returns a start that brought a worker over the number of tasks of one
// submission that it may run.
func tooMany(events []event, id string, most int) string {
	running := map[string]map[string]bool{}
	for _, e := range events {
		if !strings.HasPrefix(e.task, id) {
			continue
		}
		if running[e.worker] == nil {
			running[e.worker] = map[string]bool{}
		}
		if e.how != "" {
			delete(running[e.worker], e.task)
			continue
		}
		running[e.worker][e.task] = true
		if n := len(running[e.worker]); n > most {
			return fmt.Sprintf("ROUTE: %s starts on %s, which then runs %d tasks of the step, beyond antiAffinity %d", e.task, e.worker, n, most)
		}
	}
	return ""
}
