package requestlimiter

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/link/budgeter"
)

// serve runs a server that answers with the body of a request, and returns its address.
func serve(t *testing.T, settings Settings, vm VM, handler http.HandlerFunc) (*Limiter, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := New(settings, vm, hclog.NewNullLogger())
	server, limited := l.NewServer(listener, Endpoint{Name: "test", BodyFactor: 4, Handler: handler})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(limited) // returns when the test closes the server
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-done
	})
	return l, listener.Addr().String()
}

func echo(w http.ResponseWriter, r *http.Request) {
	data, err := ReadBody(r, 200<<20)
	if err != nil {
		BodyError(err).WriteResponse(w)
		return
	}
	_, _ = w.Write(data) // the client checks what it gets
}

// exchange sends text on a connection and returns the statuses and bodies of the answers.
func exchange(t *testing.T, address, text string, answers int) []string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	var got []string
	reader := bufio.NewReader(conn)
	for range answers {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return append(got, err.Error())
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close() // it was read to its end
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, fmt.Sprint(response.StatusCode, " ", string(body)))
	}
	return got
}

// readResponse reads an answer with its body. It returns the status and Retry-After.
func readResponse(t *testing.T, reader *bufio.Reader) (status int, retryAfter string) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, response.Header.Get("Retry-After")
}

func post(body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func lines(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%x:\n", i)
	}
	return b.String()
}

var largeVM = VM{MemoryMB: 1000, Descriptors: 1000}

