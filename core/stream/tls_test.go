package stream_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"log"
	"math/big"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/core/auth"
	"cactusstream.example/core/stream"
)

// openTLS returns the TLS configuration of a process with a certificate that is its own
// authority.
func openTLS(t *testing.T) *auth.TLS {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	secret, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	certPath, keyPath := filepath.Join(t.TempDir(), "cert.pem"), filepath.Join(t.TempDir(), "key.pem")
	is.NoErr(os.WriteFile(certPath, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert}), 0o600))
	is.NoErr(os.WriteFile(keyPath, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: secret}), 0o600))
	files, err := auth.OpenTLS(certPath, keyPath, certPath)
	is.NoErr(err)
	return files
}

// TestTLS fetches a body with the fleet's certificates. A process without one must not get
// it.
func TestTLS(t *testing.T) {
	is := is.New(t)
	files := openTLS(t)
	fi := newFixture(t, func(opts *stream.Options) { opts.TLS = files.Client() })
	lis, err := tls.Listen("tcp", "127.0.0.1:0", files.Server(true))
	is.NoErr(err)
	srv := &http.Server{Handler: fi.offering, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = srv.Serve(lis) }()
	defer func() { _ = srv.Close() }()
	fi.address = lis.Addr().String()
	of, ended := fi.offer(strings.NewReader("body"), -1)
	strangers := newFixture(t, func(opts *stream.Options) { opts.TLS = openTLS(t).Client() })
	_, err = strangers.fetching.Open(context.Background(), fi.address, of.Token)
	is.True(err != nil)
	is.True(!strings.Contains(err.Error(), of.Token)) // Errors get into logs.
	is.True(!of.IsTaken())
	rd, err := fi.fetching.Open(context.Background(), fi.address, of.Token)
	is.NoErr(err)
	got, err := io.ReadAll(rd)
	is.NoErr(err)
	is.Equal(string(got), "body")
	is.NoErr(awaitEnd(t, ended))
}
