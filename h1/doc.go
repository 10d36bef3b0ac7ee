// Package h1 is an HTTP/1.1 client that sends each request at most once.
//
// The Transport of net/http sends some requests again by itself when a kept
// connection breaks, which neither at-most-once execution nor a retry budget
// can allow. This client never does: every request is written to one
// connection, and an Error says whether any byte of it may have arrived. A
// connection is kept only after a response that ended exactly where its framing
// says. Requests and responses are encoded by net/http.
package h1
