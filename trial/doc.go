// Package trial starts a deployment as real processes on loopback, sends it
// load, and computes the outcome: goodput relative to the capacity of the
// slots, recovery time, extra attempts and wasted work.
//
// All processes are children of the caller, are ended by their process ID and
// are stopped gracefully. Settings and logs are written to a directory that the
// caller names.
package trial
