package trial

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"dogwoodhead/standin"
)

const (
	// meshFaultInterval is the mean time between two faults, meshFaultDuration
	// the mean duration of one. Faults overlap.
	meshFaultInterval = 700 * time.Millisecond
	meshFaultDuration = 1500 * time.Millisecond
	// meshDrainDuration is how long a draining backend server still serves.
	meshDrainDuration = 5 * time.Second
	// meshOutageDuration is the mean duration of an outage that outlasts calls to the
	// store, meshCallPause how long a node pauses at most between two calls.
	meshOutageDuration = 5 * time.Second
	meshCallPause      = 300 * time.Millisecond
	// meshLimitDuration outlasts meshLimitSettleTime and one meshLimitWindow.
	meshLimitDuration = 9 * time.Second
	// meshSlowDelay is how much longer each booking takes at slow backend servers.
	// meshSlowBurst more bookings than usual arrive, one every meshSlowPause, so that
	// some wait for a slot until a planned stop of their node ends. meshSlowDuration
	// outlasts such a stop.
	meshSlowDelay    = 2500 * time.Millisecond
	meshSlowBurst    = 160
	meshSlowPause    = 40 * time.Millisecond
	meshSlowDuration = 9 * time.Second
	// meshServerLimit is the requests per second that a limited backend server takes.
	meshServerLimit = 8
)

// meshFault is a kind of fault or planned change. begin starts it at a VM and
// returns how to end it, or nil if it ends by itself.
type meshFault struct {
	name  string
	begin func(s *meshSoak, vm *meshVM) (end func())
	// duration is the duration, or its mean if randomLength is set; 0 means a random
	// one around meshFaultDuration.
	duration     time.Duration
	randomLength bool
	// planned changes must not disturb any request.
	planned bool
	// stopsNode is set if the node is stopped as planned.
	stopsNode bool
	// affectsProcess is set if node processes are killed or paused, multipleVMs
	// if a group of VMs is affected, blocksStore if nodes cannot reach the store.
	affectsProcess, multipleVMs, blocksStore bool
}

func linkFault(mode linkMode) func(*meshSoak, *meshVM) func() {
	return func(_ *meshSoak, vm *meshVM) func() {
		vm.callProxy.setMode(mode)
		vm.controlProxy.setMode(mode)
		return func() {
			vm.callProxy.setMode(linkOpen)
			vm.controlProxy.setMode(linkOpen)
		}
	}
}

func storeFault(mode standin.StoreMode) func(*meshSoak, *meshVM) func() {
	return func(s *meshSoak, _ *meshVM) func() {
		s.store.SetMode(mode)
		return func() { s.store.SetMode(standin.StoreUp) }
	}
}

// storeLinksFault sets the mode of the links of all VMs to the store.
func storeLinksFault(mode linkMode) func(*meshSoak, *meshVM) func() {
	return func(s *meshSoak, _ *meshVM) func() {
		setAll := func(mode linkMode) {
			for _, vm := range s.vms {
				vm.storeProxy.setMode(mode)
			}
		}
		setAll(mode)
		return func() { setAll(linkOpen) }
	}
}

func appFault(f standin.AppFault) func(*meshSoak, *meshVM) func() {
	return func(_ *meshSoak, vm *meshVM) func() {
		vm.appFault.Store("", f)
		return func() { vm.appFault.Delete("") }
	}
}

