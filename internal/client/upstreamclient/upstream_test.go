package upstreamclient

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"knapweedspur/internal/wire/message"
)

// startFlakyUpstream starts an upstream that answers the first request of each
// connection, and closes the connection after reading the second one.
func startFlakyUpstream(t *testing.T, received *atomic.Int64) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for i := range 2 {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					received.Add(1)
					// What is left of a chunked body would be read as the next request.
					if _, err := io.Copy(io.Discard, request.Body); err != nil {
						return
					}
					if i == 0 {
						fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					}
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func TestRunsOnceWhenReusedConnectionBreaks(t *testing.T) {
	var received atomic.Int64
	u := &HTTP{Address: startFlakyUpstream(t, &received), Client: NewClient(&http.Transport{})}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	// With this header the HTTP transport treats even a POST as idempotent and
	// would resend it.
	request := &message.Request{Method: "POST", Path: "/score", NonIdempotent: true, Header: []message.Header{{Name: "Idempotency-Key", Value: "k"}}}
	first, err := u.Do(ctx, request)
	if err != nil {
		t.Fatal(err)
	}
	_ = first.Body.Close()
	second, err := u.Do(ctx, request)
	if err == nil {
		_ = second.Body.Close()
	}
	if n := received.Load(); n != 2 {
		t.Errorf("two requests that may each run once were received %d times; the second returned %v", n, err)
	}
}

func TestRefusedConnectionReturnsErrNotSent(t *testing.T) {
	u := &HTTP{Address: netip.MustParseAddrPort("127.0.0.1:1"), Client: NewClient(&http.Transport{})}
	resp, err := u.Do(context.Background(), &message.Request{Method: "POST", Path: "/"})
	if err == nil {
		_ = resp.Body.Close()
	}
	if !errors.Is(err, ErrNotSent) {
		t.Errorf("got %v", err)
	}
}
