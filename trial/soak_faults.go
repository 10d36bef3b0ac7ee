package trial

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"dogwoodhead/standin"
)

const (
	// faultRounds is how often each kind of fault is injected.
	faultRounds = 2
	// minFaultDuration and maxFaultDuration bound how long a fault lasts.
	minFaultDuration = 500 * time.Millisecond
	maxFaultDuration = 5 * time.Second
	// soakNewWorkLimit is how long a leaving backend server may still receive
	// new work.
	soakNewWorkLimit   = 3 * time.Second
	ledgerPollInterval = 50 * time.Millisecond
)

// fault is one scheduled fault.
type fault struct {
	start    time.Duration
	duration time.Duration
	kind     string
	// server is nil for faults of a whole service or the platform.
	server  *Server
	service string
	seed    uint64
}

// String returns the fault's line in the printed schedule.
func (f fault) String() string {
	where := f.service
	if f.server != nil {
		where = f.server.VM.Name
	}
	return fmt.Sprintf("%8s %-14s %-30s for %s", f.start, f.kind, where, f.duration)
}

// Scopes of a kind of fault.
const (
	scopeServer = iota
	scopeService
	scopePlatform
	scopeNone
)

type faultKind struct {
	name  string
	scope int
	run   func(s *soak, ctx context.Context, f fault) error
}

var faultKinds = []faultKind{
	{"kill-node", scopeServer, (*soak).killNode},
	{"kill-backend", scopeServer, (*soak).killBackend},
	{"kill-both", scopeServer, (*soak).killBoth},
	{"pause-node", scopeServer, (*soak).pauseNode},
	{"stop-node", scopeServer, (*soak).stopNode},
	{"stop-backend", scopeServer, (*soak).stopBackend},
	{"stop-both", scopeServer, (*soak).stopBoth},
	{"list-leaving", scopeServer, (*soak).listLeaving},
	{"half-answers", scopeServer, backendFaults(`{"half":0.5}`, `{"half":0}`)},
	{"misleading", scopeServer, backendFaults(`{"state":"down","inflight":0,"reported":10000,"lag":"2s"}`, `{"state":"","inflight":null,"reported":null,"lag":"0s"}`)},
	{"few-slots", scopeServer, backendFaults(`{"slots":2}`, `{"slots":0}`)},
	{"slow-service", scopeService, (*soak).slowService},
	{"down", scopePlatform, platformModeFault(standin.ModeDown)},
	{"refuse", scopePlatform, platformModeFault(standin.ModeRefuse)},
	{"stale", scopePlatform, platformModeFault(standin.ModeStale)},
	{"older", scopePlatform, platformModeFault(standin.ModeOlder)},
	{"publish", scopeNone, (*soak).publishConcurrently},
	{"publish-bad", scopeNone, (*soak).publishInvalid},
}

// newSchedule gives each fault a random time, duration and target. The
// processes of a server have at most one fault at a time, the platform one
// mode; all others may overlap.
func newSchedule(seed uint64, length time.Duration, fleet *Fleet) []fault {
	random := rand.New(rand.NewPCG(seed, 0))
	var kinds []faultKind
	for range faultRounds {
		kinds = append(kinds, faultKinds...)
	}
	random.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	busyUntil := make(map[string]time.Duration)
	window := length - soakWarmUp - maxFaultDuration
	var schedule []fault
	for i, k := range kinds {
		f := fault{kind: k.name, seed: random.Uint64()}
		slot := window / time.Duration(len(kinds))
		f.start = (soakWarmUp + time.Duration(i)*slot + time.Duration(random.Float64()*float64(slot))).Round(time.Millisecond)
		f.duration = (minFaultDuration + time.Duration(random.Float64()*float64(maxFaultDuration-minFaultDuration))).Round(time.Millisecond)
		end := f.start + f.duration + time.Second
		switch k.scope {
		case scopeServer:
			for _, n := range random.Perm(len(fleet.servers)) {
				f.server = fleet.servers[n]
				if busyUntil[f.server.VM.Name] < f.start {
					break
				}
			}
			busyUntil[f.server.VM.Name] = end
		case scopeService:
			names := fleet.plan.Services()
			f.service = names[random.IntN(len(names))]
		case scopePlatform:
			f.service = "platform"
			f.start = max(f.start, busyUntil[f.service])
			busyUntil[f.service] = f.start + f.duration + maxActivationTime/2
		}
		schedule = append(schedule, f)
	}
	slices.SortStableFunc(schedule, func(a, b fault) int { return int(a.start - b.start) })
	return schedule
}

// runFault waits until the start of a fault and injects it.
func (s *soak) runFault(ctx context.Context, f fault) error {
	if !sleep(ctx, time.Until(s.start.Add(f.start))) {
		return ctx.Err()
	}
	if f.server != nil {
		f.server.faultMu.Lock()
		defer f.server.faultMu.Unlock()
	}
	i := slices.IndexFunc(faultKinds, func(k faultKind) bool { return k.name == f.kind })
	s.logf("begin %s", f)
	defer s.logf("end   %s", f)
	return faultKinds[i].run(s, ctx, f)
}

func (s *soak) killNode(ctx context.Context, f fault) error {
	s.endNodeProcess(ctx, f.server, &s.kills, (*Process).Kill)
	sleep(ctx, f.duration)
	return s.restartNode(ctx, f.server)
}

