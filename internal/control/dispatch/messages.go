// Package dispatch decides which backend server gets a request, when one is
// refused or may be repeated, and where running streams go when their server
// leaves. It does no I/O: time is an argument.
//
// Load pattern: engines whose memory fills while answers of unknown length
// grow, replicas that are taken away a second or two after their notice, and
// several VMs that place at once without hearing of each other.
package dispatch

import (
	"time"

	"github.com/pimentohinge/pimentohinge/internal/backend"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/internal/routing"
)

// Message is an input of the core.
type Message interface{ message() }

// ServicesChanged replaces what is known of the services.
type ServicesChanged struct{ Services map[string]routing.Service }

// ServersChanged tells which backend servers are new or changed and, by ID,
// which are gone.
type ServersChanged struct {
	Changed []backend.Server
	Gone    []string
}

// Ask asks for a server for a request. It is answered by Placed or Refused.
type Ask struct {
	// ID is unique among the open requests of this VM.
	ID uint64
	// Service is who serves the request.
	Service string
	// Kind says what may be repeated.
	Kind routing.Kind
	// Prompt and Output are lengths in tokens; Output is the caller's guess,
	// or the most it accepts.
	Prompt, Output int
	// Tried are servers that must not be chosen again.
	Tried []string
	// Repeat is set when a replica had the request before.
	Repeat bool
}

// Started tells that the first byte of an answer came.
type Started struct {
	ID   uint64
	Load *backend.Load
}

// Progress tells how many tokens of an answer have come.
type Progress struct {
	ID     uint64
	Tokens int
}

// Verdict says how a server treated a request.
type Verdict int

// Verdicts.
const (
	// Served means that the server answered.
	Served Verdict = iota
	// Shed means that the server refused the request without running it.
	Shed
	// Failed means that the server answered with a failure or not at all.
	Failed
	// Unreached means that nothing could be sent to the server.
	Unreached
	// Withdrawn means that the caller left; it says nothing of the server.
	Withdrawn
)

var verdictNames = [...]string{"served", "shed", "failed", "unreached", "withdrawn"}

// String returns the name of the verdict.
func (v Verdict) String() string { return verdictNames[v] }

// Ended tells that a server has no more to do with a request.
type Ended struct {
	ID      uint64
	Verdict Verdict
	// Load is what the server said with its answer; nil if it did not.
	Load *backend.Load
}

// Resumed tells that a stream goes on at the server that held its copy.
type Resumed struct {
	ID uint64
}

// WantTarget asks for a server that can take the memory of a stream. It is
// answered by Target.
type WantTarget struct {
	ID uint64
	// Refused are servers that had no room.
	Refused []string
}

// DropTarget tells that the room held for a stream's copy is free again.
type DropTarget struct{ ID uint64 }

// FleetSize tells how many VMs there are.
type FleetSize struct{ VMs int }

// Suspect tells that a server says by itself that it leaves.
type Suspect struct{ Server string }

// Entry is what one VM has placed on one server.
type Entry struct {
	// Requests counts open requests; Tokens is the memory that they and copies
	// are expected to take; Reading the prompts that are still to be read.
	Requests, Tokens, Reading int
}

// PeerLedger is what another VM, or all VMs of another region, have placed, by
// server. It replaces what they told before.
type PeerLedger struct {
	// VM is the name of the VM, or of the region when Region is set.
	VM      string
	Region  bool
	Entries map[string]Entry
}

// Retell asks to tell the ledger again soon, as more than its entries changed.
type Retell struct{}

// Tick lets time pass.
type Tick struct{}

func (ServicesChanged) message() {}
func (ServersChanged) message()  {}
func (Ask) message()             {}
func (Started) message()         {}
func (Progress) message()        {}
func (Ended) message()           {}
func (Resumed) message()         {}
func (WantTarget) message()      {}
func (DropTarget) message()      {}
func (FleetSize) message()       {}
func (Suspect) message()         {}
func (PeerLedger) message()      {}
func (Retell) message()          {}
func (Tick) message()            {}

// Action is an output of the core.
type Action interface{ action() }

// Placed gives a request to a server.
type Placed struct {
	ID     uint64
	Server backend.Server
	// Load is the input of the choice, for the log.
	Load View
}

// View is what the core believed of a server when it chose it.
type View struct {
	// Own and Others count requests of this and, as last heard, other VMs.
	Own, Others int
	// Tokens is the memory that is taken or promised; Capacity is all of it.
	Tokens, Capacity int
	// Reading is the prompt tokens that are still to be read before an answer.
	Reading int
	// HeardAt is when the server last told its load; zero for never.
	HeardAt time.Time
}

// Refused ends a request that no server got: NoReplica or RetryBudget.
type Refused struct {
	ID    uint64
	Cause outcome.Cause
	// RetryAt is when room is expected.
	RetryAt time.Time
}

// Rescue asks to move streams away from a server that leaves.
type Rescue struct {
	Server backend.Server
	// Runs is in the order in which they should move.
	Runs []RunAtRisk
}

// RunAtRisk is a stream on a server that leaves.
type RunAtRisk struct {
	ID uint64
	// Tokens is its memory; Remaining the tokens that are still expected.
	Tokens, Remaining int
}

// Target answers WantTarget.
type Target struct {
	ID     uint64
	Found  bool
	Server backend.Server
}

// TellLedger asks to tell the VMs of the region what this one has placed or,
// when Region is set, those of other regions what all VMs of this one have.
type TellLedger struct {
	Region bool
	// Peers counts the VMs of the region that were heard lately.
	Peers   int
	Entries map[string]Entry
}

func (TellLedger) action() {}
func (Placed) action()     {}
func (Refused) action()    {}
func (Rescue) action()     {}
func (Target) action()     {}
