package service_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/network"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/internal/readlimit"
	"github.com/pimentohinge/pimentohinge/internal/service"
)

const (
	uploadBytes = 3 << 20
	// raceRounds is how often a case is tried whose reader and writer race.
	raceRounds = 100
)

// upload sends a call with a long body to a backend that responds without a length as soon as it has
// read the header, and then ends the connection.
func upload(t *testing.T, end func(c *net.TCPConn, request *http.Request)) (service.Response, outcome.Result) {
	t.Helper()
	address := startBackend(t, func(c net.Conn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nbody")
		end(c.(*net.TCPConn), request)
	})
	client := service.New(network.Client(network.TCP{}), readlimit.New(maxMemory, nil))
	return client.Do(t.Context(), service.Call{Address: address, Method: http.MethodPost, Path: "/x", RequestID: "r", Body: make([]byte, uploadBytes)})
}

// TestEarlyResponseThatIsReset resets the connection up to 1 ms after a part of the response, while the
// call is being sent. The call may have run, and has no response.
func TestEarlyResponseThatIsReset(t *testing.T) {
	for i := range raceRounds {
		response, result := upload(t, func(c *net.TCPConn, _ *http.Request) {
			time.Sleep(time.Duration(i%10) * 100 * time.Microsecond)
			_ = c.SetLinger(0)
			_ = c.Close()
		})
		if result.Kind != outcome.Unknown {
			t.Errorf("round %d: body %q, %+v; want an unknown outcome", i, response.Body, result)
		}
	}
}

// TestEarlyResponseThatEnds ends a response in order while the call is being sent.
func TestEarlyResponseThatEnds(t *testing.T) {
	for range raceRounds / 10 {
		response, result := upload(t, func(c *net.TCPConn, request *http.Request) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, request.Body)
		})
		if result.Kind != outcome.Finished || string(response.Body) != "body" {
			t.Errorf("body %q, %+v; want the response", response.Body, result)
		}
	}
}
