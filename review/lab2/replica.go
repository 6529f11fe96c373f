package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// All machines are in zone; replicas may be in the others too.
const (
	zone      = "krakow-a"
	nearZone  = "krakow-b"
	otherZone = "warszawa-a"
)

// regions maps the zones to their regions.
var regions = map[string]string{zone: "malopolska", nearZone: "malopolska", otherZone: "mazowsze"}

// The engines' figures are those of the small deployments' sheet.
const (
	engineSlots    = 24
	engineCapacity = 34292
	// crowdedCapacity is the memory of the engines of zhetisu-sched-grown.
	crowdedCapacity  = 26896
	tokensPerEvent   = 4
	prefillPerMs     = 14
	stepMs           = 7.0
	stepMsPerRequest = 0.12
	copyTokensPerMs  = 18
)

// arrival is a request that reached a replica.
type arrival struct {
	attempt, replica string
	at               time.Time
	// resumed is set for a request that goes on from a copy; refused is the status with which it was
	// rejected, 0 if it ran.
	resumed bool
	refused int
	// endedAt is when the replica stopped work on it, and whole is set if its answer was complete.
	endedAt time.Time
	whole   bool
}

// text describes an arrival.
func (a arrival) text(l *lab) string {
	end := "still works on it"
	if !a.endedAt.IsZero() {
		end = fmt.Sprintf("worked on it until %.3f", a.endedAt.Sub(l.began).Seconds())
	}
	if a.refused != 0 {
		end = fmt.Sprintf("rejected it with %d", a.refused)
	}
	return fmt.Sprintf("%s reached %s at %.3f, which %s; whole answer: %v", a.attempt, a.replica, a.at.Sub(l.began).Seconds(), end, a.whole)
}

// fleet is the set of all replicas and what has reached them.
type fleet struct {
	lab *lab

	mu       sync.Mutex
	arrivals []*arrival
	byAddr   map[string]*replica
}

func newFleet(l *lab) *fleet { return &fleet{lab: l, byAddr: map[string]*replica{}} }

// of returns what reached replicas of an attempt.
func (f *fleet) of(attempt string) []arrival {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []arrival
	for _, a := range f.arrivals {
		if a.attempt == attempt {
			out = append(out, *a)
		}
	}
	return out
}

func (f *fleet) add(a arrival) *arrival {
	f.mu.Lock()
	defer f.mu.Unlock()
	a.at = time.Now()
	f.arrivals = append(f.arrivals, &a)
	return &a
}

func (f *fleet) end(a *arrival, whole bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.endedAt.IsZero() {
		a.endedAt, a.whole = time.Now(), whole
	}
}

// replica is a sound replica of a model or of a plain service.
type replica struct {
	id, service, address string
	zone                 string
	fleet                *fleet
	server               *http.Server
	engine               bool
	capacity             int
	born                 time.Time

	mu      sync.Mutex
	runs    map[string]*run
	copies  map[string]int // tokens by reference
	lastSeq int
	state   string
	handles int
	// link carries one copy after the other.
	link chan struct{}
	// idle holds the channels that carry no request, and listener takes new ones.
	idle     map[net.Conn]bool
	listener net.Listener
	slots    chan struct{}
	prefills sync.Mutex
}

// run is a stream in progress.
type run struct {
	attempt        string
	tokens, events int
	handle         string
	stop           chan struct{}
	stopOnce       sync.Once
	// lost is closed when the channel of the stream is lost, and copying set while a call copies it.
	lost    chan struct{}
	copying bool
	// copied is the number of tokens that were copied to target.
	copied   int
	target   string
	copiedAt time.Time
}

func (r *run) end() { r.stopOnce.Do(func() { close(r.stop) }) }

// start starts a replica in the machines' zone and writes its entry.
func (f *fleet) start(id, service string, engine bool, capacity int) (*replica, error) {
	return f.startIn(zone, id, service, engine, capacity)
}

func (f *fleet) startIn(zone, id, service string, engine bool, capacity int) (*replica, error) {
	ln, err := listen()
	if err != nil {
		return nil, err
	}
	r := &replica{
		id: id, service: service, address: ln.Addr().String(), zone: zone, fleet: f, engine: engine, capacity: capacity, born: time.Now(),
		runs: map[string]*run{}, copies: map[string]int{}, state: "ready", slots: make(chan struct{}, 6),
		idle: map[net.Conn]bool{}, listener: ln, link: make(chan struct{}, 1),
	}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: time.Minute, ConnState: r.noteConn}
	go func() { _ = r.server.Serve(ln) }()
	f.mu.Lock()
	f.byAddr[r.address] = r
	f.mu.Unlock()
	f.lab.onClose(func() { _ = r.server.Close() })
	r.publish()
	f.lab.note("replica %s of %s in %s started at %s", id, service, zone, r.address)
	return r, nil
}

