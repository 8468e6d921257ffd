package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// crowdSize is the number of clients that misbehave at the same time.
	crowdSize = 400
	// attackTime is how long they do so before the ordinary request is sent. They go on
	// until it is answered.
	attackTime = 1500 * time.Millisecond
	// reconnectPause is between two connections of one of these clients.
	reconnectPause = 100 * time.Millisecond
	// legalHead is the largest head, and legalBody the largest body, of a request that
	// the platform allows.
	legalHead, legalBody = 16 << 10, 256 << 10
	// largeHead is far above any limit of a head.
	largeHead = 2 << 20
	// chunkBytes is the size of a piece of a body sent piece by piece, and writeBytes
	// that of other writes.
	chunkBytes, writeBytes = 4 << 10, 16 << 10
)

// listener is an address of a program, and a request that it answers in calm.
type listener struct {
	name    string
	program program
	address netip.AddrPort
	// The ordinary request and the status of its answer.
	method, host, path, body string
	status                   int
	// uploadPath is where bodies are sent, and bodyBytes is how large they may be.
	uploadPath string
	bodyBytes  int
	// socketPath accepts WebSocket connections, empty where none does.
	socketPath string
}

const (
	job       = `{"spec":"s","steps":[{"count":1,"cpu":100,"memMb":100,"estDurationMs":100}]}`
	heartbeat = `{"service":"pool","zone":"a","state":"ready","capacity":{"cpu":2000,"memMb":1000,"gpu":0},"labels":["k"],"seq":1,"born":1}`
	queueHost = "queue.example"
	jobPath   = "/q/00000000000000ab"
	beatPath  = "/-/instances/vm/heartbeat"
	linkPath  = "/internal/agent"
	offerPath = "/internal/offer"
	metrics   = "/debug/vars"
)

var listeners = []listener{
	{"clients", siteEntry, clientAddress, http.MethodPost, queueHost, jobPath, job, 200, "/q/00000000000000cd", legalBody, ""},
	{"readiness", siteEntry, readinessAddress, http.MethodGet, "h", "/-/ready", "", 200, "/-/ready", legalBody, ""},
	{"peers", siteEntry, peerAddress, http.MethodGet, "h", "/v1/status", "", 200, offerPath, 1 << 20, linkPath},
	{"metrics", siteEntry, metricsAddress, http.MethodGet, "h", metrics, "", 200, metrics, legalBody, ""},
	{"control", siteAgent, controlAddress, http.MethodPost, "h", beatPath, heartbeat, 200, beatPath, 4 << 20, ""},
	{"metrics", siteAgent, metricsAddress, http.MethodGet, "h", metrics, "", 200, metrics, legalBody, ""},
	{"callers", ownEntry, clientAddress, http.MethodGet, "h", "/-/runs/none", "", 404, "/thumbnails/score", 8 << 20, ""},
	{"control", ownEntry, controlAddress, http.MethodGet, "h", "/v1/status", "", 200, "/v1/changes", 4 << 20, linkPath},
	{"metrics", ownAgent, metricsAddress, http.MethodGet, "h", "/-/health", "", 200, "/-/health", legalBody, ""},
}

// declarations make the own entry read bodies that are sent to the service.
const declarations = `{"id":"1","who":"test","edits":[
{"base":0,"name":"judging","body":"kind: team\nname: judging\nquota:\n  processors: 120\n  memory: 400GiB\n"},
{"base":0,"name":"thumbnails","body":"kind: service\nname: thumbnails\nteam: judging\nneeds:\n  processors: 4\n  memory: 8GiB\n  slots: 8\n  connections: 64\nreplicas: 2\ndeadline: 800ms\nroutes:\n  - path: /score\n    methods: [POST]\n    idempotent: false\n"}]}`

// input is a kind of request, as one client sends it on one connection. The client keeps
// the connection open after it, until the other side closes it.
type input struct {
	name string
	// applies reports whether the listener takes this input; nil for all.
	applies func(l *listener) bool
	send    func(w io.Writer, l *listener) error
}

