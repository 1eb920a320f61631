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

// TLS holds the certificate, private key and certificate authorities of a process.
// The files are reloaded when they change. The authority file may contain both an old
// and a new authority, so that certificates can be rotated one process at a time.
type TLS struct {
	certificatePath string
	keyPath         string
	authorityPath   string

	mu        sync.Mutex
	checkedAt time.Time
	modTimes  [3]time.Time
	cert      *tls.Certificate
	pool      *x509.CertPool
}

// OpenTLS loads the three files.
func OpenTLS(certificate, key, authority string) (*TLS, error) {
	if certificate == "" || key == "" || authority == "" {
		return nil, errors.New("tls: set either all of certificate, key and authority or none")
	}
	ts := &TLS{certificatePath: certificate, keyPath: key, authorityPath: authority}
	if err := ts.load(); err != nil {
		return nil, err
	}
	ts.modTimes = ts.readModTimes()
	return ts, nil
}

// Client returns the client configuration, or nil when ts is nil.
func (ts *TLS) Client() *tls.Config {
	if ts == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// VerifyConnection verifies the chain against the authorities that are
		// current at the time of the handshake. Host names are not verified, because
		// VMs are dialled by address.
		InsecureSkipVerify: true,
		VerifyConnection:   ts.verifyPeer,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := ts.current()
			return cert, nil
		},
	}
}

// Server returns the server configuration, or nil when ts is nil. If peers is set,
// clients must present a certificate; otherwise, as for operators, they need not.
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
		cfg.VerifyConnection = ts.verifyPeer
	}
	return cfg
}

// current returns the certificate and the authorities after it has reloaded the files
// if necessary. If a file is unreadable or invalid, the previous ones stay in use.
func (ts *TLS) current() (*tls.Certificate, *x509.CertPool) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if now := time.Now(); now.Sub(ts.checkedAt) > reloadInterval {
		ts.checkedAt = now
		if modTimes := ts.readModTimes(); modTimes != ts.modTimes && ts.load() == nil {
			ts.modTimes = modTimes
		}
	}
	return ts.cert, ts.pool
}

func (ts *TLS) load() error {
	cert, err := tls.LoadX509KeyPair(ts.certificatePath, ts.keyPath)
	if err != nil {
		return fmt.Errorf("tls: load certificate: %w", err)
	}
	pem, err := os.ReadFile(ts.authorityPath)
	if err != nil {
		return fmt.Errorf("tls: read authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return fmt.Errorf("%s: contains no certificate", ts.authorityPath)
	}
	ts.cert = &cert
	ts.pool = pool
	return nil
}

func (ts *TLS) readModTimes() [3]time.Time {
	var times [3]time.Time
	for i, path := range []string{ts.certificatePath, ts.keyPath, ts.authorityPath} {
		if info, err := os.Stat(path); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

func (ts *TLS) verifyPeer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("tls: the peer presented no certificate")
	}
	_, pool := ts.current()
	opts := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
	for _, cert := range state.PeerCertificates[1:] {
		opts.Intermediates.AddCert(cert)
	}
	if _, err := state.PeerCertificates[0].Verify(opts); err != nil {
		return fmt.Errorf("tls: verify the peer's certificate: %w", err)
	}
	return nil
}
