package upstream

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// MoveFault is the fault injected into one copy of a run's KV cache.
type MoveFault int

// Faults of copies.
const (
	// MoveSound injects no fault.
	MoveSound MoveFault = iota
	// MoveResponseLost carries the copy out and sends nothing on the connection any more.
	MoveResponseLost
	// MoveRequestLost ignores the call and sends nothing on the connection any more.
	MoveRequestLost
	// MoveResponseCut carries the copy out and closes the connection without a response.
	MoveResponseCut
	// MoveResponseRepeated carries the copy out and sends the response once more when the
	// next request arrives on the connection.
	MoveResponseRepeated
	// MoveResponseEndless ignores the call and sends a response without end.
	MoveResponseEndless
	// MoveLate carries the copy out, and responds, LateMoveDelay after the call.
	MoveLate
)

// LateMoveDelay is the delay of a MoveLate.
const LateMoveDelay = 2 * time.Second

// takeCopy removes and returns the copy with the given reference, if it belongs to the
// attempt.
func (r *Replica) takeCopy(ref, attempt string) (*kvCache, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := copyKey{ref, attempt}
	copied, ok := r.copies[key]
	if !ok {
		for other := range r.copies {
			if other.ref == ref {
				r.cluster.recordMixed(attempt)
			}
		}
		return nil, false
	}
	delete(r.copies, key)
	return copied, true
}

// copyRef returns the reference by which other replicas know a copy of this one.
func (r *Replica) copyRef(handle string) string { return r.opts.Address + "/" + handle }

// handleDrop deletes the copy to which this replica gave the handle, on all replicas.
func (r *Replica) handleDrop(w http.ResponseWriter, req *http.Request) {
	handle := req.PathValue("handle")
	r.mu.Lock()
	key := copyKey{r.copyRef(handle), r.attempts[handle]}
	r.mu.Unlock()
	r.cluster.mu.Lock()
	replicas := make([]*Replica, 0, len(r.cluster.replicas))
	for _, replica := range r.cluster.replicas {
		replicas = append(replicas, replica)
	}
	r.cluster.mu.Unlock()
	for _, replica := range replicas {
		replica.mu.Lock()
		delete(replica.copies, key)
		replica.mu.Unlock()
	}
	w.WriteHeader(http.StatusOK)
}

// moveRequest is the body of a request for a copy.
type moveRequest struct {
	ID     string `json:"id"`
	Target string `json:"target"`
	Last   bool   `json:"last"`
}

// moveResponse is the response to a moveRequest.
type moveResponse struct {
	status int
	Handle string `json:"handle,omitempty"`
	Events int    `json:"created"`
}

