package jobacceptor

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/fault/verdict"
	"knapweedspur/internal/frontend/queuecataloger"
	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/job/leader"
	"knapweedspur/internal/job/logfollower"
	"knapweedspur/internal/job/planner"
	"knapweedspur/internal/log/journal"
	"knapweedspur/internal/standin/keyedlogemulator"
	"knapweedspur/internal/wire/work"
)

type noAgents struct{}

func (noAgents) SendCommands(string, *work.Commands) {}
func (noAgents) SendGrant(string, *work.Grant)       {}
func (noAgents) Hellos() []*work.Hello               { return nil }
func (noAgents) Announce()                           {}

// fault is what happens to the calls of one entry.
type fault struct {
	// refuse makes the log refuse all calls, refuseAppends only appends.
	refuse, refuseAppends bool
	// late makes the log carry out appends that long after they got no answer.
	late time.Duration
	// unreachable cuts the entry off from the other entries.
	unreachable bool
	// slowProposals delays what the entry sends to others, also after it gave up.
	slowProposals time.Duration
	// frozen suspends what the entry does with the log and with other entries.
	frozen bool
}

// faultyLog is the log as one entry sees it.
type faultyLog struct {
	*keyedlogemulator.Stream
	mu    sync.Mutex
	fault fault
}

func (l *faultyLog) set(f fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
}

