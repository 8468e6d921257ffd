package leader_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"knapweedspur/internal/wire/work"
)

var policyAddress = netip.MustParseAddrPort("10.0.9.1:80")

// policyService is the policy service of a cluster. It answers calls one after the other, in the
// time that the queue of the step declares.
type policyService struct {
	cluster *cluster
	// queueOf returns the queue of a step.
	queueOf func(step string) *work.Queue
	// approves says which VMs may run a step; nil approves all.
	approves func(step, vm string) bool
	// slowness is how many times longer than declared calls take.
	slowness float64
	// worksOn is set if the service goes on with a call whose caller has gone.
	worksOn bool
	// drops says which calls, counted from 1, get no answer, whatever the service does with them.
	drops func(call int, step string) bool
	// breaksOff says about which steps calls are broken off at once.
	breaksOff func(step string) bool
	// fullFor is how long from the start of the service on it refuses calls.
	fullFor time.Duration

	turn      chan struct{}
	startedAt time.Time

	mu      sync.Mutex
	calls   int
	waiting int
	// tickets holds until when each ticket is valid, and for what.
	tickets map[string]issuedTicket
}

type issuedTicket struct {
	step, vm string
	expires  time.Time
}

// maxWaitingCalls is how many calls may wait at the service.
const maxWaitingCalls = 32

// startPolicyService lets a service answer the calls of the cluster, and the workers check its tickets.
func (c *cluster) startPolicyService(p *policyService) *http.Server {
	p.cluster, p.turn, p.tickets, p.startedAt = c, make(chan struct{}, 1), map[string]issuedTicket{}, time.Now()
	if p.slowness == 0 {
		p.slowness = 1
	}
	for _, v := range c.vms {
		v.mu.Lock()
		v.acceptsTicket = p.accepts
		v.mu.Unlock()
	}
	listener := c.network.listen(policyAddress)
	server := &http.Server{Handler: p}
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	return server
}

func (p *policyService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil || len(call.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.calls++
	number := p.calls
	full := p.waiting >= maxWaitingCalls || time.Since(p.startedAt) < p.fullFor
	if !full {
		p.waiting++
	}
	p.mu.Unlock()
	if full {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	if p.breaksOff != nil && p.breaksOff(call.Step) {
		p.leave()
		panic(http.ErrAbortHandler)
	}
	gone := r.Context().Done()
	if p.drops != nil && p.drops(number, call.Step) {
		p.cluster.checker.logf("policy service drops call %d about %s", number, call.Step)
		<-gone
		p.leave()
		return
	}
	p.turn <- struct{}{}
	p.leave()
	defer func() { <-p.turn }()
	queue := p.queueOf(call.Step)
	declared := queue.Approval.BaseLatency + time.Duration(len(call.Workers))*queue.Approval.LatencyPerVM
	if p.worksOn {
		gone = nil
	}
	select {
	case <-time.After(time.Duration(p.slowness * float64(declared))):
	case <-gone:
		p.cluster.checker.logf("caller of call %d about %s, %d VMs, has gone", number, call.Step, len(call.Workers))
		return
	}
	p.cluster.checker.logf("policy service answers call %d about %s, %d VMs", number, call.Step, len(call.Workers))
	good := [][]string{}
	for _, vm := range call.Workers {
		if p.approves == nil || p.approves(call.Step, vm) {
			good = append(good, []string{vm, p.issue(call.Step, vm, queue.Approval.TicketLifetime)})
		}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"good": good, "validMs": queue.Approval.TicketLifetime.Milliseconds()}) // the caller may have gone
}

func (p *policyService) leave() {
	p.mu.Lock()
	p.waiting--
	p.mu.Unlock()
}

func (p *policyService) issue(step, vm string, lifetime time.Duration) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	name := fmt.Sprintf("ticket-%d", len(p.tickets))
	p.tickets[name] = issuedTicket{step, vm, time.Now().Add(lifetime)}
	return name
}

// accepts reports whether a worker may run a task with a ticket.
func (p *policyService) accepts(task, vm, ticket string) bool {
	step := task[:strings.LastIndex(task, ".")]
	if p.queueOf(step).Approval == nil {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t, known := p.tickets[ticket]
	valid := known && t.step == step && t.vm == vm && time.Now().Before(t.expires)
	if !valid {
		p.cluster.checker.logf("worker %s rejects ticket %q of %s", vm, ticket, task)
	}
	return valid
}
