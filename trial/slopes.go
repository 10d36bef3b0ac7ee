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
	// slopesSettleTime lets a fleet finish its start before it is measured.
	slopesSettleTime = 5 * time.Second
	// changeTimeout bounds the wait until a change is active everywhere.
	changeTimeout = 30 * time.Second
	// changePollInterval is how often a node's revision is polled.
	changePollInterval = 50 * time.Millisecond
	// maxConcurrentPolls bounds the nodes that are polled at a time.
	maxConcurrentPolls = 8
	// extrapolatedNodes is the fleet size expected in two years.
	extrapolatedNodes = 1500
)

// Bounds of section 1.6 of the design page, per node.
const (
	boundCores   = 0.042            // cores
	boundMemory  = 128 << 20        // bytes
	boundControl = 3 << 10          // bytes per second
	boundReads   = 2000             // per second, over all nodes
	boundChange  = 5 * time.Second  // until active everywhere
	bytesPerMB   = float64(1 << 20) // for printing
	bytesPerKB   = float64(1 << 10) // for printing
)

// SlopesOptions configures Slopes.
type SlopesOptions struct {
	DemoOptions
	// PerZone lists the fleets by the servers of each service in each zone.
	PerZone []int
	// Changes is how many configuration changes are timed.
	Changes int
}

// FleetUsage is what an idle fleet used, per node unless stated otherwise.
type FleetUsage struct {
	Nodes int
	// MemoryBytes is resident; LargestMemoryBytes is that of the largest node.
	MemoryBytes        float64
	LargestMemoryBytes float64
	// Cores is the average processor usage.
	Cores float64
	// ControlBytesPerSecond covers the control traffic in both directions.
	ControlBytesPerSecond float64
	// PlatformReadsPerSecond is the sum over all nodes.
	PlatformReadsPerSecond float64
	// ActivationTime is the longest time until a change was active everywhere.
	ActivationTime time.Duration
}

// Slopes runs idle fleets of several sizes and prints what a node uses, and a
// linear extrapolation from the smallest and largest fleet to 1,500 nodes.
func Slopes(ctx context.Context, opts SlopesOptions) error {
	if opts.Programs.Node == "" {
		return eris.New("slopes: nodes are needed")
	}
	var usages []FleetUsage
	for _, n := range opts.PerZone {
		usage, err := measureFleet(ctx, opts, n)
		if err != nil {
			return eris.Wrapf(err, "%d servers of each service in a zone", n)
		}
		usages = append(usages, usage)
		fmt.Fprintf(opts.Out, "%d nodes measured\n", usage.Nodes)
	}
	if len(usages) > 1 {
		usages = append(usages, extrapolate(usages[0], usages[len(usages)-1], extrapolatedNodes))
	}
	w := newTable(opts.Out)
	defer w.Flush()
	fmt.Fprintln(w, "nodes\tmemory MB\tlargest MB\tcores idle\tcontrol KB/s\treads/s\tchange s\t")
	for i, u := range usages {
		name := fmt.Sprint(u.Nodes)
		if i == len(opts.PerZone) {
			name += " (line)"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t\n", name,
			formatMarked("%.1f", u.MemoryBytes/bytesPerMB, u.MemoryBytes <= boundMemory),
			formatMarked("%.1f", u.LargestMemoryBytes/bytesPerMB, u.LargestMemoryBytes <= boundMemory),
			formatMarked("%.4f", u.Cores, u.Cores <= boundCores),
			formatMarked("%.2f", u.ControlBytesPerSecond/bytesPerKB, u.ControlBytesPerSecond <= boundControl),
			formatMarked("%.2f", u.PlatformReadsPerSecond, u.PlatformReadsPerSecond <= boundReads),
			formatMarked("%.2f", u.ActivationTime.Seconds(), u.ActivationTime <= boundChange))
	}
	fmt.Fprintf(w, "%s misses the bound: memory %d MB, cores %.3f, control %d KB/s, reads %d/s, change %s\n",
		missMark, boundMemory>>20, boundCores, boundControl>>10, boundReads, boundChange)
	return nil
}

// extrapolate extends the line through two fleets to a number of nodes.
func extrapolate(a, b FleetUsage, nodes int) FleetUsage {
	if a.Nodes == b.Nodes {
		return b
	}
	at := func(x, y float64) float64 {
		return y + (y-x)*float64(nodes-b.Nodes)/float64(b.Nodes-a.Nodes)
	}
	return FleetUsage{
		Nodes: nodes, MemoryBytes: at(a.MemoryBytes, b.MemoryBytes), LargestMemoryBytes: at(a.LargestMemoryBytes, b.LargestMemoryBytes),
		Cores: at(a.Cores, b.Cores), ControlBytesPerSecond: at(a.ControlBytesPerSecond, b.ControlBytesPerSecond),
		PlatformReadsPerSecond: at(a.PlatformReadsPerSecond, b.PlatformReadsPerSecond),
		ActivationTime:         time.Duration(at(float64(a.ActivationTime), float64(b.ActivationTime))),
	}
}

