package h1

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
)

const (
	// lineStart is how much of each line a headScanner keeps, in bytes.
	lineStart = 32
	// maxStatus is the largest status code of HTTP.
	maxStatus = 599
)

// headScanner checks the bytes of a response's head, together with the heads of the
// interim (1xx) responses before it, and counts them for their limits. What net/http makes
// of a head that is not valid can't be told apart from a valid one afterwards.
type headScanner struct {
	// bytesLeft and linesLeft are how many bytes and lines may still be read.
	bytesLeft, linesLeft int
	// start holds the first bytes of the line that is being read, length their number.
	start  [lineStart]byte
	length int
	// nameEnded is set at the first colon of a line, badName if a byte before it may not be
	// in the name of a field.
	nameEnded, badName bool
	// inFields is set after the status line, interim if that is of an interim response,
	// http10 if it is of HTTP/1.0.
	inFields, interim, http10 bool
	// complete is set at the end of the head; what follows is not scanned.
	complete bool
	// err is the first error, nil if there is none. It may be read during a scan.
	err atomic.Pointer[HeadError]
}

func newHeadScanner() *headScanner {
	return &headScanner{bytesLeft: maxHeadBytes, linesLeft: maxHeadLines}
}

// invalid returns a *HeadError if the head is not valid, else nil.
func (s *headScanner) invalid() error {
	if err := s.err.Load(); err != nil {
		return err
	}
	return nil
}

// failure returns why no more of the head may be read: it is not valid or has reached its
// limits. It returns nil if more may be read.
func (s *headScanner) failure() error {
	if err := s.invalid(); err != nil {
		return err
	}
	if s.bytesLeft <= 0 || s.linesLeft <= 0 {
		return errHeadTooLarge
	}
	return nil
}

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
			s.endLine(bytes.TrimSuffix(s.start[:s.length], []byte{'\r'}))
			s.length, s.nameEnded, s.badName = 0, false, false
		default:
			s.addByte(b)
		}
	}
}

// addByte adds a byte to the line that is being read.
func (s *headScanner) addByte(b byte) {
	if s.length < lineStart {
		s.start[s.length] = b
		s.length++
	}
	if !s.nameEnded {
		s.nameEnded = b == ':'
		s.badName = s.badName || !s.nameEnded && !isTokenByte(b)
	}
}

// isTokenByte reports whether the name of a field may contain a byte.
func isTokenByte(b byte) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
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

// startHead checks the status line of a head.
func (s *headScanner) startHead(line []byte) {
	version, status, _ := bytes.Cut(line, []byte{' '})
	status = bytes.TrimLeft(status, " ")
	code, _, _ := bytes.Cut(status, []byte{' '})
	s.inFields = true
	s.http10 = string(version) == "HTTP/1.0"
	s.interim = bytes.HasPrefix(code, []byte{'1'})
	switch {
	case len(code) == 0:
		// net/http may find the status behind more blanks.
		s.fail("status line", line)
	case !bytes.HasPrefix(version, []byte("HTTP/1.")):
		s.fail("version", version)
	case !isStatus(string(code)):
		s.fail("status", status)
	}
}

// isStatus reports whether a status code may be that of a response. 101 is valid only for
// a request to change the protocol, which is never sent.
func isStatus(code string) bool {
	n, err := strconv.Atoi(code)
	return err == nil && len(code) == 3 && n >= http.StatusContinue && n <= maxStatus && n != http.StatusSwitchingProtocols
}

// checkField checks the line of a field.
func (s *headScanner) checkField(line []byte) {
	name, _, _ := bytes.Cut(line, []byte{':'})
	switch {
	case line[0] == ' ' || line[0] == '\t':
		// Such a line once continued the one before it. net/http adds its text to that
		// field.
		s.fail("line", line)
	case s.badName || len(name) == 0:
		// A name with a blank is not that of the field which it resembles: the length in
		// "Content-Length : 5" would not limit the body.
		s.fail("name of a field", name)
	case s.http10 && bytes.EqualFold(name, []byte("Transfer-Encoding")):
		// HTTP/1.0 has no such field. net/http ignores it, so that the body would hold the
		// sizes of the chunks.
		s.fail("field of HTTP/1.0", line)
	}
}

func (s *headScanner) fail(part string, value []byte) {
	s.err.CompareAndSwap(nil, &HeadError{part: part, value: string(value)})
}
