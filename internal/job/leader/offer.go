package leader

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/link/requestlimiter"
	"knapweedspur/internal/log/journal"
	"knapweedspur/internal/wire/codec"
	"knapweedspur/internal/wire/work"
)

// ProposalPath is the URL path at which the leader accepts proposals of other
// entries: records that it is to write to the log.
const ProposalPath = "/internal/offer"

const (
	// maxProposalBytes is the size limit of a proposal.
	maxProposalBytes = 1 << 20
	// offsetHeader and elapsedHeader carry the fields of a ContradictedError, the time in
	// milliseconds.
	offsetHeader  = "Knapweedspur-Offset"
	elapsedHeader = "Knapweedspur-Elapsed-Ms"
)

// Errors returned for a proposal.
var (
	// ErrNotLeading means that the entry does not lead and wrote nothing.
	ErrNotLeading = errors.New("this entry is not the leader")
	// ErrLeadershipLost means that the leadership was lost while the records
	// were being written; they may be in the log.
	ErrLeadershipLost = errors.New("the lead was lost while records were written")
	// ErrWithdrawn means that the caller gave up before the records were taken for an
	// append. They are never written.
	ErrWithdrawn = errors.New("the proposal was withdrawn before it was written")
	// ErrTooManyAbsences means that the log holds as many reports of absent jobs as it may.
	ErrTooManyAbsences = errors.New("too many jobs were reported absent recently")
)

// ContradictedError means that the leader wrote nothing, since its state rules the record
// out: the job was reported absent after it was submitted, or the absent job exists.
type ContradictedError struct {
	// Offset is that of the last report of the absence, and Elapsed a lower bound of the
	// time since it was in the log; 0 if that is not known.
	Offset  int64
	Elapsed time.Duration
}

// Error says that the proposal was rejected.
func (e *ContradictedError) Error() string {
	return fmt.Sprintf("the log rules the record out since %s or longer", e.Elapsed)
}

// NotWritten reports whether the error of a write proves that the records are not
// in the log and never will be: the entry did not lead or rejected them, or could not be
// connected to.
func NotWritten(err error) bool {
	var network *net.OpError
	var contradicted *ContradictedError
	return errors.Is(err, ErrNotLeading) || errors.Is(err, ErrWithdrawn) || errors.Is(err, ErrTooManyAbsences) ||
		errors.As(err, &contradicted) || errors.As(err, &network) && network.Op == "dial"
}

// proposal holds records of clients that wait to be written with the next batch
// of the leader.
type proposal struct {
	records []journal.Record
	done    chan error
}

// complete tells the caller the result, unless it has one already.
func (p *proposal) complete(err error) {
	select {
	case p.done <- err:
	default:
	}
}

// Propose writes records of clients together with the leader's own. All records
// that arrive while an append is in progress are written with the next one.
func (l *Leader) Propose(ctx context.Context, records []journal.Record) error {
	p := &proposal{records: records, done: make(chan error, 1)}
	l.mu.Lock()
	if l.planner == nil || l.resigned {
		l.mu.Unlock()
		return ErrNotLeading
	}
	l.proposals = append(l.proposals, p)
	l.mu.Unlock()
	l.wake()
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return l.withdraw(ctx, p)
	}
}

// withdraw removes a proposal whose caller has given up, unless it was taken already.
func (l *Leader) withdraw(ctx context.Context, p *proposal) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.proposals, p); i >= 0 {
		l.proposals = slices.Delete(l.proposals, i, i+1)
		return ErrWithdrawn
	}
	select {
	case err := <-p.done:
		return err
	default:
		return ctx.Err()
	}
}

// planProposals passes proposals to the planner. It returns those that are written with
// this batch, and their records. The caller holds the lock.
func (l *Leader) planProposals(proposals []*proposal, now time.Time) ([]*proposal, []journal.Record) {
	var accepted []*proposal
	var records []journal.Record
	for _, p := range proposals {
		written, err := l.planClientRecords(p.records, now)
		if err != nil {
			p.complete(err)
			continue
		}
		accepted = append(accepted, p)
		records = append(records, written...)
	}
	return accepted, records
}

// planClientRecords passes clients' records to the planner before they are in the log,
// and returns those to write. Commands that follow are sent only after they and their own
// records are in the log. An error means that no record is written.
func (l *Leader) planClientRecords(records []journal.Record, now time.Time) ([]journal.Record, error) {
	var decoded []jobreducer.ClientRecord
	var accepted []journal.Record
	for _, r := range records {
		c, err := jobreducer.DecodeClientRecord(r)
		if err != nil {
			l.Logger.Error("skipped unreadable record of a proposal", "key", r.Key, "error", err.Error())
			continue
		}
		if err := l.contradiction(c, now); err != nil {
			l.Logger.Warn("proposal rejected", "job", c.JobID, "key", r.Key, "error", err.Error())
			return nil, err
		}
		if known, _ := l.planner.FindJob(c.JobID); known && c.Job != nil {
			continue // the log has it, or this batch
		}
		decoded, accepted = append(decoded, c), append(accepted, r)
	}
	for _, c := range decoded {
		switch {
		case c.Job != nil:
			l.planner.AddJob(c.Job, now)
		case c.Cancel != nil:
			l.planner.CancelJob(c.JobID, now)
		case c.Absence != nil:
			l.absences.report(c.JobID)
		}
	}
	return accepted, nil
}

