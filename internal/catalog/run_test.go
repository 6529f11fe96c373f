package catalog_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/catalog"
	"github.com/pimentohinge/pimentohinge/internal/logline"
	"github.com/pimentohinge/pimentohinge/internal/network"
	"github.com/pimentohinge/pimentohinge/internal/routing"
	"github.com/pimentohinge/pimentohinge/internal/standin/pipenet"
	"github.com/pimentohinge/pimentohinge/platform"
)

// runCatalog runs a catalog on virtual time, with a store that the handler serves, until stop is called.
// It sets the options that the test does not.
func runCatalog(t *testing.T, store http.Handler, opts catalog.Options) (vm *catalog.Catalog, stop func()) {
	t.Helper()
	fabric := pipenet.New()
	ln, err := fabric.Host("10.0.0.1").Listen("10.0.0.1:80")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: store}
	go func() { _ = server.Serve(ln) }()
	opts.Store = platform.New("http://10.0.0.1:80", network.Client(fabric.Host("10.0.0.2")))
	opts.Log = logline.New(discard{}, "error")
	opts.PropagationBound, opts.EvacuationBound = 3*time.Second, 5*time.Second
	opts.OnState = func(*routing.State) {}
	if opts.OnServers == nil {
		opts.OnServers = func([]catalog.ServerChange) {}
	}
	ctx, cancel := context.WithCancel(t.Context())
	vm = catalog.New(opts)
	done := make(chan struct{})
	go func() {
		defer close(done)
		vm.Run(ctx)
	}()
	return vm, func() {
		cancel()
		<-done
		_ = server.Close()
		fabric.Close()
		time.Sleep(5 * time.Second)
	}
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }
