package requestlimiter

import "bytes"

// headScanner counts the lines of a head that arrives in parts.
type headScanner struct {
	lines int
	// pending is the number of bytes of the line that has not ended, and pendingCR whether
	// the first of them is a carriage return.
	pending   int
	pendingCR bool
	// begun is set by the first line that is not empty: net/http skips a few before it.
	begun bool
	done  bool
}

// scan takes bytes that have arrived and returns how many of them belong to the head.
func (s *headScanner) scan(data []byte) int {
	read := 0
	for !s.done && read < len(data) {
		rest := data[read:]
		if s.pending == 0 {
			s.pendingCR = rest[0] == '\r'
		}
		end := bytes.IndexByte(rest, '\n')
		if end < 0 {
			s.pending += len(rest)
			return len(data)
		}
		s.endLine(s.pending + end)
		read += end + 1
	}
	return read
}

// endLine takes the end of a line of the given length, without its newline.
func (s *headScanner) endLine(length int) {
	s.lines++
	empty := length == 0 || length == 1 && s.pendingCR
	s.done = empty && s.begun
	s.begun = s.begun || !empty
	s.pending = 0
}
