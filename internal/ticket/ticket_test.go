package ticket_test

import (
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/ticket"
)

// TestRepeatOfSpentTicketIsNeverCalledUnspent spends a ticket and repeats the request
// later. The result must say that the ticket was spent for as long as the record is kept,
// and after that not that it was never spent.
func TestRepeatOfSpentTicketIsNeverCalledUnspent(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	for _, c := range []struct {
		name  string
		spend bool
		after time.Duration
		want  ticket.Result
	}{
		{"spent", true, time.Minute, ticket.Spent},
		{"spentAndExpired", true, ticket.Lifetime + time.Minute, ticket.Spent},
		{"spentLongAgo", true, 2*ticket.Lifetime + time.Minute, ticket.Forgotten},
		{"unspent", false, time.Minute, ticket.Granted},
		{"unspentAndExpired", false, ticket.Lifetime + time.Minute, ticket.Expired},
		{"unspentLongAgo", false, 2*ticket.Lifetime + time.Minute, ticket.Forgotten},
	} {
		t.Run(c.name, func(t *testing.T) {
			issuer := ticket.New("secret", "vm-1", 1, 1<<20)
			token, _ := issuer.Issue(start, "w", 1)
			if c.spend {
				if _, _, result := issuer.Spend(start, token, "w", "hash"); result != ticket.Granted {
					t.Fatalf("first use: result %d", result)
				}
			}
			if _, _, result := issuer.Spend(start.Add(c.after), token, "w", "hash"); result != c.want {
				t.Errorf("after %v: result %d, want %d", c.after, result, c.want)
			}
		})
	}
}

// TestRecordsTakeLimitedMemory spends tickets until there is no memory for another record. None of them
// may be forgotten before its time.
func TestRecordsTakeLimitedMemory(t *testing.T) {
	const memory = 100_000
	start := time.Unix(1_700_000_000, 0)
	issuer := ticket.New("secret", "vm-1", 1, memory)
	var first string
	results := map[ticket.Result]int{}
	for i := range 1000 {
		token, _ := issuer.Issue(start, "w", 1)
		spent, _, result := issuer.Spend(start, token, "w", "hash")
		results[result]++
		if i == 0 {
			first = token
		}
		if result == ticket.Granted {
			issuer.StoreResponse(spent, ticket.Response{Done: true, BodyHash: "hash", Body: make([]byte, 30_000)})
		}
	}
	if results[ticket.Granted] < 10 || results[ticket.Granted] > 300 || results[ticket.Granted]+results[ticket.Full] != 1000 {
		t.Errorf("results: %v", results)
	}
	if _, response, result := issuer.Spend(start, first, "w", "hash"); result != ticket.Spent || len(response.Body) != 30_000 || response.Omitted {
		t.Errorf("first ticket: result %d, %d bytes", result, len(response.Body))
	}
	later := start.Add(2*ticket.Lifetime + time.Minute)
	token, _ := issuer.Issue(later, "w", 1)
	if spent, _, result := issuer.Spend(later, token, "w", "hash"); result != ticket.Granted {
		t.Errorf("after the records have expired: result %d", result)
	} else {
		issuer.StoreResponse(spent, ticket.Response{Done: true, BodyHash: "hash", Body: make([]byte, memory)})
	}
	if _, response, result := issuer.Spend(later, token, "w", "hash"); result != ticket.Spent || !response.Omitted || len(response.Body) != 0 {
		t.Errorf("long response: result %d, %d bytes, omitted %v", result, len(response.Body), response.Omitted)
	}
}
