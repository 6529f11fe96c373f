// Package dispatch is the decision core of the gateway command's entry VM: which
// backend server gets a request, when a request is refused or may be retried, and
// where running streams migrate when their server leaves. It does no I/O, and time is
// passed as an argument.
//
// Load pattern: engines whose KV cache fills while outputs of unknown length
// grow, replicas that are reclaimed a second or two after their notice, and
// several VMs that place requests concurrently without each other's ledgers.
package dispatch

import (
	"time"

	"github.com/pimentohinge/pimentohinge/internal/backend"
	"github.com/pimentohinge/pimentohinge/internal/control/poison"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/internal/routing"
)

// Message is an input of the core.
type Message interface{ message() }

// ServicesChanged replaces the known services.
type ServicesChanged struct{ Services map[string]routing.Service }

// ServersChanged lists the backend servers that are new or changed, and the IDs
// of those that were removed.
type ServersChanged struct {
	Changed []backend.Server
	Removed []string
}

// PlaceRequest requests a server for a request of a caller. The reply is Placed or
// Refused.
type PlaceRequest struct {
	// ID is unique among the open requests of this VM.
	ID uint64
	// Service is the service that the request is for.
	Service string
	// Kind says whether the request may be retried.
	Kind routing.Kind
	// ExpectedOutputTokens is the caller's estimate or, without one, its limit.
	PromptTokens, ExpectedOutputTokens int
	// Segments are the segments of the prompt that other requests may share.
	Segments []string
	// Excluded are the IDs of servers that must not be chosen.
	Excluded []string
	// Retry is set when the request was sent to a replica before.
	Retry bool
	// Homes restricts the regions of the server.
	Homes routing.Homes
	// Urgency orders requests that wait for an engine; 0 is the most urgent. Workspace is the name
	// of the caller's workspace.
	Urgency   int
	Workspace string
	// Yields is set when the service has other routes whose requests are more urgent and have less
	// time. An engine that reads a prompt already gets no such request, so that it soon has time
	// for the others.
	Yields bool
	// LatencyTarget is the desired time to the first event.
	LatencyTarget time.Duration
	// LateAt is when its response is late, AbandonAt when the caller gives up. A request without
	// the latter does not wait.
	LateAt, AbandonAt time.Time
}

// ResponseStarted reports the first event of a stream. The header of its response says
// little: a server may send it before it starts to generate.
type ResponseStarted struct {
	ID uint64
	// Load is what the server reported with its response, or nil.
	Load *backend.Load
}

// Progress reports how many output tokens of a response have arrived.
type Progress struct {
	ID     uint64
	Tokens int
}

// EstimateStream requests the expected duration of a stream. The reply is StreamEstimate.
type EstimateStream struct {
	ID           uint64
	Service      string
	OutputTokens int
}

// Verdict is how a request ended at one server, as it counts for the health of that
// server. What the caller gets is an outcome.Result.
type Verdict int

// Verdicts, which log lines contain under their names in verdictNames.
const (
	// Served means that the server sent a complete response that is no failure.
	Served Verdict = iota
	// Shed means that the server refused the request without running it.
	Shed
	// Failed means that the server responded with a failure or not at all.
	Failed
	// Unreachable means that nothing could be sent to the server.
	Unreachable
	// Cancelled means that the caller cancelled the request. It has no bearing on
	// the health of the server.
	Cancelled
)

var verdictNames = [...]string{"served", "shed", "failed", "unreached", "withdrawn"}

// String returns the name of the verdict.
func (v Verdict) String() string { return verdictNames[v] }

// RequestEnded reports that a request has ended at its server.
type RequestEnded struct {
	ID      uint64
	Verdict Verdict
	// Completed is set when the whole output has arrived, ClosedByServer when the server
	// closed the connection before that.
	Completed, ClosedByServer bool
	// Load is what the server reported with its response, or nil.
	Load *backend.Load
}

// StreamResumed reports that a stream continues on a server: that of its copy, or again
// the one that ran it.
type StreamResumed struct {
	ID     uint64
	Server string
}

// FindTarget requests a server that can take a copy of a stream's KV cache. The
// reply is Target.
type FindTarget struct {
	ID uint64
	// Excluded are the IDs of servers that had no room.
	Excluded []string
	// Homes restricts the regions of the server.
	Homes routing.Homes
}

// ReleaseTarget releases the room reserved for a stream's copy.
type ReleaseTarget struct{ ID uint64 }

// FleetSize sets the number of VMs in the fleet and in this data centre, and the names of all
// VMs that have ever been known, in order, once this VM has read them in the store.
type FleetSize struct {
	VMs, Local int
	Names      []string
}

// HomesChanged replaces the homes of requests that wait for an engine, by ID.
type HomesChanged struct{ Homes map[uint64]routing.Homes }

// EvacuationsChanged replaces the set of data centres to whose servers nothing new may be sent.
type EvacuationsChanged struct{ DataCentres map[string]bool }

// ServerLeaving reports that a server itself, not the server list, has announced
// that it leaves.
type ServerLeaving struct{ Server backend.Instance }

// ServerNotBefore reports that a server refused a request and wants no others until a
// point in time.
type ServerNotBefore struct {
	Server backend.Instance
	Until  time.Time
}

// ServerChecked reports whether a server is running that closed the connection of a
// request.
type ServerChecked struct {
	Server  backend.Server
	Running bool
}

// PeerEvidence is evidence of another VM, or of the store, about prompt segments that crash
// servers.
type PeerEvidence struct {
	Evidence poison.Evidence
	// PassOn is set when other VMs get the evidence from this VM.
	PassOn bool
}

