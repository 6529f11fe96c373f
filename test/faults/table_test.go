package faults_test

import (
	"time"

	"github.com/pimentohinge/pimentohinge/internal/standin/ledger"
	"github.com/pimentohinge/pimentohinge/internal/standin/llm"
	"github.com/pimentohinge/pimentohinge/internal/standin/store"
)

// faultDuration is how long a fault that heals by itself lasts.
const faultDuration = 4 * time.Second

// fault is one thing that goes wrong. The caller's VM is number 0; VM 1 is in
// the same data centre.
type fault struct {
	name        string
	description string
	// apply breaks something; heal mends it after faultTime and may be nil.
	apply func(env *testEnv)
	heal  func(env *testEnv)
}

func setEngineFaults(f llm.Faults) func(*testEnv) {
	return func(env *testEnv) {
		for _, e := range env.Engines {
			e.SetFaults(f)
		}
	}
}

func setStoreFaults(f store.Faults) func(*testEnv) {
	return func(env *testEnv) { env.Store.SetFaults(f) }
}

func setLedgerFaults(f ledger.Faults) func(*testEnv) {
	return func(env *testEnv) {
		for _, l := range env.Ledgers {
			l.SetFaults(f)
		}
	}
}

func healNetwork(env *testEnv) { env.network.HealAll() }

// partition cuts two hosts off from each other.
func (env *testEnv) partition(a, b string) {
	env.network.Cut(a, b)
	env.network.Cut(b, a)
}

// busyEngine is the engine with open work, or the first one.
func (env *testEnv) busyEngine() int {
	for i, e := range env.Engines {
		if e.Open() > 0 {
			return i
		}
	}
	return 0
}

var engineFaults = []fault{
	{"engineKilled", "the engine's process ends", func(env *testEnv) { env.KillEngine(env.busyEngine()) }, nil},
	{"engineReclaimed", "the engine is reclaimed at short notice", func(env *testEnv) { env.Engines[env.busyEngine()].Reclaim() }, nil},
	{"engineLeaving", "the engine takes no new work", func(env *testEnv) {
		env.Engines[env.busyEngine()].SetFaults(llm.Faults{Leaving: true})
	}, nil},
	{"engineRefuses", "engines refuse new work", setEngineFaults(llm.Faults{Refuse: true}), setEngineFaults(llm.Faults{})},
	{"streamsStall", "engines stop writing without closing", setEngineFaults(llm.Faults{StallLinks: true}), setEngineFaults(llm.Faults{})},
	{"tokenSkipped", "engines leave a token out", setEngineFaults(llm.Faults{SkipIndex: 60}), setEngineFaults(llm.Faults{})},
	{"tokenRepeated", "engines send a token twice", setEngineFaults(llm.Faults{RepeatIndex: 60}), setEngineFaults(llm.Faults{})},
	{"streamCut", "engines break a stream", setEngineFaults(llm.Faults{CutIndex: 60}), setEngineFaults(llm.Faults{})},
	{"engineLinkReset", "connections to engines break", func(env *testEnv) {
		for _, e := range env.Engines {
			env.network.Reset(env.VMs[0].Host, e.Host)
		}
	}, nil},
	{"connectionsStuck", "present connections to engines carry no data any more", func(env *testEnv) {
		for _, e := range env.Engines {
			env.network.Stick(env.VMs[0].Host, e.Host)
		}
	}, nil},
	{"engineLinkCut", "the link to engines carries no data", func(env *testEnv) {
		for _, e := range env.Engines {
			env.partition(env.VMs[0].Host, e.Host)
		}
	}, healNetwork},
	{"engineLinkOneWay", "data from engines does not arrive", func(env *testEnv) {
		for _, e := range env.Engines {
			env.network.Cut(e.Host, env.VMs[0].Host)
		}
	}, healNetwork},
}

var fleetFaults = []fault{
	{"peerKilled", "the other VM of the data centre dies", func(env *testEnv) {
		env.VMs[1].Kill()
		env.network.Crash(env.VMs[1].Host)
	}, func(env *testEnv) { env.restart(1) }},
	{"peersCut", "the VM is cut off from all others", func(env *testEnv) {
		for _, v := range env.VMs[1:] {
			env.partition(env.VMs[0].Host, v.Host)
		}
	}, healNetwork},
	{"peersOneWay", "the VM hears others but is not heard", func(env *testEnv) {
		for _, v := range env.VMs[1:] {
			env.network.Cut(env.VMs[0].Host, v.Host)
		}
	}, healNetwork},
	{"centreCut", "the data centre is cut off from the other one and the platform", func(env *testEnv) {
		for _, a := range env.VMs[:2] {
			env.partition(a.Host, env.StoreHost)
			for _, b := range env.VMs[2:] {
				env.partition(a.Host, b.Host)
			}
		}
	}, healNetwork},
	{"platformOut", "the platform refuses every call", setStoreFaults(store.Faults{Outage: true}), setStoreFaults(store.Faults{})},
	{"platformSlow", "the platform takes a second for each call", setStoreFaults(store.Faults{DelayMs: 1000}), setStoreFaults(store.Faults{})},
	{"platformSilent", "the platform does not answer in time", setStoreFaults(store.Faults{DelayMs: 3000}), setStoreFaults(store.Faults{})},
	{"answersLost", "the platform's writes take effect but their answers are lost", setStoreFaults(store.Faults{LoseAnswers: 2}), setStoreFaults(store.Faults{})},
	{"platformCut", "the VM is cut off from the platform", func(env *testEnv) { env.partition(env.VMs[0].Host, env.StoreHost) }, healNetwork},
}

