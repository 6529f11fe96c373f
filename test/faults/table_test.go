package faults_test

import (
	"time"

	"github.com/pimentohinge/pimentohinge/internal/standin/ledger"
	"github.com/pimentohinge/pimentohinge/internal/standin/llm"
	"github.com/pimentohinge/pimentohinge/internal/standin/store"
)

// faultDuration is the time after which a fault is healed.
const faultDuration = 4 * time.Second

// fault is a failure that a test injects. Callers use VM 0; VM 1 is in the same
// data centre.
type fault struct {
	name        string
	description string
	// apply injects the fault. heal undoes it after faultDuration; it is nil for
	// faults that are permanent or momentary.
	apply func(env *testEnv)
	heal  func(env *testEnv)
}

// setEngineFaults returns a function that sets the faults of every engine.
func setEngineFaults(f llm.Faults) func(*testEnv) {
	return func(env *testEnv) {
		for _, e := range env.Engines {
			e.SetFaults(f)
		}
	}
}

// setStoreFaults returns a function that sets the faults of the platform.
func setStoreFaults(f store.Faults) func(*testEnv) {
	return func(env *testEnv) { env.Store.SetFaults(f) }
}

// setLedgerFaults returns a function that sets the faults of every ledger.
func setLedgerFaults(f ledger.Faults) func(*testEnv) {
	return func(env *testEnv) {
		for _, l := range env.Ledgers {
			l.SetFaults(f)
		}
	}
}

func healNetwork(env *testEnv) { env.network.HealAll() }

// partition stops data between two hosts in both directions.
func (env *testEnv) partition(a, b string) {
	env.network.Cut(a, b)
	env.network.Cut(b, a)
}

// busyEngine returns the index of the first engine with open generations, or 0
// if there is none.
func (env *testEnv) busyEngine() int {
	for i, e := range env.Engines {
		if e.OpenGenerations() > 0 {
			return i
		}
	}
	return 0
}

// engineFaults are faults of engines and of the links between VM 0 and engines.
var engineFaults = []fault{
	{"engineKilled", "the engine's process is killed", func(env *testEnv) { env.KillEngine(env.busyEngine()) }, nil},
	{"engineReclaimed", "the engine is reclaimed at short notice", func(env *testEnv) { env.Engines[env.busyEngine()].Reclaim() }, nil},
	{"engineLeaving", "the engine reports itself as leaving and refuses new work", func(env *testEnv) {
		env.Engines[env.busyEngine()].SetFaults(llm.Faults{Leaving: true})
	}, nil},
	{"engineRefuses", "engines refuse new work", setEngineFaults(llm.Faults{Refuse: true}), setEngineFaults(llm.Faults{})},
	{"streamsStall", "engines stop writing to open streams without closing them", setEngineFaults(llm.Faults{StallStreams: true}), setEngineFaults(llm.Faults{})},
	{"tokenSkipped", "engines skip a token", setEngineFaults(llm.Faults{SkipIndex: 60}), setEngineFaults(llm.Faults{})},
	{"tokenRepeated", "engines send a token twice", setEngineFaults(llm.Faults{RepeatIndex: 60}), setEngineFaults(llm.Faults{})},
	{"streamCut", "engines close the connection in the middle of a stream", setEngineFaults(llm.Faults{CutIndex: 60}), setEngineFaults(llm.Faults{})},
	{"engineLinkReset", "connections to engines are reset", func(env *testEnv) {
		for _, e := range env.Engines {
			env.network.Reset(env.VMs[0].Host, e.Host)
		}
	}, nil},
	{"connectionsStuck", "existing connections to engines stop carrying data", func(env *testEnv) {
		for _, e := range env.Engines {
			env.network.Stall(env.VMs[0].Host, e.Host)
		}
	}, nil},
	{"engineLinkCut", "the link to engines carries no data", func(env *testEnv) {
		for _, e := range env.Engines {
			env.partition(env.VMs[0].Host, e.Host)
		}
	}, healNetwork},
	{"engineLinkOneWay", "data from engines does not reach the caller's VM", func(env *testEnv) {
		for _, e := range env.Engines {
			env.network.Cut(e.Host, env.VMs[0].Host)
		}
	}, healNetwork},
}

