package trial

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"dogwoodhead/standin"
)

const (
	// soakRounds is how often each kind of fault happens.
	soakRounds = 2
	// faultLeast and faultMost bound how long a fault lasts.
	faultLeast = 500 * time.Millisecond
	faultMost  = 5 * time.Second
	// leavingLimit is how long new work may reach a backend server that leaves.
	leavingLimit = 3 * time.Second
	ledgerPoll   = 50 * time.Millisecond
)

// fault is one entry of the schedule.
type fault struct {
	at   time.Duration
	last time.Duration
	kind string
	// server is nil for faults of a whole service or the platform.
	server  *Server
	service string
	seed    uint64
}

// String returns the line of the schedule.
func (f fault) String() string {
	where := f.service
	if f.server != nil {
		where = f.server.VM.Name
	}
	return fmt.Sprintf("%8s %-14s %-30s for %s", f.at, f.kind, where, f.last)
}

// Where a kind of fault strikes.
const (
	atServer = iota
	atService
	atPlatform
	anywhere
)

type faultKind struct {
	name  string
	where int
	act   func(s *soak, ctx context.Context, f fault) error
}

var faultKinds = []faultKind{
	{"kill-node", atServer, (*soak).killNode},
	{"kill-backend", atServer, (*soak).killBackend},
	{"kill-both", atServer, (*soak).killBoth},
	{"pause-node", atServer, (*soak).pauseNode},
	{"stop-node", atServer, (*soak).stopNode},
	{"stop-backend", atServer, (*soak).stopBackend},
	{"stop-both", atServer, (*soak).stopBoth},
	{"list-leaving", atServer, (*soak).listLeaving},
	{"half-answers", atServer, knobs(`{"half":0.5}`, `{"half":0}`)},
	{"misleading", atServer, knobs(`{"state":"down","inflight":0,"reported":10000,"lag":"2s"}`, `{"state":"","inflight":null,"reported":null,"lag":"0s"}`)},
	{"few-slots", atServer, knobs(`{"slots":2}`, `{"slots":0}`)},
	{"slow-service", atService, (*soak).slowService},
	{"down", atPlatform, platformMode(standin.ModeDown)},
	{"refuse", atPlatform, platformMode(standin.ModeRefuse)},
	{"stale", atPlatform, platformMode(standin.ModeStale)},
	{"older", atPlatform, platformMode(standin.ModeOlder)},
	{"publish", anywhere, (*soak).publish},
	{"publish-bad", anywhere, (*soak).publishBad},
}

// newSchedule draws when which fault strikes where. A server has at most one
// fault of its processes at a time, the platform one mode; anything else may
// coincide.
func newSchedule(seed uint64, length time.Duration, fleet *Fleet) []fault {
	random := rand.New(rand.NewPCG(seed, 0))
	var kinds []faultKind
	for range soakRounds {
		kinds = append(kinds, faultKinds...)
	}
	random.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	busy := make(map[string]time.Duration)
	window := length - soakLead - faultMost
	var schedule []fault
	for i, k := range kinds {
		f := fault{kind: k.name, seed: random.Uint64()}
		slot := window / time.Duration(len(kinds))
		f.at = (soakLead + time.Duration(i)*slot + time.Duration(random.Float64()*float64(slot))).Round(time.Millisecond)
		f.last = (faultLeast + time.Duration(random.Float64()*float64(faultMost-faultLeast))).Round(time.Millisecond)
		end := f.at + f.last + time.Second
		switch k.where {
		case atServer:
			for _, n := range random.Perm(len(fleet.servers)) {
				f.server = fleet.servers[n]
				if busy[f.server.VM.Name] < f.at {
					break
				}
			}
			busy[f.server.VM.Name] = end
		case atService:
			names := fleet.plan.Services()
			f.service = names[random.IntN(len(names))]
		case atPlatform:
			f.service = "platform"
			f.at = max(f.at, busy[f.service])
			busy[f.service] = f.at + f.last + inForceLimit/2
		}
		schedule = append(schedule, f)
	}
	slices.SortStableFunc(schedule, func(a, b fault) int { return int(a.at - b.at) })
	return schedule
}

