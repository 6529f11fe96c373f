// Package ticket issues tickets for calls that must run at most once. Only the
// process that issued a ticket may spend it, and it records spent tickets in
// memory, so that no store is needed.
package ticket

import (
	"crypto/rand"
	"encoding/hex"
	"slices"
	"sync"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/mutation"
	"github.com/pimentohinge/pimentohinge/internal/signedtoken"
)

// Lifetime is how long a ticket is valid after it was issued.
const Lifetime = 10 * time.Minute

// recordRetention is how long the record of a spent ticket is kept after the ticket's
// expiry.
const recordRetention = Lifetime

const (
	nonceBytes = 12
	// recordBytes is the memory of the record of a spent ticket without the response.
	recordBytes = 512
	// responsesDivisor leaves half of the memory to records without a response.
	responsesDivisor = 2
	// sweepInterval is the interval at which expired records are removed.
	sweepInterval = time.Second
)

// Ticket is the content of the signed token that the caller sends.
type Ticket struct {
	// VM is the name of the issuer.
	VM string `cbor:"1,keyasint"`
	// Incarnation is the incarnation of the issuer. Only that process records
	// whether the ticket was spent.
	Incarnation int `cbor:"2,keyasint"`
	// Workspace is the only workspace that may spend the ticket.
	Workspace string `cbor:"3,keyasint"`
	// Nonce is unique among the issuer's tickets.
	Nonce string `cbor:"4,keyasint"`
	// ExpiresUnixMs is the time of expiry in Unix milliseconds.
	ExpiresUnixMs int64 `cbor:"5,keyasint"`
	// Revision is the configuration revision at the issuer at the time of issue.
	Revision int `cbor:"6,keyasint"`
}

// Response is the stored response of the call for which a ticket was spent.
type Response struct {
	// Done is false while the call is running or if its outcome is unknown.
	Done bool
	// BodyHash is the hash of the request for which the ticket was spent.
	BodyHash string
	// Omitted is set if the response was not stored, as there was no memory for it.
	Omitted bool
	// Status, ContentType and Body are the backend's response.
	Status      int
	ContentType string
	Body        []byte
}

// Result is the result of Spend.
type Result int

const (
	// Granted means that the call may be dispatched, once.
	Granted Result = iota
	// Spent means that the ticket was spent before; the response is returned if it
	// is known.
	Spent
	// Invalid means that the ticket was not issued to this workspace by a VM of the
	// fleet.
	Invalid
	// Expired means that the ticket expired before it was spent.
	Expired
	// Forgotten means that the ticket expired so long ago that this process no longer
	// knows whether it was spent.
	Forgotten
	// OtherIssuer means that another VM issued the ticket.
	OtherIssuer
	// IssuerRestarted means that an earlier incarnation of this VM issued the ticket.
	IssuerRestarted
	// Full means that there is no memory for the record of a further ticket; this one was not spent.
	Full
)

type spentTicket struct {
	response Response
	expires  time.Time
}

// Issuer issues the tickets of one process and records which of them were spent.
// It is safe for concurrent use.
type Issuer struct {
	vm          string
	incarnation int
	signer      *signedtoken.Signer[Ticket]

	mu    sync.Mutex
	spent map[string]*spentTicket
	// memory is what the records may take, and used what they take, in bytes.
	memory, used int64
	nextSweep    time.Time
}

// New returns the issuer of one incarnation of a VM. secret is shared by the fleet. The records of
// spent tickets take at most memory bytes.
func New(secret, vm string, incarnation int, memory int64) *Issuer {
	return &Issuer{
		vm: vm, incarnation: incarnation, signer: signedtoken.New[Ticket](secret, "ticket"), spent: map[string]*spentTicket{}, memory: memory,
	}
}

// Issue returns a new ticket for a workspace as a signed token.
func (i *Issuer) Issue(now time.Time, workspace string, revision int) (token string, expires time.Time) {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	expires = now.Add(Lifetime)
	return i.signer.Sign(Ticket{
		VM: i.vm, Incarnation: i.incarnation, Workspace: workspace,
		Nonce: hex.EncodeToString(nonce), ExpiresUnixMs: expires.UnixMilli(), Revision: revision,
	}), expires
}

// Verify decodes a ticket without spending it. It returns false if the
// signature is invalid.
func (i *Issuer) Verify(token string) (Ticket, bool) { return i.signer.Verify(token) }

// Spend marks a ticket as spent. Only Granted permits a dispatch.
func (i *Issuer) Spend(now time.Time, token, workspace, bodyHash string) (Ticket, Response, Result) {
	ticket, ok := i.signer.Verify(token)
	if !ok || ticket.Workspace != workspace {
		return ticket, Response{}, Invalid
	}
	if mutation.Enabled(mutation.TicketSpentAnywhere) {
		ticket.VM, ticket.Incarnation = i.vm, i.incarnation
	}
	if ticket.VM != i.vm {
		return ticket, Response{}, OtherIssuer
	}
	if ticket.Incarnation != i.incarnation {
		return ticket, Response{}, IssuerRestarted
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.removeExpired(now)
	if spent := i.spent[ticket.Nonce]; spent != nil {
		return ticket, spent.response, Spent
	}
	expires := time.UnixMilli(ticket.ExpiresUnixMs)
	switch {
	case !now.Before(expires.Add(recordRetention)):
		return ticket, Response{}, Forgotten
	case !now.Before(expires):
		return ticket, Response{}, Expired
	case i.used+recordBytes > i.memory:
		return ticket, Response{}, Full
	}
	i.used += recordBytes
	i.spent[ticket.Nonce] = &spentTicket{response: Response{BodyHash: bodyHash}, expires: expires.Add(recordRetention)}
	return ticket, Response{}, Granted
}

// Release makes a ticket valid again after a call that certainly did not run.
func (i *Issuer) Release(ticket Ticket) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.remove(ticket.Nonce)
}

// StoreResponse stores the response of a spent ticket for repeated requests, if there is memory for it.
func (i *Issuer) StoreResponse(ticket Ticket, resp Response) {
	i.mu.Lock()
	defer i.mu.Unlock()
	spent := i.spent[ticket.Nonce]
	if spent == nil {
		return
	}
	if i.used+int64(len(resp.Body)) > i.memory/responsesDivisor {
		resp.Body, resp.Omitted = nil, true
	}
	resp.Body = slices.Clone(resp.Body)
	i.used += int64(len(resp.Body)) - int64(len(spent.response.Body))
	spent.response = resp
}

func (i *Issuer) removeExpired(now time.Time) {
	if now.Before(i.nextSweep) {
		return
	}
	i.nextSweep = now.Add(sweepInterval)
	for nonce, spent := range i.spent {
		if now.After(spent.expires) {
			i.remove(nonce)
		}
	}
}

func (i *Issuer) remove(nonce string) {
	if spent := i.spent[nonce]; spent != nil {
		i.used -= recordBytes + int64(len(spent.response.Body))
		delete(i.spent, nonce)
	}
}