// handleMove serves a request for a copy and injects faults.
func (r *Replica) handleMove(w http.ResponseWriter, req *http.Request) {
	var moveReq moveRequest
	if err := json.NewDecoder(req.Body).Decode(&moveReq); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	fault := MoveSound
	if r.opts.MoveFault != nil {
		fault = r.opts.MoveFault(moveReq.ID, moveReq.Last)
	}
	if fault == MoveRequestLost {
		<-req.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if fault == MoveResponseEndless {
		conn := hijack(w)
		defer func() { _ = conn.Close() }()
		sendEndless(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"handle\":\"", endlessBlock, 0)
		return
	}
	if fault == MoveLate {
		time.Sleep(LateMoveDelay)
	}
	resp := r.move(moveReq)
	switch fault {
	case MoveResponseLost:
		<-req.Context().Done()
		panic(http.ErrAbortHandler)
	case MoveResponseCut:
		panic(http.ErrAbortHandler)
	case MoveResponseRepeated:
		r.repeatMoveResponse(w, resp)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(resp.status)
	_ = json.NewEncoder(w).Encode(resp)
}

// repeatMoveResponse sends a response, and once more before the response to each further
// request for a copy on the connection.
func (r *Replica) repeatMoveResponse(w http.ResponseWriter, resp moveResponse) {
	conn := hijack(w)
	defer func() { _ = conn.Close() }()
	_, _ = conn.Write(resp.encode())
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var moveReq moveRequest
		if err := json.NewDecoder(req.Body).Decode(&moveReq); err != nil {
			return
		}
		_, _ = conn.Write(resp.encode())
		_, _ = conn.Write(r.move(moveReq).encode())
	}
}

// encode returns the response with its header.
func (m moveResponse) encode() []byte {
	body, err := json.Marshal(m)
	if err != nil {
		panic("upstream: encode response: " + err.Error())
	}
	header := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", m.status, http.StatusText(m.status), len(body))
	return append([]byte(header), body...)
}

// move copies the KV cache of a run to another replica; a repeated copy transfers only
// the tokens added since the previous one. With Last set, the run stops first, and if
// the target has no room or is not running, the copy stays at this replica.
func (r *Replica) move(moveReq moveRequest) moveResponse {
	r.mu.Lock()
	gen, ok := r.active[moveReq.ID]
	size := 0
	handle := ""
	if ok {
		size = gen.tokens
		if gen.handle == "" {
			r.lastHandle++
			gen.handle = strconv.Itoa(r.lastHandle)
			r.attempts[gen.handle] = moveReq.ID
		}
		handle = gen.handle
		if moveReq.Last {
			gen.cancel()
			// The run does no more work, also if the process is suspended before it notices.
			r.cluster.recordEnd(gen.recorded, gen.events)
		}
	}
	r.mu.Unlock()
	if !ok {
		return moveResponse{status: http.StatusNotFound}
	}
	ref := r.copyRef(handle)
	target := r.cluster.replicaAt(moveReq.Target)
	if target == nil || !target.reserve(ref, moveReq.ID, size) {
		return r.keepCopy(moveReq, handle, size)
	}
	r.copySlot <- struct{}{}
	r.mu.Lock()
	tokens, copied, events := gen.tokens, gen.copied, gen.events
	r.mu.Unlock()
	time.Sleep(time.Duration((tokens-copied)/r.opts.Engine.CopyTokensPerMs+1) * time.Millisecond)
	<-r.copySlot
	r.mu.Lock()
	gen.copied, gen.target = tokens, moveReq.Target
	r.mu.Unlock()
	if !target.reserve(ref, moveReq.ID, tokens) {
		return r.keepCopy(moveReq, handle, tokens)
	}
	return moveResponse{status: http.StatusOK, Handle: handle, Events: events}
}

// keepCopy is the result of a copy for which the target has no room: the KV cache of a
// run that was stopped stays at this replica.
func (r *Replica) keepCopy(moveReq moveRequest, handle string, tokens int) moveResponse {
	if !moveReq.Last {
		return moveResponse{status: http.StatusServiceUnavailable}
	}
	r.mu.Lock()
	r.keep(r.copyRef(handle), &kvCache{attempt: moveReq.ID, tokens: tokens, stopped: true})
	r.mu.Unlock()
	return moveResponse{status: http.StatusServiceUnavailable, Handle: handle}
}

// reserve records a copy of the given size, replacing an earlier copy with the same
// reference. It reports false if there is no room.
func (r *Replica) reserve(ref, attempt string, tokens int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	earlier := 0
	if copied, ok := r.copies[copyKey{ref, attempt}]; ok {
		earlier = copied.tokens
	}
	if r.opts.Engine == nil || r.used()-earlier+tokens > r.opts.Engine.CapacityTokens {
		return false
	}
	r.keep(ref, &kvCache{attempt: attempt, tokens: tokens})
	return true
}

// keep records a copy until it expires. r.mu must be held.
func (r *Replica) keep(ref string, copied *kvCache) {
	key := copyKey{ref, copied.attempt}
	r.copies[key] = copied
	if r.opts.CopyLifetime == 0 {
		return
	}
	time.AfterFunc(r.opts.CopyLifetime, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.copies[key] == copied {
			delete(r.copies, key)
		}
	})
}
