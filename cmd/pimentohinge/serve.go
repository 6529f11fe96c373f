package main

import (
	"context"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/logline"
	"github.com/pimentohinge/pimentohinge/internal/network"
	"github.com/pimentohinge/pimentohinge/internal/settings"
	"github.com/pimentohinge/pimentohinge/internal/vm"
)

func init() {
	register(command{name: "serve", help: "Run an entry VM.", setup: func(c *kingpin.CmdClause) func() error {
		file := c.Flag("settings", "Settings file of this VM.").Required().String()
		return func() error { return serve(*file) }
	}})
}

func serve(file string) error {
	s, err := settings.Load(file)
	if err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	logger := logline.New(os.Stderr, s.Log.Level)
	v := vm.New(vm.Options{Settings: s, Network: network.TCP{}, Log: logger, Seed: rand.Uint64()})
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	if err := v.Start(); err != nil {
		return err
	}
	<-signals
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if d := s.Callers.DrainMs; d > 0 {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(d)*time.Millisecond)
		defer cancel()
	}
	go func() {
		<-signals
		cancel()
	}()
	if !v.Stop(ctx) {
		return eris.New("stopped before all requests had ended; the log line event=stopped says how many were cut")
	}
	return nil
}
