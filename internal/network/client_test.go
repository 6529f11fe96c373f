package network_test

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/network"
	"github.com/pimentohinge/pimentohinge/internal/responsehead"
)

// startServer responds to the requests on each connection with the given bytes, one after the other.
func startServer(t *testing.T, responses ...string) (url string) {
	t.Helper()
	ln, err := network.TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for _, response := range responses {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					_, _ = io.WriteString(c, response)
				}
			}()
		}
	}()
	return "http://" + ln.Addr().String()
}

// get returns the body of a response.
func get(client *http.Client, url string) (string, error) {
	resp, err := client.Get(url)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

// TestClientRefusesInvalidFieldNames reads responses with invalid field names.
func TestClientRefusesInvalidFieldNames(t *testing.T) {
	for response, want := range map[string]error{
		"HTTP/1.1 200 OK\r\nX Odd: a\r\nContent-Length: 2\r\n\r\nok":                                                       responsehead.ErrFieldName,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Odd : a\r\n\r\n":                           responsehead.ErrFieldName,
		"HTTP/1.1 103 Early Hints\r\nX Odd: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok":                       responsehead.ErrFieldName,
		"HTTP/1.1 100 Continue\r\nX Odd: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok":                          responsehead.ErrFieldName,
		"HTTP/1.1 103 Early Hints\r\nX-Even: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok":                      nil,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Even, X Odd\r\n\r\n2\r\nok\r\n0\r\nX-Even: a\r\n\r\n": nil,
		"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n":            nil,
	} {
		client := network.Client(network.TCP{})
		if body, err := get(client, startServer(t, response)); !errors.Is(err, want) || err == nil && body != "ok" {
			t.Errorf("%q: body %q, error %v; want %v", response, body, err, want)
		}
		client.CloseIdleConnections()
	}
}

// TestConnectionOfInvalidResponseIsClosed sends an invalid response without a body. What follows on its
// connection must not be the next response.
func TestConnectionOfInvalidResponseIsClosed(t *testing.T) {
	client := network.Client(network.TCP{})
	defer client.CloseIdleConnections()
	url := startServer(t,
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX Odd: a\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext")
	for range 2 {
		if body, err := get(client, url); !errors.Is(err, responsehead.ErrFieldName) {
			t.Errorf("body %q, error %v", body, err)
		}
		time.Sleep(settleTime / 10)
	}
}
