package faults_test

import (
	"time"

	"github.com/pimentohinge/pimentohinge/internal/standin/ledger"
	"github.com/pimentohinge/pimentohinge/internal/standin/llm"
	"github.com/pimentohinge/pimentohinge/internal/standin/store"
)

// faultTime is how long a fault that heals by itself lasts.
const faultTime = 4 * time.Second

// fault is one thing that goes wrong. The caller's VM is number 0; VM 1 is in
// the same data centre.
type fault struct {
	name string
	what string
	// apply breaks something; heal mends it after faultTime and may be nil.
	apply func(w *world)
	heal  func(w *world)
}

func setEngines(f llm.Faults) func(*world) {
	return func(w *world) {
		for _, e := range w.Engines {
			e.SetFaults(f)
		}
	}
}

func setStore(f store.Faults) func(*world) { return func(w *world) { w.Store.SetFaults(f) } }

func setLedgers(f ledger.Faults) func(*world) {
	return func(w *world) {
		for _, l := range w.Ledgers {
			l.SetFaults(f)
		}
	}
}

func healNet(w *world) { w.net.HealAll() }

// both cuts two hosts off from each other.
func (w *world) both(a, b string) {
	w.net.Cut(a, b)
	w.net.Cut(b, a)
}

// busyEngine is the engine with open work, or the first one.
func (w *world) busyEngine() int {
	for i, e := range w.Engines {
		if e.Open() > 0 {
			return i
		}
	}
	return 0
}

var engineFaults = []fault{
	{"engineKilled", "the engine's process ends", func(w *world) { w.KillEngine(w.busyEngine()) }, nil},
	{"engineReclaimed", "the engine is reclaimed at short notice", func(w *world) { w.Engines[w.busyEngine()].Reclaim() }, nil},
	{"engineLeaving", "the engine takes no new work", func(w *world) {
		w.Engines[w.busyEngine()].SetFaults(llm.Faults{Draining: true})
	}, nil},
	{"engineRefuses", "engines refuse new work", setEngines(llm.Faults{Refuse: true}), setEngines(llm.Faults{})},
	{"streamsStall", "engines stop writing without closing", setEngines(llm.Faults{StallStreams: true}), setEngines(llm.Faults{})},
	{"tokenSkipped", "engines leave a token out", setEngines(llm.Faults{SkipIndex: 60}), setEngines(llm.Faults{})},
	{"tokenRepeated", "engines send a token twice", setEngines(llm.Faults{RepeatIndex: 60}), setEngines(llm.Faults{})},
	{"streamCut", "engines break a stream", setEngines(llm.Faults{CutIndex: 60}), setEngines(llm.Faults{})},
	{"engineLinkReset", "connections to engines break", func(w *world) {
		for _, e := range w.Engines {
			w.net.Reset(w.VMs[0].Host, e.Host)
		}
	}, nil},
	{"connectionsStuck", "present connections to engines carry no data any more", func(w *world) {
		for _, e := range w.Engines {
			w.net.Stall(w.VMs[0].Host, e.Host)
		}
	}, nil},
	{"engineLinkCut", "the link to engines carries no data", func(w *world) {
		for _, e := range w.Engines {
			w.both(w.VMs[0].Host, e.Host)
		}
	}, healNet},
	{"engineLinkOneWay", "data from engines does not arrive", func(w *world) {
		for _, e := range w.Engines {
			w.net.Cut(e.Host, w.VMs[0].Host)
		}
	}, healNet},
}

var fleetFaults = []fault{
	{"peerKilled", "the other VM of the data centre dies", func(w *world) {
		w.VMs[1].Kill()
		w.net.Crash(w.VMs[1].Host)
	}, func(w *world) { w.restart(1) }},
	{"peersCut", "the VM is cut off from all others", func(w *world) {
		for _, v := range w.VMs[1:] {
			w.both(w.VMs[0].Host, v.Host)
		}
	}, healNet},
	{"peersOneWay", "the VM hears others but is not heard", func(w *world) {
		for _, v := range w.VMs[1:] {
			w.net.Cut(w.VMs[0].Host, v.Host)
		}
	}, healNet},
	{"centreCut", "the data centre is cut off from the other one and the platform", func(w *world) {
		for _, a := range w.VMs[:2] {
			w.both(a.Host, w.StoreHost)
			for _, b := range w.VMs[2:] {
				w.both(a.Host, b.Host)
			}
		}
	}, healNet},
	{"platformOut", "the platform refuses every call", setStore(store.Faults{Outage: true}), setStore(store.Faults{})},
	{"platformSlow", "the platform takes a second for each call", setStore(store.Faults{DelayMs: 1000}), setStore(store.Faults{})},
	{"platformSilent", "the platform does not answer in time", setStore(store.Faults{DelayMs: 3000}), setStore(store.Faults{})},
	{"answersLost", "the platform's writes take effect but their answers are lost", setStore(store.Faults{DropResponses: 2}), setStore(store.Faults{})},
	{"platformCut", "the VM is cut off from the platform", func(w *world) { w.both(w.VMs[0].Host, w.StoreHost) }, healNet},
}

var vmKilled = fault{"vmKilled", "the caller's VM dies", func(w *world) {
	w.VMs[0].Kill()
	w.net.Crash(w.VMs[0].Host)
}, func(w *world) { w.restart(0) }}

var vmStopped = fault{"vmStopped", "the caller's VM is stopped gracefully", func(w *world) {
	go w.VMs[0].Stop(w.ctx)
}, nil}

var callerReset = fault{"callerReset", "the caller's connection breaks", func(w *world) {
	w.net.Reset(w.ClientHost(), w.VMs[0].Host)
}, nil}

