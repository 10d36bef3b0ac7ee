package peer

import "net/http"

// MaxResponseHead bounds the status line and header of a response, in bytes. The
// default of net/http, 10 MB, would let a few faulty servers fill the memory.
const MaxResponseHead = 64 << 10

// Transport sends requests directly through an http.Transport. An http.Client
// would copy the headers of each request to support redirects and cookies, which
// calls between nodes never use.
type Transport struct {
	*http.Transport
}

// Do sends one request.
func (t Transport) Do(r *http.Request) (*http.Response, error) { return t.RoundTrip(r) }
