// Package h1 is an HTTP/1.1 client that sends each request at most once.
//
// The Transport of net/http retries some requests by itself when a persistent
// connection breaks, which violates at-most-once execution and bypasses a retry
// budget. This client never does: each request is written to one connection, and
// Error.Sent reports whether any byte of it may have reached the server. A
// connection is reused only after a response that ended exactly where its
// framing ends. Headers are encoded and responses parsed by net/http.
//
// Responses that net/http accepts though their head is not valid HTTP are rejected, as
// HeadError says. Transport does the same for clients that use an http.Transport.
package h1
