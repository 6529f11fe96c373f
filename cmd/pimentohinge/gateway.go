package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/ingress"
	"github.com/pimentohinge/pimentohinge/internal/logline"
	"github.com/pimentohinge/pimentohinge/internal/network"
	"github.com/pimentohinge/pimentohinge/internal/settings"
	"github.com/pimentohinge/pimentohinge/platform"
)

// memoryLimitPercent is the soft memory limit of the Go runtime as a share of the
// VM's memory. Near the limit the garbage collector runs more often.
const memoryLimitPercent = 70

func init() {
	register(command{name: "gateway", help: "Run an entry VM on the users' platform.", setup: func(c *kingpin.CmdClause) func() error {
		file := c.Flag("settings", "Settings file; by default the one that the platform provides.").Default(platform.SettingsPath()).String()
		return func() error { return runGateway(*file) }
	}})
}

func runGateway(file string) error {
	config, err := settings.LoadGateway(file)
	if err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	out := logline.NewAsync(os.Stdout)
	defer out.Close()
	logger := logline.New(out, config.Log.Level)
	debug.SetMemoryLimit(int64(config.MemoryMb) << 20 / 100 * memoryLimitPercent)
	server := ingress.New(ingress.Options{Settings: config, Network: network.TCP{}, Log: logger})
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	if err := server.Start(); err != nil {
		return err
	}
	awaitStop(signals, file, logger)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		awaitStop(signals, file, logger)
		cancel()
	}()
	if !server.Stop(ctx) {
		return eris.New("stopped before all requests had ended; the log line event=stopped says how many were cut")
	}
	return nil
}

// awaitStop waits for a signal to stop. On SIGHUP it reloads the settings file and
// applies its log level.
func awaitStop(signals <-chan os.Signal, file string, logger *log.Logger) {
	for sig := range signals {
		if sig != syscall.SIGHUP {
			return
		}
		config, err := settings.LoadGateway(file)
		if err != nil {
			logger.Error().Str("event", "reloadFailed").Str("reason", err.Error()).Msg("")
			continue
		}
		logger.SetLevel(log.ParseLevel(config.Log.Level))
		logger.Info().Str("event", "reloaded").Str("logLevel", config.Log.Level).Msg("")
	}
}
