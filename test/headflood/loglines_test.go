package headflood_test

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
)

const (
	// logCrowd and logRounds are the connections whose requests are logged, and the requests on each.
	logCrowd  = 100
	logRounds = 80
)

// TestLogLinesOfLongRequests sends requests with very long IDs while nothing reads the log lines.
func TestLogLinesOfLongRequests(t *testing.T) {
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = reader.Close(), writer.Close() })
	v := startVMWithOutput(t, build(t), manyDescriptors, writer)
	crowd := crowdPlan{addr: callers, size: logCrowd, rounds: 1, write: func(conn net.Conn, member, _ int) error {
		answers := make(chan struct{})
		go func() {
			defer close(answers)
			_, _ = io.Copy(io.Discard, conn)
		}()
		for round := range logRounds {
			id := fmt.Sprintf("%d-%d-", member, round)
			id += strings.Repeat("\t", headBytes-len(id))
			request := "GET /other/ HTTP/1.1\r\nHost: " + host + "\r\nX-Pimentohinge-Attempt-Id: " + id + ".\r\n\r\n"
			if _, err := io.WriteString(conn, request); err != nil {
				return err
			}
		}
		return nil
	}}.run()
	crowd.end()
	checkServes(t, "log")
	v.checkAndKill(limits{memoryMb, manyDescriptors})
}
