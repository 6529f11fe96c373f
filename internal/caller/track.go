package caller

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pimentohinge/pimentohinge/internal/outcome"
)

// requestCounter counts requests in flight, so that a stopping VM can wait for them.
type requestCounter struct {
	mu      sync.Mutex
	n       int
	waiters []chan struct{}
}

func (c *requestCounter) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
}

func (c *requestCounter) done() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n--
	if c.n > 0 {
		return
	}
	for _, drained := range c.waiters {
		close(drained)
	}
	c.waiters = nil
}

func (c *requestCounter) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}

func (c *requestCounter) drain(ctx context.Context) bool {
	c.mu.Lock()
	if c.n == 0 {
		c.mu.Unlock()
		return true
	}
	drained := make(chan struct{})
	c.waiters = append(c.waiters, drained)
	c.mu.Unlock()
	select {
	case <-ctx.Done():
		return false
	case <-drained:
		return true
	}
}

// disconnectedStreams holds the generations whose callers have disconnected and
// may resume on another connection or VM.
type disconnectedStreams struct {
	mu           sync.Mutex
	byGeneration map[string]chan struct{}
}

func newDisconnectedStreams() disconnectedStreams {
	return disconnectedStreams{byGeneration: map[string]chan struct{}{}}
}

// add registers a generation and returns a channel that is closed when the caller
// has resumed it elsewhere.
func (d *disconnectedStreams) add(generation string) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	taken := make(chan struct{})
	d.byGeneration[generation] = taken
	return taken
}

func (d *disconnectedStreams) remove(generation string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.byGeneration, generation)
}

func (d *disconnectedStreams) takeOver(generation string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if taken := d.byGeneration[generation]; taken != nil {
		close(taken)
		delete(d.byGeneration, generation)
	}
}

// TakeOver records that another VM now serves the stream of a generation whose
// caller disconnected from this VM.
func (s *Server) TakeOver(generation string) { s.disconnected.takeOver(generation) }

// Metrics holds the collectors of a Server.
type Metrics struct {
	// Requests counts ended requests by service, outcome and cause.
	Requests *prometheus.CounterVec
	// Duration is the time from arrival to the end of the request, in seconds.
	Duration *prometheus.HistogramVec
	// FirstToken is the time from arrival to the first token, in seconds.
	FirstToken prometheus.Histogram
	// InterToken is the time between tokens, in seconds.
	InterToken prometheus.Histogram
	// Stall sums, for each wait for a token, the part over incident.StallAfter, in
	// seconds. The wait for the first token counts too.
	Stall prometheus.Counter
	// Tokens counts delivered tokens.
	Tokens prometheus.Counter
	// Resumes counts streams that were resumed on a new connection to the engine.
	Resumes prometheus.Counter
}

const metricsPrefix = "pimentohinge_caller_"

var (
	durationBuckets = prometheus.ExponentialBuckets(0.01, 2, 16)
	tokenBuckets    = []float64{0.005, 0.01, 0.02, 0.033, 0.05, 0.066, 0.1, 0.2, 0.5, 1, 2, 5}
)

// NewMetrics returns new, unregistered collectors.
func NewMetrics() *Metrics {
	return &Metrics{
		Requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: metricsPrefix + "requests_total", Help: "Ended requests.",
		}, []string{"service", "outcome", "cause"}),
		Duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: metricsPrefix + "duration_seconds", Help: "Time from reception to the end.", Buckets: durationBuckets,
		}, []string{"service"}),
		FirstToken: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: metricsPrefix + "first_token_seconds", Help: "Time to the first token.", Buckets: durationBuckets,
		}),
		InterToken: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: metricsPrefix + "inter_token_seconds", Help: "Time between tokens.", Buckets: tokenBuckets,
		}),
		Stall: prometheus.NewCounter(prometheus.CounterOpts{
			Name: metricsPrefix + "stall_seconds_total", Help: "Time over one second without a token.",
		}),
		Tokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: metricsPrefix + "tokens_total", Help: "Tokens delivered.",
		}),
		Resumes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: metricsPrefix + "resumes_total", Help: "Streams that went on after a broken link.",
		}),
	}
}

// Register registers the collectors.
func (m *Metrics) Register(r prometheus.Registerer) {
	r.MustRegister(m.Requests, m.Duration, m.FirstToken, m.InterToken, m.Stall, m.Tokens, m.Resumes)
}

func (m *Metrics) recordEnd(service string, o outcome.Result, d time.Duration) {
	m.Requests.WithLabelValues(service, string(o.Kind), string(o.Cause)).Inc()
	m.Duration.WithLabelValues(service).Observe(d.Seconds())
}
