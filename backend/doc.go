// Package backend speaks to the backend server beside this node: it passes
// admitted calls on, takes the backend server's outbound calls, and reads its
// health and load.
//
// Contract: a call is "not run" only where no connection to the backend server
// could be opened. An answer is read whole before it is passed on. Health and
// load are hints; they never override what the node counted itself, except that
// a draining backend server gets no new work.
package backend
