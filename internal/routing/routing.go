// Package routing holds one version of the gateway command's configuration and looks up
// the route, workspace and service of a request.
package routing

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// Kind determines how often a request of a route may be executed.
type Kind int

// Kinds of routes.
const (
	// Unsafe requests run at most once. It is the zero value, so that requests of
	// an unknown kind are never retried.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Streaming requests run at most once; the response is an event stream.
	Streaming
)

var kindNames = [...]string{"unsafe", "safe", "streaming"}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Share is a weighted part of a route's traffic.
type Share struct {
	// Service is the name of a service of the same state.
	Service string
	// Weight is relative to the other shares; a share of weight 0 gets no requests.
	Weight int
}

// Route assigns the requests for one host below one path prefix to services.
type Route struct {
	// Name is unique in a state.
	Name string
	// Host is matched without port and case-insensitively.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Kind determines whether requests may be retried.
	Kind Kind
	// Timeout limits the time from the arrival of a request; 0 means no limit.
	Timeout time.Duration
	// LatencyTarget is the desired time to the response, or to the first event of a
	// stream.
	LatencyTarget time.Duration
	// EventGapTarget is the desired longest time between two events of a stream.
	EventGapTarget time.Duration
	// Priority orders routes; 0 is the most urgent.
	Priority int
	// Shares splits the requests among services. It has at least one entry.
	Shares []Share
	// MaxAttempts limits the replicas that may run one request; at least 1.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// Resumable is set when callers may resume streams of the route.
	Resumable bool
	// HomeRegions are the only regions in which requests may be served; any if it is empty.
	HomeRegions []string
}

// Engine describes the model replicas of a service.
type Engine struct {
	// Slots is the maximum batch size of one replica.
	Slots int
	// CapacityTokens is the size of the KV cache of one replica in tokens.
	CapacityTokens int
	// TokenBytes is the KV cache size of one token in bytes.
	TokenBytes int
	// LinkMbps is the bandwidth for KV cache transfers between replicas in Mbit/s.
	LinkMbps float64
	// SupportsMoves is set when the replicas can copy the KV cache of a run to another
	// replica.
	SupportsMoves bool
	// TokensPerEvent is the number of tokens in one event; at least 1.
	TokensPerEvent int
}

// Service is a set of interchangeable replicas.
type Service struct {
	// Name is unique in a state.
	Name string
	// Engine is nil for a service that does not run models.
	Engine *Engine
	// ColdTime is how long a server is cold after its start, and ColdRequestsPerSecond how many
	// requests it bears meanwhile; 0 means that it bears any number.
	ColdTime              time.Duration
	ColdRequestsPerSecond float64
}

// Workspace is a tenant with its API keys.
type Workspace struct {
	// Name is unique in a state.
	Name string
	// Keys are the valid API keys.
	Keys []string
	// Priority, when not nil, overrides the priority of the route.
	Priority *int
	// HomeRegions are the only regions in which its requests may be served; any if it is empty.
	HomeRegions []string
}

// Limits restricts the requests and connections of each caller.
type Limits struct {
	// HeaderBytes and BodyBytes limit the size of a request; 0 means the default.
	HeaderBytes, BodyBytes int
	// HeaderTimeout limits the time to read a request header, IdleTimeout the time
	// between two requests on a connection; 0 means the default.
	HeaderTimeout, IdleTimeout time.Duration
}

// State is one version of the configuration. It must not be modified after Index.
type State struct {
	// Version increases with each change of the configuration.
	Version int64
	// Routes is ordered by Index: longest prefix first.
	Routes []Route
	// Services is keyed by name.
	Services map[string]Service
	// Workspaces is empty when no route needs an API key, or when none is valid.
	Workspaces []Workspace
	// ListsWorkspaces is set when the configuration has a list of workspaces, if only an empty
	// one, HadWorkspaces before it is published when an earlier version had workspaces.
	ListsWorkspaces, HadWorkspaces bool
	// Limits applies to every caller.
	Limits Limits

	workspacesByKey map[string]*Workspace
	routesByHost    map[string][]Route
	// urgencies are, by service, those of its routes.
	urgencies map[string][]routeUrgency
}

// routeUrgency is what the routes of a service compete by.
type routeUrgency struct {
	priority int
	target   time.Duration
}

// Index sorts the routes and builds the lookup tables. It returns s for chaining.
func (s *State) Index() *State {
	sort.SliceStable(s.Routes, func(i, j int) bool { return len(s.Routes[i].Prefix) > len(s.Routes[j].Prefix) })
	s.routesByHost, s.urgencies = map[string][]Route{}, map[string][]routeUrgency{}
	for _, r := range s.Routes {
		for _, share := range r.Shares {
			urgency := routeUrgency{priority: r.Priority, target: r.LatencyTarget}
			if !slices.Contains(s.urgencies[share.Service], urgency) {
				s.urgencies[share.Service] = append(s.urgencies[share.Service], urgency)
			}
		}
		host := strings.ToLower(r.Host)
		s.routesByHost[host] = append(s.routesByHost[host], r)
	}
	s.workspacesByKey = map[string]*Workspace{}
	for i := range s.Workspaces {
		for _, key := range s.Workspaces[i].Keys {
			s.workspacesByKey[key] = &s.Workspaces[i]
		}
	}
	return s
}

// Route returns the route of a host with the longest prefix that matches path.
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

// Workspace returns the workspace to which an API key belongs.
func (s *State) Workspace(key string) (*Workspace, bool) {
	w, ok := s.workspacesByKey[key]
	return w, ok && key != ""
}

// NeedsKey reports whether a request of a route needs a valid API key. With an empty list of
// workspaces no key is valid: that refuses requests with a key and, if there were workspaces
// before, also those without.
func (s *State) NeedsKey(r Route, key string) bool {
	switch {
	case r.Public:
		return false
	case len(s.Workspaces) > 0:
		return true
	}
	return s.ListsWorkspaces && (s.HadWorkspaces || key != "")
}

// PickService picks a service of the route by weight. point is a random number in
// [0, 1).
func (r Route) PickService(point float64) string {
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

// PriorityFor returns the priority of a request of workspace w, which may be nil;
// 0 is the most urgent.
func (r Route) PriorityFor(w *Workspace) int {
	if w != nil && w.Priority != nil {
		return *w.Priority
	}
	return r.Priority
}

// maxUrgencyOfRoute bounds the part of a route in an urgency.
const maxUrgencyOfRoute = 2

// UrgencyFor returns the urgency of a request of workspace w, which may be nil; 0 is the most
// urgent. The priority of a workspace goes before that of the route, which orders requests of
// workspaces with the same one.
func (r Route) UrgencyFor(w *Workspace) int {
	if w != nil && w.Priority != nil {
		return *w.Priority*(maxUrgencyOfRoute+1) + min(r.Priority, maxUrgencyOfRoute)
	}
	return r.Priority
}

// Competes reports whether a service has routes of different priorities, whose requests compete
// for its servers.
func (s *State) Competes(service string) bool {
	return slices.ContainsFunc(s.urgencies[service], func(u routeUrgency) bool { return u.priority != s.urgencies[service][0].priority })
}

// Yields reports whether a service has routes that are more urgent than r and leave less time.
func (s *State) Yields(service string, r Route) bool {
	return slices.ContainsFunc(s.urgencies[service], func(u routeUrgency) bool { return u.priority < r.Priority && u.target < r.LatencyTarget })
}

// HasKey reports whether an API key belongs to the workspace.
func (w *Workspace) HasKey(key string) bool { return slices.Contains(w.Keys, key) }
