package jobacceptor

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
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

var heldSeeds = flag.Int("held.seeds", 12, "number of drawn runs of TestNothingHeldTakesEffectAfterAbsenceWasReported")

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

// A submission that the leader held while the log turned it away, and that was reported
// absent then, was written when the entry led again.
func TestSubmissionHeldByLostLeadIsNotWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t)
		defer s.stop()
		first := s.leading(t)
		s.faults[first].set(fault{refuse: true})
		time.Sleep(750 * time.Millisecond)
		posted := make(chan error)
		go func() { posted <- s.post(first, jobID, 3*time.Second) }()
		time.Sleep(4 * time.Second)
		if err := <-posted; err == nil {
			t.Fatal("accepted by an entry that the log turns away")
		}
		if absent, err := s.remove((first+1)%3, jobID); !absent {
			t.Fatalf("canceled at another entry: %v", err)
		}
		s.faults[first].set(fault{})
		for i := range s.faults {
			if i != first {
				s.leaders[i].Resign()
			}
		}
		time.Sleep(5 * time.Second)
		if got := s.leading(t); got != first {
			t.Fatalf("entry %d leads", got)
		}
		if state := s.recorded(t, jobID); state != "" {
			t.Errorf("a submission that was reported absent is %s", state)
		}
	})
}

// A submission takes effect late, by the log, by a suspended entry or by a proposal on its
// way, after its absence was reported.
func TestLateAppendAfterReportedAbsenceDoesNotCount(t *testing.T) {
	for name, f := range map[string]fault{"late append": {late: 4 * time.Second, unreachable: true}, "suspended entry": {frozen: true}, "late proposal": {slowProposals: 4 * time.Second, refuseAppends: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startSite(t)
				defer s.stop()
				entry := (s.leading(t) + 1) % 3
				s.faults[entry].set(f)
				posted := make(chan error, 1)
				go func() { posted <- s.post(entry, jobID, time.Minute) }()
				time.Sleep(3 * time.Second)
				_, err := s.acceptors[s.leading(t)].State(t.Context(), jobID)
				if !isAbsent(err) {
					t.Fatalf("asked for: %v", err)
				}
				s.faults[entry].set(fault{})
				time.Sleep(6 * time.Second)
				if err := <-posted; err == nil {
					t.Error("accepted although it was reported absent meanwhile")
				}
				if state := s.recorded(t, jobID); state != "" {
					t.Errorf("a submission that was reported absent is %s", state)
				}
			})
		})
	}
}

// A client may submit a job after it was told that there is none.
func TestSubmissionAfterReportedAbsenceIsAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t)
		defer s.stop()
		for n := range 30 {
			id := fmt.Sprintf("%016x", n+1)
			if absent, err := s.remove(n%3, id); !absent {
				t.Fatalf("canceled: %v", err)
			}
			if err := s.post((n+1)%3, id, 3*time.Second); err != nil {
				t.Errorf("submitted at once after it was reported absent: %v", err)
			}
			if state, err := s.acceptors[(n+2)%3].State(t.Context(), id); err != nil || state != Queued {
				t.Errorf("state %q, error %v", state, err)
			}
			time.Sleep(time.Duration(n) * 7 * time.Millisecond)
		}
	})
}

// A cancellation that a suspended entry held canceled a job that was submitted after
// another entry had said that there was none.
func TestHeldCancellationSparesJobSubmittedAfterReportedAbsence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t)
		defer s.stop()
		first := s.leading(t)
		held, other := (first+1)%3, (first+2)%3
		s.faults[held].set(fault{frozen: true})
		canceled := make(chan error, 1)
		go func() {
			_, err := s.remove(held, jobID)
			canceled <- err
		}()
		time.Sleep(400 * time.Millisecond)
		if absent, err := s.remove(other, jobID); !absent {
			t.Fatalf("canceled at another entry: %v", err)
		}
		if err := s.post(first, jobID, 3*time.Second); err != nil {
			t.Fatal(err)
		}
		s.faults[held].set(fault{})
		if err := <-canceled; verdict.Of(err) != verdict.Unrun {
			t.Errorf("the held cancellation: %v", err)
		}
		time.Sleep(time.Second)
		if state := s.recorded(t, jobID); state != Queued {
			t.Errorf("the job is %q", state)
		}
		if _, err := s.remove(held, jobID); err != nil {
			t.Errorf("canceled once more: %v", err)
		}
	})
}

// An entry accepts jobs without a leader, and the next leader knows them.
func TestJobIsAcceptedWithoutLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t)
		defer s.stop()
		first := s.leading(t)
		s.faults[first].set(fault{refuse: true, unreachable: true})
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		if err := s.post((first+1)%3, jobID, 3*time.Second); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(began); took > 200*time.Millisecond {
			t.Errorf("accepted after %s", took)
		}
		time.Sleep(4 * time.Second)
		known := false
		s.leaders[s.leading(t)].Inspect(func(p *planner.Planner, _ time.Time) { _, known = p.FindJob(jobID) })
		page, err := s.log.Newest(t.Context(), "")
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range page.Records {
			if strings.HasPrefix(r.Key, "q/") {
				t.Errorf("record %s is left", r.Key)
			}
		}
		if !known || s.recorded(t, jobID) != Queued {
			t.Errorf("known %t, recorded as %q", known, s.recorded(t, jobID))
		}
	})
}