// act waits for the time of a fault and makes it happen.
func (s *soak) act(ctx context.Context, f fault) error {
	if !pause(ctx, time.Until(s.start.Add(f.at))) {
		return ctx.Err()
	}
	if f.server != nil {
		f.server.faults.Lock()
		defer f.server.faults.Unlock()
	}
	i := slices.IndexFunc(faultKinds, func(k faultKind) bool { return k.name == f.kind })
	s.note("begin %s", f)
	defer s.note("end   %s", f)
	return faultKinds[i].act(s, ctx, f)
}

func (s *soak) killNode(ctx context.Context, f fault) error {
	s.endNode(ctx, f.server, &s.kills, (*Process).Kill)
	pause(ctx, f.last)
	return s.restartNode(ctx, f.server)
}

// killServer kills a backend server and reads its ledger just before. What
// starts between the reading and the kill, a few milliseconds, is not seen.
func (s *soak) killServer(ctx context.Context, v *Server) {
	s.keepLedger(s.readLedger(ctx, v))
	from := time.Now()
	v.backend.Kill()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kills = append(s.kills, ending{v, from, time.Now()})
}

func (s *soak) killBackend(ctx context.Context, f fault) error {
	s.killServer(ctx, f.server)
	pause(ctx, f.last)
	return s.restartBackend(ctx, f.server)
}

func (s *soak) killBoth(ctx context.Context, f fault) error {
	s.killServer(ctx, f.server)
	s.endNode(ctx, f.server, &s.kills, (*Process).Kill)
	pause(ctx, f.last)
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
	pause(ctx, f.last)
	return eris.Wrap(process.Signal(syscall.SIGCONT), "resume")
}

// stopNode stops a node and checks that it ends cleanly and that its backend
// server gets no new work.
func (s *soak) stopNode(ctx context.Context, f fault) error {
	from := time.Now()
	s.endNode(ctx, f.server, &s.stops, s.checkCleanStop)
	s.checkLate(ctx, f, from)
	return s.restartNode(ctx, f.server)
}

// stopBackend stops a backend server, whose ledger shows the work that it got
// after it began to drain.
func (s *soak) stopBackend(ctx context.Context, f fault) error {
	s.endBackend(ctx, f.server)
	pause(ctx, f.last)
	return s.restartBackend(ctx, f.server)
}

// stopBoth is the replacement of a VM: the node leaves first, because its
// backend server answers the calls in progress.
func (s *soak) stopBoth(ctx context.Context, f fault) error {
	s.endNode(ctx, f.server, &s.stops, s.checkCleanStop)
	s.endBackend(ctx, f.server)
	pause(ctx, f.last)
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
	limit := time.Now().Add(faultMost)
	for time.Now().Before(limit) && !s.statusOf(f.server).Leaving {
		pause(ctx, startPoll)
	}
	if s.statusOf(f.server).Leaving {
		s.checkLate(ctx, f, time.Now())
	} else {
		s.note("list-leaving %s: the list did not reach the node", f.server.VM.Name)
	}
	if err := s.publishLeaving(ctx, f.server, false); err != nil {
		return err
	}
	f.last = 0
	return s.stopNode(ctx, f)
}

// checkLate reads how much work a backend server has begun 3 s after its node
// began to leave and again at the end of the fault.
func (s *soak) checkLate(ctx context.Context, f fault, from time.Time) {
	if f.last == 0 {
		return
	}
	pause(ctx, time.Until(from.Add(leavingLimit)))
	before := s.readLedger(ctx, f.server)
	pause(ctx, f.last)
	after := s.readLedger(ctx, f.server)
	if before == nil || after == nil {
		s.note("%s: the ledger could not be read", f)
		return
	}
	s.mu.Lock()
	s.late++
	s.mu.Unlock()
	if a, b := started(before), started(after); a != b {
		s.broken(checkLeaving, "%s: %d calls began later than %s after leaving", f.server.VM.Name, b-a, leavingLimit)
	}
}

func started(v *standin.LedgerView) uint64 {
	var n uint64
	for _, o := range v.Operations {
		n += o.Started
	}
	return n
}

