package headflood_test

import (
	"bytes"
	"net"
	"testing"
)

// pipelined is the number of requests that are written to a connection at once.
const pipelined = 20

// TestProperHeadsAreNotCalledMalformed checks that no member of a crowd gets 400 for a proper request: it
// would not send that again.
func TestProperHeadsAreNotCalledMalformed(t *testing.T) {
	program := build(t)
	for name, write := range map[string]func(net.Conn, int, int) error{
		"held": heldHead, "sent": wholeHead,
		"pipelined": func(conn net.Conn, member, round int) error {
			_, err := conn.Write(bytes.Repeat(append(crowdHead(member, round), "\r\n"...), pipelined))
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			v := startVM(t, program, maxDescriptors)
			crowd := crowdPlan{addr: callers, size: crowdSize, rounds: crowdRounds, write: write}.run()
			checkServes(t, name)
			statuses := crowd.end()
			if got := statuses["400 Bad Request"]; got > 0 {
				t.Errorf("%d proper heads got 400, all responses: %v", got, statuses)
			}
			v.checkAndKill(machine)
		})
	}
}