// publish writes the entry of the replica into the store.
func (r *replica) publish() {
	r.mu.Lock()
	r.lastSeq++
	entry := map[string]any{
		"service": r.service, "addr": r.address, "zone": r.zone, "version": "v1", "slots": engineSlots, "state": r.state,
		"coldLeftMs": 0, "seq": r.lastSeq, "born": r.born.UnixMilli(),
	}
	r.mu.Unlock()
	r.fleet.lab.store.set("servers/"+r.id, entry)
}

// drain reports that the replica is draining. It returns the time at which the store has accepted
// that.
func (r *replica) drain() time.Time {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	r.publish()
	at := time.Now()
	r.fleet.lab.note("the store has accepted that %s is draining", r.id)
	return at
}

// noteConn keeps the set of idle channels.
func (r *replica) noteConn(conn net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state == http.StateNew || state == http.StateIdle {
		r.idle[conn] = true
		return
	}
	delete(r.idle, conn)
}

// stopListening begins the end of a replica: it closes its listener and its idle channels, and
// finishes its runs.
func (r *replica) stopListening() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.idle {
		_ = conn.Close()
	}
}

func (r *replica) used() int {
	sum := 0
	for _, run := range r.runs {
		sum += run.tokens
	}
	for _, tokens := range r.copies {
		sum += tokens
	}
	return sum
}

func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	attempt := req.Header.Get("X-Pimentohinge-Attempt-Id")
	if want := req.Header.Get("X-Pimentohinge-Expect-Instance"); want != "" && want != r.id {
		w.Header().Set("X-Pimentohinge-Replica-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case req.URL.Path == "/v1/report":
		r.report(w)
	case req.URL.Path == "/v1/kv-move":
		r.move(w, req)
	case strings.HasPrefix(req.URL.Path, "/v1/kv-handle/"):
		r.dropCopy(w, strings.TrimPrefix(req.URL.Path, "/v1/kv-handle/"))
	case r.engine:
		r.stream(w, req, attempt)
	default:
		r.plain(w, req, attempt)
	}
}

func (r *replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{
		"stage": "both", "busy": false, "seq": 0, "queued": 0, "active": len(r.runs), "kvUsed": r.used(), "kvTotal": r.capacity,
		"handles": len(r.copies), "state": r.state, "born": r.born.UnixMilli(),
	})
}

