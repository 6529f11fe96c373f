package headflood_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
)

// smallBuffer is the size of the buffer of a caller that does not read.
const smallBuffer = 4 << 10

// TestCallersThatDoNotRead lets as many callers as a VM takes ask for responses that they do not read.
func TestCallersThatDoNotRead(t *testing.T) {
	v := startVM(t, build(t), maxDescriptors)
	crowd := crowdPlan{addr: callers, size: crowdSize, rounds: 1, unread: true, write: func(conn net.Conn, member, _ int) error {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(smallBuffer)
		}
		request := strings.Replace(head(fmt.Sprintf("long-%d", member)), "/lookup/", "/long/", 1) + "\r\n"
		_, err := io.WriteString(conn, strings.Repeat(request, pipelined))
		return err
	}}.run()
	checkServes(t, "unread")
	crowd.end()
	v.checkAndKill(machine)
}

// TestStreamsThatAreNotRead lets callers ask for streams that they do not read.
func TestStreamsThatAreNotRead(t *testing.T) {
	v := startVM(t, build(t), manyDescriptors)
	crowd := crowdPlan{addr: callers, size: crowdSize, rounds: 1, unread: true, write: func(conn net.Conn, member, _ int) error {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(smallBuffer)
		}
		_, err := io.WriteString(conn, strings.Replace(head(fmt.Sprintf("stream-%d", member)), "/lookup/", "/events/", 1)+"\r\n")
		return err
	}}.run()
	checkServes(t, "streams")
	crowd.end()
	v.checkAndKill(limits{memoryMb, manyDescriptors})
}
