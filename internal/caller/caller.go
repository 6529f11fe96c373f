// Package caller implements the HTTP interface for callers of the serve command:
// completions and chat in the OpenAI-style JSON format with server-sent events, plain
// services, and tickets. A request passes through a chain of filters; each filter
// either ends it with an outcome or passes it to the next.
package caller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/phuslu/log"

	"github.com/pimentohinge/pimentohinge/internal/claim"
	"github.com/pimentohinge/pimentohinge/internal/control"
	"github.com/pimentohinge/pimentohinge/internal/control/configchain"
	"github.com/pimentohinge/pimentohinge/internal/engine"
	"github.com/pimentohinge/pimentohinge/internal/headlimit"
	"github.com/pimentohinge/pimentohinge/internal/incident"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/internal/readlimit"
	"github.com/pimentohinge/pimentohinge/internal/service"
	"github.com/pimentohinge/pimentohinge/internal/settings"
	"github.com/pimentohinge/pimentohinge/internal/signedtoken"
	"github.com/pimentohinge/pimentohinge/internal/ticket"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// Broker connects the HTTP interface to the control loop, which chooses backends,
// and to the other VMs. It is safe for concurrent use.
type Broker interface {
	// Place requests a backend and blocks until one is chosen or the request is
	// refused. The Cause of the result is None when a backend was chosen. The events
	// belong to the timeline of the request.
	Place(ctx context.Context, place control.Place) (control.Placed, outcome.Result, []wire.Event)
	// CancelPlace cancels a request that may still be waiting for a backend.
	CancelPlace(id string)
	// AttemptEnded reports the end of an attempt of a placed request.
	AttemptEnded(e control.AttemptEnded)
	// ReportLeaving reports that a backend refused work because it is leaving.
	ReportLeaving(backend string)
	// ReportEnded reports that a backend was lost under a request and does not respond.
	ReportEnded(backend string)
	// State returns the current configuration.
	State() *configchain.State
	// Backend returns the backend with the given name.
	Backend(name string) (wire.Backend, bool)
	// ReportTakeover notifies the VM that served a stream until now that this VM
	// serves it from now on.
	ReportTakeover(vm, request, generation string)
	// Forward sends a call to the VM that issued its ticket and returns the response.
	Forward(ctx context.Context, vm string, call wire.ServiceCall) (wire.ServiceAnswer, outcome.Result)
}

// Options configures a Server.
type Options struct {
	// VM is the name of this VM.
	VM string
	// Limits holds the size limits and timeouts for requests.
	Limits settings.Callers
	// Bodies is the memory for request bodies, Decoding that in which they are decoded, and Responses
	// that for generated responses that are not streamed.
	Bodies, Decoding, Responses *readlimit.Budget
	// Secret is the key shared by all entry VMs; it signs resume tokens.
	Secret string
	// Broker connects to the control loop and to other VMs.
	Broker Broker
	// Engines and Services are the clients for the backends.
	Engines  *engine.Client
	Services *service.Client
	// Claims and Tickets ensure that calls with an idempotency key or a ticket run
	// at most once.
	Claims  *claim.Claims
	Tickets *ticket.Issuer
	// Incidents records the timelines of requests.
	Incidents *incident.Recorder
	// Log receives one line per request.
	Log *log.Logger
}

// Server serves requests of callers. It is safe for concurrent use.
type Server struct {
	opts         Options
	resumeTokens *signedtoken.Signer[ResumeToken]
	openRequests requestCounter
	metrics      *Metrics
	disconnected disconnectedStreams
	// detachedConns are the connections whose streams continue after their
	// handlers have returned.
	detachedConns connSet
}

// New returns a server with the given options.
func New(o Options) *Server {
	return &Server{
		opts: o, resumeTokens: signedtoken.New[ResumeToken](o.Secret, "resume"),
		metrics: NewMetrics(), disconnected: newDisconnectedStreams(),
	}
}

// Metrics returns the server's collectors.
func (s *Server) Metrics() *Metrics { return s.metrics }

// OpenRequests returns the number of requests in flight.
func (s *Server) OpenRequests() int { return s.openRequests.count() }

// Drain waits until every request in flight has ended or ctx is done. It reports
// whether all of them ended.
func (s *Server) Drain(ctx context.Context) bool { return s.openRequests.drain(ctx) }