// fleetFaults are faults of other VMs, the platform, and the links of VM 0 or its
// data centre to them.
var fleetFaults = []fault{
	{"peerKilled", "the other VM of the data centre is killed", func(env *testEnv) {
		env.VMs[1].Kill()
		env.network.Crash(env.VMs[1].Host)
	}, func(env *testEnv) { env.restart(1) }},
	{"peersCut", "the caller's VM is cut off from all other VMs", func(env *testEnv) {
		for _, v := range env.VMs[1:] {
			env.partition(env.VMs[0].Host, v.Host)
		}
	}, healNetwork},
	{"peersOneWay", "data from the caller's VM does not reach the other VMs", func(env *testEnv) {
		for _, v := range env.VMs[1:] {
			env.network.Cut(env.VMs[0].Host, v.Host)
		}
	}, healNetwork},
	{"centreCut", "the data centre is cut off from the other data centre and the platform", func(env *testEnv) {
		for _, a := range env.VMs[:2] {
			env.partition(a.Host, env.StoreHost)
			for _, b := range env.VMs[2:] {
				env.partition(a.Host, b.Host)
			}
		}
	}, healNetwork},
	{"platformOut", "the platform refuses every call", setStoreFaults(store.Faults{Outage: true}), setStoreFaults(store.Faults{})},
	{"platformSlow", "the platform takes a second for each call", setStoreFaults(store.Faults{DelayMs: 1000}), setStoreFaults(store.Faults{})},
	{"platformSilent", "the platform does not respond in time", setStoreFaults(store.Faults{DelayMs: 3000}), setStoreFaults(store.Faults{})},
	{"answersLost", "writes to the platform take effect but the responses are lost", setStoreFaults(store.Faults{DropResponses: 2}), setStoreFaults(store.Faults{})},
	{"platformCut", "the caller's VM is cut off from the platform", func(env *testEnv) { env.partition(env.VMs[0].Host, env.StoreHost) }, healNetwork},
}

var vmKilled = fault{"vmKilled", "the caller's VM is killed", func(env *testEnv) {
	env.VMs[0].Kill()
	env.network.Crash(env.VMs[0].Host)
}, func(env *testEnv) { env.restart(0) }}

var vmStopped = fault{"vmStopped", "the caller's VM is stopped gracefully", func(env *testEnv) {
	go env.VMs[0].Stop(env.ctx)
}, nil}

var callerReset = fault{"callerReset", "the caller's connection is reset", func(env *testEnv) {
	env.network.Reset(env.ClientHost(), env.VMs[0].Host)
}, nil}

