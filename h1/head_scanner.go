package h1

import "bytes"

// lineStart is how much of each line a headScanner keeps, in bytes.
const lineStart = 32

// headScanner limits the head of a response, together with those of the interim (1xx)
// responses before it, and checks it for what can't be seen after net/http has parsed it.
type headScanner struct {
	// bytesLeft and linesLeft are how many bytes and lines may still be read.
	bytesLeft, linesLeft int
	// start holds the first bytes of the line that is being read, length the length of
	// the whole line.
	start  [lineStart]byte
	length int
	// inFields is set after the status line, interim if that is of an interim response,
	// http10 if it is of HTTP/1.0.
	inFields, interim, http10 bool
	// complete is set at the end of the head; what follows is not scanned.
	complete bool
	// err is the first *HeadError, nil if there is none.
	err error
}

func newHeadScanner() *headScanner {
	return &headScanner{bytesLeft: maxHeadBytes, linesLeft: maxHeadLines}
}

// tooLarge reports whether the head has reached its limits.
func (s *headScanner) tooLarge() bool { return s.bytesLeft <= 0 || s.linesLeft <= 0 }

// add counts and scans the next bytes that were read.
func (s *headScanner) add(p []byte) {
	s.bytesLeft -= len(p)
	s.linesLeft -= bytes.Count(p, []byte{'\n'})
	s.scan(p)
}

// scan scans bytes that do not count for the limits.
func (s *headScanner) scan(p []byte) {
	for _, b := range p {
		switch {
		case s.complete:
			return
		case b == '\n':
			s.endLine(bytes.TrimSuffix(s.start[:min(s.length, lineStart)], []byte{'\r'}))
			s.length = 0
		default:
			if s.length < lineStart {
				s.start[s.length] = b
			}
			s.length++
		}
	}
}

// endLine checks a line, of which it gets the start.
func (s *headScanner) endLine(line []byte) {
	switch {
	case !s.inFields:
		s.startHead(line)
	case len(line) == 0:
		s.inFields, s.complete = false, !s.interim
	default:
		s.checkField(line)
	}
}

// startHead reads the status line of a head.
func (s *headScanner) startHead(line []byte) {
	fields := bytes.Fields(line)
	s.inFields = true
	if len(fields) < 2 {
		// net/http may find the status behind more blanks.
		s.fail("status line", line)
		return
	}
	s.interim = fields[1][0] == '1'
	s.http10 = bytes.HasPrefix(line, []byte("HTTP/1.0 "))
}

// checkField checks the line of a field.
func (s *headScanner) checkField(line []byte) {
	name, _, _ := bytes.Cut(line, []byte{':'})
	switch {
	case line[0] == ' ' || line[0] == '\t':
		// Such a line once continued the one before it. net/http adds its text to that
		// field.
		s.fail("line", line)
	case s.http10 && bytes.EqualFold(name, []byte("Transfer-Encoding")):
		// HTTP/1.0 has no such field. net/http ignores it, so that the body would hold the
		// sizes of the chunks.
		s.fail("field of HTTP/1.0", line)
	}
}

func (s *headScanner) fail(part string, value []byte) {
	if s.err == nil {
		s.err = &HeadError{part: part, value: string(value)}
	}
}