var meshFaults = []meshFault{
	{name: "herd", begin: (*meshSoak).killGroup, duration: 300 * time.Millisecond, affectsProcess: true, multipleVMs: true},
	{name: "crash", begin: (*meshSoak).crashApp},
	{name: "kill", begin: func(s *meshSoak, vm *meshVM) func() {
		vm.node.Kill()
		return func() { s.restartNode(vm) }
	}, duration: 300 * time.Millisecond, affectsProcess: true},
	{name: "term", begin: (*meshSoak).stopNode, planned: true, stopsNode: true},
	{name: "term-hup", begin: (*meshSoak).stopNodeWithReloads, planned: true, stopsNode: true},
	{name: "hup", begin: func(_ *meshSoak, vm *meshVM) func() {
		_ = vm.node.cmd.Process.Signal(syscall.SIGHUP)
		return nil
	}, planned: true},
	{name: "pause", begin: func(_ *meshSoak, vm *meshVM) func() { return vm.node.pause() }, affectsProcess: true},
	{name: "slow", begin: linkFault(linkSlow)},
	{name: "oneway", begin: linkFault(linkBlockRequests)},
	{name: "answers", begin: linkFault(linkBlockResponses)},
	{name: "silent", begin: linkFault(linkBlockAll)},
	{name: "reset", begin: func(_ *meshSoak, vm *meshVM) func() {
		vm.callProxy.reset()
		vm.controlProxy.reset()
		return nil
	}},
	{name: "store-cut", begin: func(_ *meshSoak, vm *meshVM) func() {
		vm.storeProxy.setMode(linkBlockAll)
		return func() { vm.storeProxy.setMode(linkOpen) }
	}},
	{name: "store-busy", begin: storeFault(standin.StoreBusy), blocksStore: true},
	{name: "store-silent", begin: storeFault(standin.StoreSilent), blocksStore: true},
	{name: "store-outage", begin: (*meshSoak).storeOutage, duration: meshOutageDuration, randomLength: true, blocksStore: true},
	{name: "store-slow", begin: storeLinksFault(linkSlow)},
	{name: "store-lost", begin: storeLinksFault(linkBlockResponses), blocksStore: true},
	{name: "store-refuse", begin: (*meshSoak).refuseGroup, multipleVMs: true},
	{name: "store-compact", begin: func(s *meshSoak, _ *meshVM) func() {
		s.store.Compact()
		return nil
	}},
	{name: "app-lose", begin: appFault(standin.AppLose)},
	{name: "app-cut", begin: appFault(standin.AppCut)},
	{name: "app-extra", begin: appFault(standin.AppExtra)},
	{name: "app-shed", begin: appFault(standin.AppShed)},
	{name: "app-fail", begin: appFault(standin.AppFail)},
	{name: "app-endless", begin: appFault(standin.AppEndless)},
	{name: "app-cut-head", begin: appFault(standin.AppCutHead)},
	{name: "app-refuse-twice", begin: appFault(standin.AppRefuseTwice)},
	{name: "app-early", begin: appFault(standin.AppEarly)},
	{name: "app-reset-early", begin: appFault(standin.AppResetEarly)},
	{name: "app-close-early", begin: appFault(standin.AppCloseEarly)},
	{name: "app-malformed", begin: appFault(standin.AppMalformed)},
	{name: "app-slow", begin: (*meshSoak).slowBookings, duration: meshSlowDuration},
	{name: "app-limit", begin: (*meshSoak).limitApp, duration: meshLimitDuration},
	{name: "config", begin: func(s *meshSoak, _ *meshVM) func() {
		s.putNextConfig()
		return nil
	}, planned: true},
	{name: "drain", begin: (*meshSoak).drainApp, duration: meshDrainDuration, planned: true},
	{name: "leave", begin: (*meshSoak).announceLeaving, duration: meshDrainDuration, planned: true},
}

// injectFaults starts faults for opts.Length, and ends all of them.
func (s *meshSoak) injectFaults(ctx context.Context) {
	sleep(ctx, meshWarmUp)
	type activeFault struct {
		endAt time.Time
		end   func()
		// eventIndex is the index of the fault's event.
		eventIndex int
	}
	var active []activeFault
	endFaults := func(all bool) {
		remaining := active[:0]
		for _, a := range active {
			if !all && time.Now().Before(a.endAt) {
				remaining = append(remaining, a)
				continue
			}
			sleep(ctx, time.Until(a.endAt))
			s.withLock(func() {
				a.end()
				// Faults end one after the other, and ending a planned stop
				// waits for the process.
				s.events[a.eventIndex].end = time.Now()
			})
		}
		active = remaining
	}
	deadline := time.Now().Add(s.opts.Length)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		f := s.pickFault()
		vm := s.vms[s.random.IntN(len(s.vms))]
		duration := f.duration
		if duration == 0 || f.randomLength {
			duration = time.Duration((0.5 + s.random.Float64()) * float64(max(f.duration, meshFaultDuration)))
		}
		s.withLock(func() {
			if end := s.beginFault(f, vm, duration); end != nil {
				active = append(active, activeFault{endAt: time.Now().Add(duration), end: end, eventIndex: len(s.events) - 1})
			}
		})
		sleep(ctx, time.Duration((0.3+s.random.ExpFloat64()*0.7)*float64(meshFaultInterval)))
		endFaults(false)
	}
	endFaults(true)
}

// plannedDivisor is the inverse of the fraction of planned changes: there are
// few kinds of them, but most guarantees concern them.
const plannedDivisor = 3

