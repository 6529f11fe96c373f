package vm

import (
	"crypto/tls"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/settings"
)

// reloadEvery bounds how often the certificate's files are looked at.
const reloadEvery = 10 * time.Second

// certificate serves a certificate and reads its files again when they change.
type certificate struct {
	settings settings.TLS

	mu       sync.Mutex
	current  *tls.Certificate
	modified time.Time
	lookAt   time.Time
}

func (c *certificate) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); !now.Before(c.lookAt) {
		c.lookAt = now.Add(reloadEvery)
		if err := c.reload(); err != nil && c.current == nil {
			return nil, err
		}
	}
	return c.current, nil
}

func (c *certificate) reload() error {
	info, err := os.Stat(c.settings.Certificate)
	if err != nil {
		return eris.Wrap(err, "look at certificate")
	}
	if c.current != nil && info.ModTime().Equal(c.modified) {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(c.settings.Certificate, c.settings.Key)
	if err != nil {
		return eris.Wrap(err, "load certificate")
	}
	c.current, c.modified = &pair, info.ModTime()
	return nil
}

func tlsListener(ln net.Listener, s settings.TLS) (net.Listener, error) {
	c := &certificate{settings: s}
	if _, err := c.get(nil); err != nil {
		return nil, err
	}
	return tls.NewListener(ln, &tls.Config{GetCertificate: c.get, MinVersion: tls.VersionTLS12}), nil
}
