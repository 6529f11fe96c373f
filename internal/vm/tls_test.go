package vm_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/logline"
	"github.com/pimentohinge/pimentohinge/internal/settings"
	"github.com/pimentohinge/pimentohinge/internal/standin/fleet"
)

// testCA is a certificate authority that issues certificates for 127.0.0.1.
type testCA struct {
	t    *testing.T
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	file string
}

func newTestCA(t *testing.T, name string) *testCA {
	ca := &testCA{t: t, dir: t.TempDir()}
	ca.key = newKey(t)
	ca.cert = &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	ca.file = ca.writePEM(name+".pem", "CERTIFICATE", ca.sign(ca.cert, &ca.key.PublicKey))
	return ca
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func (ca *testCA) sign(template *x509.Certificate, key *ecdsa.PublicKey) []byte {
	der, err := x509.CreateCertificate(rand.Reader, template, ca.cert, key, ca.key)
	if err != nil {
		ca.t.Fatal(err)
	}
	return der
}

func (ca *testCA) writePEM(name, kind string, der []byte) string {
	file := filepath.Join(ca.dir, name)
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		ca.t.Fatal(err)
	}
	return file
}

// issue creates a certificate and its key and returns their file names.
func (ca *testCA) issue(name string) (cert, key string) {
	k := newKey(ca.t)
	der := ca.sign(&x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, &k.PublicKey)
	keyDER, err := x509.MarshalPKCS8PrivateKey(k)
	if err != nil {
		ca.t.Fatal(err)
	}
	return ca.writePEM(name+".pem", "CERTIFICATE", der), ca.writePEM(name+".key", "PRIVATE KEY", keyDER)
}

// configureTLS changes a VM's settings to mutual TLS with a certificate of the CA.
func (ca *testCA) configureTLS(s *settings.Settings) {
	s.TLS.PeerCA = ca.file
	s.TLS.Certificate, s.TLS.Key = ca.issue(s.VM.Name)
}

func startFleet(t *testing.T, vms int, change func(*settings.Settings)) *fleet.Fleet {
	t.Helper()
	f, err := fleet.Start(fleet.Options{
		Hosts: fleet.NewLoopback(), Log: logline.New(io.Discard, "error"), Settings: change,
		DataCentres: []fleet.DataCentre{{Name: "walsall-a-1", Region: "walsall-a", VMs: vms, Engines: 1}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Kill)
	return f
}

// TestFleetServesOverTLS checks that VMs with certificates serve callers and
// operators over HTTPS and connect to each other.
func TestFleetServesOverTLS(t *testing.T) {
	ca := newTestCA(t, "fleet")
	testFleet := startFleet(t, 2, ca.configureTLS)
	if err := testFleet.AwaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := testFleet.Configure(t.Context()); err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(parseCertificate(t, ca.file))
	secure := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	for url, want := range map[string]int{
		strings.Replace(testFleet.VMs[0].CallerURL, "http:", "https:", 1) + "/v1/models":  http.StatusUnauthorized,
		strings.Replace(testFleet.VMs[0].OperatorURL, "http:", "https:", 1) + "/readyz":   http.StatusOK,
		strings.Replace(testFleet.VMs[0].OperatorURL, "http:", "https:", 1) + "/v1/view":  http.StatusUnauthorized,
		strings.Replace(testFleet.VMs[1].CallerURL, "http:", "https:", 1) + "/v1/streams": http.StatusUnauthorized,
	} {
		resp, err := secure.Get(url)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != want {
			t.Errorf("%s: got status %d", url, resp.StatusCode)
		}
		// The other VM can get the timeline only over the peer link.
		if id := resp.Header.Get("X-Request-Id"); strings.HasPrefix(url, strings.Replace(testFleet.VMs[0].CallerURL, "http:", "https:", 1)) {
			if _, found := testFleet.VMs[1].Explain(t.Context(), id); !found {
				t.Error("the other VM cannot explain the request")
			}
		}
	}
}

func parseCertificate(t *testing.T, file string) *x509.Certificate {
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	block, _ := pem.Decode(data)
	c, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// peerPortResponse sends an HTTP request to a VM's peer port with a certificate that the
// issuer signed, and returns the first byte of the response.
func peerPortResponse(t *testing.T, f *fleet.Fleet, fleetCA, issuer *testCA) (byte, error) {
	t.Helper()
	cert, key := issuer.issue("client-vm")
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(parseCertificate(t, fleetCA.file))
	conn, err := tls.Dial("tcp", f.VMs[0].Self().PeerAddress, &tls.Config{RootCAs: pool, Certificates: []tls.Certificate{pair}})
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: vm\r\n\r\n"); err != nil {
		return 0, err
	}
	// With TLS 1.3 the client sees a rejection only at its first read.
	first := make([]byte, 1)
	_, err = conn.Read(first)
	return first[0], err
}

// TestPeerPortRejectsCertificateOfAnotherCA sends requests to a VM's peer port. The VM
// must answer one with a certificate of the fleet's CA. It must reject a certificate of
// another CA during the TLS handshake, which the client sees as an alert.
func TestPeerPortRejectsCertificateOfAnotherCA(t *testing.T) {
	fleetCA, otherCA := newTestCA(t, "fleet"), newTestCA(t, "stranger")
	f := startFleet(t, 1, fleetCA.configureTLS)
	if first, err := peerPortResponse(t, f, fleetCA, fleetCA); err != nil || first != 'H' {
		t.Fatalf("certificate of the fleet's CA: response begins with %q, %v", first, err)
	}
	first, err := peerPortResponse(t, f, fleetCA, otherCA)
	var alert *net.OpError
	if !errors.As(err, &alert) || alert.Op != "remote error" {
		t.Errorf("certificate of another CA: response begins with %q, %v, want a TLS alert", first, err)
	}
}
