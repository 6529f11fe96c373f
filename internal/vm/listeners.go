package vm

import (
	"crypto/tls"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/headlimit"
	"github.com/pimentohinge/pimentohinge/internal/network"
	"github.com/pimentohinge/pimentohinge/internal/sleep"
)

const (
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 32 << 10
	// peersTimeout bounds requests of other VMs that do not open a link, and operatorsWriteTimeout the
	// time until an operator's response is written.
	peersTimeout          = 5 * time.Second
	operatorsWriteTimeout = 2 * time.Minute
	// idleTimeout bounds the time between two requests on a connection.
	idleTimeout = 2 * time.Minute
	// limitsInterval is the interval at which the limits of the listeners are reported.
	limitsInterval = time.Second
)

// endpoint is one of the interfaces of a VM.
type endpoint struct {
	name, addr string
	handler    http.Handler
	limits     headlimit.Options
	// readTimeout bounds reading a whole request, and writeTimeout the time from its head to the end
	// of the response; 0 means that the handler does. They do not hold for links between VMs.
	readTimeout, writeTimeout time.Duration
	// readBuffer is the size of the receive buffers; 0 means the system's.
	readBuffer int
	// tls is nil for plain HTTP.
	tls *tls.Config
}

// serve opens the listener of an interface and serves HTTP on it.
func (v *VM) serve(e endpoint) (*http.Server, error) {
	ln, err := v.opts.Network.Listen(e.addr)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for %s at %s", e.name, e.addr)
	}
	if err := network.SetReadBuffer(ln, e.readBuffer); err != nil {
		v.log.Warn().Str("event", "readBuffer").Str("reason", err.Error()).Msg("")
	}
	s := &http.Server{
		Handler: e.handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: e.readTimeout, WriteTimeout: e.writeTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
	v.servers = append(v.servers, s)
	limiter := v.listeners.Add(e.name, e.limits)
	v.spawn(func() { _ = limiter.Serve(s, ln, e.tls) })
	return s, nil
}

// reportLimits logs what the limits of the listeners refuse and close.
func (v *VM) reportLimits() {
	for sleep.For(v.ctx, limitsInterval) {
		v.listeners.Report(v.log)
	}
}
