package standinrunner

import (
	"net/netip"
	"time"

	"knapweedspur/internal/standin/workeremulator"
	"knapweedspur/internal/wire/message"
)

const (
	millicoresPerCore = 1000
	mebibyte          = 1 << 20
)

type workerCommand struct {
	Listen       netip.AddrPort           `help:"Address to listen on." default:"127.0.0.1:9100"`
	VM           string                   `name:"vm" help:"Name of the VM." required:""`
	Processors   int                      `help:"Processor cores." default:"16"`
	Memory       int                      `help:"Memory in MiB." default:"61440"`
	Accelerators int                      `help:"Accelerators." default:"0"`
	Duration     map[string]time.Duration `help:"How long a task of a job runs, as job=2s."`
	Fail         bool                     `help:"Fail every task."`
}

// Run boots and serves the emulated worker.
func (c *workerCommand) Run() error {
	worker := &workeremulator.Worker{
		VM: c.VM, TaskDurations: c.Duration, FailTasks: c.Fail,
		Size: message.Size{Millicores: c.Processors * millicoresPerCore, Memory: c.Memory * mebibyte, Accelerators: c.Accelerators},
	}
	worker.Boot(time.Now())
	return serve(c.Listen, worker.Handler())
}
