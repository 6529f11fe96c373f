package llm

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/pimentohinge/pimentohinge/internal/standin/enginesim"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

const maxPromptBytes = 64 << 20

// Handler serves the engine API and, under /standin/, fault injection.
func (e *Engine) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/generations", e.start)
	r.Get("/v1/generations/{id}", e.resume)
	r.Delete("/v1/generations/{id}", e.cancel)
	r.Get("/v1/load", e.load)
	r.Get("/v1/cache-events", e.cacheEventsSince)
	r.Post("/v1/orders", e.handleOrder)
	r.Put("/standin/faults", e.putFaults)
	r.Post("/standin/reclaim", func(http.ResponseWriter, *http.Request) { e.Reclaim() })
	return r
}

func writeError(w http.ResponseWriter, status int, cause string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]string{"cause": cause})
}

func (e *Engine) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
}

func (e *Engine) start(w http.ResponseWriter, r *http.Request) {
	var req wire.GenerateRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPromptBytes)).Decode(&req); err != nil {
		writeError(w, http.StatusBadRequest, "badRequest")
		return
	}
	gen, status, cause := e.accept(req)
	if gen == nil {
		writeError(w, status, cause)
		return
	}
	if e.opts.Crashes != nil && e.opts.Crashes(req.Prompt) {
		_ = http.NewResponseController(w).Flush()
		e.opts.OnCrash()
		panic(http.ErrAbortHandler)
	}
	e.stream(w, r, req.Generation, gen, 0)
}

// accept submits a generation. If it refuses the generation, it returns nil and the
// HTTP status and cause.
func (e *Engine) accept(req wire.GenerateRequest) (gen *generation, status int, cause string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requested++
	switch {
	case req.Generation == "" || req.MaxTokens < 1 || req.PromptTokens < 1:
		return nil, http.StatusBadRequest, "badRequest"
	case e.reclaimed || e.faults.Leaving:
		return nil, http.StatusServiceUnavailable, "leaving"
	case e.faults.Refuse:
		return nil, http.StatusServiceUnavailable, "refused"
	case !slices.Contains(e.models, req.Model):
		return nil, http.StatusNotFound, "modelNotLoaded"
	case e.generations[req.Generation] != nil:
		return nil, http.StatusConflict, "generationExists"
	}
	capacity := e.opts.Model.CapacityBlocks * e.opts.Model.BlockTokens
	if req.PromptTokens+1 >= capacity {
		return nil, http.StatusBadRequest, "promptTooLong"
	}
	length := min(e.opts.Length(req), capacity-req.PromptTokens-1)
	gen = &generation{changed: make(chan struct{})}
	e.generations[req.Generation] = gen
	e.started++
	prefix := req.Prompt[:min(len(req.Prompt), prefixBytes)]
	e.model.Submit(enginesim.Sequence{
		ID: req.Generation, Prompt: req.PromptTokens, Output: length, Priority: req.Priority,
		Prefix: prefix, PrefixTokens: min(req.PromptTokens, prefixBytes/4),
	})
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return gen, 0, ""
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		writeError(w, http.StatusBadRequest, "badRequest")
		return
	}
	id := chi.URLParam(r, "id")
	e.mu.Lock()
	gen := e.generations[id]
	e.mu.Unlock()
	if gen == nil {
		writeError(w, http.StatusNotFound, "unknownGeneration")
		return
	}
	e.stream(w, r, id, gen, from)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := chi.URLParam(r, "id")
	gen := e.generations[id]
	if gen == nil {
		writeError(w, http.StatusNotFound, "unknownGeneration")
		return
	}
	if !gen.done {
		e.model.Cancel(id)
		e.endGeneration(gen, "cancelled")
	}
}

// stream writes the tokens from index next on, until the generation ends or the
// client disconnects.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, id string, gen *generation, next int) {
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	_ = rc.Flush()
	var buf []byte
	for {
		e.mu.Lock()
		produced, done, reason, changed, faults := gen.produced, gen.done, gen.reason, gen.changed, e.faults
		e.mu.Unlock()
		if faults.StallStreams {
			if !waitForChange(r, changed, 0) {
				return
			}
			continue
		}
		buf = buf[:0]
		for ; next < produced; next++ {
			switch {
			case faults.CutIndex != 0 && next == faults.CutIndex && e.setOnce(&gen.cut):
				_, _ = w.Write(buf)
				_ = rc.Flush()
				panic(http.ErrAbortHandler)
			case faults.SkipIndex != 0 && next == faults.SkipIndex && e.setOnce(&gen.skipped):
				continue
			}
			buf = e.appendToken(buf, id, next)
			if faults.RepeatIndex != 0 && next == faults.RepeatIndex {
				buf = e.appendToken(buf, id, next)
			}
		}
		if done {
			buf = fmt.Appendf(buf, "event: end\ndata: {\"reason\":%q,\"tokens\":%d}\n\n", reason, produced)
		}
		if _, err := w.Write(buf); err != nil {
			return
		}
		if rc.Flush() != nil || done {
			return
		}
		for !waitForChange(r, changed, keepAliveInterval) {
			if r.Context().Err() != nil {
				return
			}
			if _, err := w.Write([]byte(": waiting\n\n")); err != nil || rc.Flush() != nil {
				return
			}
		}
	}
}

// setOnce sets flag and reports whether it was unset.
func (e *Engine) setOnce(flag *bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	first := !*flag
	*flag = true
	return first
}

func (e *Engine) appendToken(b []byte, id string, index int) []byte {
	text, _ := json.Marshal(e.opts.Text(id, index))
	b = append(b, "id: "...)
	b = append(b, id...)
	b = append(b, '/')
	b = strconv.AppendInt(b, int64(index), 10)
	b = append(b, "\ndata: "...)
	b = append(b, text...)
	return append(b, "\n\n"...)
}

// waitForChange reports whether changed is closed within d and before the request
// ends. If d is 0, there is no time limit.
func waitForChange(r *http.Request, changed <-chan struct{}, d time.Duration) bool {
	var timeout <-chan time.Time
	if d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		timeout = t.C
	}
	select {
	case <-changed:
		return true
	case <-timeout:
	case <-r.Context().Done():
	}
	return false
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := e.reports[0]
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

func (e *Engine) cacheEventsSince(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	found := []CacheEvent{}
	e.mu.Lock()
	for _, ev := range e.cacheEvents {
		if ev.Sequence > after && time.Since(ev.at) >= e.opts.CacheEventLag {
			found = append(found, ev)
		}
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(found)
}

// handleOrder accepts an order to load models, which takes effect after LoadTime
// unless an order with a higher fencing number arrives before.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order wire.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPromptBytes)).Decode(&order); err != nil {
		writeError(w, http.StatusBadRequest, "badRequest")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.ChecksFencing && order.Fencing < e.fencing {
		writeError(w, http.StatusConflict, "oldFencing")
		return
	}
	if time.Now().UnixMilli() >= int64(order.DeadlineUnixMs) {
		writeError(w, http.StatusGone, "deadlinePassed")
		return
	}
	e.fencing = max(e.fencing, order.Fencing)
	e.orders = append(e.orders, order)
	time.AfterFunc(e.opts.LoadTime, func() { e.applyOrder(order) })
}

func (e *Engine) applyOrder(order wire.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Fencing == e.fencing {
		e.models = order.Models
	}
}
