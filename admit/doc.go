// Package admit implements admission control for the local backend server: a
// concurrency limit, a short priority queue, a bulkhead per dependency and an
// admission level.
//
// Gate.Enter admits a call before it is sent to the backend server, and
// Ticket.Release frees its slot afterwards. A call that Enter refuses did not
// run. The gate's mutex guards all state. The gate starts no goroutines and does
// no I/O; Gate.Tick must be called periodically.
package admit
