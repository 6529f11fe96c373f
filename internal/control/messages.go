package control

import (
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control/configchain"
	"github.com/pimentohinge/pimentohinge/internal/control/member"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// Message is an input of the core, handled by one call of Step.
type Message interface{ message() }

// Tick drives timeouts and periodic work.
type Tick struct{}

// Classes of requests. Interactive requests are placed before batch requests.
const (
	ClassInteractive = "interactive"
	ClassBatch       = "batch"
)

// Place requests a backend for one attempt. The reply is one Placed or Refused
// with the same ID.
type Place struct {
	// ID identifies the request; unique across the fleet.
	ID string
	// Workspace is the caller's workspace.
	Workspace string
	// Service is the name of the service.
	Service string
	// Class is ClassInteractive or ClassBatch.
	Class string
	// PromptTokens is the length of the prompt; 0 for plain services.
	PromptTokens int
	// MaxTokens bounds the length of the output; 0 for plain services.
	MaxTokens int
	// Prefix is a hash of the beginning of the prompt; 0 means none.
	Prefix uint64
	// Segments identify the parts of the prompt that other requests may share.
	Segments []string
	// Excluded holds the names of backends that failed this request before.
	Excluded []string
	// Retry is true for an attempt after the first one.
	Retry bool
	// Deadline is when the request is refused if it still waits for a backend.
	Deadline time.Time
}

// Cancel ends a Place whose caller has disconnected.
type Cancel struct {
	// ID is that of the Place.
	ID string
}

// AttemptEnded reports that the backend no longer works on a placed request.
type AttemptEnded struct {
	// ID is that of the Place.
	ID string
	// Tokens is the number of output tokens so far.
	Tokens int
	// Outcome is how the attempt ended and why.
	Outcome outcome.Result
	// Last is true when no further attempt of the same request follows.
	Last bool
}

// FrameReceived delivers a frame from another entry VM.
type FrameReceived struct {
	// From is the authenticated sender.
	From wire.VM
	// Frame is the content.
	Frame wire.Frame
}

// PeerConnected reports that another VM authenticated itself on a new link.
type PeerConnected struct {
	// VM is the other VM.
	VM wire.VM
}

// SendFailed reports that a frame could not be sent.
type SendFailed struct {
	// VM is the intended receiver.
	VM string
	// Frame is the frame that was not sent.
	Frame wire.Frame
}

// LoadReported is the result of a PollEngine.
type LoadReported struct {
	// Engine is the engine's name.
	Engine string
	// Reachable is false when the engine did not respond to the poll.
	Reachable bool
	// Report is the engine's load report; empty when Reachable is false.
	Report wire.LoadReport
}

// BackendLeaving reports that a backend refused work because it is leaving.
type BackendLeaving struct {
	// Backend is the backend's name.
	Backend string
}

// BackendEnded reports that a backend was lost under a request and does not respond.
type BackendEnded struct {
	// Backend is the backend's name.
	Backend string
}

// PlatformListed is the platform's list of backends and entry VMs.
type PlatformListed struct {
	// Version is the store's version of the list of backends; 0 means that the
	// message carries no such list.
	Version int64
	// Backends holds all listed backends.
	Backends []wire.Backend
	// VMs holds all listed entry VMs.
	VMs []wire.VM
}

// RevisionsRead delivers configuration revisions from the platform or a release.
type RevisionsRead struct {
	// Snapshot is set when the store no longer has the earlier revisions.
	Snapshot *wire.Snapshot
	// Revisions holds revisions in ascending order.
	Revisions []wire.Revision
}

// Drain stops new work for engines temporarily, so that they become idle and can
// load other models.
type Drain struct {
	// Backends holds the names of the engines.
	Backends []string
}

// Stop ends the acceptance of new work on this VM.
type Stop struct{}

func (Tick) message()           {}
func (Place) message()          {}
func (Cancel) message()         {}
func (AttemptEnded) message()   {}
func (FrameReceived) message()  {}
func (PeerConnected) message()  {}
func (SendFailed) message()     {}
func (LoadReported) message()   {}
func (BackendLeaving) message() {}
func (BackendEnded) message()   {}
func (PlatformListed) message() {}
func (RevisionsRead) message()  {}
func (Drain) message()          {}
func (Stop) message()           {}

// Action is an output of the core. The core never waits for its completion.
type Action interface{ action() }

// Placed is the reply to a Place that got a backend.
type Placed struct {
	// ID is that of the Place.
	ID string
	// Backend is the chosen backend.
	Backend wire.Backend
	// Revision is the configuration revision that the decision is based on.
	Revision int
	// DispatchBy is when the reservation expires unless the request was dispatched.
	DispatchBy time.Time
	// Events are the steps of the decision, for the timeline.
	Events []wire.Event
}

// Refused is the reply to a Place that ends without a backend.
type Refused struct {
	// ID is that of the Place.
	ID string
	// Outcome holds the cause of the refusal; its Kind is always outcome.NotRun.
	Outcome outcome.Result
	// Events are the steps of the decision, for the timeline.
	Events []wire.Event
}

// Send sends a frame to another entry VM.
type Send struct {
	// To is the receiver.
	To wire.VM
	// Frame is the content.
	Frame wire.Frame
}

// PollEngine requests the load report of an engine; the result is a LoadReported.
type PollEngine struct {
	// Engine is the engine.
	Engine wire.Backend
}

// SetRoles sets the roles that this VM holds until the next SetRoles.
type SetRoles struct {
	// Watcher is true when this VM watches the platform for its data centre.
	Watcher bool
}

// ConfigChanged reports that another revision is in force on this VM.
type ConfigChanged struct {
	// State is the configuration in force.
	State *configchain.State
	// History holds the newest revisions in ascending order.
	History []wire.Revision
}

// LogDecision writes a decision to the log.
type LogDecision struct {
	// Event is the name of the log event.
	Event string
	// Fields holds alternating keys and values.
	Fields []any
}

// PublishView publishes a snapshot of the state for operators.
type PublishView struct {
	// View is immutable.
	View *View
}

func (Placed) action()        {}
func (Refused) action()       {}
func (Send) action()          {}
func (PollEngine) action()    {}
func (SetRoles) action()      {}
func (ConfigChanged) action() {}
func (LogDecision) action()   {}
func (PublishView) action()   {}

// View is a snapshot of the core's state.
type View struct {
	// Members holds all known entry VMs.
	Members []wire.Member
	// Backends holds all known backends.
	Backends []BackendView
	// Revision is the configuration revision in force.
	Revision int
	// Queued is the number of requests that are waiting for a backend.
	Queued int
	// Open is the number of placed requests that have not ended.
	Open int
	// Watcher is true when this VM watches the platform.
	Watcher bool
	// Stopping is true when no new work is accepted.
	Stopping bool
	// CaughtUp is true when no higher revision was seen in any message.
	CaughtUp bool
}

// DataCentreRevisions summarizes the configuration revisions in force in one data centre.
type DataCentreRevisions struct {
	// DataCentre is its name.
	DataCentre string
	// Lowest and Highest are revisions of the VMs that are alive; 0 when none is.
	Lowest, Highest int
	// Alive and NotReachable count the VMs. What a VM that is not reachable has in force
	// is not known.
	Alive, NotReachable int
}

// RevisionsByDataCentre returns the revisions in force, sorted by data centre.
func (v *View) RevisionsByDataCentre() []DataCentreRevisions {
	byName := map[string]*DataCentreRevisions{}
	for _, m := range v.Members {
		status := byName[m.Vm.DataCentre]
		if status == nil {
			status = &DataCentreRevisions{DataCentre: m.Vm.DataCentre}
			byName[m.Vm.DataCentre] = status
		}
		if m.State != string(member.Alive) {
			status.NotReachable++
			continue
		}
		if status.Alive == 0 {
			status.Lowest = m.Revision
		}
		status.Alive++
		status.Lowest, status.Highest = min(status.Lowest, m.Revision), max(status.Highest, m.Revision)
	}
	out := make([]DataCentreRevisions, 0, len(byName))
	for _, name := range sortedKeys(byName) {
		out = append(out, *byName[name])
	}
	return out
}

// BackendView is the part of a View about one backend.
type BackendView struct {
	wire.Backend
	// Admitter is the VM that grants reservations for an engine.
	Admitter string
	// Leaving is true when the backend gets no new work because it is about to stop.
	Leaving bool
	// Report is the newest load report that this VM has.
	Report wire.LoadReport
	// Reservations is the number of open reservations that this VM granted as the
	// admitter.
	Reservations int
	// Reachable is false when the engine did not respond to this VM's last poll.
	Reachable bool
}
