package h1

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against missing a line that begins with a blank because its bytes arrive apart,
// and against taking a line of the body for one of the head.
func TestHeadScannerPieces(t *testing.T) {
	for head, want := range map[string]string{
		"HTTP/1.1" + strings.Repeat(" ", 40) + "100 Continue\r\n\r\n":                     `malformed status line "HTTP/1.1                        " in a response`,
		"HTTP/1.1 200 OK\r\nX-Any: one\r\n two\r\n\r\n":                                   `malformed line " two" in a response`,
		"HTTP/1.1 200 OK\nX-Any: one\n\ttwo\n\n":                                          `malformed line "\ttwo" in a response`,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Any: one\r\n \r\n\r\n":         `malformed line " " in a response`,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Any: one\r\n\r\n body\r\n":     "",
		"HTTP/1.1 200 OK\r\nX-" + strings.Repeat("long-", 20) + ": one\r\n\r\n\tbody\r\n": "",
	} {
		for size := 1; size <= len(head); size++ {
			s := newHeadScanner()
			for rest := head; rest != ""; rest = rest[min(size, len(rest)):] {
				s.add([]byte(rest[:min(size, len(rest))]))
			}
			require.True(t, s.complete)
			if want == "" {
				require.NoError(t, s.invalid(), head)
				continue
			}
			require.EqualError(t, s.invalid(), want)
		}
	}
}
