package upstream

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/network"
)

// Engine describes a model replica. All values are positive.
type Engine struct {
	// CapacityTokens is the size of the KV cache in tokens, and EventTokens the number
	// of tokens in one event.
	CapacityTokens, EventTokens int
	// EventInterval is the time between two events.
	EventInterval time.Duration
	// PromptTokensPerMs is the prefill rate, in prompt tokens per millisecond.
	PromptTokensPerMs int
	// CopyTokensPerMs is the rate of KV cache copies to other replicas, in tokens per
	// millisecond. Copies run one at a time.
	CopyTokensPerMs int
}

// Options describes a replica.
type Options struct {
	// ID is the replica's ID, and Address where it listens on Network.
	ID, Address string
	Network     network.Network
	// StartedAt is the time of its start that it reports. It tells replicas that use an ID one
	// after the other apart. The zero time is not reported.
	StartedAt time.Time
	// Engine is nil for a plain service.
	Engine *Engine
	// ServiceTime is the processing time of a request to a plain service.
	ServiceTime time.Duration
	// Fault selects the fault for each attempt; nil means none.
	Fault func(attempt string) Fault
	// Crashes reports whether the replica crashes when it starts to generate for a prompt
	// with these segments; nil means never. OnCrash is called after a crash; it may be nil.
	Crashes func(segments []string) bool
	OnCrash func()
	// StatusLine returns the status and the reason of the response to an attempt with the fault
	// SendsStatus.
	StatusLine func(attempt string) string
	// RawResponse returns the bytes of the response to an attempt with the fault SendsRaw.
	RawResponse func(attempt string) string
	// CrashesSilently makes it crash before it has sent the header of the response.
	CrashesSilently bool
	// EndsWithConnection makes its streams have neither a length nor chunks.
	EndsWithConnection bool
	// MoveFault selects the fault for a copy of a run, final if the run stops for it; nil
	// means none.
	MoveFault func(attempt string, final bool) MoveFault
	// KeepsRunning makes a generation continue when the connection of its stream closes.
	KeepsRunning bool
	// CopyLifetime is how long a copy of a KV cache is kept after its last change; 0 means
	// that copies do not expire.
	CopyLifetime time.Duration
}

// Replica is one running replica.
type Replica struct {
	opts     Options
	cluster  *Cluster
	server   *http.Server
	listener net.Listener

	copySlot chan struct{} // holds an element while a copy to another replica runs

	mu     sync.Mutex
	active map[string]*generation
	copies map[copyKey]*kvCache
	// lastHandle is the number of the newest handle. Each start of a replica begins at 1.
	lastHandle int
	// attempts holds the attempts to whose copies this replica gave handles, by handle.
	attempts map[string]string
	// stopAt is the announced time of the stop; zero if none was announced.
	stopAt time.Time
	// leaving is set when all responses say that the replica leaves.
	leaving bool
	// refusesUntil is the end of the time for which the replica refuses all requests.
	refusesUntil time.Time
	// suspendedUntil is the end of the time for which its process is suspended.
	suspendedUntil time.Time
}

// copyKey identifies a copy. Replicas that use an address one after the other may give the same
// handle to copies of different attempts.
type copyKey struct {
	// ref is the address of the source, a slash and the handle.
	ref, attempt string
}

// kvCache is the KV cache of a run, at the replica that runs it or as a copy.
type kvCache struct {
	attempt string
	tokens  int
	// stopped is set on a copy that stays at the source because the run was stopped
	// and the target had no room or was not running.
	stopped bool
}

// generation is a stream in progress.
type generation struct {
	kvCache
	events    int           // number of the last event sent
	cancelled chan struct{} // closed when the stream must stop
	lost      chan struct{} // closed when the connection of the stream is lost
	target    string        // address of the replica with the copy; empty before the first
	handle    string        // names the copies; empty before the first
	recorded  *Run
	copied    int // tokens of the copy
}

