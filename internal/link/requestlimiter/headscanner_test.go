package requestlimiter

import (
	"bufio"
	"bytes"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// The scanner finds the end of a head where bufio finds an empty line, in whatever parts
// the head arrives.
func TestHeadEndsAtFirstEmptyLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.SampledFrom([]string{"a", ":", " ", "\r", "\n", "\r\n", "\n\n", "\r\n\r\n", "GET / HTTP/1.1"}), 1, 40).Draw(t, "parts")
		text := strings.Join(parts, "")
		wantSize, wantLines, wantDone := expectedHead(text)

		var s headScanner
		size := 0
		for rest := []byte(text); len(rest) > 0 && !s.done; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "size")
			size += s.scan(rest[:n])
			rest = rest[n:]
		}
		if size != wantSize || s.lines != wantLines || s.done != wantDone {
			t.Fatalf("%q: %d bytes, %d lines, done %t; want %d, %d, %t", text, size, s.lines, s.done, wantSize, wantLines, wantDone)
		}
	})
}

// expectedHead reads lines as net/textproto does, after empty lines before the first.
func expectedHead(text string) (size, lines int, done bool) {
	reader := bufio.NewReader(strings.NewReader(text))
	begun := false
	for {
		line, err := reader.ReadBytes('\n')
		size += len(line)
		if err != nil {
			return size, lines, false
		}
		lines++
		content := bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
		if len(content) == 0 && begun {
			return size, lines, true
		}
		begun = begun || len(content) > 0
	}
}