// LedgerEntry is the load that one VM, or one region, has placed on one server.
type LedgerEntry struct {
	// Requests counts open requests. Tokens is the KV cache that they and the
	// reservations for copies are expected to take. PrefillTokens are prompt tokens
	// of requests without a response yet.
	Requests, Tokens, PrefillTokens int
	// Failed counts the requests that failed within failureWindow before their response
	// started or could not be sent,
	// Served the responses that began within servedWindow.
	Failed, Served int
}

// PeerLedger is the ledger of another VM of this data centre, or the sum of the ledgers
// of several VMs, by server. It replaces the previous one of the same source.
type PeerLedger struct {
	// Source is the name of the VM or, when Remote is set, of another data centre.
	Source string
	// Remote is set when the VMs are in other data centres.
	Remote bool
	// Complete is set when the entries are the sum over all other VMs of this data centre
	// or, when Remote is set, of all other data centres.
	Complete bool
	// Number increases with each ledger of a source.
	Number  int64
	Entries map[string]LedgerEntry
}

// RepublishLedger requests that the ledger is published again soon, as other data
// that is sent with it has changed.
type RepublishLedger struct{}

// Tick is sent at Core.NextTick to publish the ledgers that are due.
type Tick struct{}

func (ServicesChanged) message()    {}
func (ServersChanged) message()     {}
func (PlaceRequest) message()       {}
func (ResponseStarted) message()    {}
func (Progress) message()           {}
func (EstimateStream) message()     {}
func (RequestEnded) message()       {}
func (StreamResumed) message()      {}
func (FindTarget) message()         {}
func (ReleaseTarget) message()      {}
func (FleetSize) message()          {}
func (HomesChanged) message()       {}
func (EvacuationsChanged) message() {}
func (ServerLeaving) message()      {}
func (ServerNotBefore) message()    {}
func (PeerLedger) message()         {}
func (RepublishLedger) message()    {}
func (Tick) message()               {}
func (ServerChecked) message()      {}
func (PeerEvidence) message()       {}

// Action is an output of the core.
type Action interface{ action() }

// Placed assigns a request to a server.
type Placed struct {
	ID     uint64
	Server backend.Server
	// Load is the estimate on which the choice is based, for the log.
	Load LoadEstimate
	// QueuedAt is when the request began to wait for a server.
	QueuedAt time.Time
}

// LoadEstimate is the estimated load of a server when it was chosen.
type LoadEstimate struct {
	// OwnRequests and OtherRequests count the open requests of this VM and, as last
	// reported, of other VMs.
	OwnRequests, OtherRequests int
	// Tokens is the KV cache that is used or reserved, of CapacityTokens in all.
	Tokens, CapacityTokens int
	// PrefillTokens are prompt tokens of requests without a response yet.
	PrefillTokens int
	// ReportedAt is when the server last reported its load; zero for never.
	ReportedAt time.Time
}

// Refused refuses a request. Cause is NoReplica, NoHome, Evacuated, ColdServers, RetryBudget or
// PromptQuarantined.
type Refused struct {
	ID    uint64
	Cause outcome.Cause
	// Detail explains the cause; it may be empty.
	Detail string
	// RetryAt is when a server is expected to be available.
	RetryAt time.Time
}

// MigrateStreams starts the migration of streams from a server.
type MigrateStreams struct {
	Server backend.Server
	// Streams is in the order in which the streams should migrate.
	Streams []StreamToMigrate
	// Evacuation is set when the server does not leave but its data centre is evacuated.
	Evacuation bool
}

// StreamToMigrate is a stream on a leaving server.
type StreamToMigrate struct {
	ID uint64
	// CachedTokens is the size of its KV cache, RemainingTokens the output that is
	// still expected.
	CachedTokens, RemainingTokens int
}

// Target is the reply to FindTarget.
type Target struct {
	ID     uint64
	Found  bool
	Server backend.Server
}

// StreamEstimate is the reply to EstimateStream.
type StreamEstimate struct {
	ID uint64
	// Duration is the expected time from the placement to the end of the stream.
	Duration time.Duration
}

// LedgerScope says over which VMs a published ledger is a sum.
type LedgerScope int

// Scopes.
const (
	// ScopeVM is this VM alone.
	ScopeVM LedgerScope = iota
	// ScopeDataCentre is this VM and those of its data centre with a recent ledger.
	ScopeDataCentre
	// ScopeRemote is all other data centres with a recent ledger.
	ScopeRemote
)

// PublishLedger sends a ledger to other VMs.
type PublishLedger struct {
	Scope   LedgerScope
	Entries map[string]LedgerEntry
	// Included holds, for ScopeDataCentre, the number of the ledger of each VM that is part
	// of the sum.
	Included map[string]int64
}

// PublishEvidence sends evidence about prompt segments that crash servers to other VMs.
type PublishEvidence struct{ Evidence poison.Evidence }

// Quarantined reports the segments that are quarantined, after a change.
type Quarantined struct{ Quarantines []poison.Quarantine }

// CancelRequest ends an open request whose prompt holds a segment that was quarantined after
// it had been placed.
type CancelRequest struct{ ID uint64 }

func (PublishEvidence) action() {}
func (CancelRequest) action()   {}
func (Quarantined) action()     {}
func (PublishLedger) action()   {}
func (Placed) action()          {}
func (Refused) action()         {}
func (MigrateStreams) action()  {}
func (Target) action()          {}
func (StreamEstimate) action()  {}
