package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/pimentohinge/pimentohinge/internal/control/dispatch"
)

// ledgerTTL is how long a ledger counts after it was received.
const ledgerTTL = 3 * time.Second

type receivedLedgerAt struct {
	at      time.Time
	entries map[string]dispatch.LedgerEntry
}

// TestDataCentreTotalSumsFreshPeerLedgers receives ledgers that replace each other and
// expire in any order. The sum must be that of the newest ledger of each VM, without
// expired ones.
func TestDataCentreTotalSumsFreshPeerLedgers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		core := dispatch.New(dispatch.Options{VM: "vm-0", DataCentre: "a", RetryWindow: time.Second})
		now := start
		newest := map[string]receivedLedgerAt{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "pauseMs")) * time.Millisecond)
			vm := fmt.Sprintf("vm-%d", rapid.IntRange(1, 4).Draw(t, "vm"))
			entries := rapid.MapOf(rapid.SampledFrom([]string{"s1", "s2", "s3"}), rapid.Custom(drawEntry)).Draw(t, "entries")
			core.Step(now, dispatch.PeerLedger{Source: vm, Entries: entries})
			newest[vm] = receivedLedgerAt{at: now, entries: entries}
		}
		now = now.Add(time.Second)
		want := map[string]dispatch.LedgerEntry{}
		for _, l := range newest {
			if now.Sub(l.at) > ledgerTTL {
				continue
			}
			for id, e := range l.entries {
				sum := want[id]
				want[id] = dispatch.LedgerEntry{
					Requests: sum.Requests + e.Requests, Tokens: sum.Tokens + e.Tokens, PrefillTokens: sum.PrefillTokens + e.PrefillTokens,
				}
			}
		}
		for _, a := range core.Step(now, dispatch.Tick{}) {
			if l, ok := a.(dispatch.PublishLedger); ok && l.Scope == dispatch.ScopeDataCentre {
				if diff := cmp.Diff(want, l.Entries); diff != "" {
					t.Fatalf("total of the data centre (-want +got):\n%s", diff)
				}
				return
			}
		}
		t.Fatal("no total was published")
	})
}

func drawEntry(t *rapid.T) dispatch.LedgerEntry {
	return dispatch.LedgerEntry{
		Requests: rapid.IntRange(1, 9).Draw(t, "requests"), Tokens: rapid.IntRange(0, 9000).Draw(t, "tokens"),
		PrefillTokens: rapid.IntRange(0, 9000).Draw(t, "reading"),
	}
}