// ending is the time in which a process of a VM was ended.
type ending struct {
	server   *Server
	from, to time.Time
}

// endNode ends a node's process; what was watched of it is kept.
func (s *soak) endNode(ctx context.Context, v *Server, list *[]ending, end func(*Process)) {
	s.scrape(ctx, v)
	from := time.Now()
	end(v.node)
	s.mu.Lock()
	defer s.mu.Unlock()
	*list = append(*list, ending{v, from, time.Now()})
	s.retire(v)
}

func (s *soak) checkCleanStop(p *Process) {
	err := p.Stop(stopLimit)
	log, _ := os.ReadFile(p.log)
	if err != nil || !bytes.Contains(log, []byte(`"clean":true`)) {
		s.broken(checkStop, "%s: %v; clean in log: %t", p.name, err, bytes.Contains(log, []byte(`"clean":true`)))
	}
}

// endBackend stops a backend server and keeps the last ledger before its end.
func (s *soak) endBackend(ctx context.Context, v *Server) {
	reading, done := context.WithCancel(ctx)
	last := make(chan *standin.LedgerView, 1)
	go func() {
		var kept *standin.LedgerView
		for reading.Err() == nil {
			if l := s.readLedger(reading, v); l != nil {
				kept = l
			}
			pause(reading, ledgerPoll)
		}
		last <- kept
	}()
	if err := v.backend.Stop(stopLimit); err != nil {
		s.broken(checkStop, "%v", err)
	}
	done()
	l := <-last
	s.keepLedger(l)
	if l != nil && l.LastStartAfterDrain.D() > leavingLimit {
		s.broken(checkLeaving, "%s: a call began %s after draining", v.VM.Name, l.LastStartAfterDrain.D())
	}
	s.mu.Lock()
	s.late++
	s.mu.Unlock()
}

func (s *soak) restartNode(ctx context.Context, v *Server) error {
	s.mu.Lock()
	err := s.fleet.startNode(v)
	s.mu.Unlock()
	if err != nil {
		return err
	}
	return waitListening(ctx, v.node, v.Caller)
}

func (s *soak) restartBackend(ctx context.Context, v *Server) error {
	s.mu.Lock()
	err := s.fleet.startBackend(v, slices.Index(s.fleet.servers, v))
	s.mu.Unlock()
	if err != nil {
		return err
	}
	return waitListening(ctx, v.backend, v.Backend)
}

// readLedger returns nil where the backend server does not answer.
func (s *soak) readLedger(ctx context.Context, v *Server) *standin.LedgerView {
	var l standin.LedgerView
	if err := getJSON(ctx, "http://"+v.BackendControl+"/control/ledger?tokens=1", &l); err != nil {
		return nil
	}
	return &l
}

func (s *soak) keepLedger(l *standin.LedgerView) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l == nil {
		s.note("a ledger could not be read before its process ended")
		return
	}
	s.ledgers = append(s.ledgers, *l)
}

// knobs changes a backend server for a while.
func knobs(on, off string) func(*soak, context.Context, fault) error {
	return func(_ *soak, ctx context.Context, f fault) error {
		url := "http://" + f.server.BackendControl + "/control/knobs"
		if err := post(ctx, url, []byte(on)); err != nil {
			return err
		}
		pause(ctx, f.last)
		return post(ctx, url, []byte(off))
	}
}

// slowService slows all backend servers of a service that run.
func (s *soak) slowService(ctx context.Context, f fault) error {
	_ = s.fleet.SetKnobs(ctx, f.service, fmt.Sprintf(`{"slow":%d}`, slowFactor)) // one may be down
	pause(ctx, f.last)
	_ = s.fleet.SetKnobs(ctx, f.service, `{"slow":1}`)
	return nil
}

func platformMode(m standin.Mode) func(*soak, context.Context, fault) error {
	return func(s *soak, ctx context.Context, f fault) error {
		if err := s.setPlatform(ctx, m); err != nil {
			return err
		}
		pause(ctx, f.last)
		return s.setPlatform(ctx, standin.ModeUp)
	}
}
