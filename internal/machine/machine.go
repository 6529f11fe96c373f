// Package machine divides the memory and the descriptors of a VM between the clients of its
// listeners, so that all of them together take no more than there is.
package machine

import (
	"cmp"
	"encoding/json"
	"fmt"
	"runtime/debug"

	"github.com/pimentohinge/pimentohinge/internal/headlimit"
	"github.com/pimentohinge/pimentohinge/internal/heapgate"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/internal/problem"
)

// Shares of the memory.
const (
	// callerHeadsDivisor limits the heads of callers' requests to one eighth of the memory, and
	// callerConnsDivisor their connections to one fourth.
	callerHeadsDivisor = 8
	callerConnsDivisor = 4
	// internalDivisor limits the heads at each other listener, and the connections there, to 1/64 of
	// the memory each.
	internalDivisor = 64
	// bodiesDivisor limits request bodies that are buffered to one sixth of the memory, and response
	// bodies to another sixth.
	bodiesDivisor = 6
	// recordsDivisor limits each kind of record of requests that have ended to 1/16 of the memory.
	recordsDivisor = 16
	// connBytes is the memory of one connection without the heads and bodies of its requests.
	connBytes = 32 << 10
)

// Shares of the descriptors.
const (
	// reservedDescriptors are not available for clients' connections.
	reservedDescriptors = 200
	// callersShare is the part of the others that callers get: a request in progress takes a second
	// descriptor. internalShare is the part of each other listener.
	callersShare  = 2
	internalShare = 8
	// minConns is the least number of connections of a listener.
	minConns = 8
)

const (
	// smallMachine is the memory below which the receive buffers of callers' connections are small:
	// what they hold counts, and the system's own limit on all of them together is too high.
	smallMachine    = 1 << 30
	smallReadBuffer = 16 << 10
)

// retryAfterS is the advised delay in seconds after a head was refused.
const retryAfterS = 1

// Machine is what a process may take. Bytes is above 0.
type Machine struct {
	// Bytes is the memory in bytes.
	Bytes int64
	// Descriptors is the number of descriptors; 0 means that only the memory limits connections.
	Descriptors int
	// ConnBytes is the memory of one connection of a caller without the heads and bodies of its
	// requests, but with the connection to a backend server; 0 means 32 KiB.
	ConnBytes int64
	// BodiesDivisor is the part of the memory that request bodies may take, and response bodies; 0 means
	// a sixth.
	BodiesDivisor int64
}

// With returns the machine with the given memory in megabytes and descriptors in place of its own,
// unless they are 0.
func (m Machine) With(memoryMb, descriptors int) Machine {
	if memoryMb > 0 {
		m.Bytes = int64(memoryMb) << 20
	}
	if descriptors > 0 {
		m.Descriptors = descriptors
	}
	return m
}

const (
	// programBytes is the resident memory of the program without its heap. gcPercent is the soft limit
	// of what the Go runtime takes, as a share of the rest of the memory; near it the garbage collector
	// runs more often. The runtime gets 1/minGCDivisor of the memory at least.
	programBytes = 16 << 20
	gcPercent    = 60
	minGCDivisor = 4
)

// LimitGC sets the soft memory limit of the Go runtime.
func (m Machine) LimitGC() { debug.SetMemoryLimit(m.runtimeBytes()) }

// Heap returns a gate that delays allocations while the heap takes all that the Go runtime should.
func (m Machine) Heap() *heapgate.Gate { return heapgate.ForProcess(m.runtimeBytes()) }

func (m Machine) runtimeBytes() int64 {
	return max(m.Bytes/minGCDivisor, (m.Bytes-programBytes)/100*gcPercent)
}

// RecordBytes returns the memory for each kind of record that is kept of requests that have ended, and
// for decoding request bodies.
func (m Machine) RecordBytes() int64 { return m.Bytes / recordsDivisor }

// BodyBytes returns the memory for request bodies, and for response bodies.
func (m Machine) BodyBytes() int64 { return m.Bytes / cmp.Or(m.BodiesDivisor, bodiesDivisor) }

// ReadBuffer returns the size of the receive buffers of callers' connections; 0 means the system's.
func (m Machine) ReadBuffer() int {
	if m.Bytes < smallMachine {
		return smallReadBuffer
	}
	return 0
}

// Callers returns the limits of the listener for callers.
func (m Machine) Callers() headlimit.Options {
	return headlimit.Options{
		MaxConns: m.conns(callerConnsDivisor, callersShare), MemoryBytes: m.Bytes / callerHeadsDivisor, Refusal: refusal(),
	}
}

// Internal returns the limits of each listener for readiness checks, metrics or operators.
func (m Machine) Internal() headlimit.Options {
	return headlimit.Options{
		MaxConns: m.conns(internalDivisor, internalShare), MemoryBytes: m.Bytes / internalDivisor, Refusal: refusal(),
	}
}

// Peers returns the limits of the listener for other VMs. Links that are open do not count.
func (m Machine) Peers() headlimit.Options {
	options := m.Internal()
	options.Handshakes = true
	return options
}

// conns returns the number of connections that fit into a part of the memory and of the descriptors.
func (m Machine) conns(memoryDivisor int64, share int) int {
	conns := max(minConns, int(m.Bytes/memoryDivisor/cmp.Or(m.ConnBytes, connBytes)))
	if m.Descriptors > 0 {
		conns = min(conns, max(minConns, (m.Descriptors-reservedDescriptors)/share))
	}
	return conns
}

// refusal returns the response to a head for which there is no memory.
func refusal() []byte {
	body, err := json.Marshal(problem.New("", outcome.Refuse(outcome.HeadsFull, "")))
	if err != nil {
		body = nil
	}
	return fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: %s\r\nRetry-After: %d\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		problem.ContentType, retryAfterS, len(body), body)
}