// measureFleet runs one fleet. Its backend servers run in this process, because
// they are idle without load.
func measureFleet(ctx context.Context, opts SlopesOptions, perZone int) (FleetUsage, error) {
	plan, err := councilPlan(opts.Base, opts.Overlay, opts.Seed)
	if err != nil {
		return FleetUsage{}, err
	}
	plan.PerZone, plan.InProcess = perZone, true
	dir := filepath.Join(opts.Dir, fmt.Sprint("slopes-", perZone))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return FleetUsage{}, eris.Wrap(err, "make directory")
	}
	fleet, err := StartFleet(ctx, plan, opts.Programs, dir)
	if err != nil {
		return FleetUsage{}, err
	}
	usage, err := fleet.measureUsage(ctx, opts)
	return usage, errors.Join(err, fleet.Stop())
}

// measureUsage measures an idle fleet, then times configuration changes.
func (f *Fleet) measureUsage(ctx context.Context, opts SlopesOptions) (FleetUsage, error) {
	if !sleep(ctx, slopesSettleTime) {
		return FleetUsage{}, ctx.Err()
	}
	from := time.Now()
	before, err := f.sumUsage(ctx)
	if err != nil {
		return FleetUsage{}, err
	}
	if !sleep(ctx, opts.Length) {
		return FleetUsage{}, ctx.Err()
	}
	after, err := f.sumUsage(ctx)
	if err != nil {
		return FleetUsage{}, err
	}
	nodes, seconds := float64(len(f.servers)), time.Since(from).Seconds()
	usage := FleetUsage{
		Nodes: len(f.servers), MemoryBytes: after.memoryBytes / nodes, LargestMemoryBytes: after.largestMemoryBytes,
		Cores:                  (after.cpuSeconds - before.cpuSeconds) / nodes / seconds,
		ControlBytesPerSecond:  (after.controlBytes - before.controlBytes) / nodes / seconds,
		PlatformReadsPerSecond: (after.platformReads - before.platformReads) / seconds,
	}
	for n := range opts.Changes {
		took, err := f.timeChange(ctx, n)
		if err != nil {
			return usage, err
		}
		usage.ActivationTime = max(usage.ActivationTime, took)
	}
	return usage, nil
}

// usageTotals holds sums over all nodes, except largestMemoryBytes.
type usageTotals struct {
	memoryBytes, largestMemoryBytes float64
	cpuSeconds                      float64
	controlBytes                    float64
	platformReads                   float64
}

func (f *Fleet) sumUsage(ctx context.Context) (usageTotals, error) {
	var t usageTotals
	for _, s := range f.servers {
		memory, err := residentMemory(s.node.PID())
		if err != nil {
			return t, err
		}
		cpu, err := cpuTime(s.node.PID())
		if err != nil {
			return t, err
		}
		control, err := s.metricSum(ctx, "dogwood_control_bytes_total")
		if err != nil {
			return t, err
		}
		t.memoryBytes += float64(memory)
		t.largestMemoryBytes = max(t.largestMemoryBytes, float64(memory))
		t.cpuSeconds += cpu.Seconds()
		t.controlBytes += control
	}
	stats, err := f.PlatformStats(ctx)
	t.platformReads = float64(stats.Reads)
	return t, err
}

// timeChange publishes a base that differs in one number and returns how long
// it took until it was active at every node.
func (f *Fleet) timeChange(ctx context.Context, n int) (time.Duration, error) {
	f.plan.base["burst"] = 100 + n + 1
	base, err := f.plan.BaseJSON()
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
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	var mu sync.Mutex
	var slowest time.Duration
	var g errgroup.Group
	g.SetLimit(maxConcurrentPolls)
	for _, s := range f.servers {
		g.Go(func() error {
			if err := s.waitRevision(ctx, want); err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			slowest = max(slowest, time.Since(from))
			return nil
		})
	}
	return slowest, g.Wait()
}

// waitRevision waits until the node's status shows a revision pair.
func (s *Server) waitRevision(ctx context.Context, want string) error {
	var status struct {
		Revision string `json:"revision"`
	}
	for {
		if err := getJSON(ctx, "http://"+s.OperatorAddr+"/status", &status); err != nil {
			return err
		}
		if status.Revision == want {
			return nil
		}
		if !sleep(ctx, changePollInterval) {
			return eris.Errorf("node %s: active revision is %s, want %s", s.VM.Name, status.Revision, want)
		}
	}
}

// inProcessBackend is a backend server in this process.
type inProcessBackend struct {
	stop context.CancelFunc
	done chan error
}

func startInProcess(settings standin.BackendSettings) *inProcessBackend {
	ctx, stop := context.WithCancel(context.Background())
	b := &inProcessBackend{stop: stop, done: make(chan error, 1)}
	go func() { b.done <- standin.NewBackend(settings, nil).Run(ctx) }()
	return b
}

// Stop drains the backend server.
func (b *inProcessBackend) Stop() error {
	b.stop()
	return <-b.done
}
