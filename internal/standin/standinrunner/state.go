package standinrunner

import (
	"fmt"
	"runtime"
	"time"

	"knapweedspur/internal/state/taskreducer"
	"knapweedspur/internal/wire/codec"
	"knapweedspur/internal/wire/message"
)

// stateCommand measures the folded state of many open tasks in this process.
type stateCommand struct {
	Tasks  []int `help:"Numbers of open tasks." default:"5000,15000,45000"`
	PerRun int   `name:"run" help:"Tasks of one run." default:"10"`
	VMs    int   `name:"vms" help:"VMs they are on." default:"1833"`
}

// Run measures each number and prints a table.
func (c *stateCommand) Run(env *environment) error {
	fmt.Fprint(env.out, "\nOwner: state of open tasks\n\n| tasks | heap MB | bytes a task | snapshot MB | snapshot ms | restore ms | fold us a record |\n|---|---|---|---|---|---|---|\n")
	for _, n := range c.Tasks {
		if err := c.measure(env, n); err != nil {
			return err
		}
	}
	return nil
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func (c *stateCommand) measure(env *environment, tasks int) error {
	before := heap()
	f := &filler{state: taskreducer.New()}
	for i := range c.VMs {
		f.add(message.Record{Join: &message.Join{VM: vmName(i), Boot: "boot", Lease: 1, Agent: "agent", Size: message.Size{Millicores: 16000, Memory: 60 << 30}, Rack: "rack", Domain: "alpha"}})
	}
	begin := time.Now()
	for i := 0; i < tasks; i += c.PerRun {
		run := fmt.Sprintf("season-2026-12-03-%06d", i)
		f.add(message.Record{Submit: &message.Submit{Run: run, Job: "season", Team: "dispatch", Who: "planner", Tasks: c.PerRun}})
		for t := range c.PerRun {
			f.add(message.Record{Place: &message.Place{Run: run, Task: t, Attempt: 1, VM: vmName((i + t) % c.VMs), Lease: 1}})
		}
	}
	if f.err != nil {
		return f.err
	}
	folding := time.Since(begin)
	used := heap() - before
	begin = time.Now()
	data, err := f.state.Snapshot()
	if err != nil {
		return err
	}
	saving := time.Since(begin)
	begin = time.Now()
	if _, err := taskreducer.Restore(data); err != nil {
		return err
	}
	restoring := time.Since(begin)
	fmt.Fprintf(env.out, "| %d | %.1f | %d | %.2f | %.0f | %.0f | %.1f |\n", tasks, float64(used)/1e6, used/uint64(tasks), float64(len(data))/1e6,
		float64(saving.Microseconds())/1e3, float64(restoring.Microseconds())/1e3, float64(folding.Microseconds())/float64(f.records))
	return nil
}

func vmName(i int) string { return fmt.Sprintf("vm-%05d", i) }

// filler folds records in batches as an appender would write them.
type filler struct {
	state   *taskreducer.State
	batch   message.Batch
	records int
	err     error
}

const perBatch = 20

func (f *filler) add(r message.Record) {
	f.batch.Records = append(f.batch.Records, r)
	f.records++
	if len(f.batch.Records) < perBatch || f.err != nil {
		return
	}
	f.batch.Writer = "entry"
	f.batch.Number++
	value, err := codec.Encode(&f.batch)
	if err != nil {
		f.err = err
		return
	}
	f.state.Fold(f.state.Next, value)
	f.batch.Records = f.batch.Records[:0]
}
