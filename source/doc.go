// Package source is the client of the platform's configuration service,
// which can only be read and watched.
//
// The client makes one request per call and never retries: the callers in
// package relay decide when to read, because all reads of the fleet share one
// budget at the service.
package source
