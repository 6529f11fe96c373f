package headflood_test

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control/configchain"
	"github.com/pimentohinge/pimentohinge/internal/standin/store"
)

const (
	platformAddr   = "127.9.3.1:7100"
	backendAddr    = "127.9.3.2:7101"
	serveCallers   = "127.9.3.3:7001"
	servePeers     = "127.9.3.3:7002"
	serveOperators = "127.9.3.3:7003"
	operatorKey    = "flood-operator"
	workspaceKey   = "flood-workspace"

	// serveHeadBytes is the length of the heads of the crowds at the serve command.
	serveHeadBytes = 30_000
	// bodyBytes is the longest body that the serve command accepts by default.
	bodyBytes = 1 << 20
	// pathCrowd and pathRounds are the callers that ask for long paths, and their requests.
	pathCrowd  = 100
	pathRounds = 80
	// modelRequests is the number of requests for a model with a long name.
	modelRequests = 150
	// ticketCalls is the number of calls with a ticket whose response has largeBytes.
	ticketCalls = 150
	largeBytes  = 1 << 20
	// helloRecordBytes is the length of the records of a TLS handshake.
	helloRecordBytes = 16_000
)

// startBackend starts a plain service whose responses have largeBytes at /large.
func startBackend(t *testing.T) {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("/large", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, largeBytes)) })
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "done")
	})
	listenAndServe(t, backendAddr, mux)
}

// serveVM is a process of the serve command.
type serveVM struct {
	*process
	client *http.Client
	scheme string
}

// startServe starts a platform, a plain service and a VM of the serve command, with a workspace that
// may use the service. certificate is nil for plain HTTP.
func startServe(t *testing.T, program string, certificate *certificate, descriptors int) *serveVM {
	t.Helper()
	platform := store.New()
	listenAndServe(t, platformAddr, platform.Handler())
	startBackend(t)
	platform.Set("backends/tags-1", object{
		"name": "tags-1", "service": "tags", "kind": "plain", "address": backendAddr, "region": "region-a", "dataCentre": "dc-a", "state": "live",
	})
	platform.Set("backends/engine-1", object{
		"name": "engine-1", "service": "writer", "kind": "engine", "address": engineAddr, "region": "region-a", "dataCentre": "dc-a", "state": "live",
	})
	settings := object{
		"vm":       object{"name": "vm-1", "region": "region-a", "dataCentre": "dc-a"},
		"listen":   object{"callers": serveCallers, "peers": servePeers, "operators": serveOperators},
		"platform": object{"address": "http://" + platformAddr},
		"peers":    object{"key": "flood-peers-0123456789"}, "operators": object{"keys": []object{{"name": "operator-1", "key": operatorKey}}},
		"log":      object{"level": "error"},
		"memoryMb": memoryMb, "maxDescriptors": descriptors,
	}
	v := &serveVM{client: &http.Client{Timeout: crowdTimeout, Transport: &http.Transport{DisableKeepAlives: true}}, scheme: "http"}
	if certificate != nil {
		settings["tls"] = object{"certificate": certificate.certificateFile, "key": certificate.keyFile, "peerCa": certificate.certificateFile}
		v.client.Transport = &http.Transport{DisableKeepAlives: true, TLSClientConfig: certificate.client}
		v.scheme = "https"
	}
	data, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "vm.json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
	ready := func() bool {
		status, _ := v.get(serveOperators, "/readyz", operatorKey)
		return status == http.StatusOK
	}
	v.process = start(t, io.Discard, ready, program, "serve", "--settings", file)
	note := object{"id": "flood-1", "author": "", "added": object{
		"services":   []object{{"name": "tags", "kind": "plain"}, {"name": "writer", "kind": "model", "model": model}},
		"workspaces": []object{{"name": "flood", "keyHashes": []string{configchain.KeyHash(workspaceKey)}, "services": []string{"tags", "writer"}}},
	}}
	body, err := json.Marshal(note)
	if err != nil {
		t.Fatal(err)
	}
	if status, text := v.do(http.MethodPost, serveOperators, "/v1/releases", operatorKey, bytes.NewReader(body), nil); status != http.StatusOK {
		t.Fatalf("release note: status %d, %s", status, text)
	}
	if !eventually(v.served) {
		t.Fatal("no request was served before the crowd")
	}
	return v
}

