package soak

import (
	"maps"
	"slices"
	"syscall"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/standin/store"
	"github.com/pimentohinge/pimentohinge/internal/standin/upstream"
)

// weightedFault is a fault and how often it is injected, relative to the others of its
// profile.
type weightedFault struct {
	name   string
	weight int
	inject func(*fleet)
}

// Names of the profiles.
const (
	// profileMixed has all faults but endless responses.
	profileMixed = "mixed"
	// profileRecovery has those of profileMixed and ends with the kill of all VMs at once.
	profileRecovery = "recovery"
	// profileLeaving has engines that leave and continue runs whose connections are lost.
	profileLeaving = "leaving"
	// profileStops has planned stops of one VM after the other and nothing else.
	profileStops = "stops"
	// profileNetwork has connections with delays whose bytes are held up or lost, suspended
	// servers, slow VMs and changes of the configuration.
	profileNetwork = "network"
	// profileOperator has evacuations of a data centre and a store that comes back from an older
	// copy.
	profileOperator = "operator"
	// profileEndless has backend servers that send responses without end.
	profileEndless = "endless"
)

var profiles = map[string][]weightedFault{
	profileMixed: {
		{"engineLeaves", 4, (*fleet).engineLeaves},
		{"engineCrashes", 1, (*fleet).engineCrashes},
		{"engineRefuses", 1, (*fleet).engineRefuses},
		{"responsesLost", 6, (*fleet).loseResponses},
		{"plainFaults", 2, (*fleet).plainFaults},
		{"vmFreezes", 1, (*fleet).vmFreezes},
		{"vmKilled", 1, (*fleet).vmKilled},
		{"vmStops", 1, (*fleet).vmStops},
		{"vmReloads", 1, func(f *fleet) { f.randomVM().signal(syscall.SIGHUP) }},
		{"storeFails", 1, (*fleet).storeFails},
	},
	profileLeaving: {
		{"engineLeaves", 2, (*fleet).engineLeaves},
		{"responsesLost", 4, (*fleet).loseResponses},
	},
	profileNetwork: {
		{"engineLeaves", 3, (*fleet).engineLeaves},
		{"responsesLost", 3, (*fleet).loseResponses},
		{"serverSuspended", 3, (*fleet).serverSuspended},
		{"linkHeld", 3, (*fleet).linkHeld},
		{"linkSilent", 1, (*fleet).linkSilent},
		{"vmSlow", 1, (*fleet).vmSlow},
		{"vmStops", 1, (*fleet).vmStops},
		{"plainFaults", 1, (*fleet).plainFaults},
		{"configChanges", 2, (*fleet).configChanges},
		{"storeFails", 1, (*fleet).storeFails},
	},
	profileOperator: {
		{"evacuation", 2, (*fleet).evacuate},
		{"storeRestored", 1, (*fleet).restoreStore},
		{"engineLeaves", 2, (*fleet).engineLeaves},
		{"responsesLost", 2, (*fleet).loseResponses},
	},
	profileStops:   {{"vmStops", 1, (*fleet).vmStopsAlone}},
	profileEndless: {{"endless", 1, (*fleet).endlessResponses}},
}

func init() { profiles[profileRecovery] = profiles[profileMixed] }

// ProfileNames returns the names of the sets of faults.
func ProfileNames() []string { return slices.Sorted(maps.Keys(profiles)) }

func (f *fleet) randomVM() *vm { return f.vms[f.random.IntN(len(f.vms))] }

// milliseconds returns a random duration.
func (f *fleet) milliseconds(from, to int) time.Duration {
	return time.Duration(from+f.random.IntN(to-from)) * time.Millisecond
}

// openEngines returns the engines that have not been stopped.
func (f *fleet) openEngines() []*server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(f.engines), func(s *server) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.stopped
	})
}

// randomEngine returns an engine that does not leave, or nil if few are left.
func (f *fleet) randomEngine() *server {
	staying := slices.DeleteFunc(f.openEngines(), (*server).isLeaving)
	if len(staying) < max(2, f.opts.Engines/2) {
		return nil
	}
	return staying[f.random.IntN(len(staying))]
}