var ledgerFaults = []fault{
	{"ledgerKilled", "one replica of the service dies", func(w *world) { w.KillLedger(0) }, nil},
	{"ledgerAnswersLost", "the service runs the call but its answer is lost", setLedgers(ledger.Faults{DropResponses: 1}), setLedgers(ledger.Faults{})},
	{"ledgerSlow", "the service takes two seconds", setLedgers(ledger.Faults{DelayMs: 2000}), setLedgers(ledger.Faults{})},
	{"ledgerLinkReset", "connections to the service break", func(w *world) {
		for _, l := range w.Ledgers {
			w.net.Reset(w.VMs[0].Host, l.Host)
		}
	}, nil},
	{"ledgerLinkCut", "the link to the service carries no data", func(w *world) {
		for _, l := range w.Ledgers {
			w.both(w.VMs[0].Host, l.Host)
		}
	}, healNet},
}

// step is a moment in the life of a request or a change, as a time after its
// begin; negative means before it.
type step struct {
	name string
	at   time.Duration
}

// expectation is what a cell demands beyond the promises.
type expectation string

const (
	// finishes: the caller gets the whole answer in spite of the fault.
	finishes expectation = "finishes"
	// truthful: the caller gets the whole answer or a true statement.
	truthful expectation = "truthful"
)

// cell is one row of the matrix.
type cell struct {
	life   string
	step   step
	faults []fault
	expect expectation
}

func (c cell) name() string {
	n := c.life + "/" + c.step.name + "/"
	for i, f := range c.faults {
		if i > 0 {
			n += "+"
		}
		n += f.name
	}
	return n
}

// Lives.
const (
	lifeStream  = "streamedReport"
	lifeBuffer  = "bufferedReport"
	lifeKey     = "tagWithKey"
	lifeTicket  = "tagWithTicket"
	lifeRelease = "releaseNote"
)

var (
	reportSteps = []step{
		{"beforeRequest", -50 * time.Millisecond},
		{"beforeFirstToken", 5 * time.Millisecond},
		{"midStream", 700 * time.Millisecond},
		{"lastTokens", 1600 * time.Millisecond},
	}
	tagSteps = []step{
		{"beforeRequest", -50 * time.Millisecond},
		{"duringClaim", 1 * time.Millisecond},
		{"dispatched", 100 * time.Millisecond},
		{"answered", 400 * time.Millisecond},
	}
	releaseSteps = []step{
		{"beforeSubmit", -50 * time.Millisecond},
		{"duringAppend", 300 * time.Microsecond},
		{"spreading", 2 * time.Millisecond},
		{"inForce", 500 * time.Millisecond},
	}
)

// survivors are faults that never keep a streamed report from finishing when
// they come alone.
var survivors = map[string]bool{
	"engineLeaving": true, "streamsStall": true, "tokenSkipped": true, "tokenRepeated": true, "streamCut": true,
	"engineLinkReset": true, "connectionsStuck": true, "peerKilled": true, "peersCut": true, "peersOneWay": true, "centreCut": true,
	"platformOut": true, "platformSlow": true, "platformSilent": true, "answersLost": true, "platformCut": true,
	"vmStopped": true,
}

// early are faults that a report survives when nothing was delivered yet.
var early = map[string]bool{"engineKilled": true, "engineReclaimed": true}

func reportExpectation(life string, s step, f fault) expectation {
	switch {
	case survivors[f.name] && (f.name != "vmStopped" || s.at >= 0):
		return finishes
	case early[f.name] && (s.at < 100*time.Millisecond || life == lifeBuffer):
		return finishes
	case life == lifeStream && s.at > 100*time.Millisecond && (f.name == "callerReset" || f.name == "vmKilled"):
		return finishes
	}
	return truthful
}

// matrix lists every cell.
func matrix() []cell {
	var cells []cell
	shared := append(append([]fault{}, fleetFaults...), vmKilled, vmStopped, callerReset)
	for _, life := range []string{lifeStream, lifeBuffer} {
		for _, s := range reportSteps {
			for _, f := range append(append([]fault{}, engineFaults...), shared...) {
				cells = append(cells, cell{life, s, []fault{f}, reportExpectation(life, s, f)})
			}
		}
	}
	for _, life := range []string{lifeKey, lifeTicket} {
		for _, s := range tagSteps {
			for _, f := range append(append([]fault{}, ledgerFaults...), shared...) {
				cells = append(cells, cell{life, s, []fault{f}, truthful})
			}
		}
	}
	for _, s := range releaseSteps {
		for _, f := range append(append([]fault{}, fleetFaults...), vmKilled) {
			cells = append(cells, cell{lifeRelease, s, []fault{f}, truthful})
		}
	}
	return append(cells, pairCells()...)
}

// pairCells pairs the faults that touch the same promise.
func pairCells() []cell {
	var cells []cell
	add := func(life string, s step, list []fault) {
		for i, a := range list {
			for _, b := range list[i+1:] {
				cells = append(cells, cell{life, s, []fault{a, b}, truthful})
			}
		}
	}
	add(lifeStream, reportSteps[2], append(append([]fault{}, engineFaults...), vmKilled, callerReset, fleetFaults[0], fleetFaults[3]))
	add(lifeKey, tagSteps[1], append(append([]fault{}, ledgerFaults...), vmKilled, callerReset, fleetFaults[4], fleetFaults[7], fleetFaults[8]))
	add(lifeTicket, tagSteps[1], append(append([]fault{}, ledgerFaults...), vmKilled, callerReset, fleetFaults[1]))
	add(lifeRelease, releaseSteps[1], append(append([]fault{}, fleetFaults...), vmKilled))
	return cells
}