func (l *faultyLog) current() fault {
	for {
		l.mu.Lock()
		f := l.fault
		l.mu.Unlock()
		if !f.frozen {
			return f
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// unansweredAfter is when a caller gives up on a call of the log.
const unansweredAfter = 700 * time.Millisecond

func (l *faultyLog) Append(ctx context.Context, records []journal.Record, writer *journal.Writer) (int64, error) {
	switch f := l.current(); {
	case f.refuse, f.refuseAppends:
		return 0, journal.ErrRefused
	case f.late > 0:
		if writer != nil {
			sent := *writer // the caller changes it for the next append
			writer = &sent
		}
		go func() {
			time.Sleep(f.late)
			_, _ = l.Stream.Append(context.WithoutCancel(ctx), records, writer) // nobody waits for the answer
		}()
		time.Sleep(min(f.late+unansweredAfter, unansweredAfter))
		return 0, errors.New("no answer")
	}
	time.Sleep(4 * time.Millisecond)
	offset, err := l.Stream.Append(ctx, records, writer)
	l.current()
	return offset, err
}

func (l *faultyLog) Read(ctx context.Context, from int64, wait time.Duration) (journal.Page, error) {
	if l.current().refuse {
		return journal.Page{}, journal.ErrRefused
	}
	time.Sleep(2 * time.Millisecond)
	page, err := l.Stream.Read(ctx, from, wait)
	l.current()
	return page, err
}

// site is a group of entries on one log.
type site struct {
	log       *keyedlogemulator.Stream
	faults    []*faultyLog
	acceptors []*Acceptor
	leaders   []*leader.Leader
	stops     []context.CancelFunc
}

func entryAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 1)
}

// entryTransport carries proposals of one entry to the others.
type entryTransport struct {
	site *site
	from int
}

func (tr entryTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	for i, l := range tr.site.leaders {
		if entryAddress(i).String() != r.URL.Host || r.URL.Path != leader.ProposalPath {
			continue
		}
		if tr.site.faults[tr.from].current().unreachable || tr.site.faults[i].current().unreachable {
			return nil, &net.OpError{Op: "dial", Err: errors.New("unreachable")}
		}
		if delay := tr.site.faults[tr.from].current().slowProposals; delay > 0 {
			sent := r.Clone(context.WithoutCancel(r.Context()))
			go func() {
				time.Sleep(delay)
				l.ServeProposal(httptest.NewRecorder(), sent)
			}()
			<-r.Context().Done()
			return nil, r.Context().Err()
		}
		time.Sleep(2 * time.Millisecond)
		answer := httptest.NewRecorder()
		done := make(chan struct{})
		go func() {
			defer close(done)
			tr.site.faults[i].current()
			l.ServeProposal(answer, r)
		}()
		select {
		case <-done:
			return answer.Result(), nil
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
	return nil, &net.OpError{Op: "dial", Err: errors.New("unreachable")}
}

func startSite(t *testing.T) *site {
	const entries = 3
	s := &site{log: keyedlogemulator.New()}
	for range entries {
		s.faults = append(s.faults, &faultyLog{Stream: s.log})
	}
	for i := range entries {
		s.startEntry(t, i)
	}
	time.Sleep(2 * time.Second)
	return s
}

func (s *site) startEntry(t *testing.T, i int) {
	name := fmt.Sprintf("e%d", i)
	l := &leader.Leader{
		Journal: s.faults[i], Agents: noAgents{}, Logger: hclog.NewNullLogger(), Name: name, Incarnation: name + "-1", Address: entryAddress(i),
		CPUShare: 1, MaxAppendBytes: 1 << 20, Settings: planner.Settings{MaxLease: 6 * time.Second, FarFactor: 2}, Client: &http.Client{Transport: entryTransport{s, i}},
	}
	f := &logfollower.Follower{Journal: s.faults[i], Logger: hclog.NewNullLogger(), Observer: l, Clock: func() time.Duration { return time.Duration(time.Now().UnixNano()) }}
	l.Follower = f
	f.Init()
	l.Init(time.Now())
	catalog := &queuecataloger.Cataloger{}
	catalog.Update(&queuecataloger.Catalog{Version: 1, Queues: []queuecataloger.Queue{{Host: "h", Prefix: "/q/", Queue: work.Queue{Name: "q", MaxFailures: 3}}}})
	ctx, stop := context.WithCancel(t.Context())
	s.leaders = append(s.leaders, l)
	s.acceptors = append(s.acceptors, &Acceptor{
		Journal: s.faults[i], Follower: f, Leader: l, Cataloger: catalog, ConfigAge: func() time.Duration { return 0 }, Logger: hclog.NewNullLogger(), MaxRecordBytes: 1 << 16,
	})
	s.stops = append(s.stops, func() { stop(); <-f.Done; <-l.Done })
	member := &work.Member{Name: name, Incarnation: name + "-1", AnnouncedAt: time.Now(), CPUShare: 1}
	if _, err := s.log.Append(ctx, []journal.Record{jobreducer.MemberRecord(member)}, nil); err != nil {
		t.Fatal(err)
	}
	go f.Run(ctx)
	go l.Run(ctx)
}

func (s *site) stop() {
	for i := range s.faults {
		s.faults[i].set(fault{})
	}
	for _, stop := range s.stops {
		stop()
	}
}

// leading returns the entry that leads.
func (s *site) leading(t *testing.T) int {
	t.Helper()
	for range 100 {
		for i, l := range s.leaders {
			if l.Leading() != 0 {
				return i
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatal("no entry leads")
	return 0
}

// post submits a job as a client does that waits for the given time.
func (s *site) post(entry int, id string, patience time.Duration) error {
	a := s.acceptors[entry]
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	now := time.Now()
	since, arrived := a.Arrival()
	s.faults[entry].current() // a suspended process goes on with what it has read
	return a.Submit(ctx, a.Cataloger.Current().Find("h", "/q/x"), 1, &work.Job{ID: id, Since: since, Steps: []work.Step{{Tasks: 1}}}, arrived, now)
}

// remove cancels a job, and reports whether it was said not to exist.
func (s *site) remove(entry int, id string) (absent bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	position, arrived := s.acceptors[entry].Arrival()
	now := time.Now()
	s.faults[entry].current() // a suspended process goes on with what it has read
	err = s.acceptors[entry].Cancel(ctx, id, position, arrived, now)
	return isAbsent(err), err
}

func isAbsent(err error) bool {
	var e *verdict.Error
	return errors.As(err, &e) && e.Cause == verdict.NotFound
}

// recorded returns the state of a job for a reader that begins with the newest records.
func (s *site) recorded(t *testing.T, id string) string {
	t.Helper()
	state := jobreducer.New()
	if _, _, err := journal.ReadNewest(t.Context(), s.log, func(r journal.Record) { _ = state.Apply(r) }); err != nil {
		t.Fatal(err)
	}
	switch j := state.Jobs[id]; {
	case !j.Accepted():
		return ""
	case j.Cancel != nil || j.Outcome != nil && j.Outcome.State == jobreducer.Canceled:
		return jobreducer.Canceled
	}
	return Queued
}
