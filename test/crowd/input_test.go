package crowd

import (
	"bytes"
	"fmt"
	"io"
	"strings"
)

const (
	// legalHead is the largest head, and legalBody the largest body, of a request that
	// the platform allows.
	legalHead, legalBody = 16 << 10, 256 << 10
	// largeHead is far above any limit of a head.
	largeHead = 2 << 20
	// chunkBytes is the size of a piece of a body sent piece by piece, and writeBytes
	// that of other writes.
	chunkBytes, writeBytes = 4 << 10, 16 << 10
)

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
