package machine

import (
	"sync"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pimentohinge/pimentohinge/internal/headlimit"
	"github.com/pimentohinge/pimentohinge/internal/heapgate"
)

// Listeners holds the limiters of the listeners of a process, and reports what they refuse and close.
// It is safe for concurrent use.
type Listeners struct {
	// Heap is the gate for large heads at all listeners. It may be nil.
	Heap *heapgate.Gate

	mu   sync.Mutex
	list []*namedLimiter
}

// namedLimiter is the limiter of one listener, with the counts at the last report.
type namedLimiter struct {
	listener string
	limiter  *headlimit.Limiter
	reported headlimit.Counts
}

// Add returns a new limiter for the listener with the given name.
func (l *Listeners) Add(listener string, options headlimit.Options) *headlimit.Limiter {
	options.Heap = l.Heap
	limiter := headlimit.New(options)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, &namedLimiter{listener: listener, limiter: limiter})
	return limiter
}

// Report writes a log line for each listener that has refused or closed something since the last
// report.
func (l *Listeners) Report(logger *log.Logger) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.list {
		counts := n.limiter.Counts()
		if counts == n.reported {
			continue
		}
		logger.Warn().Str("event", "listenerLimited").Str("listener", n.listener).
			Int64("headsRefused", counts.RefusedHeads-n.reported.RefusedHeads).
			Int64("headsClosed", counts.EvictedHeads-n.reported.EvictedHeads).
			Int64("idleClosed", counts.IdleClosed-n.reported.IdleClosed).
			Int64("connectionsRefused", counts.RefusedConns-n.reported.RefusedConns).
			Int64("headBytes", n.limiter.Used()).Msg("")
		n.reported = counts
	}
}

var limitsDesc = prometheus.NewDesc("pimentohinge_listener_limits_total",
	"Request heads and connections that were refused or closed to bound memory and descriptors.",
	[]string{"listener", "action"}, nil)

// Describe implements prometheus.Collector.
func (l *Listeners) Describe(descs chan<- *prometheus.Desc) { descs <- limitsDesc }

// Collect implements prometheus.Collector.
func (l *Listeners) Collect(metrics chan<- prometheus.Metric) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.list {
		counts := n.limiter.Counts()
		for action, value := range map[string]int64{
			"headRefused": counts.RefusedHeads, "headClosed": counts.EvictedHeads,
			"idleClosed": counts.IdleClosed, "connectionRefused": counts.RefusedConns,
		} {
			metrics <- prometheus.MustNewConstMetric(limitsDesc, prometheus.CounterValue, float64(value), n.listener, action)
		}
	}
}
