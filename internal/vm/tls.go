package vm

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/settings"
)

// certificateCheckInterval is the minimum time between checks of the certificate
// file for changes.
const certificateCheckInterval = 10 * time.Second

// certReloader holds a certificate and reloads it when its file changes.
type certReloader struct {
	settings settings.TLS

	mu        sync.Mutex
	current   *tls.Certificate
	modTime   time.Time
	nextCheck time.Time
}

// get implements tls.Config.GetCertificate. If reloading fails, it returns the
// certificate loaded before.
func (c *certReloader) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); !now.Before(c.nextCheck) {
		c.nextCheck = now.Add(certificateCheckInterval)
		if err := c.reload(); err != nil && c.current == nil {
			return nil, err
		}
	}
	return c.current, nil
}

func (c *certReloader) reload() error {
	info, err := os.Stat(c.settings.Certificate)
	if err != nil {
		return eris.Wrap(err, "stat certificate")
	}
	if c.current != nil && info.ModTime().Equal(c.modTime) {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(c.settings.Certificate, c.settings.Key)
	if err != nil {
		return eris.Wrap(err, "load certificate")
	}
	c.current, c.modTime = &pair, info.ModTime()
	return nil
}

// serverTLS returns the TLS configuration for callers and operators, or nil if the settings name no
// certificate.
func serverTLS(s settings.TLS) (*tls.Config, error) {
	if s.Certificate == "" {
		return nil, nil
	}
	c := &certReloader{settings: s}
	if _, err := c.get(nil); err != nil {
		return nil, err
	}
	return &tls.Config{GetCertificate: c.get, MinVersion: tls.VersionTLS12}, nil
}

// peerTLS returns the TLS configuration for peer links, which both sides use: each
// presents its certificate and verifies that the other's is signed by the CA of
// the fleet. It returns nil if the settings name no CA.
func peerTLS(s settings.TLS) (*tls.Config, error) {
	if s.PeerCA == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(s.PeerCA)
	if err != nil {
		return nil, eris.Wrap(err, "read peer CA")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, eris.New("peer CA file contains no certificate: " + s.PeerCA)
	}
	c := &certReloader{settings: s}
	if _, err := c.get(nil); err != nil {
		return nil, err
	}
	return &tls.Config{
		GetCertificate: c.get,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return c.get(nil)
		},
		RootCAs: pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}, nil
}
