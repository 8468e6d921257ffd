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

// fixedWriter returns the same result for every write.
type fixedWriter struct{ err error }

func (w fixedWriter) Write(context.Context, []journal.Record) error { return w.err }

type nopObserver struct{}

func (nopObserver) Applied(journal.Record) {}
func (nopObserver) Leading() int64         { return 0 }
func (nopObserver) Rebuilt()               {}

func startAcceptor(t *testing.T, log *keyedlogemulator.Stream) (*Acceptor, context.CancelFunc) {
	f := &logfollower.Follower{Journal: log, Logger: hclog.NewNullLogger(), Observer: nopObserver{}, Clock: func() time.Duration { return time.Duration(time.Now().UnixNano()) }}
	f.Init()
	ctx, stop := context.WithCancel(t.Context())
	go f.Run(ctx)
	catalog := &queuecataloger.Cataloger{}
	catalog.Update(&queuecataloger.Catalog{Version: 1, Queues: []queuecataloger.Queue{{Host: "h", Prefix: "/q/", Queue: work.Queue{Name: "q"}}}})
	a := &Acceptor{
		Journal: log, Follower: f, Leader: fixedWriter{leader.ErrNotLeading}, Cataloger: catalog,
		ConfigAge: func() time.Duration { return 0 }, Logger: hclog.NewNullLogger(), MaxRecordBytes: 1 << 16,
	}
	time.Sleep(time.Second)
	return a, func() { stop(); <-f.Done }
}

func submit(a *Acceptor, id string) error {
	q := a.Cataloger.Current().Find("h", "/q/x")
	return a.Submit(context.Background(), q, 1, &work.Job{ID: id, Steps: []work.Step{{Tasks: 1}}}, a.Follower.Clock(), time.Now())
}

const jobID = "0000000000000001"

func TestAcceptedJobIsInTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := keyedlogemulator.New()
		a, stop := startAcceptor(t, log)
		if err := submit(a, jobID); err != nil {
			t.Fatal(err)
		}
		page, err := log.Newest(t.Context(), "")
		if err != nil || len(page.Records) != 1 {
			t.Errorf("%d records in the log, error %v", len(page.Records), err)
		}
		time.Sleep(time.Second)
		if state, err := a.State(t.Context(), jobID); state != Queued || err != nil {
			t.Errorf("state %q, error %v", state, err)
		}
		stop()
	})
}

func TestRefusalIsUnrunWithRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := keyedlogemulator.New()
		a, stop := startAcceptor(t, log)
		log.SetFaults(keyedlogemulator.Faults{Down: true})
		start := time.Now()
		err := submit(a, jobID)
		var e *verdict.Error
		if !errors.As(err, &e) || e.Verdict != verdict.Unrun || e.RetryAfter == 0 {
			t.Errorf("error %v", err)
		}
		if took := time.Since(start); took > 500*time.Millisecond {
			t.Errorf("a refusal took %s", took)
		}
		stop()
	})
}

// unansweredLog is a log that answers no append.
type unansweredLog struct{ *keyedlogemulator.Stream }

func (unansweredLog) Append(context.Context, []journal.Record, *journal.Writer) (int64, error) {
	return 0, errors.New("no answer")
}

// verdictOf returns the verdict of an error, 0 for nil.
func verdictOf(err error) verdict.Verdict {
	if err == nil {
		return 0
	}
	return verdict.Of(err)
}

// Guards against a wrong refusal that occurred in a simulated day: a client was
// first answered Unknown and then, for the same job at the same entry, Unrun,
// while the record of the first append was still on its way to the log.
func TestResubmittedJobIsUnknownWhileEarlierAppendIsUnresolved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := keyedlogemulator.New()
		a, stop := startAcceptor(t, log)
		a.Journal = unansweredLog{log}
		if got := verdictOf(submit(a, jobID)); got != verdict.Unknown {
			t.Fatalf("an append without an answer got verdict %v", got)
		}
		a.Journal = log
		log.SetFaults(keyedlogemulator.Faults{Down: true})
		time.Sleep(3 * time.Second)
		if got := verdictOf(submit(a, jobID)); got != verdict.Unknown {
			t.Errorf("the repeated submission got verdict %v", got)
		}
		if got := verdictOf(submit(a, "0000000000000002")); got != verdict.Unrun {
			t.Errorf("another job got verdict %v", got)
		}
		stop()
	})
}

// logWriter writes as a leader does that knows no job.
type logWriter struct{ log *keyedlogemulator.Stream }

func (w logWriter) Write(ctx context.Context, records []journal.Record) error {
	_, err := w.log.Append(ctx, records, nil)
	return err
}

func TestAbsenceRequiresRecentView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := keyedlogemulator.New()
		a, stop := startAcceptor(t, log)
		var e *verdict.Error
		if _, err := a.State(t.Context(), jobID); !errors.As(err, &e) || e.Cause != verdict.LogUnavailable || e.RetryAfter == 0 {
			t.Errorf("an absent job without a leader: %v", err)
		}
		a.Leader = logWriter{log}
		if _, err := a.State(t.Context(), jobID); !errors.As(err, &e) || e.Cause != verdict.NotFound {
			t.Errorf("an absent job: %v", err)
		}
		log.SetFaults(keyedlogemulator.Faults{Down: true})
		time.Sleep(3 * time.Second)
		if _, err := a.State(t.Context(), jobID); !errors.As(err, &e) || e.Cause != verdict.LogUnavailable {
			t.Errorf("with an old view: %v", err)
		}
		if _, err := a.Pending("q"); err == nil {
			t.Error("jobs were counted from an old view")
		}
		stop()
	})
}

// A gang whose records do not fit in one append could be placed in part.
func TestOversizedStepIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := keyedlogemulator.New()
		a, stop := startAcceptor(t, log)
		q := a.Cataloger.Current().Find("h", "/q/x")
		oversized := &work.Job{ID: jobID, Steps: []work.Step{{Tasks: 1}, {Tasks: a.MaxRecordBytes/jobreducer.MaxSoundTaskBytes + 1}}}
		if got := verdictOf(a.Submit(t.Context(), q, 1, oversized, a.Follower.Clock(), time.Now())); got != verdict.Unrun {
			t.Errorf("verdict %v", got)
		}
		stop()
	})
}

func TestRepeatedSubmitWritesNoSecondRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := keyedlogemulator.New()
		a, stop := startAcceptor(t, log)
		for range 2 {
			if err := submit(a, jobID); err != nil {
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
		a, stop := startAcceptor(t, log)
		if err := submit(a, jobID); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if err := a.Cancel(t.Context(), jobID, 0, a.Follower.Clock(), time.Now()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if state, _ := a.State(t.Context(), jobID); state != jobreducer.Canceled {
			t.Errorf("state %q", state)
		}
		stop()
	})
}
