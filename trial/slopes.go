package trial

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"dogwoodhead/standin"
)

const (
	// slopesSettle lets a fleet finish its start before it is measured.
	slopesSettle = 5 * time.Second
	// changeLimit bounds the wait for a change to be in force everywhere.
	changeLimit = 30 * time.Second
	// changePoll is how often a node is asked for its revision.
	changePoll = 50 * time.Millisecond
	// changeReaders bounds the nodes that are asked at a time.
	changeReaders = 8
	// nodesInTwoYears is the size that the slopes are extended to.
	nodesInTwoYears = 1500
)

// Bounds of section 1.6 of the design page, per node.
const (
	boundProcessor = 0.042            // cores
	boundMemory    = 128 << 20        // bytes
	boundControl   = 3 << 10          // bytes a second
	boundReads     = 2000             // a second, over all nodes
	boundChange    = 5 * time.Second  // until in force everywhere
	bytesPerMB     = float64(1 << 20) // for printing
	bytesPerKB     = float64(1 << 10) // for printing
)

// SlopesOptions configures Slopes.
type SlopesOptions struct {
	DemoOptions
	// PerZone lists the fleets by the servers of each service in each zone.
	PerZone []int
	// Changes is how many configuration changes are timed.
	Changes int
}

// Size is what one fleet without load used, per node where not said otherwise.
type Size struct {
	Nodes int
	// Memory is resident, in bytes; Largest is that of the largest node.
	Memory  float64
	Largest float64
	// Processor is in cores.
	Processor float64
	// Control is the control traffic in both directions, in bytes a second.
	Control float64
	// Reads is per second over all nodes.
	Reads float64
	// Change is the slowest time for a change to be in force everywhere.
	Change time.Duration
}

// Slopes runs idle fleets of several sizes and prints what a node uses, and a
// straight line through the smallest and largest fleet extended to 1,500 nodes.
func Slopes(ctx context.Context, o SlopesOptions) error {
	if o.Programs.Node == "" {
		return eris.New("slopes: nodes are needed")
	}
	var sizes []Size
	for _, n := range o.PerZone {
		s, err := measureSize(ctx, o, n)
		if err != nil {
			return eris.Wrapf(err, "%d servers of each service in a zone", n)
		}
		sizes = append(sizes, s)
		fmt.Fprintf(o.Out, "%d nodes measured\n", s.Nodes)
	}
	if len(sizes) > 1 {
		sizes = append(sizes, extend(sizes[0], sizes[len(sizes)-1], nodesInTwoYears))
	}
	w := newTable(o.Out)
	defer w.Flush()
	fmt.Fprintln(w, "nodes\tmemory MB\tlargest MB\tcores idle\tcontrol KB/s\treads/s\tchange s\t")
	for i, s := range sizes {
		name := fmt.Sprint(s.Nodes)
		if i == len(o.PerZone) {
			name += " (line)"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t\n", name,
			mark("%.1f", s.Memory/bytesPerMB, s.Memory <= boundMemory),
			mark("%.1f", s.Largest/bytesPerMB, s.Largest <= boundMemory),
			mark("%.4f", s.Processor, s.Processor <= boundProcessor),
			mark("%.2f", s.Control/bytesPerKB, s.Control <= boundControl),
			mark("%.2f", s.Reads, s.Reads <= boundReads),
			mark("%.2f", s.Change.Seconds(), s.Change <= boundChange))
	}
	fmt.Fprintf(w, "%s misses the bound: memory %d MB, cores %.3f, control %d KB/s, reads %d/s, change %s\n",
		missMark, boundMemory>>20, boundProcessor, boundControl>>10, boundReads, boundChange)
	return nil
}

// extend draws a straight line through two fleets.
func extend(a, b Size, nodes int) Size {
	if a.Nodes == b.Nodes {
		return b
	}
	at := func(x, y float64) float64 {
		return y + (y-x)*float64(nodes-b.Nodes)/float64(b.Nodes-a.Nodes)
	}
	return Size{
		Nodes: nodes, Memory: at(a.Memory, b.Memory), Largest: at(a.Largest, b.Largest),
		Processor: at(a.Processor, b.Processor), Control: at(a.Control, b.Control),
		Reads:  at(a.Reads, b.Reads),
		Change: time.Duration(at(float64(a.Change), float64(b.Change))),
	}
}

