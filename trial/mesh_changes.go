package trial

import (
	"strconv"
	"syscall"
	"time"

	"dogwoodhead/standin"
)

// restartNode starts the node's process again unless it runs.
func (s *meshSoak) restartNode(vm *meshVM) {
	if vm.node.Running() {
		return
	}
	if err := s.startNode(vm); err != nil {
		s.recordFailure(vm, "start: "+err.Error())
	}
}

// stopNode stops the process as planned and restarts it once it has ended.
func (s *meshSoak) stopNode(vm *meshVM) func() {
	node := vm.node
	if !node.Running() {
		return nil
	}
	_ = node.cmd.Process.Signal(syscall.SIGTERM)
	return func() {
		// A process that a fault suspended meanwhile cannot end. The faults end one after
		// the other, so that fault's end would come after this wait.
		node.resume()
		select {
		case <-node.done:
		case <-time.After(meshStopGrace + time.Second):
			s.recordFailure(vm, "stop: exceeded the grace period")
			node.Kill()
		}
		if node.exitErr != nil && !node.killed && !node.endedBeforeStart() {
			s.recordFailure(vm, "stop: "+node.exitErr.Error())
		}
		if node == vm.node {
			s.restartNode(vm)
		}
	}
}

const (
	// stopReloads is how many reloads a node is sent around a planned stop, and
	// maxReloadPause bounds the pause before each.
	stopReloads    = 6
	maxReloadPause = 400 * time.Millisecond
)

// stopNodeWithReloads stops the process as planned and also sends it SIGHUP and
// SIGTERM before and during the stop.
func (s *meshSoak) stopNodeWithReloads(vm *meshVM) func() {
	node := vm.node
	_ = node.cmd.Process.Signal(syscall.SIGHUP)
	end := s.stopNode(vm)
	if end == nil {
		return nil
	}
	pauses := make([]time.Duration, stopReloads)
	for i := range pauses {
		pauses[i] = time.Duration(s.random.Int64N(int64(maxReloadPause)))
	}
	go func() {
		for _, pause := range pauses {
			time.Sleep(pause)
			// The process may have ended.
			_ = node.cmd.Process.Signal(syscall.SIGHUP)
		}
		_ = node.cmd.Process.Signal(syscall.SIGTERM)
	}()
	return end
}

// drainApp drains the backend server and replaces it.
func (s *meshSoak) drainApp(vm *meshVM) func() {
	old := vm.app
	if !vm.replacementStart.IsZero() {
		return nil
	}
	vm.replacementStart = time.Now()
	old.Register(s.store, true)
	return func() { s.replaceApp(vm, old) }
}

// announceLeaving makes the backend server announce in its responses that it
// leaves, without an entry in the store, and replaces it.
func (s *meshSoak) announceLeaving(vm *meshVM) func() {
	old := vm.app
	if !vm.replacementStart.IsZero() {
		return nil
	}
	vm.replacementStart = time.Now()
	vm.announcements.Store("Server-Leaving", "1")
	return func() { s.replaceApp(vm, old) }
}

// limitPeriod is a time in which a backend server named a rate limit.
type limitPeriod struct {
	appID    string
	from, to time.Time
}

// limitApp makes the backend server name a rate limit in its responses.
func (s *meshSoak) limitApp(vm *meshVM) func() {
	if _, loaded := vm.announcements.LoadOrStore("Server-Limit", strconv.Itoa(meshServerLimit)); loaded {
		return nil
	}
	limited := vm.app
	period := &limitPeriod{appID: limited.ID(), from: time.Now()}
	s.limits = append(s.limits, period)
	return func() {
		period.to = time.Now()
		if vm.app == limited {
			vm.announcements.Delete("Server-Limit")
		}
	}
}

// crashApp stops the backend server without draining it. Its registration
// expires, and another backend server replaces it.
func (s *meshSoak) crashApp(vm *meshVM) func() {
	if !vm.replacementStart.IsZero() {
		return nil
	}
	old := vm.app
	vm.replacementStart = time.Now()
	old.Stop()
	return func() { s.replaceApp(vm, old) }
}

// replaceApp deregisters a backend server and starts another one.
func (s *meshSoak) replaceApp(vm *meshVM, old *standin.App) {
	s.store.Delete("servers/" + old.ID())
	old.Stop()
	if err := s.startApp(vm); err != nil {
		s.recordFailure(vm, "start: "+err.Error())
	}
}
