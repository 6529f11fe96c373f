// Package signals interprets the signals of an entry VM's process. The platform may send
// the signal to stop more than once, and in between others; only an operator's interrupt
// shortens a stop that has begun.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// queueLength is the number of signals that wait while one is handled.
const queueLength = 8

// Notify returns a channel of the signals that this package interprets. None of them ends
// the process by itself any more.
func Notify() <-chan os.Signal {
	ch := make(chan os.Signal, queueLength)
	signal.Notify(ch, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return ch
}

// AwaitStop waits for a signal to stop. It calls reload for each SIGHUP before that.
func AwaitStop(ch <-chan os.Signal, reload func()) {
	for sig := range ch {
		if sig != syscall.SIGHUP {
			return
		}
		reload()
	}
}

// AwaitInterrupt waits for SIGINT, which ends a stop early. It calls ignored for each other
// signal before that.
func AwaitInterrupt(ch <-chan os.Signal, ignored func(os.Signal)) {
	for sig := range ch {
		if sig == syscall.SIGINT {
			return
		}
		ignored(sig)
	}
}
