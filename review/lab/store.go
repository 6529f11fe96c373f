package lab

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/standin/store"
)

// Store is the project's stand-in for the platform's store, which can also cut off watches
// that are waiting.
type Store struct {
	*store.Store
	// Address is where it listens.
	Address string

	lab      *Lab
	cutAfter atomic.Int64 // nanoseconds; 0 cuts off no watch
	cuts     atomic.Int64
}

// StartStore starts an empty store.
func (l *Lab) StartStore() *Store {
	ln := l.Listen()
	s := &Store{Store: store.New(), Address: ln.Addr().String(), lab: l}
	server := &http.Server{Handler: s.cutOff(s.Handler()), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(ln) }()
	return s
}

// CutWatchesAfter cuts off each watch that has been waiting for d from now on.
func (s *Store) CutWatchesAfter(d time.Duration) { s.cutAfter.Store(int64(d)) }

// Cuts returns the number of watches that were cut off.
func (s *Store) Cuts() int64 { return s.cuts.Load() }

// answerWatcher records whether an answer was begun.
type answerWatcher struct {
	http.ResponseWriter
	begun bool
}

func (w *answerWatcher) WriteHeader(status int) {
	w.begun = true
	w.ResponseWriter.WriteHeader(status)
}

func (w *answerWatcher) Write(b []byte) (int, error) {
	w.begun = true
	return w.ResponseWriter.Write(b)
}

func (s *Store) cutOff(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		after := time.Duration(s.cutAfter.Load())
		if after == 0 || !query.Has("watch") || query.Get("waitMs") == "0" {
			next.ServeHTTP(w, r)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), after)
		defer cancel()
		watched := &answerWatcher{ResponseWriter: w}
		next.ServeHTTP(watched, r.WithContext(ctx))
		if watched.begun || r.Context().Err() != nil {
			return
		}
		s.cuts.Add(1)
		s.lab.Notef("store cuts off a watch of %s that was waiting", r.URL.Path)
		panic(http.ErrAbortHandler)
	})
}

// Route is one route of the desired state.
type Route struct {
	Prefix, Kind, Service               string
	TimeoutMs, GoalMs, Priority, MaxRun int
}

// EngineService and PlainService are the services of the desired state.
const (
	EngineService = "huvo11a"
	PlainService  = "wuno96b"
)

// Routes of the desired state, with the figures of the site harbottle-tags.
var (
	ReportRoute  = Route{Prefix: "/lohu930/", Kind: "streaming", Service: EngineService, TimeoutMs: 39000, GoalMs: 1800, Priority: 0, MaxRun: 1}
	VerdictRoute = Route{Prefix: "/pufi791/", Kind: "streaming", Service: EngineService, TimeoutMs: 6000, GoalMs: 1500, Priority: 1, MaxRun: 1}
	IssueRoute   = Route{Prefix: "/pule252/", Kind: "unsafe", Service: PlainService, TimeoutMs: 1500, GoalMs: 200, Priority: 2, MaxRun: 1}
	HistoryRoute = Route{Prefix: "/puxa403/", Kind: "safe", Service: PlainService, TimeoutMs: 1500, GoalMs: 200, Priority: 2, MaxRun: 2}
)

// Tenant is a tenant of the desired state.
type Tenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"apiKeys"`
	Priority int      `json:"priority"`
}

// PutDesiredState writes config/main with the four routes and one tenant.
func (s *Store) PutDesiredState(version int) {
	s.PutTenants(version, []Tenant{{Name: Workspace, APIKeys: []string{Key}, Priority: 1}})
}

// PutTenants writes config/main with the four routes and the given tenants.
func (s *Store) PutTenants(version int, tenants []Tenant) {
	var routes []map[string]any
	for _, r := range []Route{ReportRoute, VerdictRoute, IssueRoute, HistoryRoute} {
		routes = append(routes, map[string]any{
			"name": "r-" + r.Prefix[1:len(r.Prefix)-1], "host": Host, "pathPrefix": r.Prefix, "kind": r.Kind,
			"timeoutMs": r.TimeoutMs, "goalMs": r.GoalMs, "priority": r.Priority, "service": r.Service,
			"maxAttempts": r.MaxRun, "public": false, "sticky": r.Kind == "streaming", "resumable": false, "gapGoalMs": 180,
		})
	}
	s.Set("config/main", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": EngineService, "healthPath": "/healthz", "maxConns": 222, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 24, "kvCapacity": 34313, "kvTokenBytes": 163840, "linkMbps": 24000.0, "moves": true, "backups": true,
				"stride": EventTokens, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []map[string]any{{"name": "m"}},
			}},
			{"name": PlainService, "healthPath": "/healthz", "maxConns": 96, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": tenants,
	})
	s.lab.Notef("store acknowledges desired state %d", version)
}
