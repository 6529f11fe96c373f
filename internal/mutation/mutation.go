// Package mutation enables deliberate faults in the code, as in mutation testing,
// so that tests can prove that their checks detect them. Only tests may call
// Enable.
package mutation

import "sync/atomic"

// Mutation is the name of a deliberate fault.
type Mutation string

// The available mutations.
const (
	// DispatchWithoutClaim sends a call before its claim is known to be granted.
	DispatchWithoutClaim Mutation = "dispatchWithoutClaim"
	// LostClaimResponseGranted treats a claim as granted when the response of the
	// platform was lost.
	LostClaimResponseGranted Mutation = "lostClaimGranted"
	// ClaimTakenOver lets another attempt take over the claim of a failed holder.
	ClaimTakenOver Mutation = "claimPassedOn"
	// TicketSpentAnywhere lets every VM spend every ticket, not only the issuer.
	TicketSpentAnywhere Mutation = "ticketSpentAnywhere"
	// TransportRetries lets the HTTP transport retry calls with an idempotency key.
	TransportRetries Mutation = "transportRepeats"
	// UnknownReportedNotRun reports notRun for a call that may have run.
	UnknownReportedNotRun Mutation = "unknownCalledNotRun"
	// NoIndexCheck relays tokens without checking their index.
	NoIndexCheck Mutation = "noIndexCheck"
	// RestartMidStream starts another generation after tokens were delivered.
	RestartMidStream Mutation = "restartMidStream"
	// StallUndetected waits without a deadline for an engine that sends no data.
	StallUndetected Mutation = "stallUnseen"
	// DisconnectIgnored does not cancel the generation of a caller that has
	// disconnected for good.
	DisconnectIgnored Mutation = "callerGoneIgnored"
	// OldRevisionAccepted applies every configuration snapshot, even an older one.
	OldRevisionAccepted Mutation = "oldRevisionAccepted"
	// LostAppendAccepted treats a configuration revision as accepted when the
	// response to the append was lost.
	LostAppendAccepted Mutation = "lostAppendAccepted"
	// LeavingIgnored sends new work to backends that are leaving.
	LeavingIgnored Mutation = "leavingIgnored"
	// StopWithoutDrain stops a VM without waiting for its requests in flight.
	StopWithoutDrain Mutation = "stopCutsOff"
	// LeaseFromResponseTime starts a lease at the platform's response instead of at the
	// time when the request was sent.
	LeaseFromResponseTime Mutation = "leaseFromAnswer"
	// LeaseNotTakenOver leaves the lease of a failed holder as it is.
	LeaseNotTakenOver Mutation = "leaseNotTakenOver"
	// NotRunWithoutCheck reports notRun for a request although an engine may have
	// started it.
	NotRunWithoutCheck Mutation = "refusalWithoutCheck"
)

var active atomic.Pointer[Mutation]

// Enable enables one mutation, in place of any other, and returns a function that
// disables it.
func Enable(m Mutation) (disable func()) {
	active.Store(&m)
	return func() { active.Store(nil) }
}

// Enabled reports whether the mutation is enabled.
func Enabled(m Mutation) bool {
	enabled := active.Load()
	return enabled != nil && *enabled == m
}
