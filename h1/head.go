package h1

import (
	"fmt"
	"net/http"
	"strings"
)

// maxStatus is the largest status code of HTTP.
const maxStatus = 599

// HeadError reports a response whose head is not valid HTTP though net/http parses it.
// What follows such a head can't be told apart from other responses.
type HeadError struct {
	part, value string
}

// Part returns the part of the head that is not valid.
func (e *HeadError) Part() string { return e.part }

func (e *HeadError) Error() string {
	return fmt.Sprintf("malformed %s %q in a response", e.part, e.value)
}

// checkHead checks what net/http accepts in the head of a response. The error is a
// *HeadError.
func checkHead(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return &HeadError{part: "version", value: resp.Proto}
	}
	// 101 is valid only for a request to change the protocol, which is never sent.
	if resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus || resp.StatusCode == http.StatusSwitchingProtocols {
		return &HeadError{part: "status", value: resp.Status}
	}
	// A name with a blank is not that of the field which it resembles: the length in
	// "Content-Length : 5" would not limit the body.
	for name := range resp.Header {
		if !isToken(name) {
			return &HeadError{part: "name of a field", value: name}
		}
	}
	return nil
}

// isToken reports whether s may be the name of a field.
func isToken(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool { return !isTokenRune(r) })
}

func isTokenRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	}
	return strings.ContainsRune("!#$%&'*+-.^_`|~", r)
}
