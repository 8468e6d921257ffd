package standinrunner

import (
	"fmt"
	"runtime"
	"time"

	"knapweedspur/internal/state/taskreducer"
	"knapweedspur/internal/wire/codec"
	"knapweedspur/internal/wire/message"
)

// stateCommand measures, in this process, the memory, snapshot and fold costs of the
// state of many open tasks.
type stateCommand struct {
	Tasks  []int `help:"Numbers of open tasks." default:"5000,15000,45000"`
	PerRun int   `name:"run" help:"Tasks of one run." default:"10"`
	VMs    int   `name:"vms" help:"VMs they are on." default:"1833"`
}

// Run measures each number of tasks and prints a table.
func (c *stateCommand) Run(env *environment) error {
	fmt.Fprint(env.stdout, "\nOwner: state of open tasks\n\n| tasks | heap MB | bytes a task | snapshot MB | snapshot ms | restore ms | fold us a record |\n|---|---|---|---|---|---|---|\n")
	for _, n := range c.Tasks {
		if err := c.measure(env, n); err != nil {
			return err
		}
	}
	return nil
}

func heapAlloc() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func (c *stateCommand) measure(env *environment, tasks int) error {
	before := heapAlloc()
	reducer := &batchReducer{state: taskreducer.New()}
	for i := range c.VMs {
		reducer.add(message.Record{Join: &message.Join{VM: vmName(i), Boot: "boot", Lease: 1, Agent: "agent", Size: message.Size{Millicores: 16000, Memory: 60 << 30}, Rack: "rack", Domain: "alpha"}})
	}
	start := time.Now()
	for i := 0; i < tasks; i += c.PerRun {
		run := fmt.Sprintf("season-2026-12-03-%06d", i)
		reducer.add(message.Record{Submit: &message.Submit{Run: run, Job: "season", Team: "dispatch", Who: "planner", Tasks: c.PerRun}})
		for t := range c.PerRun {
			reducer.add(message.Record{Place: &message.Place{Run: run, Task: t, Attempt: 1, VM: vmName((i + t) % c.VMs), Lease: 1}})
		}
	}
	if reducer.err != nil {
		return reducer.err
	}
	foldTime := time.Since(start)
	heapBytes := heapAlloc() - before
	start = time.Now()
	data, err := reducer.state.Snapshot()
	if err != nil {
		return err
	}
	snapshotTime := time.Since(start)
	start = time.Now()
	if _, err := taskreducer.Restore(data); err != nil {
		return err
	}
	restoreTime := time.Since(start)
	fmt.Fprintf(env.stdout, "| %d | %.1f | %d | %.2f | %.0f | %.0f | %.1f |\n", tasks, float64(heapBytes)/1e6, heapBytes/uint64(tasks), float64(len(data))/1e6,
		float64(snapshotTime.Microseconds())/1e3, float64(restoreTime.Microseconds())/1e3, float64(foldTime.Microseconds())/float64(reducer.records))
	return nil
}

func vmName(i int) string { return fmt.Sprintf("vm-%05d", i) }

// batchReducer folds records in batches as an appender would write them.
type batchReducer struct {
	state   *taskreducer.State
	batch   message.Batch
	records int
	err     error
}

const recordsPerBatch = 20

func (f *batchReducer) add(r message.Record) {
	f.batch.Records = append(f.batch.Records, r)
	f.records++
	if len(f.batch.Records) < recordsPerBatch || f.err != nil {
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