// ledgerFaults are faults of the ledgers, the replicas of the plain service, and
// of the links between VM 0 and them.
var ledgerFaults = []fault{
	{"ledgerKilled", "one replica of the service is killed", func(env *testEnv) { env.KillLedger(0) }, nil},
	{"ledgerAnswersLost", "the service runs the call but the response is lost", setLedgerFaults(ledger.Faults{DropResponses: 1}), setLedgerFaults(ledger.Faults{})},
	{"ledgerSlow", "the service takes two seconds for each call", setLedgerFaults(ledger.Faults{DelayMs: 2000}), setLedgerFaults(ledger.Faults{})},
	{"ledgerLinkReset", "connections to the service are reset", func(env *testEnv) {
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

// step is the time at which faults are injected, as an offset from the start of
// the operation. A negative offset is before the start.
type step struct {
	name   string
	offset time.Duration
}

// expectation is what a cell requires in addition to the guarantees that hold in
// every cell.
type expectation string

const (
	// expectComplete means that the caller gets the complete response despite the
	// fault.
	expectComplete expectation = "finishes"
	// expectAccurate means that the request may fail, but that any outcome that the
	// caller receives is correct.
	expectAccurate expectation = "accurate"
)

// cell is one test case of the fault matrix: an operation during which one or
// more faults are injected.
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

// Operations of the matrix.
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

// toleratedFaults are faults that, when injected alone, do not prevent a report
// from completing. reportExpectation makes an exception for vmStopped.
var toleratedFaults = map[string]bool{
	"engineLeaving": true, "streamsStall": true, "tokenSkipped": true, "tokenRepeated": true, "streamCut": true,
	"engineLinkReset": true, "connectionsStuck": true, "peerKilled": true, "peersCut": true, "peersOneWay": true, "centreCut": true,
	"platformOut": true, "platformSlow": true, "platformSilent": true, "answersLost": true, "platformCut": true,
	"vmStopped": true,
}

// toleratedBeforeOutput are faults that do not prevent a report from completing
// as long as no token has been delivered.
var toleratedBeforeOutput = map[string]bool{"engineKilled": true, "engineReclaimed": true}

// reportExpectation returns the expectation for a report with a single fault.
func reportExpectation(operation string, s step, f fault) expectation {
	switch {
	// A VM that began to stop before the request may refuse it.
	case toleratedFaults[f.name] && (f.name != "vmStopped" || s.offset >= 0):
		return expectComplete
	// A buffered report delivers nothing before its end.
	case toleratedBeforeOutput[f.name] && (s.offset < 100*time.Millisecond || operation == opBufferedReport):
		return expectComplete
	// A client that has received tokens resumes its stream, if necessary through
	// another VM.
	case operation == opStreamedReport && s.offset > 100*time.Millisecond && (f.name == "callerReset" || f.name == "vmKilled"):
		return expectComplete
	}
	return expectAccurate
}

// matrix returns all cells.
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

// pairCells returns cells with two faults that affect the same guarantee.
func pairCells() []cell {
	var cells []cell
	add := func(operation string, s step, list []fault) {
		for i, a := range list {
			for _, b := range list[i+1:] {
				cells = append(cells, cell{operation, s, []fault{a, b}, expectAccurate})
			}
		}
	}
	// At midStream, with peerKilled and centreCut.
	add(opStreamedReport, reportSteps[2], append(append([]fault{}, engineFaults...), vmKilled, callerReset, fleetFaults[0], fleetFaults[3]))
	// At duringClaim, with platformOut, answersLost and platformCut.
	add(opTagWithKey, tagSteps[1], append(append([]fault{}, ledgerFaults...), vmKilled, callerReset, fleetFaults[4], fleetFaults[7], fleetFaults[8]))
	// At duringClaim, with peersCut.
	add(opTagWithTicket, tagSteps[1], append(append([]fault{}, ledgerFaults...), vmKilled, callerReset, fleetFaults[1]))
	// At duringAppend.
	add(opReleaseNote, releaseSteps[1], append(append([]fault{}, fleetFaults...), vmKilled))
	return cells
}

// reportedFailures is the section of docs/FAULTS.md on failures that operators of similar
// systems have reported.
const reportedFailures = `## Failures reported for similar systems

Looked for in both programs, each with a test of the package named.

| failure | serve | gateway |
|---|---|---|
| a second copy of an answer arrives late on a connection in use again; the next caller gets it | happened; calls to plain services, orders and cancels use a connection of their own (internal/service) | happened for answers without an ID; they are malformed on a reused connection, and calls for copies, which have no ID, use a connection of their own (internal/replica; test/gateway, repeated copy response) |
| a planned stop under load cuts off requests that were just accepted | happened between the end of the drain and the close (test/faults, planned stop) | happened for streams at slow engines and for requests that waited when the stop ended; from 3 s on only what ends in time for certain is accepted (test/gateway, stop) |
| slow but sound streams are cut | no: keep-alives of the engine count as progress (internal/engine) | no: silence never ends a stream before its deadline (test/gateway, slow stream) |
| stalled streams that send a byte now and then never end | no: only whole events reset the timer; events without end are bounded (internal/engine) | they end at the caller's deadline (test/gateway, streams without end) |
| around a hand-over both processes act, and orders go out twice | no: a new holder waits until every order of the old one has expired (internal/control/lease). An order that was accepted is given again while the model is not yet reported; it names a target state | gives no orders |
| an answer that breaks off halfway counts as complete | happened beyond 16 MiB (internal/service, pkg/client) | happened for error responses to streams beyond 8 MiB (internal/readlimit) |
| after a restart a server that had left or a withdrawn key is in use again | a VM reads the platform or takes the highest revision of its reachable peers (scenarios startWhilePlatformOut, oldSnapshot); if all that are reachable are behind, so is the VM until it reaches another | no: the first reads are linearizable (test/gateway, restart) |
| bytes that are no answer come without end | happened in headers and events (internal/engine, internal/service) | happened in headers, interim responses and skipped bodies (internal/replica, test/gateway) |
| one odd entry among those of the servers (nested deeply, a number too large, a port out of range) ends the processes that read it, or they stop following the list | reads the platform with the same client | no process ended; happened for entries nested deeper than 10,000 levels and for bytes that are no JSON: every listing failed (test/gateway, odd entry; platform) |
| an earlier refusal, sent once more on a kept connection, is taken for the answer to a request that runs | no: each generation and each call has a connection of its own. Any other failure of an engine was taken for a refusal (internal/engine) | no: refusals of other requests are skipped by their ID, and one without an ID is malformed on a reused connection (test/gateway, repeated refusal) |
| a server that stops in the middle of its header makes a complete, empty response | no (internal/service, internal/engine) | no (internal/replica, at each byte; test/gateway, stops in header) |
| a second SIGTERM cuts off what a stop waits for | happened (internal/signals) | happened (internal/signals) |
| a stream goes on at another server while the first one still runs it | resumes at the same engine only | happened when a leaving server lost the response of a stream (test/gateway, lost stream response) |
| a request that ends its worker is given to one worker after the other | happened: one request ended up to four engines, requests with one message all of them (test/faults, crash) | happened: requests with one prompt segment (test/gateway, crash) |
| another process at the address of a server is taken for it | no: a generation is named by an ID of its own, and resumes at its engine only | happened: its answer was taken for the end of a run, its copy was released, and it got requests for its predecessor, and the predecessor got its own (test/gateway, successor; internal/replica, instance) |
| the body of a request stops arriving, and its caller gets no response | not looked at | happened (test/gateway, slow body) |
| a server that takes no new connections and goes on with open ones is taken for ended | happened for quarantines (internal/caller, engine without listener) | happened: a stream was resumed elsewhere, sound segments were quarantined (test/gateway, failed dial; test/soak) |
| many responses, each long but within its bound, take all memory of a VM | events of a stream are bounded in size and lines (internal/engine) | happened for events (test/gateway, long events) |
| a few long bodies take all memory for bodies, and short responses fail | happened (internal/readlimit) | happened (internal/readlimit) |
| a reset while the request is still being sent makes the part of a response without a length a complete one | happened for plain services (internal/service, early response; internal/network) | happened for plain responses and streams (test/gateway, early response; internal/replica, internal/network) |
| an answer with a status that does not exist counts | happened for plain services, and for refusals of engines (internal/service, internal/engine) | happened for 600 and more (test/gateway, status) |
| an answer with a blank in a field name counts, without the field or with another body | happened, for engines, plain services and the platform (internal/service, internal/engine, platform) | happened, in headers, interim and skipped responses and trailers (test/gateway, field names) |
`
