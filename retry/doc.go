// Package retry bounds the extra attempts that one root request causes in the
// whole call graph.
//
// Permits are created only at the ingress node, from a Bucket. Each span keeps
// its permits in a PermitPool, grants some to its child calls and spends one for
// each extra attempt. OutboundCalls and CallerRequests detect the retries that
// backend servers and callers make themselves. Policy decides what the client
// side of a hop does after an attempt without a response. Budget implements the
// baselines that permit pools are compared with.
package retry
