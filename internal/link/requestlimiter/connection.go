package requestlimiter

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"knapweedspur/internal/link/budgeter"
)

const (
	// lineBytes is what a line of a head costs: net/textproto reckons with 200 bytes for
	// an entry of its map.
	lineBytes = 200
	// headFactor is what a byte of a head costs beside its line: the buffer and the strings.
	headFactor = 2
	// readBufferBytes is the read buffer of net/http. What it holds of the next request is
	// not seen here, so it is taken for lines of minLineBytes. A read of all of it, but for
	// readAhead bytes that net/http looks at first, finds it empty.
	readBufferBytes = 4 << 10
	readAhead       = 8
	minLineBytes    = 3
	// lastChunk ends a body in pieces, but for trailers.
	lastChunk = "0\r\n\r\n"
	// refusalTimeout bounds the write of a refusal, which fits in the socket buffer.
	refusalTimeout = 5 * time.Millisecond
	// largeWrite is the size from which the bytes of an answer are counted: net/http writes
	// smaller ones from its own buffer.
	largeWrite = 8 << 10
	// answerDivisor divides the budget into what one answer counts at most: a snapshot may be
	// larger than the budget.
	answerDivisor = 4
)

// errRefused ends the reading of a head whose connection has been answered and closed.
var errRefused = errors.New("the request was refused")

// connection counts what its client makes the process hold.
type connection struct {
	net.Conn
	server *server
	holder budgeter.Holder

	// mu guards the fields below.
	mu sync.Mutex
	// inHead means that what arrives belongs to a head, handling that a handler runs, inBody
	// that it has not seen the end of the body, and upgraded that the connection no longer
	// speaks HTTP.
	inHead, handling, inBody, upgraded bool
	head                               headScanner
	// pastHead counts the bytes that arrived after the head; bodyLength is that of the
	// body, -1 if it is not known.
	pastHead, bodyLength int64
	// unseen bounds what net/http had read of a next request when the last one ended.
	unseen int64
	// tail is the last bytes that were read.
	tail [len(lastChunk)]byte
	// reserved is what the request in progress has reserved.
	reserved int64
	shed     budgeter.Shortage
	removed  bool
	timedOut bool
}

// Read counts what arrives of a head.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		if refused := c.count(p, n, time.Now()); refused != nil {
			return 0, refused
		}
	}
	if err != nil {
		err = c.readError(err)
	}
	return n, err
}

// readError returns the error of a read, and notes time-outs.
func (c *connection) readError(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shed != "" {
		return ErrOverBudget
	}
	// net/http also uses a deadline to end a read after the request, and reads again after an
	// error.
	if errors.Is(err, os.ErrDeadlineExceeded) && (c.inHead || c.inBody) && !c.timedOut {
		c.timedOut = true
		why := timedOut
		if c.inHead && c.head == (headScanner{}) {
			why = idle
		}
		c.server.limiter.events.add(c.server.name, why, c.reserved)
	}
	return err
}

// count counts the n bytes that were read into a buffer.
func (c *connection) count(buffer []byte, n int, now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if kept := len(c.tail) - n; kept > 0 {
		copy(c.tail[:kept], c.tail[n:])
	}
	copy(c.tail[max(len(c.tail)-n, 0):], buffer[max(n-len(c.tail), 0):n])
	if !c.inHead {
		c.pastHead += int64(n)
		return nil
	}
	if len(buffer) > readBufferBytes-readAhead {
		c.unseen = 0
	}
	if c.reserved == 0 {
		c.server.limiter.budget.Enter(&c.holder, budgeter.Receiving, now)
	}
	before := c.head.lines
	size := c.head.scan(buffer[:n])
	c.inHead, c.pastHead = !c.head.done, int64(n-size)
	if c.head.lines > c.server.limiter.settings.HeadLines {
		return c.refuse(http.StatusRequestHeaderFieldsTooLarge, longHead)
	}
	if !c.reserve(int64(headFactor*size+lineBytes*(c.head.lines-before)), now) {
		return c.refuse(http.StatusServiceUnavailable, overBudget)
	}
	return nil
}

// reserve reserves bytes for the request in progress. The caller holds the lock.
func (c *connection) reserve(bytes int64, now time.Time) bool {
	if c.shed != "" || !c.server.limiter.budget.Reserve(&c.holder, bytes, now) {
		return false
	}
	c.reserved += bytes
	return true
}

// refuse answers a head that has not arrived whole and closes the connection. The caller
// holds the lock.
func (c *connection) refuse(status int, why event) error {
	c.server.limiter.events.add(c.server.name, why, c.reserved)
	c.writeRefusal(status)
	c.close()
	return errRefused
}

