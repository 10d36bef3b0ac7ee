package trial

import (
	"context"
	"syscall"
	"time"

	"dogwoodhead/standin"
)

const (
	// faultGap is the mean time between two faults, faultLength how long one lasts.
	// Faults overlap.
	faultGap    = 700 * time.Millisecond
	faultLength = 1500 * time.Millisecond
	// drainTime is how long a backend server that is draining still serves.
	drainTime = 5 * time.Second
)

// meshFault begins a fault at a VM and returns how to end it, nil where it ends
// by itself.
type meshFault struct {
	name  string
	begin func(s *meshSoak, vm *meshVM) (end func())
	// length is how long the fault lasts; faultLength where it is 0.
	length time.Duration
	// planned faults are changes that must not disturb anybody.
	planned bool
	// ends is set where processes end or pause, wide where a part of the VMs is
	// concerned, store where nodes are kept from the store.
	ends, wide, store bool
}

func linkFault(m linkMode) func(*meshSoak, *meshVM) func() {
	return func(_ *meshSoak, vm *meshVM) func() {
		vm.call.set(m)
		vm.ctl.set(m)
		return func() {
			vm.call.set(linkOpen)
			vm.ctl.set(linkOpen)
		}
	}
}

func storeFault(m standin.StoreMode) func(*meshSoak, *meshVM) func() {
	return func(s *meshSoak, _ *meshVM) func() {
		s.store.SetMode(m)
		return func() { s.store.SetMode(standin.StoreUp) }
	}
}

// storeLinks sets the links of all VMs to the store.
func storeLinks(m linkMode) func(*meshSoak, *meshVM) func() {
	return func(s *meshSoak, _ *meshVM) func() {
		set := func(m linkMode) {
			for _, vm := range s.vms {
				vm.storeLink.set(m)
			}
		}
		set(m)
		return func() { set(linkOpen) }
	}
}

func appFault(f standin.AppFault) func(*meshSoak, *meshVM) func() {
	return func(_ *meshSoak, vm *meshVM) func() {
		vm.fault.Store("", f)
		return func() { vm.fault.Delete("") }
	}
}

var meshFaults = []meshFault{
	{name: "herd", begin: (*meshSoak).herd, length: 300 * time.Millisecond, ends: true, wide: true},
	{name: "crash", begin: (*meshSoak).crash},
	{name: "kill", begin: func(s *meshSoak, vm *meshVM) func() {
		vm.process.Kill()
		return func() { s.restart(vm) }
	}, length: 300 * time.Millisecond, ends: true},
	{name: "term", begin: (*meshSoak).term, planned: true},
	{name: "hup", begin: func(_ *meshSoak, vm *meshVM) func() {
		_ = vm.process.cmd.Process.Signal(syscall.SIGHUP)
		return nil
	}, planned: true},
	{name: "pause", begin: func(_ *meshSoak, vm *meshVM) func() {
		p := vm.process
		_ = p.cmd.Process.Signal(syscall.SIGSTOP)
		return func() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }
	}, ends: true},
	{name: "slow", begin: linkFault(linkSlow)},
	{name: "oneway", begin: linkFault(linkOneWay)},
	{name: "answers", begin: linkFault(linkAnswers)},
	{name: "silent", begin: linkFault(linkSilent)},
	{name: "reset", begin: func(_ *meshSoak, vm *meshVM) func() {
		vm.call.reset()
		vm.ctl.reset()
		return nil
	}},
	{name: "store-cut", begin: func(_ *meshSoak, vm *meshVM) func() {
		vm.storeLink.set(linkSilent)
		return func() { vm.storeLink.set(linkOpen) }
	}},
	{name: "store-busy", begin: storeFault(standin.StoreBusy), store: true},
	{name: "store-silent", begin: storeFault(standin.StoreSilent), store: true},
	{name: "store-slow", begin: storeLinks(linkSlow)},
	{name: "store-lost", begin: storeLinks(linkAnswers), store: true},
	{name: "store-refuse", begin: (*meshSoak).refuse, wide: true},
	{name: "store-compact", begin: func(s *meshSoak, _ *meshVM) func() {
		s.store.Compact()
		return nil
	}},
	{name: "app-lose", begin: appFault(standin.AppLose)},
	{name: "app-cut", begin: appFault(standin.AppCut)},
	{name: "app-extra", begin: appFault(standin.AppExtra)},
	{name: "app-shed", begin: appFault(standin.AppShed)},
	{name: "app-fail", begin: appFault(standin.AppFail)},
	{name: "config", begin: func(s *meshSoak, _ *meshVM) func() {
		s.putConfig()
		return nil
	}, planned: true},
	{name: "drain", begin: (*meshSoak).drain, length: drainTime, planned: true},
}

