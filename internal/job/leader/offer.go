package leader

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/log/journal"
	"knapweedspur/internal/wire/codec"
	"knapweedspur/internal/wire/work"
)

// ProposalPath is the URL path at which the leader accepts proposals of other
// entries: records that it is to write to the log.
const ProposalPath = "/internal/offer"

// maxProposalBytes is the size limit of a proposal.
const maxProposalBytes = 1 << 20

// Errors returned for a proposal.
var (
	// ErrNotLeading means that the entry does not lead and wrote nothing.
	ErrNotLeading = errors.New("this entry is not the leader")
	// ErrLeadershipLost means that the leadership was lost while the records
	// were being written; they may be in the log.
	ErrLeadershipLost = errors.New("the lead was lost while records were written")
)

// NotWritten reports whether the error of a write proves that the records are not
// in the log: the entry did not lead, or could not be connected to.
func NotWritten(err error) bool {
	var network *net.OpError
	return errors.Is(err, ErrNotLeading) || errors.As(err, &network) && network.Op == "dial"
}

// proposal holds records of clients that wait to be written with the next batch
// of the leader.
type proposal struct {
	records []journal.Record
	done    chan error
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
		return ctx.Err()
	}
}

// planProposals passes proposals to the planner and returns their records. The
// caller holds the lock.
func (l *Leader) planProposals(proposals []*proposal, now time.Time) []journal.Record {
	var records []journal.Record
	for _, p := range proposals {
		for _, r := range p.records {
			records = append(records, r)
			l.planClientRecord(r, now)
		}
	}
	return records
}

// planClientRecord passes a client's record to the planner before it is in the
// log. Commands that follow from it are sent only after it and their own records
// are in the log.
func (l *Leader) planClientRecord(r journal.Record, now time.Time) {
	id, job, cancel, err := jobreducer.DecodeClientRecord(r)
	switch {
	case err != nil:
		l.Logger.Error("skipped unreadable record of a proposal", "key", r.Key, "error", err.Error())
	case job != nil:
		l.planner.AddJob(job, now)
	case cancel:
		l.planner.CancelJob(id, now)
	}
}

func completeProposals(proposals []*proposal, err error) {
	for _, p := range proposals {
		p.done <- err
	}
}

// ServeProposal handles a proposal from another entry.
func (l *Leader) ServeProposal(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxProposalBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var v work.WorkRecord
	if err := codec.Decode(data, &v); err != nil || v.Proposal == nil {
		http.Error(w, fmt.Sprintf("no offer: %v", err), http.StatusBadRequest)
		return
	}
	var records []journal.Record
	for _, e := range v.Proposal.Records {
		records = append(records, journal.Record{Key: e.Key, Value: e.Value})
	}
	switch err := l.Propose(r.Context(), records); {
	case err == nil:
		w.WriteHeader(http.StatusOK)
	case errors.Is(err, ErrNotLeading):
		w.WriteHeader(http.StatusMisdirectedRequest)
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
	case http.StatusMisdirectedRequest:
		return ErrNotLeading
	}
	return ErrLeadershipLost
}
