package mesh

import "dogwoodhead/peer"

// Shares of the process's memory for the heads of requests: of callers and of other nodes
// each, and of the platform's probes and the operators each.
const (
	headMemoryShare  = 0.0625
	probeMemoryShare = 0.015625
)

// holdLimits divide the memory of the process among those that can make it hold some.
type holdLimits struct {
	outbound, call, ready, operator peer.HoldLimits
}

func newHoldLimits(memory int64) holdLimits {
	share := func(fraction float64) int64 { return int64(fraction * float64(memory)) }
	return holdLimits{
		outbound: peer.HoldLimits{HeadMemory: share(headMemoryShare)},
		call:     peer.HoldLimits{HeadMemory: share(headMemoryShare)},
		ready:    peer.HoldLimits{HeadMemory: share(probeMemoryShare)},
		operator: peer.HoldLimits{HeadMemory: share(probeMemoryShare)},
	}
}
