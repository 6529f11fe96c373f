package upstream

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/network"
)

// Engine describes a model replica. All values are positive.
type Engine struct {
	// Capacity is its memory in tokens, Stride the tokens of one event.
	Capacity, Stride int
	// EventTime is the time between two events.
	EventTime time.Duration
	// PromptPerMs is how many prompt tokens it reads in a millisecond.
	PromptPerMs int
	// CopyPerMs is how many tokens its link carries in a millisecond; one copy
	// goes at a time.
	CopyPerMs int
}

// Fault is what goes wrong with one request.
type Fault int

// Faults.
const (
	// None means that the request is answered.
	None Fault = iota
	// Fails answers 500 after running.
	Fails
	// Sheds answers 503 without running.
	Sheds
	// LosesAnswer runs and closes the connection without an answer.
	LosesAnswer
	// Truncates breaks off in the middle of the body.
	Truncates
	// SendsExtra sends the answer of another request after its own.
	SendsExtra
	// SendsGarbage sends bytes that are no answer.
	SendsGarbage
	// Hangs never answers.
	Hangs
	// Unframed sends no length and ends with the connection, whole.
	Unframed
)

// Options describes a replica.
type Options struct {
	// ID and Address name it; Network is where it listens.
	ID, Address string
	Network     network.Network
	// Engine is nil for a plain service.
	Engine *Engine
	// Work is the time of a plain request.
	Work time.Duration
	// Fault chooses what goes wrong with a request; nil means nothing.
	Fault func(attempt string) Fault
}

// Replica is one stand-in replica.
type Replica struct {
	opts   Options
	grid   *Grid
	server *http.Server

	link chan struct{} // holds an element while a copy goes out

	mu     sync.Mutex
	active map[string]*generation
	copies map[string]*memory // by handle
	// leavesAt is when the replica will be stopped; zero while it stays.
	leavesAt time.Time
}

// memory is the memory of a run, at its replica or as a copy.
type memory struct {
	attempt string
	tokens  int
	// stopped is set at the source once the run has stopped.
	stopped bool
}

// generation is a stream that runs.
type generation struct {
	memory
	events int
	stop   chan struct{}
	target string // address of the copy; empty before the first
	copied int    // tokens that the copy has
}

