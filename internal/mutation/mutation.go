// Package mutation switches on known mistakes, so that tests can show that their
// checks catch them. Nothing but tests may call Plant.
package mutation

import "sync/atomic"

// Mutation names a planted mistake.
type Mutation string

// The mistakes that can be planted.
const (
	// DispatchWithoutClaim sends a call before its claim is known to be granted.
	DispatchWithoutClaim Mutation = "dispatchWithoutClaim"
	// LostClaimReplyGranted takes a claim whose answer was lost for granted.
	LostClaimReplyGranted Mutation = "lostClaimGranted"
	// ClaimTakenOver lets a second attempt take over the claim of a dead holder.
	ClaimTakenOver Mutation = "claimPassedOn"
	// TicketSpentAnywhere lets every VM spend every ticket.
	TicketSpentAnywhere Mutation = "ticketSpentAnywhere"
	// TransportRetries lets the HTTP transport repeat calls with a key.
	TransportRetries Mutation = "transportRepeats"
	// UnknownReportedNotRun tells callers that a call did not run when it may have.
	UnknownReportedNotRun Mutation = "unknownCalledNotRun"
	// NoIndexCheck passes tokens on without looking at their index.
	NoIndexCheck Mutation = "noIndexCheck"
	// RestartMidStream starts another generation after tokens were delivered.
	RestartMidStream Mutation = "restartMidStream"
	// StallUndetected waits for a silent engine without a deadline.
	StallUndetected Mutation = "stallUnseen"
	// DisconnectIgnored lets engines go on after the caller has left for good.
	DisconnectIgnored Mutation = "callerGoneIgnored"
	// OldRevisionAccepted applies any snapshot, also an older one.
	OldRevisionAccepted Mutation = "oldRevisionAccepted"
	// LostAppendAccepted takes a revision whose answer was lost for accepted.
	LostAppendAccepted Mutation = "lostAppendAccepted"
	// LeavingIgnored sends new work to backends that are leaving.
	LeavingIgnored Mutation = "leavingIgnored"
	// StopWithoutDrain ends a VM without waiting for its open requests.
	StopWithoutDrain Mutation = "stopCutsOff"
	// LeaseFromReplyTime counts a lease from the platform's answer in place of the time of sending.
	LeaseFromReplyTime Mutation = "leaseFromAnswer"
	// NotRunWithoutCheck tells that a report did not run although an engine began.
	NotRunWithoutCheck Mutation = "refusalWithoutCheck"
)

var current atomic.Pointer[Mutation]

// Enable switches one mistake on and returns a function that switches it off.
func Enable(m Mutation) (disable func()) {
	current.Store(&m)
	return func() { current.Store(nil) }
}

// Enabled reports whether a mistake is planted.
func Enabled(m Mutation) bool {
	p := current.Load()
	return p != nil && *p == m
}
