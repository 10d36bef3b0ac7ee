package mesh

import (
	"math"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"dogwoodhead/peer"
	"dogwoodhead/settings"
)

// Shares of the process's descriptors, less fileDescriptors. A request that is passed on
// has a connection of a client and one that this node opens, so the shares of outbound
// and call count twice. What is left is for listening sockets, connections to the store
// and control connections that this node opens.
const (
	outboundShare    = 0.2
	callShare        = 0.16
	idlePeerShare    = 0.05
	idleBackendShare = 0.05
	probeShare       = 0.02
	// fileDescriptors are kept for files.
	fileDescriptors = 200
	// minConns is the least number of connections of each kind.
	minConns = 8
)

// Shares of the process's memory. The rest is for bodies (bodyMemoryDivisor), for what
// the node knows and for the runtime.
const (
	connMemoryShare  = 0.25
	headMemoryShare  = 0.0625
	probeMemoryShare = 0.015625
	// memoryPerConn is what one client's connection takes in bytes: the buffers and stacks
	// of both sides, and that of a body that is streamed.
	memoryPerConn = 48 << 10
)

// holdLimits divide the descriptors and the memory of the process among those that can
// make it hold some.
type holdLimits struct {
	outbound, call, ready, operator peer.HoldLimits
	// idlePeerConns and idleBackendConns are the idle connections that this node keeps to
	// other nodes and to the backend server.
	idlePeerConns, idleBackendConns int
}

func newHoldLimits(descriptors int, memory int64) holdLimits {
	free := float64(max(descriptors-fileDescriptors, minConns))
	memoryConns := connMemoryShare * float64(memory) / memoryPerConn
	conns := func(share float64) int {
		byMemory := memoryConns * share / (outboundShare + callShare)
		return max(int(min(free*share, byMemory)), minConns)
	}
	share := func(fraction float64) int64 { return int64(fraction * float64(memory)) }
	return holdLimits{
		outbound:         peer.HoldLimits{Conns: conns(outboundShare), HeadMemory: share(headMemoryShare)},
		call:             peer.HoldLimits{Conns: conns(callShare), HeadMemory: share(headMemoryShare)},
		ready:            peer.HoldLimits{Conns: conns(probeShare), HeadMemory: share(probeMemoryShare)},
		operator:         peer.HoldLimits{Conns: conns(probeShare), HeadMemory: share(probeMemoryShare)},
		idlePeerConns:    conns(idlePeerShare),
		idleBackendConns: min(conns(idleBackendShare), maxIdleBackendConns),
	}
}

// descriptorLimit returns the descriptors that the process may have open.
func descriptorLimit(s *settings.Mesh, log *logrus.Logger) int {
	limit := math.MaxInt
	if n := s.Descriptors(); n > 0 {
		limit = n
	}
	var system unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &system); err != nil {
		log.WithField("error", err.Error()).Warn("limit of descriptors is not known")
		return min(limit, defaultDescriptors)
	}
	return int(min(uint64(limit), system.Cur))
}

// defaultDescriptors is the usual limit of a process, assumed if the system's is not
// known.
const defaultDescriptors = 1024
