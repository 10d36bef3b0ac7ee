package peer

import "net/http"

// Transport sends requests straight through an http.Transport. An http.Client
// would add redirects and cookies, which calls between nodes never use, and
// copy the headers of each request for them.
type Transport struct {
	*http.Transport
}

// Do sends one request.
func (t Transport) Do(r *http.Request) (*http.Response, error) { return t.RoundTrip(r) }
