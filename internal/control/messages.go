package control

import (
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control/chain"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// Message is what the core is told. Each message is handled by one call of
// Step.
type Message interface{ message() }

// Tick tells that time has passed.
type Tick struct{}

// Classes of requests. Interactive work goes before batch work.
const (
	ClassInteractive = "interactive"
	ClassBatch       = "batch"
)

// Place asks for a backend. It is answered by one Placed or Refused with the
// same ID.
type Place struct {
	// ID names the request; unique over the fleet.
	ID string
	// Workspace is the caller's workspace.
	Workspace string
	// Service is the service's name.
	Service string
	// Class is one of the classes.
	Class string
	// PromptTokens is the prompt's length; 0 for plain services.
	PromptTokens int
	// MaxTokens bounds the output; 0 for plain services.
	MaxTokens int
	// Prefix is a hash of the prompt's beginning; 0 means none.
	Prefix uint64
	// Excluded are backends that failed this request before.
	Excluded []string
	// Retry is true for an attempt after the first one.
	Retry bool
	// Deadline is when waiting for a backend ends.
	Deadline time.Time
}

// Cancel ends a Place whose caller is gone.
type Cancel struct {
	// ID is that of the Place.
	ID string
}

// AttemptEnded tells that the work on a placed request is over.
type AttemptEnded struct {
	// ID is that of the Place.
	ID string
	// Tokens is the length of the output so far.
	Tokens int
	// Outcome is how the attempt ended.
	Outcome outcome.Outcome
	// Last is true when no further attempt of the same request follows.
	Last bool
}

// FrameReceived is a frame from another entry VM.
type FrameReceived struct {
	// From is the sender as it proved itself.
	From wire.VM
	// Frame is the content.
	Frame wire.Frame
}

// PeerConnected tells that a VM proved itself on a new link.
type PeerConnected struct {
	// VM is the other VM.
	VM wire.VM
}

// SendFailed tells that a frame could not be sent.
type SendFailed struct {
	// VM is the intended receiver.
	VM string
	// Frame is what was not sent.
	Frame wire.Frame
}

// LoadReported is a load report that this VM read from an engine; Report is
// empty when the engine did not answer.
type LoadReported struct {
	// Engine is the engine's name.
	Engine string
	// Answered is false when the engine could not be reached.
	Answered bool
	// Report is the engine's report.
	Report wire.LoadReport
}

// BackendRefused tells that a backend refused work because it is leaving.
type BackendRefused struct {
	// Backend is the backend's name.
	Backend string
}

// PlatformListed is the platform's list of backends and entry VMs.
type PlatformListed struct {
	// Version is the store's version of the list of backends; 0 means that the message has none.
	Version int64
	// Backends is every listed backend.
	Backends []wire.Backend
	// VMs is every listed entry VM.
	VMs []wire.VM
}

// RevisionsRead are configuration revisions from the platform or a release.
type RevisionsRead struct {
	// Snapshot is set when earlier revisions were dropped.
	Snapshot *wire.Snapshot
	// Revisions is in ascending order.
	Revisions []wire.Revision
}

// Drain names the engines that get no new work for a moment, until they can be
// given another role.
type Drain struct {
	// Backends are names of backends.
	Backends []string
}

// Stop tells that the VM is to stop: no new work is accepted from now on.
type Stop struct{}

func (Tick) message()           {}
func (Place) message()          {}
func (Cancel) message()         {}
func (AttemptEnded) message()   {}
func (FrameReceived) message()  {}
func (PeerConnected) message()  {}
func (SendFailed) message()     {}
func (LoadReported) message()   {}
func (BackendRefused) message() {}
func (PlatformListed) message() {}
func (RevisionsRead) message()  {}
func (Drain) message()          {}
func (Stop) message()           {}

// Action is what the core wants done. The core never waits for it.
type Action interface{ action() }

// Placed answers a Place with a backend.
type Placed struct {
	// ID is that of the Place.
	ID string
	// Backend is the chosen backend.
	Backend wire.Backend
	// Revision is the configuration revision that applied.
	Revision int
	// DispatchBy is when the reservation ends unless the work has begun.
	DispatchBy time.Time
	// Events are the steps of the decision, for the timeline.
	Events []wire.Event
}

// Refused answers a Place with an outcome.
type Refused struct {
	// ID is that of the Place.
	ID string
	// Outcome is always notRun.
	Outcome outcome.Outcome
	// Events are the steps of the decision, for the timeline.
	Events []wire.Event
}

// Send is a frame for another entry VM.
type Send struct {
	// To is the receiver.
	To wire.VM
	// Frame is the content.
	Frame wire.Frame
}

// PollEngine asks for the load report of an engine.
type PollEngine struct {
	// Engine is the engine.
	Engine wire.Backend
}

// SetRoles tells which standing work this VM has.
type SetRoles struct {
	// Watcher is true when this VM watches the platform for its data centre.
	Watcher bool
}

// ConfigChanged tells that another revision is in force on this VM.
type ConfigChanged struct {
	// State is the configuration in force.
	State *chain.State
	// History is the newest revisions in ascending order.
	History []wire.Revision
}

// LogDecision is a decision for the log.
type LogDecision struct {
	// Event names the decision.
	Event string
	// Fields are key and value pairs in order.
	Fields []any
}

// PublishView is a picture of the state for operators.
type PublishView struct {
	// View is never changed after it was emitted.
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

// View is a picture of the core's state.
type View struct {
	// Members is every known entry VM.
	Members []wire.Member
	// Backends is every known backend.
	Backends []BackendView
	// Revision is the configuration revision in force.
	Revision int
	// Queued is the number of requests that wait for a backend.
	Queued int
	// Open is the number of placed requests.
	Open int
	// Watcher is true when this VM watches the platform.
	Watcher bool
	// Stopping is true when no new work is accepted.
	Stopping bool
	// CaughtUp is true once no reachable VM is known to have a higher revision.
	CaughtUp bool
}

// BackendView is what operators see of a backend.
type BackendView struct {
	wire.Backend
	// Admitter is the VM that admits work to an engine.
	Admitter string
	// Leaving is true when the backend gets no new work.
	Leaving bool
	// Report is the newest load report that this VM has.
	Report wire.LoadReport
	// Reservations counts what this VM granted as the admitter.
	Reservations int
	// Reachable is false when the engine did not answer the last poll.
	Reachable bool
}
