package vm_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
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

// authority signs certificates for 127.0.0.1.
type authority struct {
	t    *testing.T
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	file string
}

func newAuthority(t *testing.T, name string) *authority {
	a := &authority{t: t, dir: t.TempDir()}
	a.key = newKey(t)
	a.cert = &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	a.file = a.write(name+".pem", "CERTIFICATE", a.sign(a.cert, &a.key.PublicKey))
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func (a *authority) sign(c *x509.Certificate, key *ecdsa.PublicKey) []byte {
	der, err := x509.CreateCertificate(rand.Reader, c, a.cert, key, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	return der
}

func (a *authority) write(name, kind string, der []byte) string {
	file := filepath.Join(a.dir, name)
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return file
}

// issue returns the files of a fresh certificate and its key.
func (a *authority) issue(name string) (cert, key string) {
	k := newKey(a.t)
	der := a.sign(&x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, &k.PublicKey)
	keyDER, err := x509.MarshalPKCS8PrivateKey(k)
	if err != nil {
		a.t.Fatal(err)
	}
	return a.write(name+".pem", "CERTIFICATE", der), a.write(name+".key", "PRIVATE KEY", keyDER)
}

func (a *authority) settings(s *settings.Settings) {
	s.TLS.PeerCA = a.file
	s.TLS.Certificate, s.TLS.Key = a.issue(s.VM.Name)
}

func start(t *testing.T, vms int, change func(*settings.Settings)) *fleet.Fleet {
	t.Helper()
	f, err := fleet.Start(fleet.Options{
		Hosts: fleet.Loopback{}, Log: logline.New(io.Discard, "error"), Settings: change,
		DataCentres: []fleet.DataCentre{{Name: "walsall-a-1", Region: "walsall-a", VMs: vms, Engines: 1}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Kill)
	return f
}

func TestFleetOverTLS(t *testing.T) {
	a := newAuthority(t, "fleet")
	f := start(t, 2, a.settings)
	if err := f.AwaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := f.Configure(t.Context()); err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(parse(t, a.file))
	secure := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	for url, want := range map[string]int{
		strings.Replace(f.VMs[0].CallerURL, "http:", "https:", 1) + "/v1/models":  http.StatusUnauthorized,
		strings.Replace(f.VMs[0].OperatorURL, "http:", "https:", 1) + "/readyz":   http.StatusOK,
		strings.Replace(f.VMs[0].OperatorURL, "http:", "https:", 1) + "/v1/view":  http.StatusUnauthorized,
		strings.Replace(f.VMs[1].CallerURL, "http:", "https:", 1) + "/v1/streams": http.StatusUnauthorized,
	} {
		resp, err := secure.Get(url)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != want {
			t.Errorf("%s: %d", url, resp.StatusCode)
		}
		// The other VM can only know of the request over the peer link.
		if id := resp.Header.Get("X-Request-Id"); strings.HasPrefix(url, strings.Replace(f.VMs[0].CallerURL, "http:", "https:", 1)) {
			if _, found := f.VMs[1].Explain(t.Context(), id); !found {
				t.Error("the other VM cannot explain the request")
			}
		}
	}
}

func parse(t *testing.T, file string) *x509.Certificate {
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

// TestPeersOfAnotherAuthority gives two VMs certificates of different
// authorities; the peer port must refuse the other's.
func TestPeersOfAnotherAuthority(t *testing.T) {
	a, b := newAuthority(t, "fleet"), newAuthority(t, "stranger")
	f := start(t, 1, a.settings)
	cert, key := b.issue("stranger-vm")
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(parse(t, a.file))
	c, err := tls.Dial("tcp", f.VMs[0].Self().PeerAddress, &tls.Config{RootCAs: pool, Certificates: []tls.Certificate{pair}})
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	// With TLS 1.3 the refusal arrives with the first read.
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("a certificate of another authority was accepted")
	}
}
