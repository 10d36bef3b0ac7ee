// Package standin holds small test doubles of the three outside parties of a
// node: the platform, a backend server and the callers.
//
// Each can run in a test process through its handler, or as a process of its
// own through cmd/standin. Their faults are switched at run time through
// endpoints under /control/, which the real parties do not have.
package standin
