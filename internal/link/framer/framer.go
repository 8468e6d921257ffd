// Package framer sends and receives message frames over a WebSocket connection
// between an entry and an agent.
package framer

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/gravitational/trace"

	"knapweedspur/internal/link/requestlimiter"
	"knapweedspur/internal/wire/codec"
	"knapweedspur/internal/wire/message"
)

const (
	// AgentPath is the path on which an entry accepts agent connections.
	AgentPath = "/internal/agent"
	// MaxFrameBytes is the size limit of one frame.
	MaxFrameBytes = 16 << 20
	// frameFactor is what a byte of a frame costs while it is received: the buffer, which
	// grows by copying, and the decoded message.
	frameFactor = 4
	// maxUnidentifiedBytes is the size limit of a frame of a peer that is not known yet.
	maxUnidentifiedBytes = 64 << 10
	// writeTimeout bounds the write of one frame.
	writeTimeout = 10 * time.Second
)

// traffic counts the frames and bytes of all connections of the process.
var traffic struct{ sent, received, frames atomic.Int64 }

// Traffic returns the bytes sent and received, and the number of frames in both
// directions, since the process started.
func Traffic() (sent, received, frames int64) {
	return traffic.sent.Load(), traffic.received.Load(), traffic.frames.Load()
}

// sendBuffers holds buffers for encoding outgoing frames.
var sendBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Conn is one connection. Send may be called from any goroutine, Receive from
// only one at a time.
type Conn struct {
	ws *websocket.Conn
	// lastReceived is when the last frame arrived, and writeStarted when the
	// write in progress began (0 for none), both in Unix nanoseconds.
	lastReceived atomic.Int64
	writeStarted atomic.Int64
	watchdog     *time.Timer
	closed       atomic.Bool
	// meter counts what a message holds while it is received; nil for a connection that
	// this process has opened.
	meter *requestlimiter.Meter
	// decode decodes a frame; an accepted connection takes only short lists until its peer
	// is identified.
	decode func(data []byte, value any) error
}

// newConn returns a connection that closes itself when it has received nothing
// for the idle timeout. One timer per connection costs less than a timer for
// every frame.
func newConn(ws *websocket.Conn, idleTimeout time.Duration) *Conn {
	ws.SetReadLimit(MaxFrameBytes)
	c := &Conn{ws: ws, decode: codec.Decode}
	c.lastReceived.Store(time.Now().UnixNano())
	c.watchdog = time.AfterFunc(idleTimeout/2, func() { c.checkTimeouts(time.Now(), idleTimeout) })
	return c
}

// checkTimeouts closes the connection if nothing was received within the idle
// timeout, or if a write has exceeded its timeout.
func (c *Conn) checkTimeouts(now time.Time, idleTimeout time.Duration) {
	if c.closed.Load() {
		return
	}
	writeStarted := c.writeStarted.Load()
	writeTimedOut := writeStarted != 0 && now.UnixNano()-writeStarted > int64(writeTimeout)
	if writeTimedOut || now.UnixNano()-c.lastReceived.Load() > int64(idleTimeout) {
		c.Close()
		return
	}
	c.watchdog.Reset(idleTimeout / 2)
}

// Dial connects to an entry. The connection closes when no frame arrives within
// the idle timeout.
func Dial(ctx context.Context, client *http.Client, scheme string, address netip.AddrPort, header http.Header, idleTimeout time.Duration) (*Conn, error) {
	opts := &websocket.DialOptions{HTTPClient: client, HTTPHeader: header, CompressionMode: websocket.CompressionDisabled}
	ws, resp, err := websocket.Dial(ctx, scheme+"://"+address.String()+AgentPath, opts) //nolint:bodyclose // the library closes it
	if err != nil {
		if resp != nil && resp.StatusCode == http.StatusUnauthorized {
			return nil, trace.AccessDenied("entry %s rejected this agent's token", address)
		}
		return nil, trace.ConnectionProblem(err, "connect to entry %s", address)
	}
	return newConn(ws, idleTimeout), nil
}

// Accept upgrades a request from an agent to a connection. The connection
// closes when no frame arrives within the idle timeout.
func Accept(w http.ResponseWriter, r *http.Request, idleTimeout time.Duration) (*Conn, error) {
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c := newConn(ws, idleTimeout)
	c.meter = requestlimiter.MeterOf(r.Context())
	c.decode = codec.DecodeShort
	ws.SetReadLimit(maxUnidentifiedBytes)
	return c, nil
}

// Identify notes that the peer is known: its connection is kept when connections run short,
// and its frames may have the full size. It is called by the goroutine that receives.
func (c *Conn) Identify(now time.Time) {
	c.decode = codec.Decode
	c.ws.SetReadLimit(MaxFrameBytes)
	c.meter.Identify(now)
}

// Send writes one frame. After an error the connection is unusable, and the
// frame may or may not have been delivered.
func (c *Conn) Send(f *message.Frame) error { return c.SendValue(f) }

// SendValue is like Send for a message of any wire type.
func (c *Conn) SendValue(value any) error {
	buffer := sendBuffers.Get().(*bytes.Buffer)
	defer sendBuffers.Put(buffer)
	buffer.Reset()
	if err := codec.EncodeTo(buffer, value); err != nil {
		return trace.Wrap(err)
	}
	if buffer.Len() > MaxFrameBytes {
		return trace.LimitExceeded("frame of %d bytes exceeds the size limit", buffer.Len())
	}
	c.writeStarted.CompareAndSwap(0, time.Now().UnixNano())
	err := c.ws.Write(context.Background(), websocket.MessageBinary, buffer.Bytes())
	c.writeStarted.Store(0)
	if err != nil {
		return trace.ConnectionProblem(err, "send a frame: %v", err)
	}
	traffic.sent.Add(int64(buffer.Len()))
	traffic.frames.Add(1)
	return nil
}

// Receive reads the next frame. Close unblocks it with an error.
func (c *Conn) Receive() (*message.Frame, error) {
	var f message.Frame
	if err := c.ReceiveValue(&f); err != nil {
		return nil, err
	}
	return &f, nil
}

// ReceiveValue is like Receive for a message of any wire type.
func (c *Conn) ReceiveValue(value any) error {
	_, reader, err := c.ws.Reader(context.Background())
	if err != nil {
		return trace.ConnectionProblem(err, "receive a frame: %v", err)
	}
	defer c.meter.Release()
	data, err := io.ReadAll(&meteredReader{reader, c.meter})
	if err != nil {
		return trace.ConnectionProblem(err, "receive a frame: %v", err)
	}
	c.lastReceived.Store(time.Now().UnixNano())
	traffic.received.Add(int64(len(data)))
	traffic.frames.Add(1)
	return trace.Wrap(c.decode(data, value))
}

// meteredReader counts what a message that is being received holds.
type meteredReader struct {
	io.Reader
	meter *requestlimiter.Meter
}

func (r *meteredReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		if refused := r.meter.Reserve(int64(n)*frameFactor, time.Now()); refused != nil {
			return 0, refused
		}
	}
	return n, err
}

// Close closes the connection immediately, without a closing handshake.
func (c *Conn) Close() {
	c.closed.Store(true)
	c.watchdog.Stop()
	_ = c.ws.CloseNow()
}
