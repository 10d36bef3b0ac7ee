// Package caller speaks to callers outside the call graph over HTTP: it is the
// entry of calls, and issues operation keys.
//
// Contract: a caller gets the whole answer to its own request, or an error
// whose Dogwood-Outcome header says "notrun" or "unknown". Retry permits are
// created here and nowhere else.
package caller
