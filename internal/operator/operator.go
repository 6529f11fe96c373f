// Package operator serves the operators of one VM: health, metrics, tables,
// release notes and explanations.
package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/pimentohinge/pimentohinge/internal/control"
	"github.com/pimentohinge/pimentohinge/internal/control/chain"
	"github.com/pimentohinge/pimentohinge/internal/incident"
	"github.com/pimentohinge/pimentohinge/internal/settings"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

const (
	maxReleaseNoteBytes = 1 << 20
	defaultIncidents    = 20
	maxIncidents        = 1000
)

// ReleaseStatus says what became of a release note.
type ReleaseStatus string

// What can become of a release note.
const (
	// ReleaseAccepted means that the note is in the chain.
	ReleaseAccepted ReleaseStatus = "accepted"
	// ReleaseConflict means that another note touched the same objects first.
	ReleaseConflict ReleaseStatus = "conflict"
	// ReleaseInvalid means that the note can't be applied.
	ReleaseInvalid ReleaseStatus = "invalid"
	// ReleasePlatformUnavailable means that the note was certainly not accepted.
	ReleasePlatformUnavailable ReleaseStatus = "platformOut"
	// ReleaseUnknown means that the answer was lost; submitting the same note again is safe.
	ReleaseUnknown ReleaseStatus = "unknown"
)

// ReleaseResult is the answer to a release note.
type ReleaseResult struct {
	// Status says what became of the note.
	Status ReleaseStatus `json:"status"`
	// Revision is the note's revision, or the one in force when it was not accepted.
	Revision int `json:"revision"`
	// Reasons names conflicting objects or faults.
	Reasons []string `json:"reasons,omitempty"`
}

var releaseHTTPStatus = map[ReleaseStatus]int{
	ReleaseAccepted: http.StatusOK, ReleaseConflict: http.StatusConflict,
	ReleaseInvalid: http.StatusUnprocessableEntity, ReleasePlatformUnavailable: http.StatusServiceUnavailable,
	ReleaseUnknown: http.StatusBadGateway,
}

// VM is what operators may ask of a VM. It is safe for concurrent use.
type VM interface {
	// Ready reports whether the VM should get callers, and otherwise why not.
	Ready() (ok bool, reason string)
	// View returns the newest picture of the core.
	View() *control.View
	// State returns the configuration in force.
	State() *chain.State
	// History returns the newest revisions in ascending order.
	History() []wire.Revision
	// Release appends a note to the configuration.
	Release(ctx context.Context, note wire.ReleaseNote) ReleaseResult
	// Explain explains one request; false when nothing is known of it.
	Explain(ctx context.Context, request string) (incident.Explanation, bool)
	// Incidents explains notable requests, newest first.
	Incidents(workspace string, since time.Time, most int) []incident.Explanation
}

// Options is what the operators' interface is made of.
type Options struct {
	// Keys are the operators' bearer keys.
	Keys []settings.OperatorKey
	// VM answers.
	VM VM
	// Registry holds the metrics.
	Registry *prometheus.Registry
	// Log gets one line for each refused key.
	Log *log.Logger
}

// Server serves the operators. It is safe for concurrent use.
type Server struct{ opts Options }

// New returns a server.
func New(o Options) *Server { return &Server{opts: o} }

// Handler returns the operators' interface. Health and metrics need no key.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/livez", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("alive\n")) })
	r.Get("/readyz", s.ready)
	r.Handle("/metrics", promhttp.HandlerFor(s.opts.Registry, promhttp.HandlerOpts{}))
	r.Group(func(r chi.Router) {
		r.Use(s.authenticate)
		r.Get("/", s.statusPage)
		r.Get("/v1/view", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.opts.VM.View()) })
		r.Get("/v1/configuration", func(w http.ResponseWriter, _ *http.Request) {
			writeJSON(w, http.StatusOK, s.opts.VM.State().Snapshot())
		})
		r.Get("/v1/releases", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.opts.VM.History()) })
		r.Post("/v1/releases", s.release)
		r.Get("/v1/explain/{request}", s.explain)
		r.Get("/v1/incidents", s.incidents)
	})
	return r
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// ErrorBody is the body of an error answer.
type ErrorBody struct {
	// Error says what is wrong.
	Error string `json:"error"`
}

func writeError(w http.ResponseWriter, status int, text string) {
	writeJSON(w, status, ErrorBody{Error: text})
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	ok, reason := s.opts.VM.Ready()
	if !ok {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

type operatorNameKey struct{}

func (s *Server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if _, password, basic := r.BasicAuth(); basic && !bearer {
			key = password
		}
		for _, k := range s.opts.Keys {
			if subtle.ConstantTimeCompare([]byte(k.Key), []byte(key)) == 1 {
				next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorNameKey{}, k.Name)))
				return
			}
		}
		s.opts.Log.Warn().Str("event", "operatorRefused").Str("path", r.URL.Path).Msg("")
		w.Header().Set("WWW-Authenticate", `Basic realm="pimentohinge operators"`)
		writeError(w, http.StatusUnauthorized, "the operator's key is missing or wrong")
	})
}

// release reads a note. Its author is the operator whose key was used.
func (s *Server) release(w http.ResponseWriter, r *http.Request) {
	note, err := ParseNote(http.MaxBytesReader(w, r.Body, maxReleaseNoteBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	note.Author, _ = r.Context().Value(operatorNameKey{}).(string)
	result := s.opts.VM.Release(r.Context(), note)
	writeJSON(w, releaseHTTPStatus[result.Status], result)
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	explanation, found := s.opts.VM.Explain(r.Context(), chi.URLParam(r, "request"))
	if !found {
		text := "nothing is known of this request"
		if len(explanation.Missing) > 0 {
			text += "; missing evidence: " + strings.Join(explanation.Missing, "; ")
		}
		writeError(w, http.StatusNotFound, text)
		return
	}
	writeJSON(w, http.StatusOK, explanation)
}

func (s *Server) incidents(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit := defaultIncidents
	if n, err := strconv.Atoi(query.Get("most")); err == nil {
		limit = min(max(n, 1), maxIncidents)
	}
	since := time.Time{}
	if ms, err := strconv.ParseInt(query.Get("sinceUnixMs"), 10, 64); err == nil {
		since = time.UnixMilli(ms)
	}
	list := s.opts.VM.Incidents(query.Get("workspace"), since, limit)
	if list == nil {
		list = []incident.Explanation{}
	}
	writeJSON(w, http.StatusOK, list)
}
