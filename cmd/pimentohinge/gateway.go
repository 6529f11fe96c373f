package main

import (
	"context"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/ingress"
	"github.com/pimentohinge/pimentohinge/internal/logline"
	"github.com/pimentohinge/pimentohinge/internal/machine"
	"github.com/pimentohinge/pimentohinge/internal/network"
	"github.com/pimentohinge/pimentohinge/internal/settings"
	"github.com/pimentohinge/pimentohinge/internal/signals"
	"github.com/pimentohinge/pimentohinge/platform"
)

func init() {
	register(command{name: "gateway", help: "Run an entry VM on the users' platform.", setup: func(c *kingpin.CmdClause) func() error {
		file := c.Flag("settings", "Settings file; by default the one that the platform provides.").Default(platform.SettingsPath()).String()
		return func() error { return runGateway(*file) }
	}})
}

func runGateway(file string) error {
	received := signals.Notify()
	config, err := settings.LoadGateway(file)
	if err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	out := logline.NewAsync(os.Stdout)
	defer out.Close()
	logger := logline.New(out, config.Log.Level)
	m := machine.Machine{}.With(config.MemoryMb, config.MaxDescriptors)
	m.LimitGC()
	server := ingress.New(ingress.Options{Settings: config, Network: network.TCP{}, Log: logger, Heap: m.Heap()})
	if err := server.Start(); err != nil {
		return err
	}
	signals.AwaitStop(received, func() { reloadLogLevel(logger, file, gatewayLogLevel) })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		signals.AwaitInterrupt(received, logIgnored(logger))
		cancel()
	}()
	if !server.Stop(ctx) {
		return eris.New("stopped before all requests had ended; the log line event=stopped says how many were cut")
	}
	return nil
}

func gatewayLogLevel(file string) (string, error) {
	config, err := settings.LoadGateway(file)
	return config.Log.Level, err
}
