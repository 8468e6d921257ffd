// Package carrier carries frames between an entry and an agent over one
// WebSocket connection.
package carrier

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/coder/websocket"
	"github.com/gravitational/trace"

	"knapweedspur/internal/wire/encoder"
	"knapweedspur/internal/wire/message"
)

const (
	// Path is where an entry takes the connections of agents.
	Path = "/internal/agent"
	// MaxFrame is the largest frame, in bytes.
	MaxFrame = 16 << 20
	// writeTimeout bounds the writing of one frame.
	writeTimeout = 10 * time.Second
)

// Conn is one connection. Send may be called from any goroutine, Receive from
// one at a time.
type Conn struct {
	ws *websocket.Conn
}

// Dial connects to an entry.
func Dial(ctx context.Context, client *http.Client, scheme string, address netip.AddrPort, header http.Header) (*Conn, error) {
	opts := &websocket.DialOptions{HTTPClient: client, HTTPHeader: header, CompressionMode: websocket.CompressionDisabled}
	ws, resp, err := websocket.Dial(ctx, scheme+"://"+address.String()+Path, opts) //nolint:bodyclose // the library closes it
	if err != nil {
		if resp != nil && resp.StatusCode == http.StatusUnauthorized {
			return nil, trace.AccessDenied("entry %s does not take this agent's token", address)
		}
		return nil, trace.ConnectionProblem(err, "connect to entry %s", address)
	}
	ws.SetReadLimit(MaxFrame)
	return &Conn{ws: ws}, nil
}

// Accept takes a connection that an agent opened.
func Accept(w http.ResponseWriter, r *http.Request) (*Conn, error) {
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	ws.SetReadLimit(MaxFrame)
	return &Conn{ws: ws}, nil
}

// Send writes one frame. After an error the connection is of no more use, and
// the frame may have arrived.
func (c *Conn) Send(f *message.Frame) error {
	data, err := encoder.Encode(f)
	if err != nil {
		return trace.Wrap(err)
	}
	if len(data) > MaxFrame {
		return trace.LimitExceeded("frame of %d bytes", len(data))
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	if err := c.ws.Write(ctx, websocket.MessageBinary, data); err != nil {
		return trace.ConnectionProblem(err, "send a frame")
	}
	return nil
}

// Receive reads the next frame.
func (c *Conn) Receive(ctx context.Context) (*message.Frame, error) {
	_, data, err := c.ws.Read(ctx)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "receive a frame")
	}
	var f message.Frame
	if err := encoder.Decode(data, &f); err != nil {
		return nil, trace.Wrap(err)
	}
	return &f, nil
}

// Close ends the connection at once.
func (c *Conn) Close() {
	_ = c.ws.CloseNow()
}
