package headflood_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

const (
	// unreadBytesSent is what a caller sends behind a request.
	unreadBytesSent = 1 << 20
	unreadPause     = 300 * time.Millisecond
)

// TestUnreadBytesOfRequests sends further requests on connections on which a request is in progress.
func TestUnreadBytesOfRequests(t *testing.T) {
	v := startVM(t, build(t), manyDescriptors)
	plan := crowdPlan{addr: callers, size: unreadCrowd, rounds: 1, unread: true, write: func(conn net.Conn, member, _ int) error {
		request := strings.Replace(head(fmt.Sprintf("first-%d", member)), "/lookup/", "/slow/", 1) + "\r\n"
		if _, err := io.WriteString(conn, request); err != nil {
			return err
		}
		// The rest is sent when the request has been read.
		time.Sleep(unreadPause)
		_, err := conn.Write(bytes.Repeat([]byte("x"), unreadBytesSent))
		return err
	}}
	crowd := plan.run()
	crowd.end()
	checkServes(t, "unread")
	v.checkAndKill(limits{memoryMb, manyDescriptors})
}