// Start starts a replica and adds it to the cluster.
func (c *Cluster) Start(opts Options) (*Replica, error) {
	ln, err := opts.Network.Listen(opts.Address)
	if err != nil {
		return nil, err
	}
	replica := &Replica{opts: opts, cluster: c, listener: ln, active: map[string]*generation{}, copies: map[copyKey]*kvCache{}, attempts: map[string]string{}, copySlot: make(chan struct{}, 1)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/kv-move", replica.handleMove)
	mux.HandleFunc("DELETE /v1/kv-handle/{handle}", replica.handleDrop)
	mux.HandleFunc("GET /v1/report", replica.handleReport)
	mux.HandleFunc("/", replica.serve)
	replica.server = &http.Server{Handler: replica.withNotices(mux)}
	c.mu.Lock()
	c.replicas[opts.Address] = replica
	c.mu.Unlock()
	go func() { _ = replica.server.Serve(ln) }()
	return replica, nil
}

// Stop stops the replica at once, as when its machine is reclaimed. It cancels all
// streams.
func (r *Replica) Stop() {
	r.cluster.mu.Lock()
	if r.cluster.replicas[r.opts.Address] == r {
		delete(r.cluster.replicas, r.opts.Address)
	}
	r.cluster.mu.Unlock()
	_ = r.server.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, gen := range r.active {
		gen.cancel()
		// The run ends now, also if the process is suspended.
		r.cluster.recordEnd(gen.recorded, gen.events)
	}
}

func (g *generation) cancel() { closeOnce(g.cancelled) }

// closeOnce closes a channel unless it is closed. Calls must not overlap.
func closeOnce(ch chan struct{}) {
	select {
	case <-ch:
	default:
		close(ch)
	}
}

// LoseResponse closes the connection of a stream, whose generation continues. It reports
// false if the replica does not run the attempt.
func (r *Replica) LoseResponse(attempt string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	gen, ok := r.active[attempt]
	if ok {
		closeOnce(gen.lost)
	}
	return ok
}

// AnnounceStop makes the replica report that it is draining and will stop at the
// given time. It does not stop by itself.
func (r *Replica) AnnounceStop(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopAt = at
}

// Running returns the attempts that the replica generates for, in order.
func (r *Replica) Running() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.active))
}

func (r *Replica) handleReport(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	out := map[string]any{"active": len(r.active), "queued": 0, "kvUsed": r.used(), "state": "ready"}
	if r.opts.Engine != nil {
		out["kvTotal"] = r.opts.Engine.CapacityTokens
	}
	if !r.opts.StartedAt.IsZero() {
		out["born"] = r.opts.StartedAt.UnixMilli()
	}
	if !r.stopAt.IsZero() {
		out["state"], out["leaves_ms"] = "draining", time.Until(r.stopAt).Milliseconds()
	}
	r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

// UsedTokens returns the size of the KV cache in use, in tokens, including copies.
func (r *Replica) UsedTokens() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.used()
}

func (r *Replica) used() int {
	total := 0
	for _, gen := range r.active {
		total += gen.tokens
	}
	for _, copied := range r.copies {
		total += copied.tokens
	}
	return total
}