// inject begins and ends faults until the length is over and all have ended.
func (s *meshSoak) inject(ctx context.Context) {
	pause(ctx, meshLead)
	type pending struct {
		at  time.Time
		end func()
		// event is the index of the fault's event.
		event int
	}
	var open []pending
	finish := func(all bool) {
		kept := open[:0]
		for _, p := range open {
			if !all && time.Now().Before(p.at) {
				kept = append(kept, p)
				continue
			}
			pause(ctx, time.Until(p.at))
			s.locked(func() {
				p.end()
				// Ends come one after the other, and that of a stop waits for the process.
				s.events[p.event].until = time.Now()
			})
		}
		open = kept
	}
	end := time.Now().Add(s.o.Length)
	for time.Now().Before(end) && ctx.Err() == nil {
		f := s.pick()
		vm := s.vms[s.random.IntN(len(s.vms))]
		length := f.length
		if length == 0 {
			length = time.Duration((0.5 + s.random.Float64()) * float64(faultLength))
		}
		s.locked(func() {
			if stop := s.begin(f, vm, length); stop != nil {
				open = append(open, pending{at: time.Now().Add(length), end: stop, event: len(s.events) - 1})
			}
		})
		pause(ctx, time.Duration((0.3+s.random.ExpFloat64()*0.7)*float64(faultGap)))
		finish(false)
	}
	finish(true)
}

// plannedPart is the part of planned changes, as a divisor: there are few kinds
// of them, and most promises are about them.
const plannedPart = 3

// pick draws a fault or a planned change.
func (s *meshSoak) pick() meshFault {
	planned := s.random.IntN(plannedPart) == 0
	for {
		f := meshFaults[s.random.IntN(len(meshFaults))]
		if f.planned == planned {
			return f
		}
	}
}

func (s *meshSoak) locked(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// begin starts a fault and notes it. The caller holds the lock.
func (s *meshSoak) begin(f meshFault, vm *meshVM, length time.Duration) func() {
	now := time.Now()
	e := event{
		kind: f.name, at: now, until: now.Add(length), app: vm.app.ID(), starts: vm.starts,
		vm: vm.index, vms: 1, of: len(s.vms), fault: !f.planned, ends: f.ends, store: f.store,
	}
	if f.wide {
		e.vms = len(s.part(vm))
	}
	stop := f.begin(s, vm)
	s.events = append(s.events, e)
	s.faults = append(s.faults, f.name)
	return stop
}

// broken notes that something failed which no fault excuses.
func (s *meshSoak) broken(vm *meshVM, what string) {
	s.events = append(s.events, event{kind: "broken " + what, vm: vm.index, at: time.Now()})
}

// restart starts the node's process again, where it does not run.
func (s *meshSoak) restart(vm *meshVM) {
	if vm.process.Running() {
		return
	}
	if err := s.startNode(vm); err != nil {
		s.broken(vm, "start: "+err.Error())
	}
}

// term stops the process as planned and starts it again once it is gone.
func (s *meshSoak) term(vm *meshVM) func() {
	p := vm.process
	if !p.Running() {
		return nil
	}
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	return func() {
		select {
		case <-p.ended:
		case <-time.After(meshGrace + time.Second):
			s.broken(vm, "stop: beyond the grace")
			p.Kill()
		}
		if p == vm.process {
			s.restart(vm)
		}
	}
}

// drain takes the backend server out of service and replaces it.
func (s *meshSoak) drain(vm *meshVM) func() {
	old := vm.app
	if !vm.drainedSince.IsZero() {
		return nil
	}
	vm.drainedSince = time.Now()
	old.Register(s.store, true)
	return func() { s.replace(vm, old) }
}

// herdPart is the part of the VMs, as a divisor, that a herd kill and a store
// that turns VMs away concern.
const herdPart = 3

// part returns a part of the VMs, beginning at one.
func (s *meshSoak) part(first *meshVM) []*meshVM {
	var vms []*meshVM
	for i := range max(len(s.vms)/herdPart, 1) {
		vms = append(vms, s.vms[(first.index+i)%len(s.vms)])
	}
	return vms
}

// herd kills the nodes of a part of the VMs at the same time.
func (s *meshSoak) herd(first *meshVM) func() {
	vms := s.part(first)
	for _, vm := range vms {
		if vm.process.Running() {
			vm.process.Kill()
		}
	}
	return func() {
		for _, vm := range vms {
			s.restart(vm)
		}
	}
}

// refuse makes the store turn a part of the VMs away.
func (s *meshSoak) refuse(first *meshVM) func() {
	vms := s.part(first)
	set := func(refuse bool) {
		for _, vm := range vms {
			s.store.SetRefused(vm.hidden, refuse)
		}
	}
	set(true)
	return func() { set(false) }
}

// crash ends the backend server without notice. Its entry lapses, and another
// one takes its place.
func (s *meshSoak) crash(vm *meshVM) func() {
	if !vm.drainedSince.IsZero() {
		return nil
	}
	old := vm.app
	vm.drainedSince = time.Now()
	old.Stop()
	return func() { s.replace(vm, old) }
}

// replace removes a backend server and starts another one.
func (s *meshSoak) replace(vm *meshVM, old *standin.App) {
	s.store.Delete("servers/" + old.ID())
	old.Stop()
	if err := s.startApp(vm); err != nil {
		s.broken(vm, "start: "+err.Error())
	}
}

// killAll kills all nodes at the same time and starts them again.
func (s *meshSoak) killAll() {
	s.locked(func() {
		now := time.Now()
		n := len(s.vms)
		s.events = append(s.events, event{
			kind: "kill-all", at: now, until: now.Add(meshRecovery), vms: n, of: n, fault: true, ends: true,
		})
		for _, vm := range s.vms {
			if vm.process.Running() {
				vm.process.Kill()
			}
		}
		for _, vm := range s.vms {
			s.restart(vm)
		}
	})
}
