package requestlimiter

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"
)

// liveMemory returns the bytes of heap and stacks in use after a collection.
func liveMemory() int64 {
	runtime.GC()
	runtime.GC() // the first one only empties pools halfway
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// heldBy opens connections that send text each, and returns what one of them holds and
// what is counted for it, in bytes.
func heldBy(t *testing.T, text string) (held, counted int64) {
	t.Helper()
	const connections = 100
	settings := Settings{HeadTimeout: time.Minute, RequestTimeout: time.Minute}
	l, address := serve(t, settings, VM{MemoryMB: 1_000_000, Descriptors: 10_000}, echo)
	before := liveMemory()
	conns := make([]net.Conn, 0, connections)
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	for range connections {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
		if _, err := io.WriteString(conn, text); err != nil {
			t.Fatal(err)
		}
	}
	var last int64 = -1
	for used, _ := l.budget.Usage(); used.Bytes != last || used.Connections < connections; used, _ = l.budget.Usage() {
		last = used.Bytes
		time.Sleep(100 * time.Millisecond)
	}
	return (liveMemory() - before) / connections, last / connections
}

// Inputs that take most memory for a byte, each without its end.
var heldInputs = []struct{ name, text string }{
	{"nothing", ""},
	{"shortest lines", "GET / HTTP/1.1\r\nHost: h\r\n" + lines(3200)},
	{"lines of one name", "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\n", 5300)},
	{"one long line", "GET / HTTP/1.1\r\nHost: h\r\na: " + strings.Repeat("a", 16000)},
	{"body", fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 256<<10, strings.Repeat("x", 256<<10-1))},
	{"body just above a power of 2", fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 1<<20, strings.Repeat("x", 256<<10+1))},
	{"body in pieces", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("400\r\n"+strings.Repeat("x", 1024)+"\r\n", 256)},
}

// What is counted for a connection is not less than what it holds.
func TestCountedCoversHeld(t *testing.T) {
	for _, in := range heldInputs {
		t.Run(in.name, func(t *testing.T) {
			held, counted := heldBy(t, in.text)
			t.Logf("%d bytes sent, %d held, %d counted", len(in.text), held, counted)
			if counted < held {
				t.Errorf("%d bytes are counted, %d held", counted, held)
			}
		})
	}
}
