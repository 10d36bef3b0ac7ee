// Package source is the read-only client of the platform's configuration
// service: it reads and watches documents.
//
// The client sends one request per call and never retries: package relay decides
// when to read, because all reads of the fleet share one rate limit.
package source
