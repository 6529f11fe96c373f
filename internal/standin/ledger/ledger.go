// Package ledger implements a plain service whose writes must not run twice, for
// tests and demos. It stands in for the users' tag ledger, parts orders and
// invoices, records every write and injects faults.
package ledger

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

const maxEntryBytes = 1 << 20

// Faults selects the faults to inject. The zero value injects none.
type Faults struct {
	// DropResponses is the number of further writes that run but whose connection is
	// closed without a response.
	DropResponses int `json:"loseAnswers"`
	// DelayMs is added before each write, in milliseconds.
	DelayMs int `json:"delayMs"`
}

// Run is one executed write.
type Run struct {
	// Key is the idempotency key of the call.
	Key string `json:"key"`
	// Body is the request body as received.
	Body string `json:"body"`
}

// Ledger records writes. It is safe for concurrent use.
type Ledger struct {
	// Deduplicates makes the service run each idempotency key once. It must be set
	// before the first call.
	Deduplicates bool

	mu     sync.Mutex
	runs   []Run
	faults Faults
}

// New returns an empty ledger.
func New() *Ledger { return &Ledger{} }

// SetFaults replaces the injected faults.
func (l *Ledger) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Runs returns all executed writes in order.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}

// Handler serves POST and GET of /entries and of the paths of the users' services:
// /tags, /orders and /invoices. Under /standin/ it serves fault injection.
func (l *Ledger) Handler() http.Handler {
	r := chi.NewRouter()
	for _, p := range []string{"/entries", "/tags", "/orders", "/invoices"} {
		r.Post(p, l.add)
		r.Get(p, l.list)
	}
	r.Put("/standin/faults", l.putFaults)
	return r
}

func (l *Ledger) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.SetFaults(f)
}

func (l *Ledger) add(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxEntryBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	faults := l.faults
	l.mu.Unlock()
	time.Sleep(time.Duration(faults.DelayMs) * time.Millisecond)
	number, drop := l.run(Run{Key: r.Header.Get("Idempotency-Key"), Body: string(body)})
	if drop {
		// Closes the connection without a response after the write ran.
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(map[string]int{"number": number})
}

// run executes a write and returns its number, or the number of the earlier write
// with the same key if the ledger deduplicates. drop reports whether to drop the
// response.
func (l *Ledger) run(write Run) (number int, drop bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	drop = l.faults.DropResponses > 0
	if drop {
		l.faults.DropResponses--
	}
	if l.Deduplicates && write.Key != "" {
		for i, earlier := range l.runs {
			if earlier.Key == write.Key {
				return i + 1, drop
			}
		}
	}
	l.runs = append(l.runs, write)
	return len(l.runs), drop
}

func (l *Ledger) list(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l.Runs())
}