// measureSize runs one fleet. Its backend servers run in this process, because
// without load they do nothing.
func measureSize(ctx context.Context, o SlopesOptions, perZone int) (Size, error) {
	plan, err := councilPlan(o.Base, o.Overlay, o.Seed)
	if err != nil {
		return Size{}, err
	}
	plan.PerZone, plan.Inline = perZone, true
	dir := filepath.Join(o.Dir, fmt.Sprint("slopes-", perZone))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return Size{}, eris.Wrap(err, "make directory")
	}
	fleet, err := StartFleet(ctx, plan, o.Programs, dir)
	if err != nil {
		return Size{}, err
	}
	s, err := fleet.size(ctx, o)
	return s, errors.Join(err, fleet.Stop())
}

// size measures an idle fleet for Length, then times configuration changes.
func (f *Fleet) size(ctx context.Context, o SlopesOptions) (Size, error) {
	if !pause(ctx, slopesSettle) {
		return Size{}, ctx.Err()
	}
	from := time.Now()
	before, err := f.totals(ctx)
	if err != nil {
		return Size{}, err
	}
	if !pause(ctx, o.Length) {
		return Size{}, ctx.Err()
	}
	after, err := f.totals(ctx)
	if err != nil {
		return Size{}, err
	}
	nodes, seconds := float64(len(f.servers)), time.Since(from).Seconds()
	s := Size{
		Nodes: len(f.servers), Memory: after.memory / nodes, Largest: after.largest,
		Processor: (after.processor - before.processor) / nodes / seconds,
		Control:   (after.control - before.control) / nodes / seconds,
		Reads:     (after.reads - before.reads) / seconds,
	}
	for n := range o.Changes {
		took, err := f.timeChange(ctx, n)
		if err != nil {
			return s, err
		}
		s.Change = max(s.Change, took)
	}
	return s, nil
}

// totals are sums over all nodes.
type totals struct {
	memory, largest float64 // bytes
	processor       float64 // seconds
	control         float64 // bytes
	reads           float64
}

func (f *Fleet) totals(ctx context.Context) (totals, error) {
	var t totals
	for _, s := range f.servers {
		memory, err := residentMemory(s.node.PID())
		if err != nil {
			return t, err
		}
		processor, err := processorTime(s.node.PID())
		if err != nil {
			return t, err
		}
		control, err := s.metric(ctx, "dogwood_control_bytes_total")
		if err != nil {
			return t, err
		}
		t.memory += float64(memory)
		t.largest = max(t.largest, float64(memory))
		t.processor += processor.Seconds()
		t.control += control
	}
	stats, err := f.PlatformStats(ctx)
	t.reads = float64(stats.Reads)
	return t, err
}

// timeChange publishes a base that differs in one number and returns how long
// it took until every node has it in force.
func (f *Fleet) timeChange(ctx context.Context, n int) (time.Duration, error) {
	f.plan.base["burst"] = 100 + n + 1
	base, err := f.plan.Base()
	if err != nil {
		return 0, err
	}
	from := time.Now()
	if err := f.Publish(ctx, "base", base); err != nil {
		return 0, err
	}
	stats, err := f.PlatformStats(ctx)
	if err != nil {
		return 0, err
	}
	want := fmt.Sprintf("%d.%d", stats.Revisions["base"], stats.Revisions["overlay/"+f.plan.Site])
	ctx, cancel := context.WithTimeout(ctx, changeLimit)
	defer cancel()
	var mu sync.Mutex
	var last time.Duration
	var g errgroup.Group
	g.SetLimit(changeReaders)
	for _, s := range f.servers {
		g.Go(func() error {
			if err := s.waitRevision(ctx, want); err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			last = max(last, time.Since(from))
			return nil
		})
	}
	return last, g.Wait()
}

// waitRevision waits until the node's status shows a revision pair.
func (s *Server) waitRevision(ctx context.Context, want string) error {
	var status struct {
		Revision string `json:"revision"`
	}
	for {
		if err := getJSON(ctx, "http://"+s.Operator+"/status", &status); err != nil {
			return err
		}
		if status.Revision == want {
			return nil
		}
		if !pause(ctx, changePoll) {
			return eris.Errorf("node %s has revision %s in force, want %s", s.VM.Name, status.Revision, want)
		}
	}
}

// inline is a backend server in this process.
type inline struct {
	stop  context.CancelFunc
	ended chan error
}

func startInline(settings standin.BackendSettings) *inline {
	ctx, stop := context.WithCancel(context.Background())
	b := &inline{stop: stop, ended: make(chan error, 1)}
	go func() { b.ended <- standin.NewBackend(settings, nil).Run(ctx) }()
	return b
}

// Stop drains the backend server.
func (b *inline) Stop() error {
	b.stop()
	return <-b.ended
}
