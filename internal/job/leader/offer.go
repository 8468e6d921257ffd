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

// OfferPath is where an entry takes records for the log while it leads.
const OfferPath = "/internal/offer"

// maxOffer bounds an offer, in bytes.
const maxOffer = 1 << 20

// Errors of an offer.
var (
	// ErrNotLeading means that the entry does not lead and wrote nothing.
	ErrNotLeading = errors.New("this entry does not lead")
	// ErrLeadLost means that the lead was lost while the records were under
	// way; they may be in the log.
	ErrLeadershipLost = errors.New("the lead was lost while records were written")
)

// Unwritten says of a failed write that the records are surely not in the log.
func NotWritten(err error) bool {
	var network *net.OpError
	return errors.Is(err, ErrNotLeading) || errors.As(err, &network) && network.Op == "dial"
}

// offer is what waits to be written with the leader's own records.
type offer struct {
	records []journal.Record
	done    chan error
}

// Offer writes records of clients together with the leader's own: one append
// for all that came while the one before was under way.
func (l *Leader) Offer(ctx context.Context, records []journal.Record) error {
	o := &offer{records: records, done: make(chan error, 1)}
	l.mu.Lock()
	if l.book == nil || l.resigned {
		l.mu.Unlock()
		return ErrNotLeading
	}
	l.offers = append(l.offers, o)
	l.mu.Unlock()
	l.wake()
	select {
	case err := <-o.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// takeOffers enters what was offered into the book. The caller holds the lock.
func (l *Leader) takeOffers(now time.Time) ([]journal.Record, []*offer) {
	offers := l.offers
	l.offers = nil
	var records []journal.Record
	for _, o := range offers {
		for _, r := range o.records {
			records = append(records, r)
			l.enter(r, now)
		}
	}
	return records, offers
}

// enter gives a client's record to the book before it is in the log. Orders
// that follow from it leave after both.
func (l *Leader) enter(r journal.Record, now time.Time) {
	id, job, cancel, err := jobreducer.DecodeClientRecord(r)
	switch {
	case err != nil:
		l.Logger.Error("offered record passed over", "key", r.Key, "error", err.Error())
	case job != nil:
		l.book.AddJob(job, now)
	case cancel:
		l.book.CancelJob(id, now)
	}
}

func settle(offers []*offer, err error) {
	for _, o := range offers {
		o.done <- err
	}
}

// ServeOffer takes an offer of another entry.
func (l *Leader) ServeOffer(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxOffer))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var v work.WorkRecord
	if err := codec.Decode(data, &v); err != nil || v.Offer == nil {
		http.Error(w, fmt.Sprintf("no offer: %v", err), http.StatusBadRequest)
		return
	}
	var records []journal.Record
	for _, e := range v.Offer.Records {
		records = append(records, journal.Record{Key: e.Key, Value: e.Value})
	}
	switch err := l.Offer(r.Context(), records); {
	case err == nil:
		w.WriteHeader(http.StatusOK)
	case errors.Is(err, ErrNotLeading):
		w.WriteHeader(http.StatusMisdirectedRequest)
	default:
		http.Error(w, err.Error(), http.StatusGatewayTimeout)
	}
}

// Write brings records into the log through the leader, wherever it is. It
// returns ErrNotLeading if nothing was written.
func (l *Leader) Write(ctx context.Context, records []journal.Record) error {
	if l.Leading() != 0 {
		return l.Offer(ctx, records)
	}
	var term *work.Term
	l.Follower.View(func(state *jobreducer.State, _ time.Duration) { term = state.Term })
	if term == nil || term.Leader == "" || term.Life == l.Life {
		return ErrNotLeading
	}
	list := &work.Offer{}
	for _, r := range records {
		list.Records = append(list.Records, work.Entry{Key: r.Key, Value: r.Value})
	}
	data, err := codec.Encode(&work.WorkRecord{Offer: list})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+term.Address.String()+OfferPath, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := l.Client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxLife)) // read to keep the connection
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusMisdirectedRequest:
		return ErrNotLeading
	}
	return ErrLeadershipLost
}
