package headflood_test

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"

	"github.com/pimentohinge/pimentohinge/internal/peer"
)

const (
	// helloBytes is the length of the first message that a crowd sends to the peers' listener.
	helloBytes = 4 << 20
	// helloCrowd is the number of connections of that crowd.
	helloCrowd = 60
)

// heldHello opens a WebSocket and writes a message without its last byte.
func heldHello(conn net.Conn, _, _ int) error {
	head := "GET " + peer.Path + " HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n" +
		"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
	if _, err := io.WriteString(conn, head); err != nil {
		return err
	}
	frame := []byte{0x82, 0x80 | 127}
	frame = binary.BigEndian.AppendUint64(frame, helloBytes)
	frame = append(frame, 0, 0, 0, 0) // the mask
	_, err := conn.Write(append(frame, make([]byte, helloBytes-1)...))
	return err
}

// internalDoors are the crowds at the listeners that are not for callers.
var internalDoors = []struct {
	name string
	plan crowdPlan
}{
	{"ready", crowdPlan{addr: ready, size: crowdSize, rounds: crowdRounds, write: heldHead}},
	{"peers", crowdPlan{addr: peers, size: crowdSize, rounds: crowdRounds, write: heldHead}},
	{"metrics", crowdPlan{addr: metricsAddr, size: crowdSize, rounds: crowdRounds, write: heldHead}},
	{"readySent", crowdPlan{addr: ready, size: crowdSize, rounds: crowdRounds, write: wholeHead}},
	{"peersHello", crowdPlan{addr: peers, size: helloCrowd, rounds: crowdRounds, write: heldHello}},
}

// TestCrowdsAtInternalListeners guards against clients at the listeners for readiness checks, other
// VMs and metrics that take a process beyond the memory or the descriptors of its machine.
func TestCrowdsAtInternalListeners(t *testing.T) {
	program := build(t)
	for _, door := range internalDoors {
		t.Run(door.name, func(t *testing.T) {
			v := startVM(t, program, maxDescriptors)
			crowd := door.plan.run()
			checkServes(t, door.name)
			crowd.end()
			v.checkAndKill(machine)
		})
	}
}

// TestCrowdsAtAllListenersAtOnce lets crowds arrive at all listeners of a process at the same time, with
// as many descriptors as keep connections few and with enough for all of them.
func TestCrowdsAtAllListenersAtOnce(t *testing.T) {
	program := build(t)
	for _, descriptors := range []int{maxDescriptors, manyDescriptors} {
		t.Run(strconv.Itoa(descriptors), func(t *testing.T) {
			v := startVM(t, program, descriptors)
			var crowds []*crowdRun
			for _, door := range internalDoors {
				crowds = append(crowds, door.plan.run())
			}
			plan := crowdPlan{addr: callers, size: crowdSize, rounds: crowdRounds, write: heldHead}
			crowds = append(crowds, plan.run())
			plan.write = heldBody
			crowds = append(crowds, plan.run())
			for _, crowd := range crowds {
				crowd.end()
			}
			checkServes(t, "all")
			v.checkAndKill(limits{memoryMb, descriptors})
		})
	}
}

// heldBody writes a request with a body as long as the configuration permits, without its last byte.
func heldBody(conn net.Conn, member, round int) error {
	length := 1 << 20
	request := strings.Replace(head(fmt.Sprintf("body-%d-%d", member, round)), "GET", "POST", 1) +
		fmt.Sprintf("Content-Length: %d\r\n\r\n", length)
	_, err := conn.Write(append([]byte(request), make([]byte, length-1)...))
	return err
}
