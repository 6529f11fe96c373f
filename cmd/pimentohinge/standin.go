package main

import (
	"context"
	"fmt"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/network"
	"github.com/pimentohinge/pimentohinge/internal/standin/ledger"
	"github.com/pimentohinge/pimentohinge/internal/standin/llm"
	"github.com/pimentohinge/pimentohinge/internal/standin/model"
	"github.com/pimentohinge/pimentohinge/internal/standin/store"
)

const readHeaderTimeout = 10 * time.Second

func init() {
	register(command{group: "standin", name: "platform", help: "Run a stand-in of the platform's object service.", setup: func(c *kingpin.CmdClause) func() error {
		listen := c.Flag("listen", "IP and port.").Required().String()
		return func() error { return serveUntilSignal(*listen, store.New().Handler(), nil) }
	}})
	register(command{group: "standin", name: "service", help: "Run a stand-in of a plain service that records entries.", setup: func(c *kingpin.CmdClause) func() error {
		listen := c.Flag("listen", "IP and port.").Required().String()
		deduplicates := c.Flag("deduplicates", "Run each idempotency key once.").Bool()
		return func() error {
			l := ledger.New()
			l.Deduplicates = *deduplicates
			return serveUntilSignal(*listen, l.Handler(), nil)
		}
	}})
	register(command{group: "standin", name: "engine", help: "Run a stand-in of a model engine.", setup: setupEngine})
}

func setupEngine(c *kingpin.CmdClause) func() error {
	listen := c.Flag("listen", "IP and port.").Required().String()
	name := c.Flag("name", "Name of the engine.").Required().String()
	models := c.Flag("model", "Model that is loaded; may be repeated.").Required().Strings()
	blocks := c.Flag("blocks", "KV blocks.").Default("2048").Int()
	slots := c.Flag("slots", "Largest batch.").Default("48").Int()
	lag := c.Flag("report-lag", "Age of load reports.").Default("300ms").Duration()
	checks := c.Flag("checks-fencing", "Refuse orders with an old fencing number.").Bool()
	return func() error {
		if *blocks < 1 || *slots < 1 {
			return &exitError{code: exitUsage, err: eris.New("--blocks and --slots must be at least 1")}
		}
		o := model.DefaultOptions()
		o.CapacityBlocks, o.Slots = *blocks, *slots
		e := llm.New(llm.Options{
			Name: *name, Models: *models, Model: o, ReportLag: *lag, CacheEventLag: *lag, ChecksFencing: *checks,
		})
		return serveUntilSignal(*listen, e.Handler(), e.Run)
	}
}

// serveUntilSignal serves a handler, with work beside it, until SIGTERM.
func serveUntilSignal(addr string, h http.Handler, work func(context.Context)) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ln, err := network.TCP{}.Listen(addr)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	if work != nil {
		go work(ctx)
	}
	fmt.Printf("listening on %s\n", ln.Addr())
	go func() {
		<-ctx.Done()
		_ = s.Close()
	}()
	if err := s.Serve(ln); err != nil && ctx.Err() == nil {
		return eris.Wrap(err, "serve")
	}
	return nil
}
