package auth

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// TLS is the certificate, key and authority of a process. The files are read
// again when they change; an authority file may hold an old and a new
// authority, so that certificates can be replaced one process after another.
type TLS struct {
	certificate string
	key         string
	authority   string

	mu      sync.Mutex
	checked time.Time
	changed [3]time.Time
	cert    *tls.Certificate
	pool    *x509.CertPool
}

// OpenTLS reads the three files.
func OpenTLS(certificate, key, authority string) (*TLS, error) {
	if certificate == "" || key == "" || authority == "" {
		return nil, errors.New("tls: certificate, key and authority are set together or not at all")
	}
	ts := &TLS{certificate: certificate, key: key, authority: authority}
	if err := ts.load(); err != nil {
		return nil, err
	}
	ts.changed = ts.modTimes()
	return ts, nil
}

// Client returns the config for dialling, or nil when there is no TLS.
func (ts *TLS) Client() *tls.Config {
	if ts == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// The chain is verified below against the authorities in force at the
		// time of the handshake; the addresses of VMs are not names.
		InsecureSkipVerify: true,
		VerifyConnection:   ts.verify,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := ts.current()
			return cert, nil
		},
	}
}

// Server returns the config for listening, or nil when there is no TLS. Peers
// must show a certificate; operators need not.
func (ts *TLS) Server(peers bool) *tls.Config {
	if ts == nil {
		return nil
	}
	cfg := &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := ts.current()
			return cert, nil
		},
	}
	if peers {
		cfg.ClientAuth = tls.RequireAnyClientCert
		cfg.VerifyConnection = ts.verify
	}
	return cfg
}

func (ts *TLS) current() (*tls.Certificate, *x509.CertPool) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if now := time.Now(); now.Sub(ts.checked) > reloadEvery {
		ts.checked = now
		if changed := ts.modTimes(); changed != ts.changed && ts.load() == nil {
			ts.changed = changed
		}
	}
	return ts.cert, ts.pool
}

func (ts *TLS) load() error {
	cert, err := tls.LoadX509KeyPair(ts.certificate, ts.key)
	if err != nil {
		return fmt.Errorf("tls: read certificate: %w", err)
	}
	pem, err := os.ReadFile(ts.authority)
	if err != nil {
		return fmt.Errorf("tls: read authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return fmt.Errorf("%s: holds no certificate", ts.authority)
	}
	ts.cert = &cert
	ts.pool = pool
	return nil
}

func (ts *TLS) modTimes() [3]time.Time {
	var times [3]time.Time
	for i, path := range []string{ts.certificate, ts.key, ts.authority} {
		if info, err := os.Stat(path); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

func (ts *TLS) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("tls: the peer shows no certificate")
	}
	_, pool := ts.current()
	opts := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
	for _, cert := range state.PeerCertificates[1:] {
		opts.Intermediates.AddCert(cert)
	}
	if _, err := state.PeerCertificates[0].Verify(opts); err != nil {
		return fmt.Errorf("tls: verify the peer: %w", err)
	}
	return nil
}