func (v *serveVM) get(addr, path, key string) (status int, body []byte) {
	return v.do(http.MethodGet, addr, path, key, nil, nil)
}

// do sends a request and returns the status and the body of the response, or 0.
func (v *serveVM) do(method, addr, path, key string, body io.Reader, header http.Header) (status int, text []byte) {
	req, err := http.NewRequest(method, v.scheme+"://"+addr+path, body)
	if err != nil {
		return 0, nil
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := v.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ = io.ReadAll(resp.Body)
	return resp.StatusCode, text
}

// served reports whether an ordinary request of a caller is answered.
func (v *serveVM) served() bool {
	status, _ := v.get(serveCallers, "/services/tags/entries", workspaceKey)
	return status == http.StatusOK
}

// check checks that ordinary requests of callers and operators are answered.
func (v *serveVM) check() {
	v.t.Helper()
	if !eventually(v.served) {
		v.t.Error("an ordinary request got no response of a service")
	}
	if !eventually(func() bool {
		status, _ := v.get(serveOperators, "/readyz", operatorKey)
		return status == http.StatusOK
	}) {
		v.t.Error("a readiness check got no response")
	}
}

// heldServeHead writes a head without the blank line at its end.
func heldServeHead(conn net.Conn, _, _ int) error {
	request := []byte("GET /v1/models HTTP/1.1\r\nHost: a\r\n")
	for i := 0; len(request) < serveHeadBytes; i++ {
		request = append(request, shapes["distinct"](i)...)
	}
	_, err := conn.Write(append(request, '\r'))
	return err
}

// heldServeBody writes a request with the longest body without its last byte.
func heldServeBody(conn net.Conn, _, _ int) error {
	_, err := io.WriteString(conn, fmt.Sprintf("POST /services/tags/entries HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		workspaceKey, bodyBytes, strings.Repeat("x", bodyBytes-1)))
	return err
}

// manyMessages writes a chat request with as many messages as fit into the longest body.
func manyMessages(conn net.Conn, _, _ int) error {
	body := `{"model":"x","messages":[{}` + strings.Repeat(",{}", (bodyBytes-64)/len(",{}")) + "]}"
	_, err := io.WriteString(conn, fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		workspaceKey, len(body), body))
	return err
}

// unreadResponses asks for long responses.
func unreadResponses(conn net.Conn, _, _ int) error {
	_, err := io.WriteString(conn, "GET /services/tags/large HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer "+workspaceKey+"\r\n\r\n")
	return err
}

// longPaths writes requests without a key for paths that do not exist.
func longPaths(conn net.Conn, _, _ int) error {
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	for range pathRounds {
		if _, err := io.WriteString(conn, "GET /"+strings.Repeat("x", headBytes)+" HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			return err
		}
	}
	return nil
}

// heldHandshake writes most of the first message of a TLS handshake.
func heldHandshake(conn net.Conn, _, _ int) error {
	const messageBytes = 4 * helloRecordBytes
	message := append([]byte{1, messageBytes >> 16, messageBytes >> 8 & 0xff, messageBytes & 0xff}, make([]byte, messageBytes-1)...)
	for len(message) > 0 {
		n := min(len(message), helloRecordBytes)
		record := append([]byte{22, 3, 1, byte(n >> 8), byte(n & 0xff)}, message[:n]...)
		if _, err := conn.Write(record); err != nil {
			return err
		}
		message = message[n:]
	}
	return nil
}

// serveCrowd is a crowd at a process of the serve command.
type serveCrowd struct {
	name        string
	descriptors int
	plan        crowdPlan
}

// checkServeCrowds lets each crowd arrive at a process of its own. certificate is nil for plain HTTP.
func checkServeCrowds(t *testing.T, certificate *certificate, crowds []serveCrowd) {
	t.Helper()
	program := build(t)
	for _, c := range crowds {
		t.Run(c.name, func(t *testing.T) {
			v := startServe(t, program, certificate, c.descriptors)
			crowd := c.plan.run()
			v.check()
			crowd.end()
			v.checkAndKill(limits{memoryMb, c.descriptors})
		})
	}
}

// TestCrowdsAtServe guards against clients that take a process of the serve command beyond the memory
// or the descriptors of its machine.
func TestCrowdsAtServe(t *testing.T) {
	checkServeCrowds(t, nil, []serveCrowd{
		{"callers", maxDescriptors, crowdPlan{addr: serveCallers, size: crowdSize, rounds: crowdRounds, write: heldServeHead}},
		{"operators", maxDescriptors, crowdPlan{addr: serveOperators, size: crowdSize, rounds: crowdRounds, write: heldServeHead}},
		{"peers", maxDescriptors, crowdPlan{addr: servePeers, size: crowdSize, rounds: crowdRounds, write: heldServeHead}},
		{"peersHello", maxDescriptors, crowdPlan{addr: servePeers, size: helloCrowd, rounds: crowdRounds, write: heldHello}},
		{"bodies", manyDescriptors, crowdPlan{addr: serveCallers, size: crowdSize, rounds: 1, write: heldServeBody}},
		{"messages", manyDescriptors, crowdPlan{addr: serveCallers, size: crowdSize, rounds: 1, write: manyMessages}},
		{"responses", manyDescriptors, crowdPlan{addr: serveCallers, size: crowdSize, rounds: 1, unread: true, write: unreadResponses}},
		{"bodiesThatDoNotCome", maxDescriptors, crowdPlan{addr: serveCallers, size: crowdSize, rounds: 1, unread: true, write: announceBody("POST /services/tags/entries", "Authorization: Bearer "+workspaceKey+"\r\n")}},
		{"refusedBodies", maxDescriptors, crowdPlan{addr: serveCallers, size: crowdSize, rounds: 1, unread: true, write: announceBody("POST /services/tags/entries", "")}},
		{"operatorsBodies", maxDescriptors, crowdPlan{addr: serveOperators, size: crowdSize, rounds: 1, unread: true, write: announceBody("POST /v1/releases", "")}},
		{"paths", manyDescriptors, crowdPlan{addr: serveCallers, size: pathCrowd, rounds: 1, write: longPaths}},
	})
}

// TestCrowdsAtAllListenersOfServeAtOnce lets crowds arrive at all listeners at the same time.
func TestCrowdsAtAllListenersOfServeAtOnce(t *testing.T) {
	program := build(t)
	for _, descriptors := range []int{maxDescriptors, manyDescriptors} {
		t.Run(strconv.Itoa(descriptors), func(t *testing.T) {
			v := startServe(t, program, nil, descriptors)
			var crowds []*crowdRun
			for _, plan := range []crowdPlan{
				{addr: serveOperators, size: crowdSize, rounds: crowdRounds, write: heldServeHead},
				{addr: servePeers, size: crowdSize, rounds: crowdRounds, write: heldServeHead},
				{addr: servePeers, size: helloCrowd, rounds: crowdRounds, write: heldHello},
				{addr: serveCallers, size: crowdSize, rounds: crowdRounds, write: heldServeHead},
				{addr: serveCallers, size: crowdSize, rounds: 1, write: heldServeBody},
				{addr: serveCallers, size: crowdSize, rounds: 1, write: manyMessages},
				{addr: serveCallers, size: crowdSize, rounds: 1, unread: true, write: unreadResponses},
			} {
				crowds = append(crowds, plan.run())
			}
			for _, crowd := range crowds {
				crowd.end()
			}
			v.check()
			v.checkAndKill(limits{memoryMb, descriptors})
		})
	}
}

// TestCrowdsAtServeWithTLS does the same on listeners with TLS.
func TestCrowdsAtServeWithTLS(t *testing.T) {
	certificate := newCertificate(t)
	checkServeCrowds(t, certificate, []serveCrowd{
		{"callers", maxDescriptors, crowdPlan{addr: serveCallers, size: crowdSize, rounds: crowdRounds, tls: certificate.client, write: heldServeHead}},
		{"operators", maxDescriptors, crowdPlan{addr: serveOperators, size: crowdSize, rounds: crowdRounds, tls: certificate.client, write: heldServeHead}},
		{"callersHandshake", manyDescriptors, crowdPlan{addr: serveCallers, size: crowdSize, rounds: crowdRounds, write: heldHandshake}},
		{"peersHandshake", manyDescriptors, crowdPlan{addr: servePeers, size: crowdSize, rounds: crowdRounds, write: heldHandshake}},
		{"operatorsHandshake", manyDescriptors, crowdPlan{addr: serveOperators, size: crowdSize, rounds: crowdRounds, write: heldHandshake}},
	})
}

// TestWhatRequestsToServeLeaveBehind sends requests one after the other, of each of which the process
// keeps a record.
func TestWhatRequestsToServeLeaveBehind(t *testing.T) {
	program := build(t)
	for _, c := range []struct {
		name     string
		requests int
		send     func(v *serveVM)
	}{
		{"models", modelRequests, func(v *serveVM) {
			body := `{"prompt":"x","model":"` + strings.Repeat("x", bodyBytes-64) + `"}`
			v.do(http.MethodPost, serveCallers, "/v1/completions", workspaceKey, strings.NewReader(body), nil)
		}},
		{"tickets", ticketCalls, func(v *serveVM) {
			_, text := v.do(http.MethodPost, serveCallers, "/v1/tickets", workspaceKey, nil, nil)
			var issued struct{ Ticket string }
			if err := json.Unmarshal(text, &issued); err != nil {
				v.t.Errorf("ticket: %v in %q", err, text)
			}
			status, _ := v.do(http.MethodPost, serveCallers, "/services/tags/large", workspaceKey, nil, http.Header{"Idempotency-Ticket": {issued.Ticket}})
			if status != http.StatusOK {
				v.t.Errorf("call with a ticket: status %d", status)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := startServe(t, program, nil, maxDescriptors)
			for range c.requests {
				c.send(v)
			}
			v.check()
			v.checkAndKill(machine)
		})
	}
}

// TestLargestRequestToServeIsServedInCalm sends one request with the largest head and the longest body.
func TestLargestRequestToServeIsServedInCalm(t *testing.T) {
	v := startServe(t, build(t), nil, maxDescriptors)
	header := http.Header{}
	for i, n := 0, 0; n < serveHeadBytes-1000; i++ {
		line := shapes["distinct"](i)
		header[http.CanonicalHeaderKey("x"+strings.TrimSuffix(line, ":\r\n"))] = []string{""}
		n += len(line) + 2
	}
	status, text := v.do(http.MethodPost, serveCallers, "/services/tags/entries", workspaceKey, bytes.NewReader(make([]byte, bodyBytes)), header)
	if status != http.StatusOK {
		t.Errorf("status %d, %s", status, text)
	}
	v.checkAndKill(machine)
}

// certificate is a certificate that signs itself, in files for a VM and as the settings of clients.
type certificate struct {
	certificateFile, keyFile string
	client                   *tls.Config
}

func newCertificate(t *testing.T) *certificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign, IPAddresses: []net.IP{net.ParseIP("127.9.3.3")},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	c := &certificate{certificateFile: filepath.Join(dir, "cert.pem"), keyFile: filepath.Join(dir, "key.pem")}
	for file, block := range map[string]*pem.Block{
		c.certificateFile: {Type: "CERTIFICATE", Bytes: der}, c.keyFile: {Type: "PRIVATE KEY", Bytes: keyDER},
	} {
		if err := os.WriteFile(file, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	parsed, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	c.client = &tls.Config{RootCAs: pool, ServerName: "127.9.3.3", MinVersion: tls.VersionTLS12}
	return c
}
