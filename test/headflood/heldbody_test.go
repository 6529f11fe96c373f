package headflood_test

import (
	"fmt"
	"io"
	"net"
	"testing"
)

// announcedBytes is the length of bodies that are announced and not sent.
const announcedBytes = 1000

// announceBody returns a function that writes the head of a request whose body does not follow.
func announceBody(requestLine, header string) func(net.Conn, int, int) error {
	return func(conn net.Conn, member, round int) error {
		_, err := io.WriteString(conn, fmt.Sprintf("%s HTTP/1.1\r\nHost: %s\r\nX-Pimentohinge-Attempt-Id: body-%d-%d\r\n%sContent-Length: %d\r\n\r\n",
			requestLine, host, member, round, header, announcedBytes))
		return err
	}
}

// TestBodiesThatDoNotCome lets crowds hold back the bodies of requests that are refused or that need
// none. Each member waits for as long as the process keeps its connection.
func TestBodiesThatDoNotCome(t *testing.T) {
	program := build(t)
	for _, c := range []struct {
		name  string
		addr  string
		write func(net.Conn, int, int) error
	}{
		{"refused", callers, announceBody("POST /lookup/x", "")},
		{"accepted", callers, announceBody("POST /lookup/x", "Authorization: Token "+apiKey+"\r\n")},
		{"ready", ready, announceBody("GET /v1/ready", "")},
		{"peers", peers, announceBody("GET /other", "")},
		{"metrics", metricsAddr, announceBody("GET /metrics", "")},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := startVM(t, program, maxDescriptors)
			crowd := crowdPlan{addr: c.addr, size: crowdSize, rounds: 1, unread: true, write: c.write}.run()
			checkServes(t, c.name)
			crowd.end()
			v.checkAndKill(machine)
		})
	}
}