var inputs = []input{
	{"short-lines", nil, func(w io.Writer, l *listener) error { return sendLines(w, l, legalHead-256, shortLine, "\r\n") }},
	{"short-lines-unfinished", nil, func(w io.Writer, l *listener) error { return sendLines(w, l, legalHead-256, shortLine, "") }},
	{"same-name-lines", nil, func(w io.Writer, l *listener) error {
		return sendLines(w, l, legalHead-256, func(int) string { return "a:\n" }, "")
	}},
	{"odd-lines", nil, func(w io.Writer, l *listener) error { return sendLines(w, l, legalHead-256, oddLine, "") }},
	{"head-over-limit", nil, func(w io.Writer, l *listener) error { return sendLines(w, l, largeHead, shortLine, "\r\n") }},
	{"head-over-limit-one-line", nil, func(w io.Writer, l *listener) error {
		return sendLines(w, l, largeHead, func(n int) string {
			if n == 0 {
				return "a: "
			}
			return "aaaa"
		}, "\r\n")
	}},
	{"head-without-end", nil, func(w io.Writer, l *listener) error { return sendLines(w, l, 16*largeHead, shortLine, "") }},
	{"empty-lines", nil, func(w io.Writer, _ *listener) error { return repeat(w, "\r\n") }},
	{"request-line-without-end", nil, func(w io.Writer, _ *listener) error { return repeat(w, "GET /aaaaaaaaaaaa") }},
	{"bodies-whole", nil, func(w io.Writer, l *listener) error { return sendBody(w, l, l.bodyBytes) }},
	{"bodies-short-of-end", nil, func(w io.Writer, l *listener) error { return sendBody(w, l, l.bodyBytes-1) }},
	{"bodies-in-pieces", nil, func(w io.Writer, l *listener) error { return sendChunks(w, l, false) }},
	{"bodies-in-pieces-unfinished", nil, func(w io.Writer, l *listener) error { return sendChunks(w, l, true) }},
	{"bodies-of-tiny-values", nil, sendTinyValues},
	{"chunk-extension-without-end", nil, func(w io.Writer, l *listener) error { return sendChunkTail(w, l, "1;", "a=b;") }},
	{"trailers-without-end", nil, func(w io.Writer, l *listener) error { return sendChunkTail(w, l, "1\r\nx\r\n0\r\n", "a:\n") }},
	{"answers-unread", nil, func(w io.Writer, l *listener) error {
		return repeat(w, fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", l.method, l.path, l.host, len(l.body), l.body))
	}},
	{"silent", nil, func(io.Writer, *listener) error { return nil }},
	{"frames-unfinished", func(l *listener) bool { return l.socketPath != "" }, sendFrame},
	{"frames-of-tiny-values", func(l *listener) bool { return l.socketPath != "" }, sendTinyFrames},
	{"records-of-tiny-values", func(l *listener) bool { return l.uploadPath == offerPath }, func(w io.Writer, l *listener) error {
		return sendRecord(w, l, concat(nested("offer", "records"), nested("job", "steps"), nested("task", "runs")))
	}},
}

// shortLine returns a header line with a name of its own, as short as can be.
func shortLine(n int) string { return fmt.Sprintf("%x:\n", n) }

// oddLine returns continuation lines, lines with empty values and repeated names.
func oddLine(n int) string {
	return [...]string{"b: c\r\n", " d\r\n", "\te\r\n", "f:\r\n", "g:::\r\n", "h:\t\t\t \r\n"}[n%6]
}

// repeat sends text again and again, as many bytes as largeHead has.
func repeat(w io.Writer, text string) error {
	block := []byte(strings.Repeat(text, max(writeBytes/len(text), 1)))
	for sent := 0; sent < largeHead; sent += len(block) {
		if _, err := w.Write(block); err != nil {
			return err
		}
	}
	return nil
}

// sendLines sends a head with the given number of bytes of lines, and its end.
func sendLines(w io.Writer, l *listener, size int, line func(n int) string, end string) error {
	var block bytes.Buffer
	fmt.Fprintf(&block, "GET %s HTTP/1.1\r\nHost: %s\r\n", l.path, l.host)
	for n, sent := 0, 0; sent < size; n++ {
		text := line(n)
		sent += len(text)
		block.WriteString(text)
		if block.Len() < writeBytes {
			continue
		}
		if _, err := w.Write(block.Bytes()); err != nil {
			return err
		}
		block.Reset()
	}
	block.WriteString(end)
	_, err := w.Write(block.Bytes())
	return err
}

// sendBody announces a body of the full size and sends a part of it.
func sendBody(w io.Writer, l *listener, size int) error {
	if _, err := fmt.Fprintf(w, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", l.uploadPath, l.host, l.bodyBytes); err != nil {
		return err
	}
	return writeAll(w, bytes.Repeat([]byte(" "), size))
}

func writeAll(w io.Writer, data []byte) error {
	for len(data) > 0 {
		n := min(len(data), writeBytes)
		if _, err := w.Write(data[:n]); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// sendChunks sends a body piece by piece.
func sendChunks(w io.Writer, l *listener, unfinished bool) error {
	if _, err := fmt.Fprintf(w, "POST %s HTTP/1.1\r\nHost: %s\r\nTransfer-Encoding: chunked\r\n\r\n", l.uploadPath, l.host); err != nil {
		return err
	}
	piece := fmt.Appendf(nil, "%x\r\n%s\r\n", chunkBytes, strings.Repeat(" ", chunkBytes))
	for sent := 0; sent+chunkBytes <= l.bodyBytes; sent += chunkBytes {
		if _, err := w.Write(piece); err != nil {
			return err
		}
	}
	if unfinished {
		return nil
	}
	_, err := io.WriteString(w, "0\r\n\r\n")
	return err
}

// sendChunkTail sends a body piece by piece that goes on with text without end.
func sendChunkTail(w io.Writer, l *listener, start, text string) error {
	if _, err := fmt.Fprintf(w, "POST %s HTTP/1.1\r\nHost: %s\r\nTransfer-Encoding: chunked\r\n\r\n%s", l.uploadPath, l.host, start); err != nil {
		return err
	}
	return repeat(w, text)
}

// sendTinyValues sends a body of the full size whose values take little room in it.
func sendTinyValues(w io.Writer, l *listener) error {
	text, value, end := `{"spec":"s","steps":[`, `{},`, `{}]}`
	switch l.uploadPath {
	case beatPath:
		text, value, end = `{"service":"pool","labels":[`, `"",`, `""]}`
	case "/v1/changes":
		text, value, end = `{"id":"1","who":"x","edits":[`, `{},`, `{}]}`
	}
	count := (l.bodyBytes - len(text) - len(end)) / len(value)
	body := []byte(text + strings.Repeat(value, count) + end)
	if _, err := fmt.Fprintf(w, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", l.uploadPath, l.host, len(body)); err != nil {
		return err
	}
	return writeAll(w, body)
}

// nested returns a member of a CBOR map: a map with a list of as many empty maps as
// decoders take.
func nested(outer, inner string) []byte {
	const elements = 1 << 17
	data := append(cborText(outer), 0xa1)
	data = append(data, cborText(inner)...)
	data = append(data, 0x9a, byte(elements>>24), byte(elements>>16&0xff), byte(elements>>8&0xff), byte(elements&0xff))
	return append(data, bytes.Repeat([]byte{0xa0}, elements)...)
}

func cborText(text string) []byte { return append([]byte{0x60 + byte(len(text))}, text...) }

// concat returns a CBOR map of the given members.
func concat(members ...[]byte) []byte {
	return append([]byte{0xa0 + byte(len(members))}, bytes.Join(members, nil)...)
}

func sendRecord(w io.Writer, l *listener, body []byte) error {
	if _, err := fmt.Fprintf(w, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", l.uploadPath, l.host, len(body)); err != nil {
		return err
	}
	return writeAll(w, body)
}

// sendTinyFrames upgrades the connection and sends WebSocket frames whose values take
// little room in them.
func sendTinyFrames(w io.Writer, l *listener) error {
	if err := upgrade(w, l); err != nil {
		return err
	}
	list := concat(nested("orders", "starts"), nested("report", "closes"), nested("rejoin", "held"))
	frame := append([]byte{0x82, 0xff, 0, 0, 0, 0, byte(len(list) >> 24), byte(len(list) >> 16 & 0xff), byte(len(list) >> 8 & 0xff), byte(len(list) & 0xff), 0, 0, 0, 0}, list...)
	for range 4 {
		if err := writeAll(w, frame); err != nil {
			return err
		}
	}
	return nil
}

// upgrade asks for a WebSocket connection.
func upgrade(w io.Writer, l *listener) error {
	_, err := fmt.Fprintf(w, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n", l.socketPath, l.host)
	return err
}

// sendFrame upgrades the connection and sends a WebSocket frame without its end.
func sendFrame(w io.Writer, l *listener) error {
	if err := upgrade(w, l); err != nil {
		return err
	}
	const size = 4 << 20
	// A masked binary message of size bytes, with a mask of zeros.
	head := []byte{0x82, 0xff, 0, 0, 0, 0, byte(size >> 24), byte(size >> 16 & 0xff), 0, 0, 0, 0, 0, 0}
	if _, err := w.Write(head); err != nil {
		return err
	}
	return writeAll(w, make([]byte, size-1))
}

// crowd is the clients that misbehave.
type crowd struct {
	group sync.WaitGroup
	stop  chan struct{}
	// mu guards conns.
	mu    sync.Mutex
	conns map[net.Conn]bool
}

func startCrowd(t *testing.T, in *input, l *listener) *crowd {
	c := &crowd{stop: make(chan struct{}), conns: map[net.Conn]bool{}}
	for range crowdSize {
		c.group.Go(func() { c.misbehave(in, l) })
	}
	t.Cleanup(c.end)
	return c
}

// misbehave sends the input on one connection after the other.
func (c *crowd) misbehave(in *input, l *listener) {
	for {
		if conn, err := net.DialTimeout("tcp", l.address.String(), time.Second); err == nil && c.add(conn) {
			if in.send(conn, l) == nil {
				c.wait(in, conn)
			}
			c.remove(conn)
		}
		select {
		case <-c.stop:
			return
		case <-time.After(reconnectPause):
		}
	}
}

// wait returns when the other side has closed the connection.
func (c *crowd) wait(in *input, conn net.Conn) {
	if in.name == "answers-unread" {
		<-c.stop
		return
	}
	_, _ = io.Copy(io.Discard, conn) // any end will do
}

func (c *crowd) add(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.stop:
		_ = conn.Close()
		return false
	default:
	}
	c.conns[conn] = true
	return true
}

func (c *crowd) remove(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
	_ = conn.Close()
}

func (c *crowd) end() {
	c.mu.Lock()
	close(c.stop)
	for conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.group.Wait()
}

// request sends a request on a connection of its own.
func request(address netip.AddrPort, method, host, path, body string) (int, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	r, err := http.NewRequest(method, "http://"+address.String()+path, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Host = host
	response, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// awaitAnswer repeats the ordinary request, as its clients do, until it is answered.
func awaitAnswer(t *testing.T, s *process, l *listener) {
	t.Helper()
	var last string
	for began := time.Now(); time.Since(began) < answerLimit && s.alive(); time.Sleep(retryPause) {
		status, err := request(l.address, l.method, l.host, l.path, l.body)
		if err == nil && status == l.status {
			return
		}
		last = fmt.Sprintf("status %d, error %v", status, err)
	}
	t.Errorf("the ordinary request at %s is not answered: %s", l.name, last)
}

// declare publishes the declarations of the own entry.
func declare(t *testing.T) {
	t.Helper()
	for began := time.Now(); ; time.Sleep(retryPause) {
		status, err := request(controlAddress, http.MethodPost, "h", "/v1/changes", declarations)
		if err == nil && status == http.StatusOK {
			return
		}
		if time.Since(began) > answerLimit {
			t.Fatalf("declarations not published: status %d, error %v", status, err)
		}
	}
}

// Guards against clients that end a process, or shut others out, by what they make it hold:
// heads of many lines or without end, bodies and answers that are never completed.
func TestProcessOutlastsCrowd(t *testing.T) {
	for _, l := range listeners {
		for _, in := range inputs {
			if in.applies != nil && !in.applies(&l) {
				continue
			}
			t.Run(l.program.name+"/"+l.name+"/"+in.name, func(t *testing.T) {
				s := start(t, l.program)
				awaitAnswer(t, s, &l)
				if l.program.name == ownEntry.name {
					declare(t)
				}
				startCrowd(t, &in, &l)
				time.Sleep(attackTime)
				for _, other := range listeners {
					if other.program.name == l.program.name {
						awaitAnswer(t, s, &other)
					}
				}
				s.check()
			})
		}
	}
}