// writeRefusal writes an answer, as far as it does not block.
func (c *connection) writeRefusal(status int) {
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = "Retry-After: 1\r\n"
	}
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout)) // the write fails likewise
	_, _ = io.WriteString(c.Conn, "HTTP/1.1 "+statusLine(status)+"\r\n"+retry+"Connection: close\r\nContent-Length: 0\r\n\r\n")
}

// begin notes that a request whose head has arrived is handled. It returns
// http.ErrAbortHandler if the connection has been closed meanwhile, and ErrOverBudget if
// there is no room for lines of the head that came with a request before.
func (c *connection) begin(lines int, bodyLength int64, now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shed != "" {
		return http.ErrAbortHandler
	}
	c.inHead, c.handling, c.inBody, c.bodyLength = false, true, bodyLength != 0, bodyLength
	if bodyLength == 0 && !c.server.limiter.budget.Enter(&c.holder, budgeter.Running, now) {
		return http.ErrAbortHandler
	}
	if unseen := int64(lines*lineBytes) - c.reserved; unseen > 0 && !c.reserve(unseen, now) {
		return ErrOverBudget
	}
	return nil
}

// end takes back what the request had reserved, before the next one.
func (c *connection) end(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shed != "" {
		c.close()
		return
	}
	budget := c.server.limiter.budget
	budget.Release(&c.holder, c.reserved)
	budget.Enter(&c.holder, budgeter.Idle, now)
	c.unseen = min(c.unseen+max(c.pastHead-c.bodyLength, 0), readBufferBytes)
	if c.bodyLength < 0 && string(c.tail[:]) == lastChunk {
		c.unseen = 0
	}
	c.inHead, c.handling, c.inBody = true, false, false
	c.head, c.pastHead, c.bodyLength, c.reserved = headScanner{}, 0, 0, 0
	if c.unseen < minLineBytes {
		return
	}
	budget.Enter(&c.holder, budgeter.Receiving, now)
	if !c.reserve(c.unseen/minLineBytes*lineBytes, now) {
		c.close()
	}
}

// upgrade notes that the connection no longer speaks HTTP.
func (c *connection) upgrade(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upgraded, c.inHead, c.inBody = true, false, false
	c.server.limiter.budget.Release(&c.holder, c.reserved)
	c.reserved = 0
	c.server.limiter.budget.Enter(&c.holder, budgeter.Receiving, now)
}

// shedFor ends the connection because of a shortage. A handler that reads a body is told,
// so that it can answer.
func (c *connection) shedFor(shortage budgeter.Shortage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.server.limiter.events.add(c.server.name, shedEvents[shortage], c.reserved)
	c.shed = shortage
	switch {
	case c.inBody && shortage == budgeter.Memory:
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // a closed connection has no reader to wake
		return
	case c.inHead && c.reserved > 0:
		c.writeRefusal(http.StatusServiceUnavailable)
	}
	c.close()
}

// endBody notes that the body has arrived whole. It returns false if the request was told
// to end before; it must not run then, since its connection may be closed at any time.
func (c *connection) endBody(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inBody = false
	return c.shed == "" && c.server.limiter.budget.Enter(&c.holder, budgeter.Running, now)
}

// SetReadDeadline keeps the deadline in the past of a connection that is being closed.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shed != "" {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Write bounds the time of a write. While a large one lasts, its bytes count.
func (c *connection) Write(p []byte) (int, error) {
	c.mu.Lock()
	upgraded, handling := c.upgraded, c.handling
	c.mu.Unlock()
	if upgraded {
		return c.Conn.Write(p) // its owner bounds the time
	}
	now, budget := time.Now(), c.server.limiter.budget
	if err := c.SetWriteDeadline(now.Add(c.server.limiter.settings.AnswerTimeout)); err != nil {
		return 0, err
	}
	if !handling {
		c.server.limiter.events.add(c.server.name, refusedHead, 0)
		return c.Conn.Write(p) // net/http refuses the head
	}
	budget.Enter(&c.holder, budgeter.Answering, now)
	defer func() { budget.Enter(&c.holder, budgeter.Running, time.Now()) }()
	if len(p) >= largeWrite {
		size := min(int64(len(p)), budget.Limits().Bytes/answerDivisor)
		if !budget.Reserve(&c.holder, size, now) {
			c.server.limiter.events.add(c.server.name, overBudget, size)
			return 0, ErrOverBudget
		}
		defer budget.Release(&c.holder, size)
	}
	n, err := c.Conn.Write(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.server.limiter.events.add(c.server.name, unread, int64(len(p)))
	}
	return n, err
}

// CloseWrite ends the sending direction, so that the client can read the last answer.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection and takes back what it held.
func (c *connection) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.close()
}

func (c *connection) close() error {
	if c.removed {
		return net.ErrClosed
	}
	c.removed = true
	c.server.limiter.budget.Remove(&c.holder)
	return c.Conn.Close()
}