var vmKilled = fault{"vmKilled", "the caller's VM dies", func(env *testEnv) {
	env.VMs[0].Kill()
	env.network.Crash(env.VMs[0].Host)
}, func(env *testEnv) { env.restart(0) }}

var vmStopped = fault{"vmStopped", "the caller's VM is stopped gracefully", func(env *testEnv) {
	go env.VMs[0].Stop(env.ctx)
}, nil}

var callerReset = fault{"callerReset", "the caller's connection breaks", func(env *testEnv) {
	env.network.Reset(env.ClientHost(), env.VMs[0].Host)
}, nil}

var ledgerFaults = []fault{
	{"ledgerKilled", "one replica of the service dies", func(env *testEnv) { env.KillLedger(0) }, nil},
	{"ledgerAnswersLost", "the service runs the call but its answer is lost", setLedgerFaults(ledger.Faults{LoseAnswers: 1}), setLedgerFaults(ledger.Faults{})},
	{"ledgerSlow", "the service takes two seconds", setLedgerFaults(ledger.Faults{DelayMs: 2000}), setLedgerFaults(ledger.Faults{})},
	{"ledgerLinkReset", "connections to the service break", func(env *testEnv) {
		for _, l := range env.Ledgers {
			env.network.Reset(env.VMs[0].Host, l.Host)
		}
	}, nil},
	{"ledgerLinkCut", "the link to the service carries no data", func(env *testEnv) {
		for _, l := range env.Ledgers {
			env.partition(env.VMs[0].Host, l.Host)
		}
	}, healNetwork},
}

// step is a moment in the life of a request or a change, as a time after its
// begin; negative means before it.
type step struct {
	name   string
	offset time.Duration
}

// expectation is what a cell demands beyond the promises.
type expectation string

const (
	// expectComplete: the caller gets the whole answer in spite of the fault.
	expectComplete expectation = "finishes"
	// expectAccurate: the caller gets the whole answer or a true statement.
	expectAccurate expectation = "truthful"
)

// cell is one row of the matrix.
type cell struct {
	operation string
	step      step
	faults    []fault
	expect    expectation
}

func (c cell) name() string {
	n := c.operation + "/" + c.step.name + "/"
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
	opStreamedReport = "streamedReport"
	opBufferedReport = "bufferedReport"
	opTagWithKey     = "tagWithKey"
	opTagWithTicket  = "tagWithTicket"
	opReleaseNote    = "releaseNote"
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

// toleratedFaults are faults that never keep a streamed report from finishing when
// they come alone.
var toleratedFaults = map[string]bool{
	"engineLeaving": true, "streamsStall": true, "tokenSkipped": true, "tokenRepeated": true, "streamCut": true,
	"engineLinkReset": true, "connectionsStuck": true, "peerKilled": true, "peersCut": true, "peersOneWay": true, "centreCut": true,
	"platformOut": true, "platformSlow": true, "platformSilent": true, "answersLost": true, "platformCut": true,
	"vmStopped": true,
}

// toleratedBeforeOutput are faults that a report survives when nothing was delivered yet.
var toleratedBeforeOutput = map[string]bool{"engineKilled": true, "engineReclaimed": true}

func reportExpectation(operation string, s step, f fault) expectation {
	switch {
	case toleratedFaults[f.name] && (f.name != "vmStopped" || s.offset >= 0):
		return expectComplete
	case toleratedBeforeOutput[f.name] && (s.offset < 100*time.Millisecond || operation == opBufferedReport):
		return expectComplete
	case operation == opStreamedReport && s.offset > 100*time.Millisecond && (f.name == "callerReset" || f.name == "vmKilled"):
		return expectComplete
	}
	return expectAccurate
}

// matrix lists every cell.
func matrix() []cell {
	var cells []cell
	shared := append(append([]fault{}, fleetFaults...), vmKilled, vmStopped, callerReset)
	for _, operation := range []string{opStreamedReport, opBufferedReport} {
		for _, s := range reportSteps {
			for _, f := range append(append([]fault{}, engineFaults...), shared...) {
				cells = append(cells, cell{operation, s, []fault{f}, reportExpectation(operation, s, f)})
			}
		}
	}
	for _, operation := range []string{opTagWithKey, opTagWithTicket} {
		for _, s := range tagSteps {
			for _, f := range append(append([]fault{}, ledgerFaults...), shared...) {
				cells = append(cells, cell{operation, s, []fault{f}, expectAccurate})
			}
		}
	}
	for _, s := range releaseSteps {
		for _, f := range append(append([]fault{}, fleetFaults...), vmKilled) {
			cells = append(cells, cell{opReleaseNote, s, []fault{f}, expectAccurate})
		}
	}
	return append(cells, pairCells()...)
}

// pairCells pairs the faults that touch the same promise.
func pairCells() []cell {
	var cells []cell
	add := func(operation string, s step, list []fault) {
		for i, a := range list {
			for _, b := range list[i+1:] {
				cells = append(cells, cell{operation, s, []fault{a, b}, expectAccurate})
			}
		}
	}
	add(opStreamedReport, reportSteps[2], append(append([]fault{}, engineFaults...), vmKilled, callerReset, fleetFaults[0], fleetFaults[3]))
	add(opTagWithKey, tagSteps[1], append(append([]fault{}, ledgerFaults...), vmKilled, callerReset, fleetFaults[4], fleetFaults[7], fleetFaults[8]))
	add(opTagWithTicket, tagSteps[1], append(append([]fault{}, ledgerFaults...), vmKilled, callerReset, fleetFaults[1]))
	add(opReleaseNote, releaseSteps[1], append(append([]fault{}, fleetFaults...), vmKilled))
	return cells
}
