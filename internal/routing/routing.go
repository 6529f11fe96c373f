// Package routing holds one version of the configuration and answers which
// route, workspace and service a request belongs to.
package routing

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// Kind says how often a request of a route may run.
type Kind int

// Kinds of routes.
const (
	// Unsafe requests run at most once. It is the zero value, so that a kind
	// which is unknown is never repeated.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Streaming requests run at most once and are answered by events.
	Streaming
)

var kindNames = [...]string{"unsafe", "safe", "streaming"}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Share is a weighted part of a route's traffic.
type Share struct {
	// Service is the name of a service of the same state.
	Service string
	// Weight is relative to the other shares; 0 sends nothing.
	Weight int
}

// Route directs the requests of one host below one path.
type Route struct {
	// Name is unique in a state.
	Name string
	// Host is matched without its port and without regard to case.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Kind says what may be repeated.
	Kind Kind
	// Timeout bounds a request from its arrival; 0 means no bound.
	Timeout time.Duration
	// LatencyTarget is the time to the answer, or to the first event, that callers want.
	LatencyTarget time.Duration
	// EventGapTarget is the longest pause between events that callers want.
	EventGapTarget time.Duration
	// Priority orders routes; 0 is the most urgent.
	Priority int
	// Shares has at least one entry.
	Shares []Share
	// MaxAttempts is the most replicas that may run one request, at least 1.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may be continued by the caller.
	Resumable bool
}

// Engine describes the model replicas of a service.
type Engine struct {
	// Slots is the largest batch of one replica.
	Slots int
	// CapacityTokens is the KV memory of one replica.
	CapacityTokens int
	// TokenBytes is the KV memory of one token.
	TokenBytes int
	// LinkMbps is the bandwidth for KV memory between replicas.
	LinkMbps float64
	// SupportsMoves and Backups say which transfers the replicas offer.
	SupportsMoves, SupportsBackups bool
	// TokensPerEvent is the number of tokens in one event, at least 1.
	TokensPerEvent int
	// HandleTTL is how long a copy that is not used is kept.
	HandleTTL time.Duration
}

// Service is a set of replicas that are alike.
type Service struct {
	// Name is unique in a state.
	Name string
	// MaxConns is the most connections that one replica accepts from all VMs.
	MaxConns int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Workspace is a customer with its keys.
type Workspace struct {
	// Name is unique in a state.
	Name string
	// Keys are the API keys in force.
	Keys []string
	// Priority takes precedence over the priority of a route when not nil.
	Priority *int
}

// Limits bounds what one caller may send.
type Limits struct {
	// HeaderBytes and BodyBytes are sizes in bytes; 0 means the default.
	HeaderBytes, BodyBytes int
	// HeaderTimeout and IdleTimeout bound a connection; 0 means the default.
	HeaderTimeout, IdleTimeout time.Duration
}

// State is one version of the configuration. It is not changed once built.
type State struct {
	// Version grows with each change.
	Version int64
	// Routes is ordered by New: longest prefix first.
	Routes []Route
	// Services is keyed by name.
	Services map[string]Service
	// Workspaces is empty where no keys are asked for.
	Workspaces []Workspace
	// Limits bounds callers.
	Limits Limits

	byKey        map[string]*Workspace
	routesByHost map[string][]Route
}

// Index prepares lookups. It returns the state for chaining.
func (s *State) Index() *State {
	sort.SliceStable(s.Routes, func(i, j int) bool { return len(s.Routes[i].Prefix) > len(s.Routes[j].Prefix) })
	s.routesByHost = map[string][]Route{}
	for _, r := range s.Routes {
		h := strings.ToLower(r.Host)
		s.routesByHost[h] = append(s.routesByHost[h], r)
	}
	s.byKey = map[string]*Workspace{}
	for i := range s.Workspaces {
		for _, k := range s.Workspaces[i].Keys {
			s.byKey[k] = &s.Workspaces[i]
		}
	}
	return s
}

// Route returns the route of a host with the longest prefix of the path.
func (s *State) Route(host, path string) (Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range s.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Workspace returns the workspace that holds a key.
func (s *State) Workspace(key string) (*Workspace, bool) {
	w, ok := s.byKey[key]
	return w, ok && key != ""
}

// NeedsKey reports whether requests of a route need a key.
func (s *State) NeedsKey(r Route) bool { return len(s.Workspaces) > 0 && !r.Public }

// Service picks the service of a route by a point in [0, 1).
func (r Route) Service(point float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	remaining := point * float64(total)
	for _, s := range r.Shares {
		if remaining -= float64(s.Weight); remaining < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// PriorityFor returns the priority of a request of a workspace; 0 is first.
func (r Route) PriorityFor(w *Workspace) int {
	if w != nil && w.Priority != nil {
		return *w.Priority
	}
	return r.Priority
}

// HasKey reports whether a workspace still holds a key.
func (w *Workspace) HasKey(key string) bool { return slices.Contains(w.Keys, key) }
