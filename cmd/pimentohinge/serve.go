package main

import (
	"context"
	"math/rand/v2"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/logline"
	"github.com/pimentohinge/pimentohinge/internal/network"
	"github.com/pimentohinge/pimentohinge/internal/settings"
	"github.com/pimentohinge/pimentohinge/internal/signals"
	"github.com/pimentohinge/pimentohinge/internal/vm"
)

func init() {
	register(command{name: "serve", help: "Run an entry VM.", setup: func(c *kingpin.CmdClause) func() error {
		file := c.Flag("settings", "Settings file of this VM.").Required().String()
		return func() error { return runServe(*file) }
	}})
}

func runServe(file string) error {
	received := signals.Notify()
	config, err := settings.Load(file)
	if err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	out := logline.NewAsync(os.Stderr)
	defer out.Close()
	logger := logline.New(out, config.Log.Level)
	m := vm.Machine(config)
	m.LimitGC()
	entryVM := vm.New(vm.Options{Settings: config, Network: network.TCP{}, Log: logger, Seed: rand.Uint64(), Heap: m.Heap()})
	if err := entryVM.Start(); err != nil {
		return err
	}
	signals.AwaitStop(received, func() { reloadLogLevel(logger, file, serveLogLevel) })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if drainMs := config.Callers.DrainMs; drainMs > 0 {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(drainMs)*time.Millisecond)
		defer cancel()
	}
	go func() {
		signals.AwaitInterrupt(received, logIgnored(logger))
		cancel()
	}()
	if !entryVM.Stop(ctx) {
		return eris.New("stopped before all requests had ended; the log line event=stopped says how many were cut")
	}
	return nil
}

func serveLogLevel(file string) (string, error) {
	config, err := settings.Load(file)
	return config.Log.Level, err
}
