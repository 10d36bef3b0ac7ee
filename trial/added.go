package trial

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"dogwoodhead/standin"
)

const (
	// addedTarget is short and calls nothing, so that the nodes' latency shows.
	addedTarget  = "lanefinder/lane"
	addedService = "lanefinder"
	// addedRate and addedLength give enough calls for a 99th percentile.
	addedRate   = 150
	addedLength = 10 * time.Second
)

// AddedLatency is the latency that nodes add to a call, in milliseconds.
type AddedLatency struct {
	// DirectP99 and NodesP99 are the 99th percentiles of calls straight to a
	// backend server and of calls through two nodes of its zone.
	DirectP99 float64
	NodesP99  float64
	// DirectMedian and NodesMedian are the medians.
	DirectMedian float64
	NodesMedian  float64
}

// String returns one line with the difference, marked if it misses its target.
func (a AddedLatency) String() string {
	added := a.NodesP99 - a.DirectP99
	target := targetAddedLatency.Seconds() * 1e3
	return fmt.Sprintf("added per call: p99 %s ms (nodes %.2f, direct %.2f, target %.1f), median %.2f ms",
		formatMarked("%.2f", added, added <= target), a.NodesP99, a.DirectP99, target, a.NodesMedian-a.DirectMedian)
}

// measureAddedLatency sends the same calls to one backend server concurrently,
// directly and through the node of another service in its zone.
func measureAddedLatency(ctx context.Context, opts MeasureOptions) (AddedLatency, error) {
	fleet, err := opts.startFleet(ctx, "added", "full")
	if err != nil {
		return AddedLatency{}, err
	}
	var ingress, backend string
	for _, s := range fleet.servers {
		switch {
		case s.VM.Zone != fleet.plan.Zones[0]:
		case s.VM.Service == addedService:
			backend = s.BackendAddr
		default:
			ingress = s.CallerAddr
		}
	}
	var direct, nodes *standin.Result
	var g errgroup.Group
	g.Go(func() (err error) { direct, err = runAddedLoad(ctx, fleet, backend, true, opts.Seed); return err })
	g.Go(func() (err error) { nodes, err = runAddedLoad(ctx, fleet, ingress, false, opts.Seed+1); return err })
	if err := errors.Join(g.Wait(), fleet.Stop()); err != nil {
		return AddedLatency{}, err
	}
	d, n := direct.Classes[0], nodes.Classes[0]
	return AddedLatency{DirectP99: d.P99, NodesP99: n.P99, DirectMedian: d.P50, NodesMedian: n.P50}, nil
}

func runAddedLoad(ctx context.Context, f *Fleet, ingress string, direct bool, seed uint64) (*standin.Result, error) {
	c, err := standin.NewCallers(standin.Scenario{
		Name: "added", Seed: seed, Duration: standin.Duration(addedLength), Direct: direct,
		Graph: f.plan.Document.Graph(), Ingresses: []string{ingress},
		Classes: []standin.ClassLoad{{
			Name: "lookup", Target: addedTarget, Rate: addedRate, Timeout: standin.Duration(time.Second),
		}},
	}, nil)
	if err != nil {
		return nil, err
	}
	return c.Run(ctx), nil
}
