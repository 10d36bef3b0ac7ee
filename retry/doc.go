// Package retry bounds the extra attempts that one root call causes in the
// whole call graph.
//
// Permits are created only at the entry node, out of a Bucket. Each span holds
// its permits in an Escrow, lends some to the calls it makes and spends one for
// each extra attempt. Repeats and Callers recognise the retries of backend
// servers and callers, which the node does not decide on. Policy decides what
// the client side of a hop does after an attempt without an answer. Budget holds
// the baselines that the escrow is measured against.
package retry
