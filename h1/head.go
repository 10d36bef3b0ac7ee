package h1

import "fmt"

// HeadError reports a response whose head is not valid HTTP. net/http parses some such
// heads, and where the body ends is uncertain then, so the connection is not used again.
type HeadError struct {
	part, value string
}

// Part returns the part of the head that is not valid.
func (e *HeadError) Part() string { return e.part }

func (e *HeadError) Error() string {
	return fmt.Sprintf("malformed %s %q in a response", e.part, e.value)
}
