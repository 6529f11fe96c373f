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
	Removed []string
}

// PlaceRequest asks for a server for a request. It is answered by Placed or Refused.
type PlaceRequest struct {
	// ID is unique among the open requests of this VM.
	ID uint64
	// Service is who serves the request.
	Service string
	// Kind says what may be repeated.
	Kind routing.Kind
	// PromptTokens and Output are lengths in tokens; Output is the caller's guess,
	// or the most it accepts.
	PromptTokens, ExpectedOutputTokens int
	// Excluded are servers that must not be chosen again.
	Excluded []string
	// Retry is set when a replica had the request before.
	Retry bool
}

// ResponseStarted tells that the first byte of an answer came.
type ResponseStarted struct {
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
	// Unreachable means that nothing could be sent to the server.
	Unreachable
	// Withdrawn means that the caller left; it says nothing of the server.
	Withdrawn
)

var verdictNames = [...]string{"served", "shed", "failed", "unreached", "withdrawn"}

// String returns the name of the verdict.
func (v Verdict) String() string { return verdictNames[v] }

// RequestEnded tells that a server has no more to do with a request.
type RequestEnded struct {
	ID      uint64
	Verdict Verdict
	// Load is what the server said with its answer; nil if it did not.
	Load *backend.Load
}

// StreamResumed tells that a stream goes on at the server that held its copy.
type StreamResumed struct {
	ID uint64
}

// FindTarget asks for a server that can take the memory of a stream. It is
// answered by Target.
type FindTarget struct {
	ID uint64
	// Excluded are servers that had no room.
	Excluded []string
}

// ReleaseTarget tells that the room held for a stream's copy is free again.
type ReleaseTarget struct{ ID uint64 }

// FleetSize tells how many VMs there are.
type FleetSize struct{ VMs int }

// ServerLeaving tells that a server says by itself that it leaves.
type ServerLeaving struct{ Server string }

// LedgerEntry is what one VM has placed on one server.
type LedgerEntry struct {
	// Requests counts open requests; Tokens is the memory that they and copies
	// are expected to take; Reading the prompts that are still to be read.
	Requests, Tokens, PrefillTokens int
}

// PeerLedger is what another VM, or all VMs of another region, have placed, by
// server. It replaces what they told before.
type PeerLedger struct {
	// Source is the name of the VM, or of the region when Region is set.
	Source      string
	RegionTotal bool
	Entries     map[string]LedgerEntry
}

// RepublishLedger asks to tell the ledger again soon, as more than its entries changed.
type RepublishLedger struct{}

// Tick lets time pass.
type Tick struct{}

func (ServicesChanged) message() {}
func (ServersChanged) message()  {}
func (PlaceRequest) message()    {}
func (ResponseStarted) message() {}
func (Progress) message()        {}
func (RequestEnded) message()    {}
func (StreamResumed) message()   {}
func (FindTarget) message()      {}
func (ReleaseTarget) message()   {}
func (FleetSize) message()       {}
func (ServerLeaving) message()   {}
func (PeerLedger) message()      {}
func (RepublishLedger) message() {}
func (Tick) message()            {}

// Action is an output of the core.
type Action interface{ action() }

// Placed gives a request to a server.
type Placed struct {
	ID     uint64
	Server backend.Server
	// Load is the input of the choice, for the log.
	Load LoadEstimate
}

// LoadEstimate is what the core believed of a server when it chose it.
type LoadEstimate struct {
	// OwnRequests and Others count requests of this and, as last heard, other VMs.
	OwnRequests, OtherRequests int
	// Tokens is the memory that is taken or promised; Capacity is all of it.
	Tokens, CapacityTokens int
	// PrefillTokens is the prompt tokens that are still to be read before an answer.
	PrefillTokens int
	// ReportedAt is when the server last told its load; zero for never.
	ReportedAt time.Time
}

// Refused ends a request that no server got: NoReplica or RetryBudget.
type Refused struct {
	ID    uint64
	Cause outcome.Cause
	// RetryAt is when room is expected.
	RetryAt time.Time
}

// MigrateStreams asks to move streams away from a server that leaves.
type MigrateStreams struct {
	Server backend.Server
	// Streams is in the order in which they should move.
	Streams []StreamToMigrate
}

// StreamToMigrate is a stream on a server that leaves.
type StreamToMigrate struct {
	ID uint64
	// CachedTokens is its memory; Remaining the tokens that are still expected.
	CachedTokens, RemainingTokens int
}

// Target answers WantTarget.
type Target struct {
	ID     uint64
	Found  bool
	Server backend.Server
}

// PublishLedger asks to tell the VMs of the region what this one has placed or,
// when Region is set, those of other regions what all VMs of this one have.
type PublishLedger struct {
	RegionTotal bool
	// PeerCount counts the VMs of the region that were heard lately.
	PeerCount int
	Entries   map[string]LedgerEntry
}

func (PublishLedger) action()  {}
func (Placed) action()         {}
func (Refused) action()        {}
func (MigrateStreams) action() {}
func (Target) action()         {}