// engineLeaves announces the end of an engine, in the list, in its responses or both, and
// ends it some time later. Meanwhile it may refuse new connections, as a server does that
// shuts down in order, or ignore them. Another engine takes its place, at times at its address
// or under its ID too, and as soon as its listener is closed, as in a rolling restart.
func (f *fleet) engineLeaves() {
	engine := f.randomEngine()
	if engine == nil || !engine.markLeaving() {
		return
	}
	how := f.random.IntN(4)
	if how != 0 {
		engine.announceLeaving()
	}
	if how < 2 {
		engine.replica.SayLeaving()
	}
	stopAfter := f.milliseconds(1500, 8000)
	// addressFreeAfter is when another server can listen at the address.
	addressFreeAfter := stopAfter
	switch closeAfter := f.milliseconds(100, 1500); f.random.IntN(6) {
	case 0, 1:
		time.AfterFunc(closeAfter, engine.replica.CloseListener)
		addressFreeAfter = closeAfter
	case 2, 3:
		time.AfterFunc(closeAfter, engine.replica.ShutDown)
		addressFreeAfter = closeAfter
	case 4:
		time.AfterFunc(closeAfter, engine.network.fillQueue)
	}
	number, id := 0, ""
	replaceAfter := f.milliseconds(100, 3000)
	switch f.random.IntN(4) {
	case 0:
		number, replaceAfter = engine.number, addressFreeAfter+f.milliseconds(20, 600)
	case 1:
		number, id, replaceAfter = engine.number, engine.id, addressFreeAfter+f.milliseconds(20, 600)
	}
	time.AfterFunc(stopAfter, engine.stop)
	time.AfterFunc(replaceAfter, func() { _ = f.startServer(engineService, number, id) })
}

// engineCrashes ends an engine without an announcement.
func (f *fleet) engineCrashes() {
	engine := f.randomEngine()
	if engine == nil || !engine.markLeaving() {
		return
	}
	engine.stop()
	time.AfterFunc(f.milliseconds(500, 3000), func() { _ = f.startServer(engineService, 0, "") })
}

func (f *fleet) engineRefuses() {
	if engine := f.randomEngine(); engine != nil {
		engine.replica.RefuseUntil(time.Now().Add(f.milliseconds(100, 2000)))
	}
}

// loseResponses closes the connections of some streams whose engines continue with them,
// more of those of engines that leave.
func (f *fleet) loseResponses() {
	for _, engine := range f.openEngines() {
		oneIn := 12
		if engine.isLeaving() {
			oneIn = 3
		}
		for _, attempt := range engine.replica.Running() {
			if f.random.IntN(oneIn) == 0 {
				engine.replica.LoseResponse(attempt)
			}
		}
	}
}

// randomServer returns a server that has not been stopped, or nil.
func (f *fleet) randomServer() *server {
	servers := f.openEngines()
	f.mu.Lock()
	servers = append(servers, f.plain...)
	f.mu.Unlock()
	return servers[f.random.IntN(len(servers))]
}

// serverSuspended suspends the process of a server for a while.
func (f *fleet) serverSuspended() {
	f.randomServer().replica.SuspendUntil(time.Now().Add(f.milliseconds(200, 6000)))
}

// linkHeld holds up bytes to or from a server, or both, for a while.
func (f *fleet) linkHeld() {
	how := 1 + f.random.IntN(3)
	f.randomServer().network.link.hold(how&1 != 0, how&2 != 0, time.Now().Add(f.milliseconds(200, 4000)))
}

// linkSilent makes the open connections to a server pass nothing any more.
func (f *fleet) linkSilent() { f.randomServer().network.link.silence() }

const (
	// slowPeriod and slowPause are the period of a slow VM and the part of it in which its process
	// is suspended.
	slowPeriod = 50 * time.Millisecond
	slowPause  = 35 * time.Millisecond
)

// vmSlow gives a VM a part of a processor core for a while.
func (f *fleet) vmSlow() {
	v, end := f.randomVM(), time.Now().Add(f.milliseconds(1000, 6000))
	if !v.begin() {
		return
	}
	go func() {
		for time.Now().Before(end) {
			v.signal(syscall.SIGSTOP)
			time.Sleep(slowPause)
			v.signal(syscall.SIGCONT)
			time.Sleep(slowPeriod - slowPause)
		}
		v.finish()
	}()
}

