package leader_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/frontend/agentbroker"
	"knapweedspur/internal/frontend/queuecataloger"
	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/job/leader"
	"knapweedspur/internal/job/logfollower"
	"knapweedspur/internal/job/planner"
	"knapweedspur/internal/link/framer"
	"knapweedspur/internal/log/journal"
	"knapweedspur/internal/sidecar/reporter"
	"knapweedspur/internal/sidecar/supervisor"
	"knapweedspur/internal/standin/keyedlogemulator"
	"knapweedspur/internal/wire/work"
	"knapweedspur/platform"
)

// cluster runs entries, agents and workers in virtual time. Its entries and agents
// are those of the users' platform, without the interfaces to the platform.
type cluster struct {
	checker *runChecker
	network *memoryNetwork
	log     *keyedlogemulator.Stream
	// operators is the operators' stream.
	operators *keyedlogemulator.Stream
	random    *rand.Rand
	entries   []*clusterEntry
	vms       []*clusterVM
	// processes counts the entry and agent processes that were started, workers
	// the workers under a name of their own.
	processes, workers int
}

// entryLog is the log as seen by one entry. While it is cut off, calls get no
// answer, and appends may take effect seconds later.
type entryLog struct {
	*keyedlogemulator.Stream
	mu       sync.Mutex
	cutUntil time.Time
	late     bool
}

const logCallTimeout = 700 * time.Millisecond

var errLogCut = errors.New("the log does not answer")

func (l *entryLog) isCut(ctx context.Context) (late, isCut bool) {
	l.mu.Lock()
	late, isCut = l.late, time.Now().Before(l.cutUntil)
	l.mu.Unlock()
	if !isCut {
		time.Sleep(4 * time.Millisecond)
		return false, false
	}
	select {
	case <-time.After(logCallTimeout):
	case <-ctx.Done():
	}
	return late, true
}

func (l *entryLog) Append(ctx context.Context, records []journal.Record, writer *journal.Writer) (int64, error) {
	var copied *journal.Writer
	if writer != nil {
		w := *writer
		copied = &w
	}
	late, isCut := l.isCut(ctx)
	if !isCut {
		return l.Stream.Append(ctx, records, copied)
	}
	if late {
		go func() {
			time.Sleep(2 * time.Second)
			_, _ = l.Stream.Append(context.Background(), records, copied)
		}()
	}
	return 0, errLogCut
}

func (l *entryLog) Read(ctx context.Context, from int64, wait time.Duration) (journal.Page, error) {
	if _, isCut := l.isCut(ctx); isCut {
		return journal.Page{}, errLogCut
	}
	return l.Stream.Read(ctx, from, wait)
}

// clusterEntry is an entry and its process, nil while it is down.
type clusterEntry struct {
	name    string
	address netip.AddrPort
	log     *entryLog
	// operators is the operators' stream.
	operators *entryLog
	process   *entryProcess
}

type entryProcess struct {
	leader   *leader.Leader
	follower *logfollower.Follower
	watcher  *queuecataloger.Watcher
	server   *http.Server
	listener *memoryListener
	stop     context.CancelFunc
}

// clusterVM is a VM with its worker and its agent process, nil while it is down.
type clusterVM struct {
	*simulatedHost
	name    string
	address netip.Addr
	agent   *agentProcess
}

type agentProcess struct {
	supervisor *supervisor.Supervisor
	reporter   *reporter.EntryClient
	worker     *workerClient
	client     *http.Client
	stop       context.CancelFunc
}

func newCluster(entries, vms int, seed uint64) *cluster {
	c := &cluster{checker: newRunChecker(), network: newMemoryNetwork(), log: keyedlogemulator.New(), operators: keyedlogemulator.New(), random: rand.New(rand.NewPCG(seed, 1))}
	for i := range entries {
		e := &clusterEntry{name: fmt.Sprintf("entry-%d", i), address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80), log: &entryLog{Stream: c.log}, operators: &entryLog{Stream: c.operators}}
		c.entries = append(c.entries, e)
		c.startEntry(e)
	}
	for i := range vms {
		v := &clusterVM{
			simulatedHost: &simulatedHost{checker: c.checker, random: rand.New(rand.NewPCG(seed, uint64(i)+2)), taskTime: 3 * time.Second, domain: fmt.Sprintf("domain-%d", i%simulatedDomains)},
			name:          fmt.Sprintf("vm-%d", i), address: netip.AddrFrom4([4]byte{10, 0, 1, byte(i + 1)}),
		}
		c.vms = append(c.vms, v)
		c.startAgent(v)
		c.startWorker(v)
	}
	return c
}

