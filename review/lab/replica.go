package lab

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// EventTokens is the number of tokens in one event of a stream.
const EventTokens = 4

// Run is one execution of a request by a replica.
type Run struct {
	Replica, Service, Attempt, Path string
	At                              time.Time
}

// Replica is a stand-in for a replica of a plain service or a model replica without moves.
type Replica struct {
	ID, Service, Address string
	// WorkTime is the time that a plain request takes.
	WorkTime time.Duration
	// EventInterval is the time between two events of a stream.
	EventInterval time.Duration

	lab   *Lab
	store *Store

	mu   sync.Mutex
	runs []Run
	seq  int
}

// prefillTokensPerMs is the prefill rate of the site's engines.
const prefillTokensPerMs = 14

// StartReplica starts a replica. It does not register itself.
func (l *Lab) StartReplica(s *Store, id, service string) *Replica {
	ln := l.Listen()
	r := &Replica{ID: id, Service: service, Address: ln.Addr().String(), WorkTime: 15 * time.Millisecond, EventInterval: 40 * time.Millisecond, lab: l, store: s}
	server := &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(ln) }()
	l.Notef("replica %s of %s at %s started", id, service, r.Address)
	return r
}

// Entry returns the entry that the replica writes with its next beat.
func (r *Replica) Entry(state string) map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	slots := 6
	if r.Service == EngineService {
		slots = 24
	}
	return map[string]any{
		"service": r.Service, "addr": r.Address, "zone": DataCentre, "version": "v1", "slots": slots,
		"state": state, "coldLeftMs": 0, "seq": r.seq,
	}
}

// Beat writes the replica's entry.
func (r *Replica) Beat(state string) { r.store.Set("servers/"+r.ID, r.Entry(state)) }

// Runs returns the runs so far.
func (r *Replica) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

func (r *Replica) serve(w http.ResponseWriter, req *http.Request) {
	attempt := req.Header.Get("X-Pimentohinge-Attempt-Id")
	w.Header().Set("X-Pimentohinge-Attempt-Id", attempt)
	switch want := req.Header.Get("X-Pimentohinge-Expect-Instance"); {
	case want != "" && want != r.ID:
		w.Header().Set("X-Pimentohinge-Replica-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case attempt == "":
		w.Header().Set("X-Pimentohinge-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	run := Run{Replica: r.ID, Service: r.Service, Attempt: attempt, Path: req.URL.Path, At: time.Now()}
	r.mu.Lock()
	r.runs = append(r.runs, run)
	r.mu.Unlock()
	r.lab.Notef("run %s by %s of %s path=%s", attempt, r.ID, r.Service, run.Path)
	w.Header().Set("X-Pimentohinge-Response-Stamp", "s."+r.ID+"."+attempt)
	if usage := req.Header.Get("X-Pimentohinge-Token-Usage"); usage != "" {
		r.stream(w, req, usage)
		return
	}
	time.Sleep(r.WorkTime)
	_, _ = fmt.Fprintf(w, "answer of %s to %s", r.ID, attempt)
}

// stream prefills the prompt and then sends an event for each EventTokens tokens. It stops
// when the channel is closed.
func (r *Replica) stream(w http.ResponseWriter, req *http.Request, usage string) {
	prompt, output, _ := strings.Cut(usage, ",")
	promptTokens, _ := strconv.Atoi(prompt)
	outputTokens, _ := strconv.Atoi(output)
	attempt := req.Header.Get("X-Pimentohinge-Attempt-Id")
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	time.Sleep(time.Duration(promptTokens/prefillTokensPerMs) * time.Millisecond)
	for i := 1; i <= outputTokens/EventTokens; i++ {
		select {
		case <-req.Context().Done():
			r.lab.Notef("run %s at %s loses its channel before event %d", attempt, r.ID, i)
			panic(http.ErrAbortHandler)
		case <-time.After(r.EventInterval):
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", i, attempt, i)
		_ = rc.Flush()
	}
	r.lab.Notef("run %s at %s ends after event %d", attempt, r.ID, outputTokens/EventTokens)
}

// BeatInterval is the beatMs of the site.
const BeatInterval = 1200 * time.Millisecond

// KeepBeating writes the replica's entry, ready, at each BeatInterval until stop is closed.
func (r *Replica) KeepBeating(stop <-chan struct{}) {
	r.Beat("ready")
	go func() {
		ticker := time.NewTicker(BeatInterval)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				r.Beat("ready")
			}
		}
	}()
}