// contradiction returns why a client's record must not be written, or nil. The caller
// holds the lock.
func (l *Leader) contradiction(c jobreducer.ClientRecord, now time.Time) error {
	known, _ := l.planner.FindJob(c.JobID)
	switch {
	case c.Job != nil && !known:
		var inView bool
		l.Follower.View(func(state *jobreducer.State, _ time.Duration) {
			inView = state.ReportedAbsentSince(c.JobID, c.Job.Since)
		})
		if report, ruledOut := l.absences.since(c.JobID, c.Job.Since); ruledOut || inView {
			contradicted := &ContradictedError{}
			if ruledOut && report.offset != pendingOffset {
				contradicted.Offset, contradicted.Elapsed = report.offset, now.Sub(report.at)
			}
			return contradicted
		}
	case c.Absence != nil && known:
		return &ContradictedError{}
	case c.Absence != nil:
		var count int
		l.Follower.View(func(state *jobreducer.State, _ time.Duration) { count = len(state.Absences) })
		if count >= maxAbsences {
			return ErrTooManyAbsences
		}
	}
	return nil
}

func completeProposals(proposals []*proposal, err error) {
	for _, p := range proposals {
		p.complete(err)
	}
}

// ServeProposal handles a proposal from another entry.
func (l *Leader) ServeProposal(w http.ResponseWriter, r *http.Request) {
	data, err := requestlimiter.ReadBody(r, maxProposalBytes)
	if err != nil {
		requestlimiter.BodyError(err).WriteResponse(w)
		return
	}
	// Only the proposal of a record is decoded: its other lists could be large.
	var v struct {
		Proposal *work.Proposal `cbor:"offer"`
	}
	if err := codec.DecodeShort(data, &v); err != nil || v.Proposal == nil {
		http.Error(w, fmt.Sprintf("no offer: %v", err), http.StatusBadRequest)
		return
	}
	var records []journal.Record
	for _, e := range v.Proposal.Records {
		records = append(records, journal.Record{Key: e.Key, Value: e.Value})
	}
	var contradicted *ContradictedError
	switch err := l.Propose(r.Context(), records); {
	case err == nil:
		w.WriteHeader(http.StatusOK)
	case errors.Is(err, ErrNotLeading):
		w.WriteHeader(http.StatusMisdirectedRequest)
	case errors.Is(err, ErrTooManyAbsences):
		w.WriteHeader(http.StatusTooManyRequests)
	case errors.As(err, &contradicted):
		w.Header().Set(offsetHeader, strconv.FormatInt(contradicted.Offset, 10))
		w.Header().Set(elapsedHeader, strconv.FormatInt(contradicted.Elapsed.Milliseconds(), 10))
		w.WriteHeader(http.StatusConflict)
	default:
		http.Error(w, err.Error(), http.StatusGatewayTimeout)
	}
}

// Write writes records to the log through the leader, whether that is this entry
// or another. It returns ErrNotLeading if nothing was written.
func (l *Leader) Write(ctx context.Context, records []journal.Record) error {
	if l.Leading() != 0 {
		return l.Propose(ctx, records)
	}
	var term *work.Term
	l.Follower.View(func(state *jobreducer.State, _ time.Duration) { term = state.Term })
	if term == nil || term.Leader == "" || term.Incarnation == l.Incarnation {
		return ErrNotLeading
	}
	body := &work.Proposal{}
	for _, r := range records {
		body.Records = append(body.Records, work.KeyedRecord{Key: r.Key, Value: r.Value})
	}
	data, err := codec.Encode(&work.WorkRecord{Proposal: body})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+term.Address.String()+ProposalPath, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := l.Client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxIncarnationBytes)) // read to the end so that the connection is reused
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusMisdirectedRequest, http.StatusServiceUnavailable:
		return ErrNotLeading // or it has not read the proposal
	case http.StatusTooManyRequests:
		return ErrTooManyAbsences
	case http.StatusConflict:
		return contradictedFrom(resp.Header)
	}
	return ErrLeadershipLost
}

// contradictedFrom reads the error from the header of a response. Without its fields
// nothing is known.
func contradictedFrom(h http.Header) *ContradictedError {
	offset, err := strconv.ParseInt(h.Get(offsetHeader), 10, 64)
	if err != nil {
		return &ContradictedError{}
	}
	ms, err := strconv.ParseInt(h.Get(elapsedHeader), 10, 64)
	if err != nil {
		return &ContradictedError{}
	}
	return &ContradictedError{Offset: offset, Elapsed: time.Duration(ms) * time.Millisecond}
}