func (c *cluster) nextIncarnation(name string) string {
	c.processes++
	return fmt.Sprintf("%s-process-%d", name, c.processes)
}

func (c *cluster) startEntry(e *clusterEntry) {
	incarnation := c.nextIncarnation(e.name)
	c.checker.logf("%s starts", incarnation)
	logger := &eventLogger{Logger: hclog.NewNullLogger(), checker: c.checker, process: incarnation}
	p := &entryProcess{listener: c.network.listen(e.address)}
	p.leader = &leader.Leader{
		Journal: e.log, Logger: logger, Name: e.name, Incarnation: incarnation, Address: e.address, CPUShare: 1, MaxAppendBytes: 1 << 20,
		Settings: planner.Settings{MaxLease: simulatedMaxLease, FarFactor: 2, MaxWaste: 0.5, MaxRequestAge: evacuationBound / 2}, Client: c.network.client(e.address.Addr()),
	}
	p.follower = &logfollower.Follower{Journal: e.log, Logger: logger, Observer: p.leader, Clock: virtualTime}
	p.watcher = &queuecataloger.Watcher{Journal: e.operators, Cataloger: &queuecataloger.Cataloger{}, Decode: platform.DecodeOperatorRecord, Logger: logger, Clock: virtualTime}
	p.watcher.Init()
	p.leader.Evacuation = p.watcher.Evacuation
	p.leader.PolicyService = &platform.PolicyClient{Address: policyAddress, Client: p.leader.Client}
	broker := &agentbroker.Broker{Evacuation: p.watcher.Evacuation, Follower: p.follower, Leader: p.leader, Logger: logger}
	p.leader.Follower, p.leader.Agents = p.follower, broker
	p.follower.Init()
	p.leader.Init(time.Now())
	broker.Init()
	routes := http.NewServeMux()
	routes.Handle(framer.AgentPath, broker)
	routes.HandleFunc(leader.ProposalPath, p.leader.ServeProposal)
	routes.HandleFunc(leader.IncarnationPath, p.leader.ServeIncarnation)
	p.server = &http.Server{Handler: routes}
	var ctx context.Context
	ctx, p.stop = context.WithCancel(context.Background())
	go func() { _ = p.server.Serve(p.listener) }() // returns when the listener is closed
	go p.watcher.Run(ctx)
	go p.follower.Run(ctx)
	go p.leader.Run(ctx)
	member := &work.Member{Name: e.name, Incarnation: incarnation, Address: e.address, AnnouncedAt: time.Now(), CPUShare: 1}
	_, _ = c.log.Append(ctx, []journal.Record{jobreducer.MemberRecord(member)}, nil) // fails only under injected faults
	e.process = p
}

// killEntry ends the process of an entry.
func (c *cluster) killEntry(e *clusterEntry) {
	p := e.process
	if p == nil {
		return
	}
	e.process = nil
	c.checker.logf("%s is killed", e.name)
	p.stop()
	_ = p.server.Close()
	_ = p.listener.Close()
	<-p.leader.Done
	<-p.follower.Done
	<-p.watcher.Done
	p.leader.Client.CloseIdleConnections()
}

// leading returns the entries that believe to lead.
func (c *cluster) leading() []*clusterEntry {
	var found []*clusterEntry
	for _, e := range c.entries {
		if e.process != nil && e.process.leader.Leading() != 0 {
			found = append(found, e)
		}
	}
	return found
}

// Find returns the addresses of all entries.
func (c *cluster) Find(context.Context) ([]netip.AddrPort, error) {
	var addresses []netip.AddrPort
	for _, e := range c.entries {
		addresses = append(addresses, e.address)
	}
	return addresses, nil
}

