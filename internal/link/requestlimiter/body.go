package requestlimiter

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"knapweedspur/internal/fault/verdict"
	"knapweedspur/internal/link/budgeter"
)

// ErrOverBudget means that a request was given up before it had arrived whole, since
// requests in progress hold as much as they may.
var ErrOverBudget = errors.New("requests in progress hold as much memory as they may")

// overBudgetRetryAfter is when a refused caller should come back: requests that hold room
// for long are closed before.
const overBudgetRetryAfter = time.Second

// connectionKey is the context key of the connection of a request.
type connectionKey struct{}

func connectionOf(ctx context.Context) *connection {
	c, _ := ctx.Value(connectionKey{}).(*connection)
	return c
}

// BodyError returns the error to answer with when the body of a request cannot be read.
// The request has not run.
func BodyError(err error) *verdict.Error {
	if errors.Is(err, ErrOverBudget) {
		return &verdict.Error{Verdict: verdict.Unrun, Cause: verdict.Overload, Reason: err.Error(), RetryAfter: overBudgetRetryAfter}
	}
	return &verdict.Error{Verdict: verdict.Unrun, Cause: verdict.Invalid, Reason: "the body cannot be read: " + err.Error()}
}

const (
	// firstBuffer is the least size of the buffer for a body, and maxFirstBuffer the size up
	// to which the announced length is believed.
	firstBuffer, maxFirstBuffer = 512, 32 << 10
)

// ReadBody reads the body of a request of at most limit bytes. The buffer grows as bytes
// arrive, by doubling, up to the announced length: that takes half of what io.ReadAll does.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	most := limit + 1
	if r.ContentLength >= 0 {
		most = min(most, r.ContentLength)
	}
	if r.ContentLength > limit {
		return nil, trace.BadParameter("it has %d bytes, the limit is %d", r.ContentLength, limit)
	}
	data := make([]byte, 0, min(most, maxFirstBuffer))
	if r.ContentLength < 0 {
		data = make([]byte, 0, firstBuffer)
	}
	for int64(len(data)) < most {
		if len(data) == cap(data) {
			data = append(make([]byte, 0, min(2*int64(cap(data)), most)), data...)
		}
		n, err := r.Body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
	if int64(len(data)) > limit {
		return nil, trace.BadParameter("it has more than %d bytes", limit)
	}
	// The end of a body of known length is noted by a read.
	if _, err := r.Body.Read(make([]byte, 1)); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return data, nil
}

// body counts what is read of the body of a request.
type body struct {
	io.ReadCloser
	connection *connection
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	c, now := b.connection, time.Now()
	if n > 0 && !c.reserveBody(int64(n), now) {
		return 0, ErrOverBudget
	}
	if errors.Is(err, io.EOF) && !c.endBody(now) {
		return 0, ErrOverBudget
	}
	return n, err
}

func (c *connection) reserveBody(bytes int64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reserve(bytes*c.server.endpoint.BodyFactor, now) {
		return true
	}
	if c.shed == "" {
		c.server.limiter.events.add(c.server.name, overBudget, c.reserved)
		c.shed = budgeter.Memory
		c.server.limiter.budget.End(&c.holder)
	}
	return false
}

// limitRequests bounds the lines of heads, and counts what is read of bodies.
func (s *server) limitRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connectionOf(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		lines := headLines(r.Header)
		switch err := c.begin(lines, r.ContentLength, time.Now()); {
		case errors.Is(err, ErrOverBudget):
			s.limiter.events.add(s.name, overBudget, int64(lines*lineBytes))
			BodyError(err).WriteResponse(w)
			return
		case err != nil:
			panic(err) // the connection is closed
		}
		// Lines that came with the request before were not seen on the way.
		if lines > s.limiter.settings.HeadLines {
			s.limiter.events.add(s.name, longHead, int64(lines*lineBytes))
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		if r.Body != http.NoBody {
			r.Body = &body{r.Body, c}
		}
		next.ServeHTTP(w, r)
	})
}

func headLines(h http.Header) int {
	lines := 0
	for _, values := range h {
		lines += len(values)
	}
	return lines
}

// Meter counts what the messages of an upgraded connection hold. The nil Meter counts
// nothing.
type Meter struct{ connection *connection }

// MeterOf returns the meter of the connection of a request, nil if none is counted.
func MeterOf(ctx context.Context) *Meter {
	c := connectionOf(ctx)
	if c == nil {
		return nil
	}
	return &Meter{c}
}

// Reserve counts bytes of a message that is being received.
func (m *Meter) Reserve(bytes int64, now time.Time) error {
	if m == nil {
		return nil
	}
	c := m.connection
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reserve(bytes, now) {
		return nil
	}
	c.server.limiter.events.add(c.server.name, overBudget, c.reserved)
	return ErrOverBudget
}

// Release takes back what a message has held.
func (m *Meter) Release() {
	if m == nil {
		return
	}
	c := m.connection
	c.mu.Lock()
	defer c.mu.Unlock()
	c.server.limiter.budget.Release(&c.holder, c.reserved)
	c.reserved = 0
}

// Identify notes that the peer is known. Its connection is not closed in a shortage.
func (m *Meter) Identify(now time.Time) {
	if m != nil {
		m.connection.server.limiter.budget.Enter(&m.connection.holder, budgeter.Linked, now)
	}
}
