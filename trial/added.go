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
	// addedTarget is short and calls nothing, so that the nodes' part shows.
	addedTarget  = "lanefinder/lane"
	addedService = "lanefinder"
	// addedRate and addedLength give enough calls for a 99th percentile.
	addedRate   = 150
	addedLength = 10 * time.Second
)

// Added is the time that nodes add to a call.
type Added struct {
	// Direct and Nodes are the 99th percentiles of calls straight to a backend
	// server and of calls through two nodes of its zone, in milliseconds.
	Direct float64
	Nodes  float64
	// MedianDirect and MedianNodes are the medians.
	MedianDirect float64
	MedianNodes  float64
}

// String returns one line with the difference, marked where it misses its target.
func (a Added) String() string {
	added := a.Nodes - a.Direct
	limit := targetAdded.Seconds() * 1e3
	return fmt.Sprintf("added per call: p99 %s ms (nodes %.2f, direct %.2f, target %.1f), median %.2f ms",
		mark("%.2f", added, added <= limit), a.Nodes, a.Direct, limit, a.MedianNodes-a.MedianDirect)
}

// measureAdded sends the same calls to one backend server side by side, straight
// and through the node of another service in its zone.
func measureAdded(ctx context.Context, o MeasureOptions) (Added, error) {
	fleet, err := o.fleet(ctx, "added", "full")
	if err != nil {
		return Added{}, err
	}
	var entry, backend string
	for _, s := range fleet.servers {
		switch {
		case s.VM.Zone != fleet.plan.Zones[0]:
		case s.VM.Service == addedService:
			backend = s.Backend
		default:
			entry = s.Caller
		}
	}
	var direct, nodes *standin.Result
	var g errgroup.Group
	g.Go(func() (err error) { direct, err = sendAdded(ctx, fleet, backend, true, o.Seed); return err })
	g.Go(func() (err error) { nodes, err = sendAdded(ctx, fleet, entry, false, o.Seed+1); return err })
	if err := errors.Join(g.Wait(), fleet.Stop()); err != nil {
		return Added{}, err
	}
	d, n := direct.Classes[0], nodes.Classes[0]
	return Added{Direct: d.P99, Nodes: n.P99, MedianDirect: d.P50, MedianNodes: n.P50}, nil
}

func sendAdded(ctx context.Context, f *Fleet, entry string, direct bool, seed uint64) (*standin.Result, error) {
	c, err := standin.NewCallers(standin.Scenario{
		Name: "added", Seed: seed, Duration: standin.Duration(addedLength), Direct: direct,
		Graph: f.plan.Document.Graph(), Ingresses: []string{entry},
		Classes: []standin.ClassLoad{{
			Name: "lookup", Target: addedTarget, Rate: addedRate, Timeout: standin.Duration(time.Second),
		}},
	}, nil)
	if err != nil {
		return nil, err
	}
	return c.Run(ctx), nil
}
