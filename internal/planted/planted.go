// Package planted switches on known mistakes, so that tests can show that their
// checks catch them. Nothing but tests may call Plant.
package planted

import "sync/atomic"

// Mistake names a planted mistake.
type Mistake string

// The mistakes that can be planted.
const (
	// DispatchWithoutClaim sends a call before its claim is known to be granted.
	DispatchWithoutClaim Mistake = "dispatchWithoutClaim"
	// LostClaimGranted takes a claim whose answer was lost for granted.
	LostClaimGranted Mistake = "lostClaimGranted"
	// ClaimPassedOn lets a second attempt take over the claim of a dead holder.
	ClaimPassedOn Mistake = "claimPassedOn"
	// TicketSpentAnywhere lets every VM spend every ticket.
	TicketSpentAnywhere Mistake = "ticketSpentAnywhere"
	// TransportRepeats lets the HTTP transport repeat calls with a key.
	TransportRepeats Mistake = "transportRepeats"
	// UnknownCalledNotRun tells callers that a call did not run when it may have.
	UnknownCalledNotRun Mistake = "unknownCalledNotRun"
	// NoIndexCheck passes tokens on without looking at their index.
	NoIndexCheck Mistake = "noIndexCheck"
	// RestartMidStream starts another generation after tokens were delivered.
	RestartMidStream Mistake = "restartMidStream"
	// StallUnseen waits for a silent engine without a deadline.
	StallUnseen Mistake = "stallUnseen"
	// CallerGoneIgnored lets engines go on after the caller has left for good.
	CallerGoneIgnored Mistake = "callerGoneIgnored"
	// OldRevisionAccepted applies any snapshot, also an older one.
	OldRevisionAccepted Mistake = "oldRevisionAccepted"
	// LostAppendAccepted takes a revision whose answer was lost for accepted.
	LostAppendAccepted Mistake = "lostAppendAccepted"
	// LeavingIgnored sends new work to backends that are leaving.
	LeavingIgnored Mistake = "leavingIgnored"
	// StopCutsOff ends a VM without waiting for its open requests.
	StopCutsOff Mistake = "stopCutsOff"
	// LeaseFromAnswer counts a lease from the platform's answer in place of the time of sending.
	LeaseFromAnswer Mistake = "leaseFromAnswer"
	// RefusalWithoutCheck tells that a report did not run although an engine began.
	RefusalWithoutCheck Mistake = "refusalWithoutCheck"
)

var current atomic.Pointer[Mistake]

// Plant switches one mistake on and returns a function that switches it off.
func Plant(m Mistake) (remove func()) {
	current.Store(&m)
	return func() { current.Store(nil) }
}

// Is reports whether a mistake is planted.
func Is(m Mistake) bool {
	p := current.Load()
	return p != nil && *p == m
}