// Start opens a replica on a grid.
func (g *Grid) Start(o Options) (*Replica, error) {
	r := &Replica{opts: o, grid: g, active: map[string]*generation{}, copies: map[string]*memory{}, link: make(chan struct{}, 1)}
	ln, err := o.Network.Listen(o.Address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/kv-move", r.move)
	mux.HandleFunc("DELETE /v1/kv-handle/{handle}", r.drop)
	mux.HandleFunc("GET /v1/report", r.report)
	mux.HandleFunc("/", r.serve)
	r.server = &http.Server{Handler: mux}
	g.mu.Lock()
	g.replicas[o.Address] = r
	g.mu.Unlock()
	go func() { _ = r.server.Serve(ln) }()
	return r, nil
}

// Stop ends the replica at once, as when its machine is taken away.
func (r *Replica) Stop() {
	r.grid.mu.Lock()
	delete(r.grid.replicas, r.opts.Address)
	r.grid.mu.Unlock()
	_ = r.server.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range r.active {
		g.halt()
	}
}

func (g *generation) halt() {
	select {
	case <-g.stop:
	default:
		close(g.stop)
	}
}

// Leave makes the replica say in its reports that it will be stopped.
func (r *Replica) Leave(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leavesAt = at
}

func (r *Replica) report(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	out := map[string]any{"active": len(r.active), "queued": 0, "kvUsed": r.used(), "state": "ready"}
	if r.opts.Engine != nil {
		out["kvTotal"] = r.opts.Engine.Capacity
	}
	if !r.leavesAt.IsZero() {
		out["state"], out["leaves_ms"] = "draining", time.Until(r.leavesAt).Milliseconds()
	}
	r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

// Used returns the memory in use, in tokens.
func (r *Replica) Used() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.used()
}

func (r *Replica) used() int {
	n := 0
	for _, g := range r.active {
		n += g.tokens
	}
	for _, c := range r.copies {
		n += c.tokens
	}
	return n
}

func (r *Replica) serve(w http.ResponseWriter, q *http.Request) {
	attempt := q.Header.Get("X-Pimentohinge-Attempt-Id")
	if want := q.Header.Get("X-Pimentohinge-Expect-Instance"); want != "" && want != r.opts.ID {
		w.Header().Set("X-Pimentohinge-Replica-Id", r.opts.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	fault := None
	if r.opts.Fault != nil {
		fault = r.opts.Fault(attempt)
	}
	if fault == Sheds {
		r.refuse(w, attempt)
		return
	}
	left, _ := strconv.Atoi(q.Header.Get("X-Pimentohinge-Deadline-Ms"))
	run := Run{
		Attempt: attempt, Replica: r.opts.ID, Workspace: q.Header.Get("X-Pimentohinge-Tenant"),
		Key: q.Header.Get("Authorization"), LeftMs: left,
	}
	if r.opts.Engine == nil {
		r.servePlain(w, q, run, fault)
		return
	}
	r.serveStream(w, q, run, fault)
}

func (r *Replica) refuse(w http.ResponseWriter, attempt string) {
	w.Header().Set("X-Pimentohinge-Not-Executed", "1")
	w.Header().Set("X-Pimentohinge-Attempt-Id", attempt)
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (r *Replica) stamp(h http.Header, attempt string) {
	h.Set("X-Pimentohinge-Attempt-Id", attempt)
	h.Set("X-Pimentohinge-Response-Stamp", "stamp-"+r.opts.ID+"-"+attempt)
}

// Body is the answer of every plain replica to a request.
func Body(attempt string) string { return "answer to " + attempt }

func (r *Replica) servePlain(w http.ResponseWriter, q *http.Request, run Run, fault Fault) {
	rec := r.grid.begin(run)
	select {
	case <-time.After(r.opts.Work):
	case <-q.Context().Done():
		r.grid.end(rec, 0)
		panic(http.ErrAbortHandler)
	}
	r.grid.end(rec, 0)
	body := Body(run.Attempt)
	switch fault {
	case None, Sheds:
		r.stamp(w.Header(), run.Attempt)
		_, _ = io.WriteString(w, body)
	case Fails:
		r.stamp(w.Header(), run.Attempt)
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "failed")
	case LosesAnswer:
		panic(http.ErrAbortHandler)
	case Hangs:
		<-q.Context().Done()
		panic(http.ErrAbortHandler)
	default:
		r.raw(w, run.Attempt, body, fault)
	}
}

// raw writes an answer that net/http would not write.
func (r *Replica) raw(w http.ResponseWriter, attempt, body string, fault Fault) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic("upstream: connection cannot be hijacked: " + err.Error())
	}
	whole := func(id, text string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Pimentohinge-Attempt-Id: %s\r\nX-Pimentohinge-Response-Stamp: s\r\nContent-Length: %d\r\n\r\n%s", id, len(text), text)
	}
	switch fault {
	case Truncates:
		answer := whole(attempt, body)
		_, _ = io.WriteString(c, answer[:len(answer)-3])
	case SendsGarbage:
		_, _ = io.WriteString(c, "\x00\x01 no answer\r\n\r\n")
	case Unframed:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Pimentohinge-Attempt-Id: %s\r\nX-Pimentohinge-Response-Stamp: s\r\n\r\n%s", attempt, body)
	case SendsExtra:
		r.sendExtra(c, whole(attempt, body), whole("ffffffffffffffff", "answer to nobody"), whole)
		return
	}
	_ = c.Close()
}

// sendExtra answers, lets another answer follow late, and keeps the connection,
// on which later requests are answered as they should.
func (r *Replica) sendExtra(c net.Conn, answer, extra string, whole func(id, text string) string) {
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, answer)
	time.Sleep(5 * time.Millisecond)
	_, _ = io.WriteString(c, extra)
	reader := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		attempt := q.Header.Get("X-Pimentohinge-Attempt-Id")
		r.grid.end(r.grid.begin(Run{Attempt: attempt, Replica: r.opts.ID}), 0)
		_, _ = io.WriteString(c, whole(attempt, Body(attempt)))
	}
}