// A job that an entry had accepted without the leader was said not to exist by an entry
// that had not read it yet.
func TestJobAcceptedWithoutLeaderIsNotReportedAbsent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t)
		defer s.stop()
		entry := (s.leading(t) + 1) % 3
		s.faults[entry].set(fault{unreachable: true})
		for n := range 30 {
			id := fmt.Sprintf("%016x", n+1)
			if err := s.post(entry, id, 3*time.Second); err != nil {
				t.Fatal(err)
			}
			for i := range s.acceptors {
				if state, err := s.acceptors[i].State(t.Context(), id); i != entry && (err != nil || state != Queued) {
					t.Errorf("entry %d: state %q, error %v", i, state, err)
				}
			}
			time.Sleep(time.Duration(n) * 7 * time.Millisecond)
		}
	})
}

// Reports of absence stayed in the log and in the memory of all entries for good.
func TestReportsOfAbsenceAreRemovedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t)
		defer s.stop()
		for n := range 50 {
			if absent, err := s.remove(n%3, fmt.Sprintf("%016x", n+1)); !absent {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		if got := s.acceptors[0].ReportedAbsent(); got != 50 {
			t.Errorf("%d reports are kept", got)
		}
		time.Sleep(5 * time.Minute)
		page, err := s.log.Newest(t.Context(), "")
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range page.Records {
			if strings.HasPrefix(r.Key, "x/") {
				t.Errorf("record %s is left", r.Key)
			}
		}
		if got := s.acceptors[0].ReportedAbsent(); got != 0 {
			t.Errorf("%d reports are kept after five minutes", got)
		}
	})
}

// clientHistory is what clients did with one job and were told.
type clientHistory struct {
	mu sync.Mutex
	// lastPost is when the last submission began, absentAt when the last answer that the
	// job does not exist came, acceptedAt when the last submission was accepted.
	lastPost, absentAt, acceptedAt time.Time
	// canceled is set once a cancellation was sent, acknowledged once one got a success.
	canceled, acknowledged bool
}

func (h *clientHistory) note(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
}

func TestNothingHeldTakesEffectAfterAbsenceWasReported(t *testing.T) {
	for seed := range *heldSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playHeld(t, rand.New(rand.NewPCG(uint64(seed), 1))) })
		})
	}
}

// playHeld plays clients on three entries under drawn faults, and checks at the end what
// they were told.
func playHeld(t *testing.T, random *rand.Rand) {
	const jobs, faultTime = 60, 20 * time.Second
	s := startSite(t)
	defer s.stop()
	end := time.Now().Add(faultTime)
	var group sync.WaitGroup
	for i := range s.faults {
		// Each goroutine draws from a generator of its own: their order is not fixed.
		r := rand.New(rand.NewPCG(random.Uint64(), 2))
		group.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(time.Duration(r.IntN(3000)) * time.Millisecond)
				s.faults[i].set([]fault{{refuse: true}, {refuseAppends: true}, {late: time.Duration(1+r.IntN(4000)) * time.Millisecond}, {unreachable: true}, {frozen: true}, {late: time.Second, unreachable: true}, {slowProposals: time.Duration(r.IntN(4000)) * time.Millisecond}}[r.IntN(7)])
				time.Sleep(time.Duration(r.IntN(5000)) * time.Millisecond)
				s.faults[i].set(fault{})
			}
		})
	}
	histories := make([]clientHistory, jobs)
	for n := range jobs {
		r := rand.New(rand.NewPCG(random.Uint64(), 3))
		group.Go(func() { playClient(s, r, fmt.Sprintf("%016x", n+1), &histories[n]) })
	}
	group.Wait()
	time.Sleep(15 * time.Second)
	counts := map[string]int{}
	for n := range histories {
		id, h := fmt.Sprintf("%016x", n+1), &histories[n]
		state := s.recorded(t, id)
		switch {
		case h.absentAt.After(h.lastPost) && state != "":
			t.Errorf("%s: reported absent %s after its last submission began, and %s now", id, h.absentAt.Sub(h.lastPost), state)
		case h.acceptedAt.After(h.absentAt) && (state == "" || state == jobreducer.Canceled && !h.canceled):
			t.Errorf("%s: accepted, reported absent %s before, and %q now", id, h.acceptedAt.Sub(h.absentAt), state)
		case h.acknowledged && state != jobreducer.Canceled:
			t.Errorf("%s: its cancellation was acknowledged, and it is %q now", id, state)
		}
		for i := range s.acceptors {
			if got, err := s.acceptors[i].State(t.Context(), id); err == nil != (state != "") {
				t.Errorf("%s: entry %d says %q, error %v; recorded %q", id, i, got, err, state)
			}
		}
		counts[state]++
	}
	t.Logf("%d absent, %d queued, %d canceled", counts[""], counts[Queued], counts[jobreducer.Canceled])
}

// playClient submits a job several times, asks for it and cancels it, at any entry.
func playClient(s *site, r *rand.Rand, id string, h *clientHistory) {
	time.Sleep(time.Duration(r.IntN(17_000)) * time.Millisecond)
	var group sync.WaitGroup
	for range 1 + r.IntN(3) {
		entry, patience := r.IntN(3), time.Duration(500+r.IntN(2500))*time.Millisecond
		h.note(func() { h.lastPost = time.Now() })
		post := func() {
			if s.post(entry, id, patience) == nil {
				h.note(func() { h.acceptedAt = time.Now() })
			}
		}
		// Most clients wait for the answer; the others give up and leave the call behind.
		if r.IntN(3) > 0 {
			post()
		} else {
			group.Go(post)
		}
		time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
		entry = r.IntN(3)
		if r.IntN(2) == 0 {
			if _, err := s.acceptors[entry].State(context.Background(), id); isAbsent(err) {
				h.note(func() { h.absentAt = time.Now() })
			}
			continue
		}
		h.note(func() { h.canceled = true })
		switch absent, err := s.remove(entry, id); {
		case absent:
			h.note(func() { h.absentAt = time.Now() })
		case err == nil:
			h.note(func() { h.acknowledged = true })
		}
	}
	group.Wait()
}
