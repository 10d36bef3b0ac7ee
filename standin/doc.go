// Package standin provides test doubles of the external systems of a node: the
// platform, backend servers and callers.
//
// Each runs either inside a test process through its handler, or as a separate
// process through cmd/standin. Faults are injected at run time through endpoints
// under /control/, which the real systems do not have.
package standin