// Handler returns the HTTP handler for callers.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/completions", s.serve(formatCompletion, s.modelFilters()))
	r.Post("/v1/chat/completions", s.serve(formatChat, s.modelFilters()))
	r.Get("/v1/streams", s.serve(formatResume, s.resumeFilters()))
	r.Get("/v1/models", s.serve(formatJSON, []filter{authenticate{s}, listModels{s}}))
	r.Post("/v1/tickets", s.serve(formatJSON, []filter{authenticate{s}, issueTicket{s}}))
	r.HandleFunc("/services/{service}/*", s.serve(formatService, s.serviceFilters()))
	r.NotFound(s.serve(formatJSON, []filter{refuseUnknownPath{}}))
	r.MethodNotAllowed(s.serve(formatJSON, []filter{refuseUnknownPath{}}))
	return r
}

func (s *Server) modelFilters() []filter {
	return []filter{authenticate{s}, decodeModel{s}, resume{s}, generate{s}}
}

func (s *Server) resumeFilters() []filter {
	return []filter{authenticate{s}, resume{s}, refuseMissingPosition{}}
}

func (s *Server) serviceFilters() []filter {
	return []filter{authenticate{s}, decodeService{s}, checkIdempotency{s}, dispatch{s}}
}

// filter is one step in the processing of a request. It returns false and a result
// when the request ends here; a result without a Cause means that the response has
// been written.
type filter interface {
	apply(req *request) (o outcome.Result, proceed bool)
}

// responseFormat is the format of a response.
type responseFormat int

const (
	formatJSON responseFormat = iota
	formatCompletion
	formatChat
	formatResume
	formatService
)

// request is the state of one request while it passes through the filters.
type request struct {
	w         http.ResponseWriter
	r         *http.Request
	format    responseFormat
	id        string
	received  time.Time
	state     *configchain.State // configuration at the time of arrival
	workspace wire.Workspace
	service   wire.Service
	timeline  *incident.Timeline
	model     modelRequest
	plain     plainCall
	// memory is reserved for the body, decoding for decoding it, and response for a generated response
	// that is not streamed; nil if there is none.
	memory, decoding, response *readlimit.Reservation
	started                    bool            // the response header was sent
	detached                   *detachedWriter // set when the stream continues after its handler has returned
}

const requestIDBytes = 10

// newRequestID returns a unique id that includes the name of the VM, so that an
// explanation of the request can be fetched from that VM.
func newRequestID(vm string) string {
	b := make([]byte, requestIDBytes)
	_, _ = rand.Read(b)
	return "req-" + vm + "-" + hex.EncodeToString(b)
}

// serve returns a handler that applies the filters in order and records the
// outcome.
func (s *Server) serve(format responseFormat, filters []filter) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.openRequests.add()
		req := &request{w: w, r: r, format: format, id: newRequestID(s.opts.VM), received: time.Now(), state: s.opts.Broker.State()}
		w.Header().Set("X-Request-Id", req.id)
		o := outcome.Done(0)
		for _, f := range filters {
			var proceed bool
			if o, proceed = f.apply(req); !proceed {
				break
			}
		}
		if req.detached == nil {
			if o.Cause != outcome.None {
				headlimit.BoundUnreadBody(req.w, req.r)
			}
			s.finishRequest(req, o)
			s.openRequests.done()
		}
	}
}

// finishRequest writes an error response if nothing was sent yet, and records the
// outcome in the metrics, the timeline and the log.
func (s *Server) finishRequest(req *request, o outcome.Result) {
	defer req.memory.Release()
	defer req.decoding.Release()
	defer req.response.Release()
	if o.Cause != outcome.None && !req.started {
		req.boundWrite()
		writeProblem(req.w, req.id, o)
	}
	s.metrics.recordEnd(req.service.Name, o, time.Since(req.received))
	if req.timeline == nil {
		if o.Cause == outcome.None {
			return
		}
		req.timeline = s.opts.Incidents.Start(req.id, req.workspace.Name, req.service.Name)
	}
	s.opts.Incidents.Finish(req.timeline, o)
	s.opts.Log.Info().Str("event", "request").Str("request", req.id).Str("workspace", req.workspace.Name).
		Str("service", req.service.Name).Str("outcome", string(o.Kind)).Str("cause", string(o.Cause)).
		Str("detail", o.Detail).Int("tokens", o.Tokens).
		Int64("ms", time.Since(req.received).Milliseconds()).Msg("")
}
