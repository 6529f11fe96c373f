// Package caller serves the callers: completions and chat in the usual JSON
// with server-sent events, plain services, and tickets. A request passes
// filters; each one ends it with an outcome or hands it on.
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
	"github.com/pimentohinge/pimentohinge/internal/control/chain"
	"github.com/pimentohinge/pimentohinge/internal/engine"
	"github.com/pimentohinge/pimentohinge/internal/incident"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/internal/seal"
	"github.com/pimentohinge/pimentohinge/internal/service"
	"github.com/pimentohinge/pimentohinge/internal/settings"
	"github.com/pimentohinge/pimentohinge/internal/ticket"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// Broker is the way to the decision core. It is safe for concurrent use.
type Broker interface {
	// Place asks for a backend and waits for the answer. The outcome's cause is None when placed.
	Place(ctx context.Context, p control.Place) (control.Placed, outcome.Outcome, []wire.Event)
	// Withdraw ends the interest in a request that is not placed, or may not be.
	Withdraw(id string)
	// Ended tells the end of an attempt on a placed request.
	Ended(e control.AttemptEnded)
	// Leaving tells that a backend refused work because it is leaving.
	Leaving(backend string)
	// State returns the configuration in force.
	State() *chain.State
	// Backend looks up a backend by name.
	Backend(name string) (wire.Backend, bool)
	// Taken tells the VM that served a stream before that this one does now.
	Taken(vm, request, generation string)
	// Forward sends a call to the VM that issued its ticket.
	Forward(ctx context.Context, vm string, c wire.ServiceCall) (wire.ServiceAnswer, outcome.Outcome)
}

// Options is what the callers' interface is made of.
type Options struct {
	// VM is the name of this VM.
	VM string
	// Limits bounds what callers may send.
	Limits settings.Callers
	// Secret is the key that the entry VMs share.
	Secret string
	// Broker reaches the decision core.
	Broker Broker
	// Engines and Services reach the backends.
	Engines  *engine.Client
	Services *service.Client
	// Claims and Tickets guard calls that must not repeat.
	Claims  *claim.Claims
	Tickets *ticket.Book
	// Incidents keeps the timelines.
	Incidents *incident.Recorder
	// Log gets one line for each request.
	Log *log.Logger
}

// Server serves the callers. It is safe for concurrent use.
type Server struct {
	opts    Options
	tokens  *seal.Sealer[ResumeToken]
	open    tracker
	metrics *Metrics
	parked  parking
	// detached are connections whose streams outlive their handlers.
	detached connections
}

// New returns a server.
func New(o Options) *Server {
	return &Server{
		opts: o, tokens: seal.New[ResumeToken](o.Secret, "resume"),
		metrics: NewMetrics(), parked: newParking(),
	}
}

// Metrics returns the server's collectors.
func (s *Server) Metrics() *Metrics { return s.metrics }

// Open returns the number of requests that have not ended.
func (s *Server) Open() int { return s.open.count() }

// Drain waits until every open request has ended, or for ctx. It reports
// whether all ended.
func (s *Server) Drain(ctx context.Context) bool { return s.open.drain(ctx) }

// Handler returns the callers' interface.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/completions", s.serve(formatCompletion, s.modelFilters()))
	r.Post("/v1/chat/completions", s.serve(formatChat, s.modelFilters()))
	r.Get("/v1/streams", s.serve(formatResume, s.resumeFilters()))
	r.Get("/v1/models", s.serve(formatJSON, []filter{authenticate{s}, listModels{s}}))
	r.Post("/v1/tickets", s.serve(formatJSON, []filter{authenticate{s}, issueTicket{s}}))
	r.HandleFunc("/services/{service}/*", s.serve(formatService, s.serviceFilters()))
	r.NotFound(s.serve(formatJSON, []filter{unknownPath{}}))
	r.MethodNotAllowed(s.serve(formatJSON, []filter{unknownPath{}}))
	return r
}

func (s *Server) modelFilters() []filter {
	return []filter{authenticate{s}, decodeModel{s}, resume{s}, generate{s}}
}

func (s *Server) resumeFilters() []filter {
	return []filter{authenticate{s}, resume{s}, resumeMissing{}}
}

func (s *Server) serviceFilters() []filter {
	return []filter{authenticate{s}, decodeService{s}, once{s}, dispatch{s}}
}

// filter is one step of a request's way. It reports false with an outcome when
// the request ends here; an outcome without a cause means that it was answered.
type filter interface {
	pass(c *call) (o outcome.Outcome, on bool)
}

// format is the form in which a request is answered.
type format int

const (
	formatJSON format = iota
	formatCompletion
	formatChat
	formatResume
	formatService
)

// call is one request on its way through the filters.
type call struct {
	w         http.ResponseWriter
	r         *http.Request
	format    format
	id        string
	received  time.Time
	state     *chain.State // configuration in force when the request came
	workspace wire.Workspace
	service   wire.Service
	timeline  *incident.Timeline
	model     modelRequest
	plain     plainCall
	started   bool      // the answer's head was sent
	detached  *detached // set when the stream goes on after its handler
}

const requestIDBytes = 10

// newRequestID names the VM, so that explanations know whom to ask.
func newRequestID(vm string) string {
	b := make([]byte, requestIDBytes)
	_, _ = rand.Read(b)
	return "req-" + vm + "-" + hex.EncodeToString(b)
}

// serve sends a request through filters and accounts for its outcome.
func (s *Server) serve(f format, filters []filter) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.open.add()
		c := &call{w: w, r: r, format: f, id: newRequestID(s.opts.VM), received: time.Now(), state: s.opts.Broker.State()}
		w.Header().Set("X-Request-Id", c.id)
		o := outcome.Done(0)
		for _, x := range filters {
			var on bool
			if o, on = x.pass(c); !on {
				break
			}
		}
		if c.detached == nil {
			s.account(c, o)
			s.open.done()
		}
	}
}

// account answers what has not been answered, and logs and records the outcome.
func (s *Server) account(c *call, o outcome.Outcome) {
	if o.Cause != outcome.None && !c.started {
		writeProblem(c.w, c.id, o)
	}
	s.metrics.ended(c.service.Name, o, time.Since(c.received))
	if c.timeline == nil {
		if o.Cause == outcome.None {
			return
		}
		c.timeline = s.opts.Incidents.Start(c.id, c.workspace.Name, c.service.Name)
	}
	s.opts.Incidents.Finish(c.timeline, o)
	s.opts.Log.Info().Str("event", "request").Str("request", c.id).Str("workspace", c.workspace.Name).
		Str("service", c.service.Name).Str("outcome", string(o.Kind)).Str("cause", string(o.Cause)).
		Str("detail", o.Detail).Int("tokens", o.Tokens).
		Int64("ms", time.Since(c.received).Milliseconds()).Msg("")
}
