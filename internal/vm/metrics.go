package vm

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// registerMetrics registers gauges that read the latest snapshot of the core's
// state, and the collectors of the Go runtime.
func (v *VM) registerMetrics() {
	gauge := func(name, help string, value func() float64) {
		v.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "pimentohinge_" + name, Help: help}, value))
	}
	gauge("configuration_revision", "Configuration revision in force.", func() float64 { return float64(v.view.Load().Revision) })
	gauge("requests_queued", "Requests that wait for a backend.", func() float64 { return float64(v.view.Load().Queued) })
	gauge("requests_open", "Requests that a backend works on.", func() float64 { return float64(v.view.Load().Open) })
	gauge("members", "Known entry VMs.", func() float64 { return float64(len(v.view.Load().Members)) })
	gauge("ready", "1 when the VM should get callers.", func() float64 {
		if ok, _ := v.Ready(); ok {
			return 1
		}
		return 0
	})
	gauge("peer_sent_bytes", "Payload bytes sent to other entry VMs.", func() float64 {
		sent, _ := v.links.PayloadBytes()
		return float64(sent)
	})
	gauge("peer_received_bytes", "Payload bytes received from other entry VMs.", func() float64 {
		_, received := v.links.PayloadBytes()
		return float64(received)
	})
	v.registry.MustRegister(collectors.NewGoCollector())
}