func (c *cluster) startAgent(v *clusterVM) {
	if v.agent != nil {
		return
	}
	incarnation := c.nextIncarnation(v.name)
	c.checker.logf("%s starts", incarnation)
	logger := &eventLogger{Logger: hclog.NewNullLogger(), checker: c.checker, process: incarnation}
	a := &agentProcess{worker: &workerClient{host: v.simulatedHost}, client: c.network.client(v.address)}
	a.reporter = &reporter.EntryClient{Finder: c, Client: a.client, Logger: logger, AgentIncarnation: incarnation, Host: v.name}
	a.supervisor = &supervisor.Supervisor{
		Worker: a.worker, Logger: logger, MaxLease: simulatedMaxLease, MaxRequestAge: evacuationBound * 3 / 4, Clock: virtualTime, Steady: virtualTime,
		OnChange: a.reporter.RequestReport, OnSessionStart: a.reporter.SendHeartbeatsNow,
	}
	a.reporter.Supervisor = a.supervisor
	a.reporter.Init()
	a.supervisor.Init()
	var ctx context.Context
	ctx, a.stop = context.WithCancel(context.Background())
	go a.supervisor.Run(ctx)
	go a.reporter.Run(ctx)
	v.agent = a
}

// killAgent ends the agent process of a VM. Calls to the worker that it has sent
// may still be carried out.
func (c *cluster) killAgent(v *clusterVM) {
	a := v.agent
	if a == nil {
		return
	}
	v.agent = nil
	c.checker.logf("agent of %s is killed", v.name)
	v.mu.Lock()
	a.worker.dead = true
	v.mu.Unlock()
	a.stop()
	<-a.supervisor.Done
	<-a.reporter.Done
	a.client.CloseIdleConnections()
}

// startWorker starts a worker under a new name.
func (c *cluster) startWorker(v *clusterVM) {
	c.workers++
	v.startWorker(fmt.Sprintf("%s-worker-%d", v.name, c.workers), time.Now())
}

// sendHeartbeats lets the workers report to their agents when it is time.
func (c *cluster) sendHeartbeats(now time.Time) {
	for _, v := range c.vms {
		v.mu.Lock()
		w := v.worker
		due := w != nil && v.agent != nil && now.Sub(w.lastHeartbeat) >= simulatedHeartbeat
		if due {
			w.lastHeartbeat = now
			w.heartbeats++
		}
		v.mu.Unlock()
		if due {
			v.agent.supervisor.HandleHeartbeat(w.status, w.heartbeats, now)
		}
	}
}

// submit adds a job to the log.
func (c *cluster) submit(id string, tasks int) { c.submitStep(id, work.Step{Tasks: tasks}) }

// submitStep adds a job of one step to the log.
func (c *cluster) submitStep(id string, step work.Step) {
	step.Size, step.EstimatedDuration = simulatedTaskSize, time.Second
	job := &work.Job{
		ID: id, Spec: "spec", AcceptedAt: time.Now(), Queue: work.Queue{Name: "queue", Pool: "pool", MaxFailures: 100, Stretch: 2, Target: time.Second},
		Steps: []work.Step{step},
	}
	_, _ = c.log.Append(context.Background(), []journal.Record{jobreducer.JobRecord(job)}, nil) // fails only under injected faults
}

// stop ends all processes, and waits for calls that are carried out late.
func (c *cluster) stop() {
	for _, v := range c.vms {
		c.killAgent(v)
	}
	for _, e := range c.entries {
		c.killEntry(e)
	}
	time.Sleep(15 * time.Second)
}

// eventLogger adds the log lines of a process to the events of the checker.
type eventLogger struct {
	hclog.Logger
	checker *runChecker
	process string
}

func (l *eventLogger) Info(message string, fields ...any)  { l.log(message, fields) }
func (l *eventLogger) Warn(message string, fields ...any)  { l.log(message, fields) }
func (l *eventLogger) Error(message string, fields ...any) { l.log(message, fields) }

func (l *eventLogger) log(message string, fields []any) {
	l.checker.logf("%s: %s %v", l.process, message, fields)
}

// deregister lets the worker of a VM say that it leaves.
func (c *cluster) deregister(v *clusterVM) {
	if name := v.workerName(); name != "" && v.agent != nil {
		v.agent.supervisor.HandleDeregistration(name, time.Now())
	}
}

// cut separates the entry from the stream. If late is set, its appends take effect
// seconds later.
func (l *entryLog) cut(until time.Time, late bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cutUntil, l.late = until, late
}

// cutFromLog separates the entry from all streams.
func (e *clusterEntry) cutFromLog(until time.Time, late bool) {
	e.log.cut(until, late)
	e.operators.cut(until, late)
}