func (r *Replica) serve(w http.ResponseWriter, req *http.Request) {
	attempt := req.Header.Get("X-Pimentohinge-Attempt-Id")
	if want := req.Header.Get("X-Pimentohinge-Expect-Instance"); want != "" && want != r.opts.ID {
		w.Header().Set("X-Pimentohinge-Replica-Id", r.opts.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	fault := None
	if r.opts.Fault != nil {
		fault = r.opts.Fault(attempt)
	}
	if !fault.IsEarly() {
		_, _ = io.Copy(io.Discard, req.Body)
	}
	switch fault {
	case Overloaded:
		r.respondNotExecuted(w, attempt)
		return
	case RepeatsRefusal, RepeatsRefusalWithoutID:
		r.repeatRefusal(w, attempt, fault == RepeatsRefusal)
		return
	}
	timeoutMs, _ := strconv.Atoi(req.Header.Get("X-Pimentohinge-Deadline-Ms"))
	received, _ := req.Context().Value(receivedKey{}).(time.Time)
	run := Run{
		Received: received,
		Attempt:  attempt, Replica: r.opts.ID, ReplicaStartedAt: r.opts.StartedAt, Workspace: req.Header.Get("X-Pimentohinge-Tenant"),
		Key: req.Header.Get("Authorization"), TimeoutMs: timeoutMs, Segments: promptSegments(req.Header),
	}
	if r.opts.Engine == nil {
		r.servePlain(w, req, run, fault)
		return
	}
	r.serveStream(w, req, run, fault)
}

func (r *Replica) respondNotExecuted(w http.ResponseWriter, attempt string) {
	w.Header().Set("X-Pimentohinge-Not-Executed", "1")
	w.Header().Set("X-Pimentohinge-Attempt-Id", attempt)
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (r *Replica) setHeaders(h http.Header, attempt string) {
	h.Set("X-Pimentohinge-Attempt-Id", attempt)
	h.Set("X-Pimentohinge-Response-Stamp", "stamp-"+r.opts.ID+"-"+attempt)
}

// ResponseBody returns the response body of a plain service for an attempt.
func ResponseBody(attempt string) string { return "answer to " + attempt }

func (r *Replica) servePlain(w http.ResponseWriter, req *http.Request, run Run, fault Fault) {
	recorded := r.cluster.recordStart(run)
	select {
	case <-time.After(r.opts.ServiceTime):
	case <-req.Context().Done():
		r.cluster.recordEnd(recorded, 0)
		panic(http.ErrAbortHandler)
	}
	r.awaitResumption()
	r.cluster.recordEnd(recorded, 0)
	body := ResponseBody(run.Attempt)
	switch fault {
	case None, Overloaded:
		r.setHeaders(w.Header(), run.Attempt)
		_, _ = io.WriteString(w, body)
	case InternalError:
		r.setHeaders(w.Header(), run.Attempt)
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "failed")
	case DropsResponse:
		panic(http.ErrAbortHandler)
	case Hangs:
		<-req.Context().Done()
		panic(http.ErrAbortHandler)
	default:
		r.writeRaw(w, run.Attempt, body, fault)
	}
}

// serveStream runs a generation. With the header Kv-From it resumes one after the
// event in Last-Event-Id from a copy of its KV cache, and prefills only the tokens
// that the copy lacks.
func (r *Replica) serveStream(w http.ResponseWriter, req *http.Request, run Run, fault Fault) {
	engine := r.opts.Engine
	usage := strings.Split(req.Header.Get("X-Pimentohinge-Token-Usage"), ",")
	prompt, _ := strconv.Atoi(usage[0])
	total := 1
	if len(usage) > 1 {
		maxTokens, _ := strconv.Atoi(usage[1])
		total = max(1, maxTokens/engine.EventTokens)
	}
	from := req.Header.Get("Kv-From")
	if fault >= SendsEndlessHeader {
		run.Resumed = from != ""
		r.cluster.recordEnd(r.cluster.recordStart(run), 0)
		r.writeRaw(w, run.Attempt, "", fault)
		return
	}
	first, toPrefill := 1, prompt
	if from != "" {
		last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
		copied, ok := r.takeCopy(from, run.Attempt)
		if !ok {
			r.respondNotExecuted(w, run.Attempt)
			return
		}
		first, run.Resumed = last+1, true
		toPrefill = max(0, prompt+last*engine.EventTokens-copied.tokens)
	}
	gen := &generation{kvCache: kvCache{attempt: run.Attempt, tokens: prompt + (first-1)*engine.EventTokens}, events: first - 1, cancelled: make(chan struct{}), lost: make(chan struct{})}
	r.mu.Lock()
	if r.used()+gen.tokens > engine.CapacityTokens {
		r.mu.Unlock()
		r.respondNotExecuted(w, run.Attempt)
		return
	}
	run.FirstEvent = first
	recorded := r.cluster.recordStart(run)
	gen.recorded = recorded
	r.active[run.Attempt] = gen
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		if r.active[run.Attempt] == gen {
			delete(r.active, run.Attempt)
		}
		lastEvent := gen.events
		r.mu.Unlock()
		r.cluster.recordEnd(recorded, lastEvent)
	}()
	r.waitFor(req, gen, time.Duration(toPrefill/engine.PromptTokensPerMs)*time.Millisecond)
	r.setHeaders(w.Header(), run.Attempt)
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	if r.opts.Crashes != nil && r.opts.Crashes(run.Segments) {
		if !r.opts.CrashesSilently {
			_ = rc.Flush()
		}
		r.waitFor(req, gen, engine.EventInterval/2)
		r.crash()
	}
	connected := true
	flush := rc.Flush
	if r.opts.EndsWithConnection {
		conn := hijack(w)
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, rawStream(run.Attempt, 0))
		w, flush = connWriter{w, conn}, func() error { return nil }
	}
	for i := first; i <= total; i++ {
		r.waitFor(req, gen, engine.EventInterval)
		if connected && gen.isLost() {
			connected = false
			r.cluster.recordUnheard(recorded)
			closeConnection(w)
		}
		if fault == TruncatesBody && i == total/2 {
			panic(http.ErrAbortHandler)
		}
		r.mu.Lock()
		gen.events, gen.tokens = i, gen.tokens+engine.EventTokens
		r.mu.Unlock()
		if connected {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, EventData(run.Attempt, i))
			_ = flush()
		}
	}
}

