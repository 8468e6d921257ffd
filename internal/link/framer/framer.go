// Package framer carries frames between an entry and an agent over one
// WebSocket connection.
package framer

import (
	"bytes"
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/gravitational/trace"

	"knapweedspur/internal/wire/codec"
	"knapweedspur/internal/wire/message"
)

const (
	// Path is where an entry takes the connections of agents.
	AgentPath = "/internal/agent"
	// MaxFrame is the largest frame, in bytes.
	MaxFrameBytes = 16 << 20
	// writeTimeout bounds the writing of one frame.
	writeTimeout = 10 * time.Second
)

// traffic is what all connections of the process carried.
var traffic struct{ sent, received, frames atomic.Int64 }

// Traffic returns the bytes sent and received, and the frames of both, since
// the process started.
func Traffic() (sent, received, frames int64) {
	return traffic.sent.Load(), traffic.received.Load(), traffic.frames.Load()
}

// buffers hold frames on their way out.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Conn is one connection. Send may be called from any goroutine, Receive from
// one at a time.
type Conn struct {
	ws *websocket.Conn
	// received and writing are times in nanoseconds: of the last frame that
	// came, and of the start of the frame that is being written, 0 for none.
	received atomic.Int64
	writing  atomic.Int64
	watch    *time.Timer
	closed   atomic.Bool
}

// newConn returns a connection that ends itself after too long a silence. One
// timer for all frames costs less than a timer for each.
func newConn(ws *websocket.Conn, silence time.Duration) *Conn {
	ws.SetReadLimit(MaxFrameBytes)
	c := &Conn{ws: ws}
	c.received.Store(time.Now().UnixNano())
	c.watch = time.AfterFunc(silence/2, func() { c.check(time.Now(), silence) })
	return c
}

// check closes the connection if nothing came for the silence, or if a frame
// has been on its way out for too long.
func (c *Conn) check(now time.Time, silence time.Duration) {
	if c.closed.Load() {
		return
	}
	writing := c.writing.Load()
	stuck := writing != 0 && now.UnixNano()-writing > int64(writeTimeout)
	if stuck || now.UnixNano()-c.received.Load() > int64(silence) {
		c.Close()
		return
	}
	c.watch.Reset(silence / 2)
}

// Dial connects to an entry. The connection ends after the silence without a
// frame.
func Dial(ctx context.Context, client *http.Client, scheme string, address netip.AddrPort, header http.Header, silence time.Duration) (*Conn, error) {
	opts := &websocket.DialOptions{HTTPClient: client, HTTPHeader: header, CompressionMode: websocket.CompressionDisabled}
	ws, resp, err := websocket.Dial(ctx, scheme+"://"+address.String()+AgentPath, opts) //nolint:bodyclose // the library closes it
	if err != nil {
		if resp != nil && resp.StatusCode == http.StatusUnauthorized {
			return nil, trace.AccessDenied("entry %s does not take this agent's token", address)
		}
		return nil, trace.ConnectionProblem(err, "connect to entry %s", address)
	}
	return newConn(ws, silence), nil
}

// Accept takes a connection that an agent opened. It ends after the silence
// without a frame.
func Accept(w http.ResponseWriter, r *http.Request, silence time.Duration) (*Conn, error) {
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return newConn(ws, silence), nil
}

// Send writes one frame. After an error the connection is of no more use, and
// the frame may have arrived.
func (c *Conn) Send(f *message.Frame) error { return c.SendValue(f) }

// SendValue writes a message of any wire type, as Send does.
func (c *Conn) SendValue(f any) error {
	buffer := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(buffer)
	buffer.Reset()
	if err := codec.EncodeTo(buffer, f); err != nil {
		return trace.Wrap(err)
	}
	if buffer.Len() > MaxFrameBytes {
		return trace.LimitExceeded("frame of %d bytes", buffer.Len())
	}
	c.writing.CompareAndSwap(0, time.Now().UnixNano())
	err := c.ws.Write(context.Background(), websocket.MessageBinary, buffer.Bytes())
	c.writing.Store(0)
	if err != nil {
		return trace.ConnectionProblem(err, "send a frame: %v", err)
	}
	traffic.sent.Add(int64(buffer.Len()))
	traffic.frames.Add(1)
	return nil
}

// Receive reads the next frame. Close ends it.
func (c *Conn) Receive() (*message.Frame, error) {
	var f message.Frame
	if err := c.ReceiveValue(&f); err != nil {
		return nil, err
	}
	return &f, nil
}

// ReceiveValue reads the next message into a wire type, as Receive does.
func (c *Conn) ReceiveValue(f any) error {
	_, data, err := c.ws.Read(context.Background())
	if err != nil {
		return trace.ConnectionProblem(err, "receive a frame: %v", err)
	}
	c.received.Store(time.Now().UnixNano())
	traffic.received.Add(int64(len(data)))
	traffic.frames.Add(1)
	return trace.Wrap(codec.Decode(data, f))
}

// Close ends the connection at once.
func (c *Conn) Close() {
	c.closed.Store(true)
	c.watch.Stop()
	_ = c.ws.CloseNow()
}
