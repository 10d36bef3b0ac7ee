package trial

import (
	"bytes"
	"context"
	"os"
	"slices"
	"time"

	"dogwoodhead/standin"
)

// termination is the period in which a process of a VM was stopped or killed.
type termination struct {
	server   *Server
	from, to time.Time
}

// endNodeProcess ends a node's process and archives its observation.
func (s *soak) endNodeProcess(ctx context.Context, server *Server, terminations *[]termination, end func(*Process)) {
	s.scrape(ctx, server)
	from := time.Now()
	end(server.node)
	s.mu.Lock()
	defer s.mu.Unlock()
	*terminations = append(*terminations, termination{server, from, time.Now()})
	s.archiveObservation(server)
}

func (s *soak) stopAndCheckClean(p *Process) {
	err := p.Stop(stopTimeout)
	log, _ := os.ReadFile(p.logFile)
	if err != nil || !bytes.Contains(log, []byte(`"clean":true`)) {
		s.recordViolation(checkStop, "%s: %v; clean in log: %t", p.name, err, bytes.Contains(log, []byte(`"clean":true`)))
	}
}

// stopBackendProcess stops a backend server and saves its last ledger.
func (s *soak) stopBackendProcess(ctx context.Context, server *Server) {
	readCtx, stopReading := context.WithCancel(ctx)
	lastLedger := make(chan *standin.LedgerView, 1)
	go func() {
		var latest *standin.LedgerView
		for readCtx.Err() == nil {
			if ledger := s.readLedger(readCtx, server); ledger != nil {
				latest = ledger
			}
			sleep(readCtx, ledgerPollInterval)
		}
		lastLedger <- latest
	}()
	if err := server.backend.Stop(stopTimeout); err != nil {
		s.recordViolation(checkStop, "%v", err)
	}
	stopReading()
	ledger := <-lastLedger
	s.saveLedger(ledger)
	if ledger != nil && ledger.LastStartAfterDrain.D() > soakNewWorkLimit {
		s.recordViolation(checkLeaving, "%s: a call began %s after draining", server.VM.Name, ledger.LastStartAfterDrain.D())
	}
	s.mu.Lock()
	s.newWorkChecks++
	s.mu.Unlock()
}

func (s *soak) restartNode(ctx context.Context, server *Server) error {
	s.mu.Lock()
	err := s.fleet.startNode(server)
	s.mu.Unlock()
	if err != nil {
		return err
	}
	return waitListening(ctx, server.node, server.CallerAddr)
}

func (s *soak) restartBackend(ctx context.Context, server *Server) error {
	s.mu.Lock()
	err := s.fleet.startBackend(server, slices.Index(s.fleet.servers, server))
	s.mu.Unlock()
	if err != nil {
		return err
	}
	return waitListening(ctx, server.backend, server.BackendAddr)
}

// readLedger returns nil if the backend server does not respond.
func (s *soak) readLedger(ctx context.Context, server *Server) *standin.LedgerView {
	var ledger standin.LedgerView
	if err := getJSON(ctx, "http://"+server.BackendControlAddr+"/control/ledger?tokens=1", &ledger); err != nil {
		return nil
	}
	return &ledger
}

func (s *soak) saveLedger(ledger *standin.LedgerView) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ledger == nil {
		s.logf("a ledger could not be read before its process ended")
		return
	}
	s.ledgers = append(s.ledgers, *ledger)
}
