package upstream

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// SayLeaving makes all responses say that the replica leaves. It does not stop by itself.
func (r *Replica) SayLeaving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// RefuseUntil makes the replica refuse all requests until a point in time, which the
// refusals name.
func (r *Replica) RefuseUntil(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusesUntil = at
}

// SuspendUntil suspends the process of the replica until a point in time: connections are opened
// and receive bytes, but nothing is carried out. Requests that arrive meanwhile are carried out
// after that, also those whose senders have given up.
func (r *Replica) SuspendUntil(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspendedUntil = at
}

// awaitResumption waits until the process is not suspended.
func (r *Replica) awaitResumption() {
	for {
		r.mu.Lock()
		left := time.Until(r.suspendedUntil)
		r.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// receivedKey is the key of the time at which a request was received, in its context.
type receivedKey struct{}

// withNotices adds what the replica says of itself to all responses.
func (r *Replica) withNotices(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		req = req.WithContext(context.WithValue(req.Context(), receivedKey{}, time.Now()))
		r.awaitResumption()
		r.mu.Lock()
		leaving, left := r.leaving, time.Until(r.refusesUntil)
		r.mu.Unlock()
		if leaving {
			w.Header().Set("Server-Leaving", "1")
		}
		if attempt := req.Header.Get("X-Pimentohinge-Attempt-Id"); left > 0 && attempt != "" {
			r.cluster.recordRefusal(r.opts.ID)
			w.Header().Set("Retry-After", strconv.FormatFloat(left.Seconds(), 'f', 2, 64))
			r.respondNotExecuted(w, attempt)
			return
		}
		next.ServeHTTP(w, req)
	})
}

// CloseListener closes the listener; open connections stay open.
func (r *Replica) CloseListener() { _ = r.listener.Close() }

// ShutDown closes the listener and the idle connections and lets open requests continue
// until Stop.
func (r *Replica) ShutDown() {
	go func() { _ = r.server.Shutdown(context.Background()) }()
}