// A request of the largest legal size is served in calm: one with as many lines as fit in
// its head, one with a body, one in pieces, and several on one connection.
func TestLegalRequestsAreServed(t *testing.T) {
	_, address := serve(t, Settings{}, VM{MemoryMB: 96, Descriptors: 456}, echo)
	long := strings.Repeat("x", 256<<10)
	head := "GET / HTTP/1.1\r\nHost: h\r\n"
	cases := []struct {
		name, text string
		answers    int
		want       string
	}{
		{"lines", head + lines(3200) + "\r\n", 1, "200 "},
		{"same names", head + strings.Repeat("a:\n", 5400) + "\r\n", 1, "200 "},
		{"body", post(long), 1, "200 " + long},
		{"pieces", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n2\r\nyz\r\n0\r\n\r\n" + post("next"), 2, "200 xyz200 next"},
		{"several at once", post("one") + post("two") + post("three"), 3, "200 one200 two200 three"},
		{"empty lines after a body", post("one") + "\r\n\r\n" + post("two"), 2, "200 one200 two"},
	}
	for _, c := range cases {
		if got := strings.Join(exchange(t, address, c.text, c.answers), ""); got != c.want {
			t.Errorf("%s: %.80q, want %.80q", c.name, got, c.want)
		}
	}
}

// Heads of too many lines are refused, also where they follow another request.
func TestLongHeadsAreRefused(t *testing.T) {
	_, address := serve(t, Settings{HeadLines: 20}, largeVM, echo)
	long := "GET / HTTP/1.1\r\nHost: h\r\n" + lines(40) + "\r\n"
	for name, text := range map[string]string{"first": long, "unfinished": strings.TrimSuffix(long, "\r\n"), "second": post("a") + long, "after a body in pieces": "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n" + long} {
		answers := exchange(t, address, text, 1+strings.Count(text, "POST"))
		if last := answers[len(answers)-1]; !strings.HasPrefix(last, "431") {
			t.Errorf("%s: %.80q", name, answers)
		}
	}
}

// Each limit that is met is counted once, under its name, and ordinary requests meet none.
func TestLimitsAreCounted(t *testing.T) {
	settings := Settings{HeadLines: 50, HeadTimeout: 200 * time.Millisecond, RequestTimeout: 300 * time.Millisecond, IdleTimeout: 200 * time.Millisecond}
	pieces := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"
	cases := []struct {
		name, text string
		want       event
	}{
		{"lines", "GET / HTTP/1.1\r\n" + lines(60), longHead},
		{"bytes", "GET / HTTP/1.1\r\na: " + strings.Repeat("a", 30_000), refusedHead},
		{"no request", "\r\n\r\n", refusedHead},
		{"unfinished head", "GET / HTTP/1.1\r\n", timedOut},
		{"unfinished body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na", timedOut},
		{"silent", "", idle},
		{"requests, then silent", post("a") + pieces + post("b"), idle},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, address := serve(t, settings, largeVM, echo)
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := io.WriteString(conn, c.text); err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, conn) // until the other side closes it
			if diff := cmp.Diff(map[event]int64{c.want: 1}, l.events.counts()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A request that is given up for want of memory gets 503 with Retry-After, and the handler
// learns that it has not arrived whole.
func TestUnfinishedBodyIsRefusedForWantOfMemory(t *testing.T) {
	l, address := serve(t, Settings{}, VM{MemoryMB: 32, Descriptors: 456}, echo)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 100<<20, strings.Repeat("x", 3<<20)); err != nil {
		t.Log(err) // it may be refused before the write ends
	}
	if status, retryAfter := readResponse(t, bufio.NewReader(conn)); status != http.StatusServiceUnavailable || retryAfter == "" {
		t.Errorf("status %d, Retry-After %q", status, retryAfter)
	}
	if count := l.events.counts()[overBudget]; count != 1 {
		t.Errorf("%d refusals are counted", count)
	}
}

// A connection that is closed in a shortage does not disturb the request of another.
func TestSlowBodyMakesRoomForAnother(t *testing.T) {
	const held = 1200 << 10 // of 1.6 MB that bodies may have, by the factor of 4
	part := strings.Repeat("x", held)
	t.Run("whole", func(t *testing.T) {
		checkMakesRoom(t, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", held+1, part))
	})
	t.Run("in pieces", func(t *testing.T) {
		checkMakesRoom(t, fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", held, part))
	})
}

// checkMakesRoom sends a body without its end, and then a request that needs its room.
func checkMakesRoom(t *testing.T, unfinished string) {
	t.Helper()
	_, address := serve(t, Settings{}, VM{MemoryMB: 32, Descriptors: 456}, echo)
	slow, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	if _, err := io.WriteString(slow, "POST / HTTP/1.1\r\nHost: h\r\n"+unfinished); err != nil {
		t.Fatal(err)
	}
	time.Sleep(300 * time.Millisecond)
	body := strings.Repeat("y", 700<<10)
	if got := exchange(t, address, post(body), 1); got[0] != "200 "+body {
		t.Errorf("the other request got %.80q", got)
	}
	if status, _ := readResponse(t, bufio.NewReader(slow)); status != http.StatusServiceUnavailable {
		t.Errorf("the slow request got %d", status)
	}
}

// Lines that came together with earlier requests are counted until they are read.
func TestLinesBehindOtherRequestsCount(t *testing.T) {
	l, address := serve(t, Settings{}, largeVM, echo)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, post("one")+post("two")+"GET / HTTP/1.1\r\n"+lines(700)); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	for range 2 {
		readResponse(t, reader)
	}
	time.Sleep(100 * time.Millisecond)
	if held, _ := l.budget.Usage(); held.Bytes < budgeter.ConnectionBytes+700*lineBytes {
		t.Errorf("%d bytes are counted", held.Bytes)
	}
}

// Guards against a request that runs although it was told to end: its connection could be
// closed before its answer is written.
func TestRequestToldToEndDoesNotRun(t *testing.T) {
	toldToEnd, read := make(chan struct{}), make(chan error, 1)
	l, address := serve(t, Settings{}, largeVM, func(w http.ResponseWriter, r *http.Request) {
		c := connectionOf(r.Context())
		c.server.limiter.budget.End(&c.holder)
		close(toldToEnd)
		_, err := ReadBody(r, 100)
		read <- err
	})
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-toldToEnd
	if _, err := io.WriteString(conn, "0\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if err := <-read; !errors.Is(err, ErrOverBudget) {
		t.Errorf("the whole body was read with error %v", err)
	}
	if held, _ := l.budget.Usage(); held.Bytes != 0 {
		t.Errorf("%d bytes are counted", held.Bytes)
	}
}

// A connection that is idle after a body in pieces counts like any other.
func TestIdleConnectionAfterPiecesHoldsNothingMore(t *testing.T) {
	l, address := serve(t, Settings{}, largeVM, echo)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for _, parts := range [][]string{{"1\r\na\r\n0\r\n\r\n"}, {"1\r\na\r\n", "0\r\n", "\r\n"}} {
		for _, part := range append([]string{"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"}, parts...) {
			if _, err := io.WriteString(conn, part); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Millisecond)
		}
		if status, _ := readResponse(t, reader); status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
		time.Sleep(50 * time.Millisecond)
		if held, _ := l.budget.Usage(); held.Bytes != budgeter.ConnectionBytes {
			t.Errorf("%d bytes are counted", held.Bytes)
		}
	}
}

// All that requests have held is free again when their connections have ended.
func TestNothingStaysReserved(t *testing.T) {
	l, address := serve(t, Settings{HeadLines: 100}, largeVM, echo)
	for _, text := range []string{post("a"), "", "GET", "\r\n\r\n\r\n", "GET / HTTP/1.1\r\n" + lines(200), post("b") + post("c") + "GE", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx"} {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(conn, text); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
		_ = conn.Close()
	}
	for began := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		held, _ := l.budget.Usage()
		if held == (budgeter.Usage{}) {
			return
		}
		if time.Since(began) > 10*time.Second {
			t.Fatalf("%+v is held", held)
		}
	}
}

// Changed limits of the VM are in effect at once.
func TestResizeTakesEffect(t *testing.T) {
	l, _ := serve(t, Settings{}, VM{MemoryMB: 100, Descriptors: 400}, echo)
	l.Resize(VM{MemoryMB: 200, Descriptors: 1000})
	if got, want := l.budget.Limits(), (budgeter.Limits{Bytes: 40_000_000, Connections: 700}); got != want {
		t.Errorf("limits %+v, want %+v", got, want)
	}
}