// serveStream runs a generation, or goes on with one from a copy.
func (r *Replica) serveStream(w http.ResponseWriter, q *http.Request, run Run, fault Fault) {
	e := r.opts.Engine
	usage := strings.Split(q.Header.Get("X-Pimentohinge-Token-Usage"), ",")
	prompt, _ := strconv.Atoi(usage[0])
	total := 1
	if len(usage) > 1 {
		most, _ := strconv.Atoi(usage[1])
		total = max(1, most/e.Stride)
	}
	first, read := 1, prompt
	if from := q.Header.Get("Kv-From"); from != "" {
		_, handle, _ := strings.Cut(from, "/")
		last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
		m, ok := r.take(handle, run.Attempt)
		if !ok {
			r.refuse(w, run.Attempt)
			return
		}
		first, run.Continues = last+1, true
		read = max(0, prompt+last*e.Stride-m.tokens)
	}
	g := &generation{memory: memory{attempt: run.Attempt, tokens: prompt + (first-1)*e.Stride}, events: first - 1, stop: make(chan struct{})}
	r.mu.Lock()
	if r.used()+g.tokens > e.Capacity {
		r.mu.Unlock()
		r.refuse(w, run.Attempt)
		return
	}
	r.active[run.Attempt] = g
	r.mu.Unlock()
	run.From = first
	rec := r.grid.begin(run)
	defer func() {
		r.mu.Lock()
		if r.active[run.Attempt] == g {
			delete(r.active, run.Attempt)
		}
		made := g.events
		r.mu.Unlock()
		r.grid.end(rec, made)
	}()
	r.wait(q, g, time.Duration(read/e.PromptPerMs)*time.Millisecond)
	r.stamp(w.Header(), run.Attempt)
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for i := first; i <= total; i++ {
		r.wait(q, g, e.EventTime)
		if fault == Truncates && i == total/2 {
			panic(http.ErrAbortHandler)
		}
		r.mu.Lock()
		g.events, g.tokens = i, g.tokens+e.Stride
		r.mu.Unlock()
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, Event(run.Attempt, i))
		_ = rc.Flush()
	}
}

// Event is the data of one event of a request's stream.
func Event(attempt string, i int) string { return attempt + "/" + strconv.Itoa(i) }

// wait lets time pass for a generation and breaks its stream when it is over.
func (r *Replica) wait(q *http.Request, g *generation, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-g.stop:
		panic(http.ErrAbortHandler)
	case <-q.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

// take uses up the memory that a handle names.
func (r *Replica) take(handle, attempt string) (*memory, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.copies[handle]
	if !ok || m.attempt != attempt {
		return nil, false
	}
	delete(r.copies, handle)
	return m, true
}

func (r *Replica) drop(w http.ResponseWriter, q *http.Request) {
	handle := q.PathValue("handle")
	r.grid.mu.Lock()
	all := make([]*Replica, 0, len(r.grid.replicas))
	for _, x := range r.grid.replicas {
		all = append(all, x)
	}
	r.grid.mu.Unlock()
	for _, x := range all {
		x.mu.Lock()
		delete(x.copies, handle)
		x.mu.Unlock()
	}
	w.WriteHeader(http.StatusOK)
}

// move copies the memory of a run to another replica.
func (r *Replica) move(w http.ResponseWriter, q *http.Request) {
	var ask struct {
		ID     string `json:"id"`
		Target string `json:"target"`
		Last   bool   `json:"last"`
	}
	if err := json.NewDecoder(q.Body).Decode(&ask); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	g, ok := r.active[ask.ID]
	size := 0
	if ok {
		size = g.tokens
		if ask.Last {
			g.halt()
		}
	}
	r.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	handle := "h-" + ask.ID
	target := r.grid.at(ask.Target)
	if target == nil || !target.reserve(handle, ask.ID, size) {
		w.WriteHeader(http.StatusServiceUnavailable)
		if ask.Last {
			r.mu.Lock()
			r.copies[handle] = &memory{attempt: ask.ID, tokens: size, stopped: true}
			r.mu.Unlock()
			_ = json.NewEncoder(w).Encode(map[string]any{"handle": handle})
		}
		return
	}
	r.link <- struct{}{}
	r.mu.Lock()
	tokens, done, made := g.tokens, g.copied, g.events
	r.mu.Unlock()
	time.Sleep(time.Duration((tokens-done)/r.opts.Engine.CopyPerMs+1) * time.Millisecond)
	<-r.link
	r.mu.Lock()
	g.copied, g.target = tokens, ask.Target
	r.mu.Unlock()
	if !target.reserve(handle, ask.ID, tokens) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"handle": handle, "created": made})
}

// reserve holds memory for a copy. It reports false when there is no room.
func (r *Replica) reserve(handle, attempt string, tokens int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := 0
	if m, ok := r.copies[handle]; ok {
		held = m.tokens
	}
	if r.used()-held+tokens > r.opts.Engine.Capacity {
		return false
	}
	r.copies[handle] = &memory{attempt: attempt, tokens: tokens}
	return true
}

// Address returns where the replica listens.
func (r *Replica) Address() string { return r.opts.Address }
