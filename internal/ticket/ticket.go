// Package ticket issues tickets for calls that must not repeat. The process
// that issued a ticket is the only one that may spend it, and remembers in its
// memory that it did, so that no store is needed and at most one call runs.
package ticket

import (
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/mutation"
	"github.com/pimentohinge/pimentohinge/internal/seal"
)

// Lifetime is how long a ticket may be spent after it was issued.
const Lifetime = 10 * time.Minute

const nonceBytes = 12

// Ticket is the document that the caller carries.
type Ticket struct {
	// VM is the issuer.
	VM string `cbor:"1,keyasint"`
	// Incarnation is the life of the issuer that remembers the ticket.
	Incarnation int `cbor:"2,keyasint"`
	// Workspace is the only one that may spend the ticket.
	Workspace string `cbor:"3,keyasint"`
	// Nonce is unique among the issuer's tickets.
	Nonce string `cbor:"4,keyasint"`
	// ExpiresUnixMs is when the ticket becomes void, in Unix milliseconds.
	ExpiresUnixMs int64 `cbor:"5,keyasint"`
	// Revision is the configuration revision in force at the issuer.
	Revision int `cbor:"6,keyasint"`
}

// Response is a stored answer of a spent ticket.
type Response struct {
	// Done is false while the call runs or when its outcome is unknown.
	Done bool
	// BodyHash is the hash of the request that spent the ticket.
	BodyHash string
	// Status, ContentType and Body are the backend's answer.
	Status      int
	ContentType string
	Body        []byte
}

// Result is what Spend found.
type Result int

const (
	// Granted means that the caller of Spend may dispatch, once.
	Granted Result = iota
	// Spent means that the ticket was used before; the answer is returned when it is known.
	Spent
	// Invalid means that the ticket was not issued by the fleet to this workspace.
	Invalid
	// Expired means that the ticket was void before it was spent.
	Expired
	// OtherIssuer means that another VM issued the ticket.
	OtherIssuer
	// IssuerRestarted means that an earlier life of this VM issued the ticket.
	IssuerRestarted
)

type spentTicket struct {
	response Response
	expires  time.Time
}

// Issuer remembers the tickets that this process spent. It is safe for concurrent
// use.
type Issuer struct {
	vm          string
	incarnation int
	sealer      *seal.Sealer[Ticket]

	mu    sync.Mutex
	spent map[string]*spentTicket
}

// New returns the book of one process.
func New(secret, vm string, incarnation int) *Issuer {
	return &Issuer{vm: vm, incarnation: incarnation, sealer: seal.New[Ticket](secret, "ticket"), spent: map[string]*spentTicket{}}
}

// Issue makes a ticket for a workspace.
func (i *Issuer) Issue(now time.Time, workspace string, revision int) (token string, expires time.Time) {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	expires = now.Add(Lifetime)
	return i.sealer.Seal(Ticket{
		VM: i.vm, Incarnation: i.incarnation, Workspace: workspace,
		Nonce: hex.EncodeToString(nonce), ExpiresUnixMs: expires.UnixMilli(), Revision: revision,
	}), expires
}

// Open reads a ticket without spending it.
func (i *Issuer) Open(token string) (Ticket, bool) { return i.sealer.Open(token) }

// Spend uses up a ticket. Only Granted permits a dispatch.
func (i *Issuer) Spend(now time.Time, token, workspace, bodyHash string) (Ticket, Response, Result) {
	t, ok := i.sealer.Open(token)
	if !ok || t.Workspace != workspace {
		return t, Response{}, Invalid
	}
	if mutation.Enabled(mutation.TicketSpentAnywhere) {
		t.VM, t.Incarnation = i.vm, i.incarnation
	}
	if t.VM != i.vm {
		return t, Response{}, OtherIssuer
	}
	if t.Incarnation != i.incarnation {
		return t, Response{}, IssuerRestarted
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.removeExpired(now)
	if s := i.spent[t.Nonce]; s != nil {
		return t, s.response, Spent
	}
	expires := time.UnixMilli(t.ExpiresUnixMs)
	if !now.Before(expires) {
		return t, Response{}, Expired
	}
	i.spent[t.Nonce] = &spentTicket{response: Response{BodyHash: bodyHash}, expires: expires.Add(Lifetime)}
	return t, Response{}, Granted
}

// Unspend makes a ticket good again after a call that certainly did not run.
func (i *Issuer) Unspend(t Ticket) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.spent, t.Nonce)
}

// StoreResponse stores the answer of a spent ticket for repeated requests.
func (i *Issuer) StoreResponse(t Ticket, resp Response) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if s := i.spent[t.Nonce]; s != nil {
		s.response = resp
	}
}

func (i *Issuer) removeExpired(now time.Time) {
	for n, s := range i.spent {
		if now.After(s.expires) {
			delete(i.spent, n)
		}
	}
}
