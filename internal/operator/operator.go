// Package operator implements the HTTP interface for the operators of one VM:
// health checks, metrics, a status page, release notes and explanations.
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
	"github.com/pimentohinge/pimentohinge/internal/control/configchain"
	"github.com/pimentohinge/pimentohinge/internal/incident"
	"github.com/pimentohinge/pimentohinge/internal/settings"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

const (
	maxReleaseNoteBytes = 1 << 20
	// bodyTimeout bounds reading a release note.
	bodyTimeout      = 5 * time.Second
	defaultIncidents = 20
	maxIncidents     = 1000
)

// ReleaseStatus is the result of submitting a release note.
type ReleaseStatus string

// Results of submitting a release note.
const (
	// ReleaseAccepted means that the note is in the revision chain.
	ReleaseAccepted ReleaseStatus = "accepted"
	// ReleaseConflict means that another note changed the same objects first.
	ReleaseConflict ReleaseStatus = "conflict"
	// ReleaseInvalid means that the note can't be applied.
	ReleaseInvalid ReleaseStatus = "invalid"
	// ReleasePlatformUnavailable means that the platform was unavailable and the note
	// was certainly not accepted.
	ReleasePlatformUnavailable ReleaseStatus = "platformOut"
	// ReleaseUnknown means that the platform's response was lost and the note may have
	// been accepted; submitting the same note again is safe.
	ReleaseUnknown ReleaseStatus = "unknown"
)

// ReleaseResult is the response to a release note.
type ReleaseResult struct {
	// Status is the result.
	Status ReleaseStatus `json:"status"`
	// Revision is the note's revision, or the active one if the note was not
	// accepted.
	Revision int `json:"revision"`
	// Reasons lists the conflicting objects or the errors in the note.
	Reasons []string `json:"reasons,omitempty"`
}

var releaseHTTPStatus = map[ReleaseStatus]int{
	ReleaseAccepted: http.StatusOK, ReleaseConflict: http.StatusConflict,
	ReleaseInvalid: http.StatusUnprocessableEntity, ReleasePlatformUnavailable: http.StatusServiceUnavailable,
	ReleaseUnknown: http.StatusBadGateway,
}

// VM is the part of a VM that the operator interface uses. It is safe for
// concurrent use.
type VM interface {
	// Ready reports whether the VM should receive requests, and if not, the reason.
	Ready() (ok bool, reason string)
	// View returns the latest snapshot of the core's state.
	View() *control.View
	// State returns the active configuration.
	State() *configchain.State
	// History returns the latest revisions in ascending order.
	History() []wire.Revision
	// Release appends a note to the revision chain.
	Release(ctx context.Context, note wire.ReleaseNote) ReleaseResult
	// Explain explains one request. It returns false if no timeline of it was found.
	Explain(ctx context.Context, request string) (incident.Explanation, bool)
	// Incidents explains up to limit notable requests, newest first.
	Incidents(workspace string, since time.Time, limit int) []incident.Explanation
}

// Options configures a Server.
type Options struct {
	// Keys are the operators' bearer keys.
	Keys []settings.OperatorKey
	// VM is the VM that the server gives access to.
	VM VM
	// Registry holds the collectors for /metrics.
	Registry *prometheus.Registry
	// Log receives one line for each request with a missing or invalid key.
	Log *log.Logger
}

// Server serves requests of operators. It is safe for concurrent use.
type Server struct{ opts Options }

// New returns a server with the given options.
func New(o Options) *Server { return &Server{opts: o} }

// Handler returns the HTTP handler for operators. Health checks and metrics need no
// key.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(boundBody)
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

// ErrorBody is the body of an error response.
type ErrorBody struct {
	// Error is the error message.
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

// boundBody bounds reading the body of a request. The handler that reads it removes the deadline, which
// would end the context of the request.
func boundBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != nil && r.Body != http.NoBody {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
		}
		next.ServeHTTP(w, r)
	})
}

type operatorNameKey struct{}

// authenticate accepts requests that carry an operator's key, either as a bearer
// token or as the password of basic authentication.
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

// release submits the release note in the body. It sets the note's author to the
// name of the authenticated operator.
func (s *Server) release(w http.ResponseWriter, r *http.Request) {
	note, err := ParseNote(http.MaxBytesReader(w, r.Body, maxReleaseNoteBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
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
