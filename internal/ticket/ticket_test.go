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
			issuer := ticket.New("secret", "vm-1", 1)
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
