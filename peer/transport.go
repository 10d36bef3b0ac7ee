package peer

import "net/http"

// Transport sends requests directly through an http.Transport. An http.Client
// would copy the headers of each request to support redirects and cookies, which
// calls between nodes never use.
type Transport struct {
	*http.Transport
}

// Do sends one request.
func (t Transport) Do(r *http.Request) (*http.Response, error) { return t.RoundTrip(r) }