// connWriter is a ResponseWriter whose body goes to a connection as it is.
type connWriter struct {
	http.ResponseWriter
	conn net.Conn
}

func (w connWriter) Write(b []byte) (int, error) { return w.conn.Write(b) }

// hijack takes the connection of a response over from the server.
func hijack(w http.ResponseWriter) net.Conn {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic("upstream: hijack connection: " + err.Error())
	}
	return conn
}

func (g *generation) isLost() bool {
	select {
	case <-g.lost:
		return true
	default:
		return false
	}
}

// closeConnection closes the connection of a response without ending its handler.
func closeConnection(w http.ResponseWriter) {
	_ = hijack(w).Close()
}

// promptSegments returns the IDs of the segments of a prompt.
func promptSegments(h http.Header) []string {
	var ids []string
	for entry := range strings.SplitSeq(h.Get("X-Pimentohinge-Prompt-Prefix"), ",") {
		if id, _, ok := strings.Cut(entry, ":"); ok {
			ids = append(ids, id)
		}
	}
	return ids
}

// crash ends the replica in the middle of a response.
func (r *Replica) crash() {
	r.Stop()
	if r.opts.OnCrash != nil {
		r.opts.OnCrash()
	}
	panic(http.ErrAbortHandler)
}

// EventData returns the data of event i of an attempt's stream.
func EventData(attempt string, i int) string { return attempt + "/" + strconv.Itoa(i) }

// waitFor waits for d. It aborts the stream if the generation is cancelled or the
// request ends first.
func (r *Replica) waitFor(req *http.Request, gen *generation, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	callerGone := req.Context().Done()
	if r.opts.KeepsRunning {
		callerGone = nil
	}
	select {
	case <-t.C:
	case <-gen.cancelled:
		panic(http.ErrAbortHandler)
	case <-callerGone:
		panic(http.ErrAbortHandler)
	}
	r.awaitResumption()
}

// Address returns the address that the replica listens on.
func (r *Replica) Address() string { return r.opts.Address }
