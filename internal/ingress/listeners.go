package ingress

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/headlimit"
	"github.com/pimentohinge/pimentohinge/internal/network"
	"github.com/pimentohinge/pimentohinge/platform"
)

const (
	metricsPath = "/metrics"
	// internalReadTimeout, internalWriteTimeout and internalIdleTimeout bound reading a request on the
	// readiness, peer and metrics listeners, the time from its head to the end of the response, and the
	// time between two requests.
	internalReadTimeout  = 2 * time.Second
	internalWriteTimeout = 5 * time.Second
	internalIdleTimeout  = time.Minute
)

// listen opens all listeners but the one for callers, which it returns.
func (s *Server) listen() (callers net.Listener, err error) {
	addresses := s.opts.Settings.Listen
	metrics := promhttp.HandlerFor(s.metrics.registry, promhttp.HandlerOpts{})
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+platform.PathReady, s.handleReady)
	ready.Handle("GET "+metricsPath, metrics)
	metricsOnly := http.NewServeMux()
	metricsOnly.Handle("GET "+metricsPath, metrics)
	for _, endpoint := range []struct {
		name, address string
		handler       http.Handler
		limits        headlimit.Options
	}{
		{"readiness", addresses.Ready, ready, s.machine.Internal()},
		{"peers", addresses.Peers, s.peers, s.machine.Peers()},
		{"metrics", addresses.Metrics, metricsOnly, s.machine.Internal()},
	} {
		if endpoint.address == "" {
			continue
		}
		ln, err := s.opts.Network.Listen(endpoint.address)
		if err != nil {
			return nil, eris.Wrapf(err, "listen for %s at %s", endpoint.name, endpoint.address)
		}
		server := &http.Server{
			Handler: endpoint.handler, ReadTimeout: internalReadTimeout, WriteTimeout: internalWriteTimeout,
			IdleTimeout: internalIdleTimeout, MaxHeaderBytes: defaultHeaderBytes,
		}
		limiter := s.listeners.Add(endpoint.name, endpoint.limits)
		s.spawn(func() { _ = limiter.Serve(server, ln, nil) })
		context.AfterFunc(s.ctx, func() { _ = server.Close() })
	}
	callers, err = s.opts.Network.Listen(addresses.Callers)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for callers at %s", addresses.Callers)
	}
	if err := network.SetReadBuffer(callers, s.machine.ReadBuffer()); err != nil {
		s.log.Warn().Str("event", "readBuffer").Str("reason", err.Error()).Msg("")
	}
	return callers, nil
}
