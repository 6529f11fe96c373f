package main

import (
	"os"

	"github.com/phuslu/log"
)

// reloadLogLevel reads the settings file again and applies its log level.
func reloadLogLevel(logger *log.Logger, file string, load func(file string) (level string, err error)) {
	level, err := load(file)
	if err != nil {
		logger.Error().Str("event", "reloadFailed").Str("reason", err.Error()).Msg("")
		return
	}
	logger.SetLevel(log.ParseLevel(level))
	logger.Info().Str("event", "reloaded").Str("logLevel", level).Msg("")
}

// logIgnored logs a signal that does not shorten a stop.
func logIgnored(logger *log.Logger) func(os.Signal) {
	return func(sig os.Signal) {
		logger.Info().Str("event", "signalIgnored").Str("signal", sig.String()).Msg("")
	}
}
