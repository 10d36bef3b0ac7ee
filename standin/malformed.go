package standin

import (
	_ "embed" // for malformed.txtar
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/rogpeppe/go-internal/txtar"
)

//go:embed malformed.txtar
var malformed []byte

// malformedBytes replaces the line ends and the escapes in malformed.txtar.
var malformedBytes = strings.NewReplacer("\n", "\r\n", `\t`, "\t", `\r`, "\r", `\x00`, "\x00", `\x7f`, "\x7f", `\xe9`, "\xe9")

// MalformedResponses returns responses to the request with the id that are not valid
// HTTP, by name.
func MalformedResponses(id string) map[string]string {
	responses := make(map[string]string)
	for _, f := range txtar.Parse(malformed).Files {
		text := strings.TrimSuffix(string(f.Data), "\n")
		responses[f.Name] = strings.ReplaceAll(malformedBytes.Replace(text), "{id}", id)
	}
	return responses
}

// RawHandler responds to each request with the given bytes and closes the connection.
func RawHandler(raw string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Closing a connection with unread bytes would reset it.
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			writeRaw(w, raw, justClose)
		}
	})
}

// EarlyHandler responds to each request with the given bytes, before it has read the
// request's body, ends the connection with end and closes it.
func EarlyHandler(raw string, end func(*net.TCPConn)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { writeRaw(w, raw, end) })
}
