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

	"github.com/pimentohinge/pimentohinge/internal/machine"
	"github.com/pimentohinge/pimentohinge/internal/network"
	"github.com/pimentohinge/pimentohinge/internal/standin/enginesim"
	"github.com/pimentohinge/pimentohinge/internal/standin/ledger"
	"github.com/pimentohinge/pimentohinge/internal/standin/llm"
	"github.com/pimentohinge/pimentohinge/internal/standin/store"
)

const readHeaderTimeout = 10 * time.Second

func init() {
	register(command{group: "standin", name: "platform", help: "Run a stand-in for the platform's object service.", setup: func(c *kingpin.CmdClause) func() error {
		l := listenFlags(c)
		return func() error { return l.serveUntilSignal(store.New().Handler(), nil) }
	}})
	register(command{group: "standin", name: "service", help: "Run a stand-in for a plain service that records entries.", setup: func(c *kingpin.CmdClause) func() error {
		listen := listenFlags(c)
		deduplicates := c.Flag("deduplicates", "Run the calls of each idempotency key at most once.").Bool()
		return func() error {
			l := ledger.New()
			l.Deduplicates = *deduplicates
			return listen.serveUntilSignal(l.Handler(), nil)
		}
	}})
	register(command{group: "standin", name: "engine", help: "Run a stand-in for a model engine.", setup: setupStandinEngine})
}

func setupStandinEngine(c *kingpin.CmdClause) func() error {
	listen := listenFlags(c)
	name := c.Flag("name", "Name of the engine.").Required().String()
	models := c.Flag("model", "Name of a loaded model; may be repeated.").Required().Strings()
	blocks := c.Flag("blocks", "Number of KV cache blocks.").Default("2048").Int()
	slots := c.Flag("slots", "Maximum batch size.").Default("48").Int()
	lag := c.Flag("report-lag", "Age of load reports.").Default("300ms").Duration()
	checksFencing := c.Flag("checks-fencing", "Refuse orders with an outdated fencing number.").Bool()
	return func() error {
		if *blocks < 1 || *slots < 1 {
			return &exitError{code: exitUsage, err: eris.New("--blocks and --slots must be at least 1")}
		}
		modelOptions := enginesim.DefaultOptions()
		modelOptions.CapacityBlocks, modelOptions.Slots = *blocks, *slots
		engine := llm.New(llm.Options{
			Name: *name, Models: *models, Model: modelOptions, ReportLag: *lag, CacheEventLag: *lag, ChecksFencing: *checksFencing,
		})
		return listen.serveUntilSignal(engine.Handler(), engine.Run)
	}
}

// standinListener is the address of a stand-in and what its process may take.
type standinListener struct {
	addr                     *string
	memoryMb, maxDescriptors *int
}

func listenFlags(c *kingpin.CmdClause) standinListener {
	return standinListener{
		addr:           c.Flag("listen", "Address to listen on, as IP:port.").Required().String(),
		memoryMb:       c.Flag("memory-mb", "Memory of the process in megabytes; 0 means that of the machine.").Default("0").Int(),
		maxDescriptors: c.Flag("max-descriptors", "Descriptors of the process; 0 means its limit on open files.").Default("0").Int(),
	}
}

// serveUntilSignal serves HTTP until SIGTERM or SIGINT. If background is not nil,
// it runs in a goroutine with a context that ends at the signal.
func (l standinListener) serveUntilSignal(h http.Handler, background func(context.Context)) error {
	if *l.memoryMb < 0 || *l.maxDescriptors < 0 {
		return &exitError{code: exitUsage, err: eris.New("--memory-mb and --max-descriptors must not be negative")}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ln, err := network.TCP{}.Listen(*l.addr)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	m := machine.Detect().With(*l.memoryMb, *l.maxDescriptors)
	m.LimitGC()
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	if background != nil {
		go background(ctx)
	}
	fmt.Printf("listening on %s\n", ln.Addr())
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	listeners := machine.Listeners{Heap: m.Heap()}
	if err := listeners.Add("callers", m.Callers()).Serve(server, ln, nil); err != nil && ctx.Err() == nil {
		return eris.Wrap(err, "serve")
	}
	return nil
}
