package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// writeRaw writes a response that net/http cannot produce.
func (r *Replica) writeRaw(w http.ResponseWriter, attempt, body string, fault Fault) {
	conn := hijack(w)
	format := func(id, text string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Pimentohinge-Attempt-Id: %s\r\nX-Pimentohinge-Response-Stamp: s\r\nContent-Length: %d\r\n\r\n%s", id, len(text), text)
	}
	switch fault {
	case TruncatesBody:
		response := format(attempt, body)
		_, _ = io.WriteString(conn, response[:len(response)-3])
	case FailsAsBusy:
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Pimentohinge-Attempt-Id: %s\r\nX-Pimentohinge-Response-Stamp: s\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n", attempt)
	case StopsInHeader:
		header := rawStream(attempt, 0)
		if r.opts.Engine == nil {
			header, _, _ = strings.Cut(format(attempt, body), "\r\n\r\n")
		}
		_, _ = io.WriteString(conn, strings.TrimRight(header, "\r\n")+"\r\n")
	case SendsStatus:
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nX-Pimentohinge-Attempt-Id: %s\r\nX-Pimentohinge-Response-Stamp: s\r\nContent-Length: %d\r\n\r\n%s",
			r.opts.StatusLine(attempt), attempt, len(body), body)
		_, _ = io.Copy(io.Discard, conn)
	case SendsRaw:
		_, _ = io.WriteString(conn, r.opts.RawResponse(attempt))
		_, _ = io.Copy(io.Discard, conn)
	case SendsMalformed:
		_, _ = io.WriteString(conn, "\x00\x01 no answer\r\n\r\n")
	case SendsEndlessHeader:
		sendEndless(conn, "HTTP/1.1 200 OK\r\nX-Name: ", endlessBlock, 0)
	case SendsEndlessBody:
		sendEndless(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Pimentohinge-Attempt-Id: %s\r\nX-Pimentohinge-Response-Stamp: s\r\n\r\n", attempt), endlessBlock, 0)
	case SendsEndlessEvent:
		sendEndless(conn, endlessEventStart(attempt), endlessBlock, 0)
	case DripsEndlessEvent:
		sendEndless(conn, endlessEventStart(attempt), 1, time.Second)
	case HoldsLongEvent:
		_, _ = io.WriteString(conn, endlessEventStart(attempt)+strings.Repeat("x", LongEventBytes))
		_, _ = io.Copy(io.Discard, conn)
	case StreamEndsWithConnection:
		_, _ = io.WriteString(conn, rawStream(attempt, RawStreamEvents))
	case StreamEndsInsideEvent:
		stream := rawStream(attempt, RawStreamEvents)
		_, _ = io.WriteString(conn, stream[:len(stream)-1])
	case StreamEndsBeforeEvents:
		_, _ = io.WriteString(conn, rawStream(attempt, 0))
	case ResetsEarly, EndsEarly:
		r.respondEarly(conn, attempt, fault)
	case CloseDelimited:
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Pimentohinge-Attempt-Id: %s\r\nX-Pimentohinge-Response-Stamp: s\r\n\r\n%s", attempt, body)
	case SendsExtraResponse:
		r.sendExtra(conn, format(attempt, body), format("ffffffffffffffff", "answer to nobody"), format)
		return
	}
	_ = conn.Close()
}

// earlyPart is the part of an early response that ResetsEarly sends.
const earlyPart = 3

// respondEarly responds to a request whose body has not been read. A stream has RawStreamEvents events.
func (r *Replica) respondEarly(conn net.Conn, attempt string, fault Fault) {
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Pimentohinge-Attempt-Id: %s\r\nX-Pimentohinge-Response-Stamp: s\r\n\r\n%s", attempt, ResponseBody(attempt))
	part := response[:len(response)-earlyPart]
	if r.opts.Engine != nil {
		response, part = rawStream(attempt, RawStreamEvents), rawStream(attempt, RawStreamEvents-earlyPart)
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		panic("upstream: early responses need TCP")
	}
	if fault == ResetsEarly {
		_, _ = io.WriteString(tcp, part)
		_ = tcp.SetLinger(0)
		return
	}
	_, _ = io.WriteString(tcp, response)
	_ = tcp.CloseWrite()
	_, _ = io.Copy(io.Discard, tcp)
}

// endlessBlock is the number of bytes in one write of a response without end.
const endlessBlock = 4096

// rawStream returns the header of an event stream that has neither a length nor chunks, and
// its events.
func rawStream(attempt string, events int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Pimentohinge-Attempt-Id: %s\r\n"+
		"X-Pimentohinge-Response-Stamp: s\r\n\r\n", attempt)
	for i := range events {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", i+1, EventData(attempt, i+1))
	}
	return b.String()
}

func endlessEventStart(attempt string) string { return rawStream(attempt, 0) + "id: 1\ndata: " }

// sendEndless sends start and then blocks of the given size, with a pause before each,
// until the connection is closed.
func sendEndless(conn net.Conn, start string, size int, pause time.Duration) {
	_, err := io.WriteString(conn, start)
	block := []byte(strings.Repeat("x", size))
	for err == nil {
		time.Sleep(pause)
		_, err = conn.Write(block)
	}
}

// sendExtra sends a response and, 5 ms later, an unrequested one. It keeps the
// connection open and serves later requests on it correctly.
func (r *Replica) sendExtra(conn net.Conn, response, extra string, format func(id, text string) string) {
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, response)
	time.Sleep(5 * time.Millisecond)
	_, _ = io.WriteString(conn, extra)
	r.serveRaw(conn, func(attempt string) { _, _ = io.WriteString(conn, format(attempt, ResponseBody(attempt))) })
}

// serveRaw runs the further requests on a connection and passes each to respond.
func (r *Replica) serveRaw(conn net.Conn, respond func(attempt string)) {
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		attempt := req.Header.Get("X-Pimentohinge-Attempt-Id")
		r.cluster.recordEnd(r.cluster.recordStart(Run{Attempt: attempt, Replica: r.opts.ID}), 0)
		respond(attempt)
	}
}

// repeatRefusal sends a refusal, and once more when the next request on the connection has
// begun to run.
func (r *Replica) repeatRefusal(w http.ResponseWriter, refused string, withID bool) {
	conn := hijack(w)
	defer func() { _ = conn.Close() }()
	refusal := "HTTP/1.1 503 Service Unavailable\r\nX-Pimentohinge-Not-Executed: 1\r\nContent-Length: 0\r\n"
	if withID {
		refusal += "X-Pimentohinge-Attempt-Id: " + refused + "\r\n"
	}
	_, _ = io.WriteString(conn, refusal+"\r\n")
	r.serveRaw(conn, func(attempt string) {
		_, _ = io.WriteString(conn, refusal+"\r\n")
		time.Sleep(r.opts.ServiceTime)
		body := ResponseBody(attempt)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Pimentohinge-Attempt-Id: %s\r\nX-Pimentohinge-Response-Stamp: s\r\nContent-Length: %d\r\n\r\n%s", attempt, len(body), body)
	})
}
