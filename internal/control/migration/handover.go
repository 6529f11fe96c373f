package migration

import "time"

// StopResult is what a server answered when it was asked to stop a run and to copy the
// rest of its KV cache.
type StopResult int

// Results of a request to stop a run.
const (
	// StopUnknown means that no usable response came: the run may have stopped or not.
	StopUnknown StopResult = iota
	// StopBusy means that another copy of the run is in progress and the run continues.
	StopBusy
	// StoppedAndCopied means that the run has stopped and its copy is complete.
	StoppedAndCopied
	// StoppedInPlace means that the run has stopped and its KV cache is still on its server.
	StoppedInPlace
	// NoRun means that the server does not have the run.
	NoRun
	// NoRunUnconfirmed means that a process at the server's address does not have the run. It
	// may be another one, which has taken the address over while the server continues its runs.
	NoRunUnconfirmed
	// ServerUnreachable means that the server could not be connected to.
	ServerUnreachable
	// ServerRefuses means that nothing listens at the server's address. Runs on connections
	// that are open may continue.
	ServerRefuses
)

var stopResultNames = [...]string{"unknown", "busy", "copied", "inPlace", "noRun", "noRunUnconfirmed", "unreachable", "refused"}

// String returns the name of the result.
func (r StopResult) String() string { return stopResultNames[r] }

// ResumeFrom says where a stream whose response broke off continues.
type ResumeFrom int

// Places from which a stream continues.
const (
	// AskAgain means that the run may still continue on its server, which has to be asked
	// to stop it.
	AskAgain ResumeFrom = iota
	// FinalCopy is the copy made when the run stopped.
	FinalCopy
	// SourceServer is the server that ran the stream.
	SourceServer
	// EarlierCopy is the copy made while the stream ran.
	EarlierCopy
	// Nowhere means that the stream ends here.
	Nowhere
)

var resumeFromNames = [...]string{"askAgain", "finalCopy", "sourceServer", "earlierCopy", "nowhere"}

// String returns the name of the place.
func (r ResumeFrom) String() string { return resumeFromNames[r] }

// ShowsRun reports whether only the process that has the run gives this answer.
func (r StopResult) ShowsRun() bool {
	return r == StopBusy || r == StoppedAndCopied || r == StoppedInPlace
}

// Connections is what the VM knows of its connections to the server of a broken stream.
type Connections struct {
	// StreamClosedAt is when the connection of the stream closed; zero if it is open.
	StreamClosedAt time.Time
	// ReservedClosedAt is when the server closed the connection that was kept for the request
	// to stop the run; zero if there was none, or if this VM closed it.
	ReservedClosedAt time.Time
	// OthersOpen is the number of connections that carry other requests and are open.
	OthersOpen int
	// OthersOpenUntil is when a connection that carried another request was last open; zero when
	// unknown.
	OthersOpenUntil time.Time
}

// MaxCloseSkew is the longest time between the ends of two connections that close because
// their server ends.
const MaxCloseSkew = 10 * time.Millisecond

// ServerEnded reports whether a server has ended that takes no new connections, or whose address
// another process may have: all connections of the VM to it have closed together. A server that
// shuts down in order closes its listener and its idle connections first.
func (c Connections) ServerEnded() bool {
	if c.StreamClosedAt.IsZero() || c.ReservedClosedAt.IsZero() || c.OthersOpen > 0 {
		return false
	}
	if c.OthersOpenUntil.Sub(c.StreamClosedAt) > MaxCloseSkew {
		return false
	}
	return c.StreamClosedAt.Sub(c.ReservedClosedAt).Abs() <= MaxCloseSkew
}

// Handover decides when a stream whose response broke off may continue elsewhere. A server
// that closes a connection may go on with the run, so a stream is resumed only once the
// run has certainly ended: another server would otherwise work on it at the same time.
//
// Load pattern: a leaving server loses the response of a stream and continues its run, it
// stops a run as asked and its response to that is lost, or it takes no new connections and
// continues its runs, while another server may listen at its address.
type Handover struct {
	// Deadline is when the caller stops waiting for the next event.
	Deadline time.Time
	// InPlaceUntil is when the server that ran the stream must get no more requests.
	InPlaceUntil time.Time
}

// Next returns where the stream continues after a result of asking its server to stop it.
func (h Handover) Next(now time.Time, result StopResult, connections Connections) ResumeFrom {
	if !now.Before(h.Deadline) {
		return Nowhere
	}
	switch result {
	case StoppedAndCopied:
		return FinalCopy
	case StoppedInPlace:
		if now.Before(h.InPlaceUntil) {
			return SourceServer
		}
		return EarlierCopy
	case NoRun:
		return EarlierCopy
	case ServerRefuses, ServerUnreachable, NoRunUnconfirmed:
		if connections.ServerEnded() {
			return EarlierCopy
		}
	}
	return AskAgain
}
