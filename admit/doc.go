// Package admit controls what reaches the backend server beside this node:
// a concurrency limit, a short priority queue, a bulkhead per dependency and
// an admission level.
//
// Every call passes Gate.Enter before it is handed to the backend server and
// Ticket.Leave after it. A call that Enter refuses did not run. All state is
// guarded by one mutex of the gate; the gate starts no goroutine and does no
// I/O. It is driven by calls and by Gate.Tick.
package admit
