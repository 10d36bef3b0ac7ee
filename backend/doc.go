// Package backend connects the node to the local backend server: it forwards
// admitted calls to it, accepts its outbound calls, and probes its health and
// load.
//
// A call is reported as "not run" only if no connection to the backend server
// could be opened. A response is read completely before it is forwarded. Health
// and load are hints that never override the node's own counts, except that a
// draining backend server gets no new work.
package backend