// configChanges publishes a configuration in which a route is gone, leads to another service,
// may be sent to more or fewer servers or has another timeout, and the first one again later.
func (f *fleet) configChanges() {
	if !f.configChanging.CompareAndSwap(false, true) {
		return
	}
	change := configChange(f.random.IntN(int(configChangeCount)))
	f.publishConfig(change)
	time.AfterFunc(f.milliseconds(300, 4000), func() {
		f.publishConfig(configUnchanged)
		f.configChanging.Store(false)
	})
}

// plainFaults makes a plain server stall, refuse or break responses for a while.
func (f *fleet) plainFaults() {
	f.mu.Lock()
	s := f.plain[f.random.IntN(len(f.plain))]
	f.mu.Unlock()
	sets := [][]upstream.Fault{
		{upstream.Hangs},
		{upstream.Overloaded, upstream.RepeatsRefusal, upstream.RepeatsRefusalWithoutID},
		{upstream.TruncatesBody, upstream.StopsInHeader, upstream.DropsResponse},
		{upstream.FailsAsBusy, upstream.InternalError},
		{upstream.SendsExtraResponse, upstream.SendsMalformed, upstream.CloseDelimited},
	}
	s.setFaults(sets[f.random.IntN(len(sets))]...)
	time.AfterFunc(f.milliseconds(300, 3000), func() { s.setFaults() })
}

// endlessResponses makes two servers of each service send responses without end for a while.
func (f *fleet) endlessResponses() {
	plainForms := []upstream.Fault{upstream.SendsEndlessHeader, upstream.SendsEndlessBody}
	engineForms := append([]upstream.Fault{upstream.SendsEndlessEvent, upstream.DripsEndlessEvent, upstream.HoldsLongEvent}, plainForms...)
	lasts := f.milliseconds(500, 3000)
	f.mu.Lock()
	plain := f.plain[:2]
	f.mu.Unlock()
	for _, s := range plain {
		s.sendEndless(plainForms[f.random.IntN(len(plainForms))], lasts)
	}
	for range 2 {
		if engine := f.randomEngine(); engine != nil {
			engine.sendEndless(engineForms[f.random.IntN(len(engineForms))], lasts)
		}
	}
	if f.random.IntN(3) == 0 {
		f.engineLeaves()
	}
}

func (f *fleet) vmFreezes() {
	if v, d := f.randomVM(), f.milliseconds(300, 6000); v.begin() {
		go v.freeze(d)
	}
}

func (f *fleet) vmKilled() {
	if v, pause := f.randomVM(), f.milliseconds(200, 1000); v.begin() {
		go v.restart(syscall.SIGKILL, pause)
	}
}

func (f *fleet) vmStops() {
	if v, pause := f.randomVM(), f.milliseconds(200, 1000); v.begin() {
		go v.restart(syscall.SIGTERM, pause)
	}
}

// vmStopsAlone stops a VM unless another one is stopping.
func (f *fleet) vmStopsAlone() {
	for _, v := range f.vms {
		if v.isBusy() {
			return
		}
	}
	f.vmStops()
}

// storeFails makes the store refuse, ignore or delay all calls for a while.
func (f *fleet) storeFails() {
	faults := []store.Faults{
		{Outage: true},
		{Unresponsive: true, DelayMs: storeRoundTripMs},
		{DelayMs: 600},
		{DropResponses: 5, DelayMs: storeRoundTripMs},
	}
	f.store.SetFaults(faults[f.random.IntN(len(faults))])
	began, lasts := time.Now(), f.milliseconds(300, 6000)
	f.mu.Lock()
	f.storeDisturbed = append(f.storeDisturbed, [2]time.Time{began, began.Add(lasts)})
	f.mu.Unlock()
	time.AfterFunc(lasts, func() { f.store.SetFaults(store.Faults{DelayMs: storeRoundTripMs}) })
}

// killAll kills all VMs at once and starts them again.
func (f *fleet) killAll() {
	for _, v := range f.vms {
		for !v.begin() {
			time.Sleep(10 * time.Millisecond)
		}
	}
	f.countFault("allKilled")
	for _, v := range f.vms {
		go v.restart(syscall.SIGKILL, time.Second)
	}
}

// endFaults ends the faults that last until they are ended.
func (f *fleet) endFaults() {
	f.store.SetFaults(store.Faults{DelayMs: storeRoundTripMs})
	f.mu.Lock()
	servers := append(slices.Clone(f.engines), f.plain...)
	f.mu.Unlock()
	for _, s := range servers {
		s.setFaults()
	}
}
