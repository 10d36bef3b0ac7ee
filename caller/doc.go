// Package caller serves callers outside the call graph over HTTP: it is the
// ingress of calls, and issues operation keys.
//
// A caller gets the complete response to its own request, or an error whose
// Dogwood-Outcome header is "notrun" or "unknown". This is the only package that
// creates retry permits.
package caller