func (r *replica) reject(w http.ResponseWriter, attempt string, a *arrival) {
	a.refused = http.StatusServiceUnavailable
	r.fleet.end(a, false)
	r.fleet.lab.note("%s rejects %s", r.id, attempt)
	w.Header().Set("X-Pimentohinge-Attempt-Id", attempt)
	w.Header().Set("X-Pimentohinge-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (r *replica) plain(w http.ResponseWriter, req *http.Request, attempt string) {
	_, _ = io.Copy(io.Discard, req.Body)
	a := r.fleet.add(arrival{attempt: attempt, replica: r.id})
	r.slots <- struct{}{}
	time.Sleep(60 * time.Millisecond)
	<-r.slots
	r.fleet.end(a, true)
	w.Header().Set("X-Pimentohinge-Attempt-Id", attempt)
	w.Header().Set("X-Pimentohinge-Response-Stamp", r.id+"."+attempt)
	_, _ = io.WriteString(w, "answer to "+attempt)
}

// admit begins a run if there is a slot and memory for it.
func (r *replica) admit(attempt, from string, tokens int) (*run, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if from != "" {
		kept, ok := r.copies[from]
		if !ok {
			return nil, false
		}
		delete(r.copies, from)
		tokens = max(tokens, kept)
	}
	if r.used()+tokens > r.capacity || len(r.runs) >= engineSlots {
		return nil, false
	}
	started := &run{attempt: attempt, tokens: tokens, stop: make(chan struct{}), lost: make(chan struct{})}
	r.runs[attempt] = started
	return started, true
}

func (r *replica) stream(w http.ResponseWriter, req *http.Request, attempt string) {
	_, _ = io.Copy(io.Discard, req.Body)
	from := req.Header.Get("Kv-From")
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	promptText, outText, _ := strings.Cut(req.Header.Get("X-Pimentohinge-Token-Usage"), ",")
	prompt, _ := strconv.Atoi(promptText)
	output, _ := strconv.Atoi(outText)
	a := r.fleet.add(arrival{attempt: attempt, replica: r.id, resumed: from != ""})
	if from != "" {
		r.fleet.lab.note("%s (%s in the store) gets %s, which goes on after event %d from the copy %s", r.id, r.state, attempt, last, from)
	}
	current, ok := r.admit(attempt, from, prompt+last*tokensPerEvent)
	if !ok {
		r.reject(w, attempt, a)
		return
	}
	whole := false
	defer func() {
		r.mu.Lock()
		delete(r.runs, attempt)
		r.mu.Unlock()
		r.fleet.end(a, whole)
	}()
	if from == "" {
		r.prefills.Lock()
		time.Sleep(time.Duration(prompt/prefillPerMs) * time.Millisecond)
		r.prefills.Unlock()
	}
	w.Header().Set("X-Pimentohinge-Attempt-Id", attempt)
	w.Header().Set("X-Pimentohinge-Response-Stamp", r.id+"."+attempt)
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	gone, lost, write := req.Context().Done(), current.lost, true
	for event := last + 1; event <= output/tokensPerEvent; event++ {
		r.mu.Lock()
		step := stepMs + stepMsPerRequest*float64(len(r.runs))
		r.mu.Unlock()
		select {
		case <-time.After(time.Duration(step * tokensPerEvent * float64(time.Millisecond))):
		case <-current.stop:
			panic(http.ErrAbortHandler)
		case <-gone:
			panic(http.ErrAbortHandler)
		case <-lost:
			conn, _, err := flusher.Hijack()
			if err != nil {
				panic("lab2: hijack: " + err.Error())
			}
			_ = conn.Close()
			gone, lost, write = nil, nil, false
		}
		r.mu.Lock()
		current.events, current.tokens = event, current.tokens+tokensPerEvent
		r.mu.Unlock()
		if !write {
			continue
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", event, attempt, event)
		_ = flusher.Flush()
	}
	whole = write
}

// move copies the memory of a run to another replica; with last the run stops first.
func (r *replica) move(w http.ResponseWriter, req *http.Request) {
	var call struct {
		ID     string `json:"id"`
		Target string `json:"target"`
		Last   bool   `json:"last"`
	}
	if err := json.NewDecoder(req.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	moved := r.runs[call.ID]
	if moved == nil {
		r.mu.Unlock()
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	if moved.copying {
		r.mu.Unlock()
		reply(w, http.StatusConflict, map[string]any{})
		return
	}
	moved.copying = true
	if moved.handle == "" {
		r.handles++
		moved.handle = strconv.Itoa(r.handles)
	}
	if call.Last {
		moved.end()
	}
	handle := moved.handle
	r.mu.Unlock()
	ref := r.address + "/" + handle
	tokens, events, room := r.copy(moved, call.Target, ref)
	if !room {
		answer := map[string]any{}
		if call.Last {
			r.mu.Lock()
			r.copies[ref] = tokens
			r.mu.Unlock()
			answer["handle"], answer["created"] = handle, events
		}
		r.fleet.lab.note("%s: no room at the destination for %s, last: %v", r.id, call.ID, call.Last)
		reply(w, http.StatusServiceUnavailable, answer)
		return
	}
	r.fleet.lab.note("%s has copied %s, last: %v", r.id, call.ID, call.Last)
	reply(w, http.StatusOK, map[string]any{"handle": handle, "created": events})
}

// copy brings the copy of a run at another replica up to date: behind the other copies on the link,
// and for twice as long if the replica is in another zone.
func (r *replica) copy(moved *run, address, ref string) (tokens, events int, room bool) {
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		moved.copying = false
	}()
	r.fleet.mu.Lock()
	to := r.fleet.byAddr[address]
	r.fleet.mu.Unlock()
	state := func() (int, int, int) {
		r.mu.Lock()
		defer r.mu.Unlock()
		return moved.tokens, moved.events, moved.copied
	}
	tokens, events, _ = state()
	if to == nil || !to.take(ref, tokens) {
		return tokens, events, false
	}
	r.link <- struct{}{}
	tokens, events, copied := state()
	if moved.target != address {
		copied = 0
	}
	took := time.Duration((tokens-copied)/copyTokensPerMs) * time.Millisecond
	if to.zone != r.zone {
		took *= 2
	}
	time.Sleep(took)
	<-r.link
	r.mu.Lock()
	moved.copied, moved.target = tokens, address
	if moved.copiedAt.IsZero() {
		moved.copiedAt = time.Now()
	}
	r.mu.Unlock()
	return tokens, events, to.take(ref, tokens)
}

// take keeps a copy if there is room.
func (r *replica) take(ref string, tokens int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.used()-r.copies[ref]+tokens > r.capacity {
		return false
	}
	r.copies[ref] = tokens
	return true
}

func (r *replica) dropCopy(w http.ResponseWriter, handle string) {
	ref := r.address + "/" + handle
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	for _, other := range r.fleet.byAddr {
		other.mu.Lock()
		delete(other.copies, ref)
		other.mu.Unlock()
	}
	w.WriteHeader(http.StatusOK)
}