// pickFault picks a random fault or planned change.
func (s *meshSoak) pickFault() meshFault {
	planned := s.random.IntN(plannedDivisor) == 0
	for {
		f := meshFaults[s.random.IntN(len(meshFaults))]
		if f.planned == planned {
			return f
		}
	}
}

func (s *meshSoak) withLock(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// beginFault starts a fault and records its event. The caller holds s.mu.
func (s *meshSoak) beginFault(f meshFault, vm *meshVM, duration time.Duration) func() {
	now := time.Now()
	e := event{
		kind: f.name, start: now, end: now.Add(duration), appID: vm.app.ID(), nodeStarts: vm.nodeStarts,
		firstVM: vm.index, vmCount: 1, totalVMs: len(s.vms), unplanned: !f.planned, affectsProcess: f.affectsProcess, blocksStore: f.blocksStore,
		stopsNode: f.stopsNode, node: vm.node,
	}
	if f.multipleVMs {
		e.vmCount = len(s.vmGroup(vm))
	}
	end := f.begin(s, vm)
	s.events = append(s.events, e)
	s.faultNames = append(s.faultNames, f.name)
	return end
}

// recordFailure records a failure that no fault excuses. The caller holds s.mu.
func (s *meshSoak) recordFailure(vm *meshVM, failure string) {
	s.events = append(s.events, event{kind: "broken " + failure, firstVM: vm.index, start: time.Now()})
}

// storeOutage makes the store silent between two configurations. The first one
// makes all nodes begin a call shortly before the outage, and the second one is
// stored as soon as the store is back, while calls made during the outage may hang.
func (s *meshSoak) storeOutage(_ *meshVM) func() {
	s.putNextConfig()
	silence := time.AfterFunc(meshCallPause, func() { s.store.SetMode(standin.StoreSilent) })
	return func() {
		silence.Stop()
		s.store.SetMode(standin.StoreUp)
		s.putNextConfig()
	}
}

// slowBookings makes all backend servers of the bookings slow, and sends bookings
// through all nodes in turn.
func (s *meshSoak) slowBookings(*meshVM) func() {
	setDelay := func(d time.Duration) {
		for _, vm := range s.vms {
			if vm.service == "book" {
				vm.appDelay.Store(int64(d))
			}
		}
	}
	setDelay(meshSlowDelay)
	s.bursts++
	burst := s.bursts
	s.burstCalls.Go(func() {
		client := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
		for i := range meshSlowBurst {
			from := s.vms[i%len(s.vms)]
			r := requestRecord{id: fmt.Sprintf("burst%d-%d", burst, i), vm: from.index, path: "/book/x", unsafe: true, timeout: meshBookTimeout}
			s.burstCalls.Go(func() { s.call(context.Background(), client, from, r) })
			time.Sleep(meshSlowPause)
		}
	})
	return func() { setDelay(0) }
}

// vmGroupDivisor is the inverse of the fraction of VMs in a group.
const vmGroupDivisor = 3

// vmGroup returns a group of consecutive VMs that begins at first.
func (s *meshSoak) vmGroup(first *meshVM) []*meshVM {
	var vms []*meshVM
	for i := range max(len(s.vms)/vmGroupDivisor, 1) {
		vms = append(vms, s.vms[(first.index+i)%len(s.vms)])
	}
	return vms
}

// killGroup kills the nodes of a group of VMs at the same time.
func (s *meshSoak) killGroup(first *meshVM) func() {
	vms := s.vmGroup(first)
	for _, vm := range vms {
		if vm.node.Running() {
			vm.node.Kill()
		}
	}
	return func() {
		for _, vm := range vms {
			s.restartNode(vm)
		}
	}
}

// refuseGroup makes the store refuse requests from a group of VMs.
func (s *meshSoak) refuseGroup(first *meshVM) func() {
	vms := s.vmGroup(first)
	set := func(refuse bool) {
		for _, vm := range vms {
			s.store.SetRefused(vm.nodeIP, refuse)
		}
	}
	set(true)
	return func() { set(false) }
}

// killAllNodes kills all nodes at the same time and restarts them.
func (s *meshSoak) killAllNodes() {
	s.withLock(func() {
		now := time.Now()
		n := len(s.vms)
		s.events = append(s.events, event{
			kind: "kill-all", start: now, end: now.Add(meshRecovery), vmCount: n, totalVMs: n, unplanned: true, affectsProcess: true,
		})
		for _, vm := range s.vms {
			if vm.node.Running() {
				vm.node.Kill()
			}
		}
		for _, vm := range s.vms {
			s.restartNode(vm)
		}
	})
}
