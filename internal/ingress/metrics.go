package ingress

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pimentohinge/pimentohinge/platform"
)

// metrics holds the Prometheus metrics of the proxy.
type metrics struct {
	registry         *prometheus.Registry
	requests         *prometheus.CounterVec
	firstByteSeconds *prometheus.HistogramVec
	queueSeconds     *prometheus.HistogramVec
	resumes          *prometheus.CounterVec
	moves            *prometheus.CounterVec
	storeCalls       *prometheus.CounterVec
	serverChecks     *prometheus.CounterVec
	notices          *prometheus.CounterVec
	quarantined      prometheus.Gauge
	configVersion    prometheus.Gauge
	evacuated        prometheus.Gauge
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pimentohinge_requests_total", Help: "Requests of callers by route kind, status and cause.",
		}, []string{"kind", "status", "cause"}),
		firstByteSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "pimentohinge_first_byte_seconds", Help: "Time from a request to the first byte of its answer in seconds.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 12),
		}, []string{"kind"}),
		queueSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "pimentohinge_queue_seconds", Help: "Time that a request waited in its VM for a server in seconds.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 12),
		}, []string{"kind"}),
		resumes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pimentohinge_rescues_total", Help: "Streams whose server left, by outcome.",
		}, []string{"outcome"}),
		moves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pimentohinge_moves_total", Help: "Copies of a stream's memory to another server, by phase and result.",
		}, []string{"phase", "result"}),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pimentohinge_store_calls_total", Help: "Reads of configuration and servers in the store, by kind, linearizability and status.",
		}, []string{"prefix", "linearizable", "status"}),
		serverChecks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pimentohinge_server_checks_total", Help: "Checks of servers that closed the connection of a request, by state of the server.",
		}, []string{"state"}),
		notices: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pimentohinge_server_notices_total", Help: "What servers say of themselves in responses: that they leave, or want no requests for a while.",
		}, []string{"notice"}),
		quarantined: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "pimentohinge_quarantined_segments", Help: "Prompt segments whose requests are refused, as engines crashed on them.",
		}),
		evacuated: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "pimentohinge_evacuated_data_centres", Help: "Data centres to whose servers nothing new is sent.",
		}),
		configVersion: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "pimentohinge_config_version", Help: "Version of the configuration in force.",
		}),
	}
	m.registry.MustRegister(m.requests, m.firstByteSeconds, m.queueSeconds, m.resumes, m.moves, m.storeCalls, m.serverChecks, m.notices, m.quarantined, m.configVersion, m.evacuated)
	return m
}

// countStoreCall counts a read of the store.
func (m *metrics) countStoreCall(prefix string, linearizable bool, status platform.Status) {
	m.storeCalls.WithLabelValues(prefix, strconv.FormatBool(linearizable), status.String()).Inc()
}
