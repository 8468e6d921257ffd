package jobacceptor

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/fault/verdict"
	"knapweedspur/internal/frontend/queuecataloger"
	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/job/leader"
	"knapweedspur/internal/job/logfollower"
	"knapweedspur/internal/log/journal"
	"knapweedspur/internal/standin/keyedlogemulator"
	"knapweedspur/internal/wire/work"
)

// nobody leads.
type nobody struct{ err error }

func (n nobody) Write(context.Context, []journal.Record) error { return n.err }

type deaf struct{}

func (deaf) Applied(journal.Record) {}
func (deaf) Leading() int64        { return 0 }
func (deaf) Rebuilt()            {}

func begin(t *testing.T, log *keyedlogemulator.Stream) (*Acceptor, context.CancelFunc) {
	f := &logfollower.Follower{Journal: log, Logger: hclog.NewNullLogger(), Observer: deaf{}, Clock: func() time.Duration { return time.Duration(time.Now().UnixNano()) }}
	f.Init()
	ctx, stop := context.WithCancel(t.Context())
	go f.Run(ctx)
	catalog := &queuecataloger.Cataloger{}
	catalog.Update(&queuecataloger.Catalog{Version: 1, Queues: []queuecataloger.Queue{{Host: "h", Prefix: "/q/", Queue: work.Queue{Name: "q"}}}})
	a := &Acceptor{
		Journal: log, Follower: f, Leader: nobody{leader.ErrNotLeading}, Cataloger: catalog,
		ConfigAge: func() time.Duration { return 0 }, Logger: hclog.NewNullLogger(), MaxRecordBytes: 1 << 16,
	}
	time.Sleep(time.Second)
	return a, func() { stop(); <-f.Done }
}

func submit(a *Acceptor, id string) error {
	q := a.Cataloger.Current().Find("h", "/q/x")
	return a.Submit(context.Background(), q, 1, &work.Job{ID: id, Steps: []work.Step{{Tasks: 1}}}, time.Now())
}

const id = "0000000000000001"

func TestAcceptedJobIsInTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := keyedlogemulator.New()
		a, stop := begin(t, log)
		if err := submit(a, id); err != nil {
			t.Fatal(err)
		}
		page, err := log.Newest(t.Context(), "")
		if err != nil || len(page.Records) != 1 {
			t.Errorf("%d records in the log, error %v", len(page.Records), err)
		}
		time.Sleep(time.Second)
		if state, err := a.State(t.Context(), id); state != Queued || err != nil {
			t.Errorf("state %q, error %v", state, err)
		}
		stop()
	})
}

func TestRefusalIsUnrunWithRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := keyedlogemulator.New()
		a, stop := begin(t, log)
		log.SetFaults(keyedlogemulator.Faults{Down: true})
		began := time.Now()
		err := submit(a, id)
		var e *verdict.Error
		if !errors.As(err, &e) || e.Verdict != verdict.Unrun || e.RetryAfter == 0 {
			t.Errorf("error %v", err)
		}
		if took := time.Since(began); took > 500*time.Millisecond {
			t.Errorf("a refusal took %s", took)
		}
		stop()
	})
}

// silent is a log that gives no answer to appends.
type silent struct{ *keyedlogemulator.Stream }

func (silent) Append(context.Context, []journal.Record, *journal.Writer) (int64, error) {
	return 0, errors.New("no answer")
}

// told is the verdict of a failure, 0 for none.
func told(err error) verdict.Verdict {
	if err == nil {
		return 0
	}
	return verdict.Of(err)
}

// On a played day a client was first told that nobody knows, and then, at the
// same entry, that its job would never run, while the record was on its way.
func TestResubmittedJobIsUnknownWhileEarlierAppendIsUnresolved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := keyedlogemulator.New()
		a, stop := begin(t, log)
		a.Journal = silent{log}
		if got := told(submit(a, id)); got != verdict.Unknown {
			t.Fatalf("an append without an answer: %v", got)
		}
		a.Journal = log
		log.SetFaults(keyedlogemulator.Faults{Down: true})
		time.Sleep(3 * time.Second)
		if got := told(submit(a, id)); got != verdict.Unknown {
			t.Errorf("the repeat was told %v", got)
		}
		if got := told(submit(a, "0000000000000002")); got != verdict.Unrun {
			t.Errorf("another job was told %v", got)
		}
		stop()
	})
}

func TestAbsenceRequiresRecentView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := keyedlogemulator.New()
		a, stop := begin(t, log)
		var e *verdict.Error
		if _, err := a.State(t.Context(), id); !errors.As(err, &e) || e.Cause != verdict.NotFound {
			t.Errorf("an absent job: %v", err)
		}
		log.SetFaults(keyedlogemulator.Faults{Down: true})
		time.Sleep(3 * time.Second)
		if _, err := a.State(t.Context(), id); !errors.As(err, &e) || e.Cause != verdict.LogUnavailable {
			t.Errorf("with an old view: %v", err)
		}
		if _, err := a.Pending("q"); err == nil {
			t.Error("jobs were counted from an old view")
		}
		stop()
	})
}

// A step whose state fits no record would keep the leader from writing anything.
func TestOversizedStepIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := keyedlogemulator.New()
		a, stop := begin(t, log)
		q := a.Cataloger.Current().Find("h", "/q/x")
		wide := &work.Job{ID: id, Steps: []work.Step{{Tasks: 1}, {Tasks: a.MaxRecordBytes/jobreducer.MaxTaskBytes + 1}}}
		if got := told(a.Submit(t.Context(), q, 1, wide, time.Now())); got != verdict.Unrun {
			t.Errorf("told %v", got)
		}
		stop()
	})
}

func TestRepeatedSubmitWritesNoSecondRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := keyedlogemulator.New()
		a, stop := begin(t, log)
		for range 2 {
			if err := submit(a, id); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
		}
		page, err := log.Read(t.Context(), 0, 0)
		if diff := cmp.Diff(1, len(page.Records)); diff != "" || err != nil {
			t.Errorf("error %v, records (-want +got):\n%s", err, diff)
		}
		stop()
	})
}

func TestCancelIsRecordedBeforeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := keyedlogemulator.New()
		a, stop := begin(t, log)
		if err := submit(a, id); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if err := a.Cancel(t.Context(), id, time.Now()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if state, _ := a.State(t.Context(), id); state != jobreducer.Canceled {
			t.Errorf("state %q", state)
		}
		stop()
	})
}