// killBackendProcess kills a backend server and reads its ledger just before.
// Runs that start between the reading and the kill, a few milliseconds, are not
// recorded.
func (s *soak) killBackendProcess(ctx context.Context, server *Server) {
	s.saveLedger(s.readLedger(ctx, server))
	from := time.Now()
	server.backend.Kill()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kills = append(s.kills, termination{server, from, time.Now()})
}

func (s *soak) killBackend(ctx context.Context, f fault) error {
	s.killBackendProcess(ctx, f.server)
	sleep(ctx, f.duration)
	return s.restartBackend(ctx, f.server)
}

func (s *soak) killBoth(ctx context.Context, f fault) error {
	s.killBackendProcess(ctx, f.server)
	s.endNodeProcess(ctx, f.server, &s.kills, (*Process).Kill)
	sleep(ctx, f.duration)
	if err := s.restartBackend(ctx, f.server); err != nil {
		return err
	}
	return s.restartNode(ctx, f.server)
}

func (s *soak) pauseNode(ctx context.Context, f fault) error {
	process := f.server.node.cmd.Process
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		return eris.Wrap(err, "pause")
	}
	sleep(ctx, f.duration)
	return eris.Wrap(process.Signal(syscall.SIGCONT), "resume")
}

// stopNode stops a node and checks that it ends cleanly and that its backend
// server gets no new work.
func (s *soak) stopNode(ctx context.Context, f fault) error {
	from := time.Now()
	s.endNodeProcess(ctx, f.server, &s.plannedStops, s.stopAndCheckClean)
	s.checkNoNewWork(ctx, f, from)
	return s.restartNode(ctx, f.server)
}

// stopBackend stops a backend server, whose ledger shows the calls that began
// after it started to drain.
func (s *soak) stopBackend(ctx context.Context, f fault) error {
	s.stopBackendProcess(ctx, f.server)
	sleep(ctx, f.duration)
	return s.restartBackend(ctx, f.server)
}

// stopBoth replaces a VM: the node stops first, because its backend server has
// to respond to the calls in progress.
func (s *soak) stopBoth(ctx context.Context, f fault) error {
	s.endNodeProcess(ctx, f.server, &s.plannedStops, s.stopAndCheckClean)
	s.stopBackendProcess(ctx, f.server)
	sleep(ctx, f.duration)
	if err := s.restartBackend(ctx, f.server); err != nil {
		return err
	}
	return s.restartNode(ctx, f.server)
}

// listLeaving marks a VM as leaving in the list and replaces its node.
func (s *soak) listLeaving(ctx context.Context, f fault) error {
	if err := s.publishLeaving(ctx, f.server, true); err != nil {
		return err
	}
	deadline := time.Now().Add(maxFaultDuration)
	for time.Now().Before(deadline) && !s.statusOf(f.server).Leaving {
		sleep(ctx, startPollInterval)
	}
	if s.statusOf(f.server).Leaving {
		s.checkNoNewWork(ctx, f, time.Now())
	} else {
		s.logf("list-leaving %s: the list did not reach the node", f.server.VM.Name)
	}
	if err := s.publishLeaving(ctx, f.server, false); err != nil {
		return err
	}
	f.duration = 0
	return s.stopNode(ctx, f)
}

// checkNoNewWork checks that a backend server begins no call from 3 s after its
// node began to leave until the end of the fault.
func (s *soak) checkNoNewWork(ctx context.Context, f fault, from time.Time) {
	if f.duration == 0 {
		return
	}
	sleep(ctx, time.Until(from.Add(soakNewWorkLimit)))
	before := s.readLedger(ctx, f.server)
	sleep(ctx, f.duration)
	after := s.readLedger(ctx, f.server)
	if before == nil || after == nil {
		s.logf("%s: the ledger could not be read", f)
		return
	}
	s.mu.Lock()
	s.newWorkChecks++
	s.mu.Unlock()
	if a, b := startedCalls(before), startedCalls(after); a != b {
		s.recordViolation(checkLeaving, "%s: %d calls began later than %s after leaving", f.server.VM.Name, b-a, soakNewWorkLimit)
	}
}

func startedCalls(ledger *standin.LedgerView) uint64 {
	var n uint64
	for _, o := range ledger.Operations {
		n += o.Started
	}
	return n
}

// backendFaults returns a fault that changes the faults of a backend server.
func backendFaults(on, off string) func(*soak, context.Context, fault) error {
	return func(_ *soak, ctx context.Context, f fault) error {
		url := "http://" + f.server.BackendControlAddr + "/control/knobs"
		if err := post(ctx, url, []byte(on)); err != nil {
			return err
		}
		sleep(ctx, f.duration)
		return post(ctx, url, []byte(off))
	}
}

// slowService slows down all running backend servers of a service.
func (s *soak) slowService(ctx context.Context, f fault) error {
	_ = s.fleet.SetBackendFaults(ctx, f.service, fmt.Sprintf(`{"slow":%d}`, slowFactor)) // one may be down
	sleep(ctx, f.duration)
	_ = s.fleet.SetBackendFaults(ctx, f.service, `{"slow":1}`)
	return nil
}

func platformModeFault(mode standin.Mode) func(*soak, context.Context, fault) error {
	return func(s *soak, ctx context.Context, f fault) error {
		if err := s.setPlatformMode(ctx, mode); err != nil {
			return err
		}
		sleep(ctx, f.duration)
		return s.setPlatformMode(ctx, standin.ModeUp)
	}
}
