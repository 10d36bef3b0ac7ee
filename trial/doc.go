// Package trial starts a deployment as real processes on loopback, sends it
// load, and works out what became of it: goodput against what the slots can
// carry, recovery time, extra attempts and wasted work.
//
// All processes are children of the caller, are ended by their process id and
// are stopped gracefully. Settings and logs are written to a directory that the
// caller names.
package trial
