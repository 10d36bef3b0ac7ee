package h1

import "net/http"

// Transport is an http.Transport that rejects responses whose head is not valid, as
// Client does. Each may be the Transport of an http.Client. That copies the headers of
// each request to support redirects and cookies, which calls between nodes never use;
// Do sends them directly.
type Transport struct {
	*http.Transport
}

// NewTransport returns a Transport that also limits the head of a response as Client
// does. The default of net/http, 10 MB, would let a few faulty servers fill the memory.
func NewTransport(t *http.Transport) Transport {
	t.MaxResponseHeaderBytes = maxHeadBytes
	return Transport{Transport: t}
}

// RoundTrip sends one request. The error is a *HeadError if the response is not valid.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := checkHead(resp); err != nil {
		_ = resp.Body.Close() // the response is not used
		return nil, err
	}
	return resp, nil
}

// Do sends one request, as RoundTrip does.
func (t Transport) Do(r *http.Request) (*http.Response, error) { return t.RoundTrip(r) }
