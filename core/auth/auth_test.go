package auth_test

import (
	"bytes"
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
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/core/auth"
)

const (
	oldToken = "the-old-token-of-the-fleet"
	newToken = "the-new-token-of-the-fleet"
	// reloadWait is longer than the interval at which files are checked for changes.
	reloadWait = 1100 * time.Millisecond
)

func write(t *testing.T, path string, data []byte) {
	t.Helper()
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

func requestWithToken(token string) *http.Request {
	req := httptest.NewRequest(http.MethodGet, "/", nil)
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	return req
}

// TestTokenRotationNeedsNoRestart performs the three rotation steps of the operations
// guide. After each step, processes that are still at the previous step must be
// accepted.
func TestTokenRotationNeedsNoRestart(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "token")
	write(t, path, []byte(oldToken))
	tokens, err := auth.OpenTokens(path)
	is.NoErr(err)
	datagram := tokens.AppendMAC([]byte("data"))
	steps := []struct {
		file                   string
		sends                  string
		acceptsOld, acceptsNew bool
		acceptsOldMAC          bool
	}{
		{oldToken + "\n" + newToken, oldToken, true, true, true},
		{newToken + "\n" + oldToken, newToken, true, true, true},
		{newToken, newToken, false, true, false},
	}
	for _, step := range steps {
		write(t, path, []byte(step.file))
		time.Sleep(reloadWait)
		is.Equal(tokens.Accepts(requestWithToken(oldToken)), step.acceptsOld)
		is.Equal(tokens.Accepts(requestWithToken(newToken)), step.acceptsNew)
		header := http.Header{}
		tokens.SetAuthorization(header)
		is.Equal(header.Get("Authorization"), "Bearer "+step.sends)
		_, err := tokens.VerifyMAC(datagram)
		is.Equal(err == nil, step.acceptsOldMAC)
	}
	write(t, path, []byte("short")) // An invalid file must not replace the tokens.
	time.Sleep(reloadWait)
	is.True(tokens.Accepts(requestWithToken(newToken)))
	is.True(!tokens.Accepts(requestWithToken("")))
	is.True(!tokens.Accepts(requestWithToken("short")))
}

func TestModifiedDatagramIsRejected(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "token")
	write(t, path, []byte(oldToken))
	tokens, err := auth.OpenTokens(path)
	is.NoErr(err)
	datagram := tokens.AppendMAC([]byte("data"))
	for index := range datagram {
		modified := bytes.Clone(datagram)
		modified[index] ^= 1
		_, err := tokens.VerifyMAC(modified)
		is.True(err != nil)
	}
	_, err = tokens.VerifyMAC([]byte("x"))
	is.True(err != nil)
}

// authority is a certificate authority.
type authority struct {
	t    *testing.T
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	au := &authority{t: t, key: key}
	au.cert = au.sign(&x509.Certificate{IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign, Subject: pkix.Name{CommonName: "fleet"}}, &key.PublicKey)
	return au
}

func (au *authority) sign(template *x509.Certificate, public *ecdsa.PublicKey) *x509.Certificate {
	au.t.Helper()
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	if err != nil {
		au.t.Fatal(err)
	}
	template.SerialNumber = serial
	template.NotBefore, template.NotAfter = time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	parent := au.cert
	if parent == nil {
		parent = template
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, public, au.key)
	if err != nil {
		au.t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		au.t.Fatal(err)
	}
	return cert
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// issue writes a new certificate and its key to dir.
func (au *authority) issue(dir string) {
	au.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		au.t.Fatal(err)
	}
	cert := au.sign(&x509.Certificate{Subject: pkix.Name{CommonName: "process"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}, &key.PublicKey)
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		au.t.Fatal(err)
	}
	write(au.t, filepath.Join(dir, "cert.pem"), encodePEM("CERTIFICATE", cert.Raw))
	write(au.t, filepath.Join(dir, "key.pem"), encodePEM("EC PRIVATE KEY", der))
}

func openTLS(t *testing.T, dir string) *auth.TLS {
	t.Helper()
	files, err := auth.OpenTLS(filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "authority.pem"))
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// handshake reports whether a TLS connection between the two configurations succeeds.
func handshake(t *testing.T, server, client *tls.Config) bool {
	t.Helper()
	lis, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	go func() {
		if con, err := lis.Accept(); err == nil {
			_, _ = con.Write([]byte("hello"))
			_ = con.Close()
		}
	}()
	con, err := tls.Dial("tcp", lis.Addr().String(), client)
	if err != nil {
		return false
	}
	defer func() { _ = con.Close() }()
	data, _ := io.ReadAll(con)
	return string(data) == "hello"
}

// TestCertificateRotationOneProcessAtATime moves two processes from an old authority
// to a new one. They must be able to connect to each other after every step.
func TestCertificateRotationOneProcessAtATime(t *testing.T) {
	is := is.New(t)
	oldCA, newCA := newAuthority(t), newAuthority(t)
	oldPEM, newPEM := encodePEM("CERTIFICATE", oldCA.cert.Raw), encodePEM("CERTIFICATE", newCA.cert.Raw)
	var dirs []string
	var procs []*auth.TLS
	for range 2 {
		dir := t.TempDir()
		oldCA.issue(dir)
		write(t, filepath.Join(dir, "authority.pem"), oldPEM)
		dirs = append(dirs, dir)
		procs = append(procs, openTLS(t, dir))
	}
	bothConnect := func() bool {
		return handshake(t, procs[0].Server(true), procs[1].Client()) && handshake(t, procs[1].Server(true), procs[0].Client())
	}
	is.True(bothConnect())
	steps := []func(dir string){
		func(dir string) {
			write(t, filepath.Join(dir, "authority.pem"), append(bytes.Clone(oldPEM), newPEM...))
		},
		newCA.issue,
		func(dir string) { write(t, filepath.Join(dir, "authority.pem"), newPEM) },
	}
	for _, step := range steps {
		for _, dir := range dirs {
			step(dir)
			time.Sleep(reloadWait)
			is.True(bothConnect())
		}
	}
	outdated := t.TempDir()
	oldCA.issue(outdated)
	write(t, filepath.Join(outdated, "authority.pem"), newPEM)
	is.True(!handshake(t, procs[0].Server(true), openTLS(t, outdated).Client())) // The old authority is no longer accepted.
	is.True(!handshake(t, procs[0].Server(true), &tls.Config{InsecureSkipVerify: true}))
	is.True(handshake(t, procs[0].Server(false), &tls.Config{InsecureSkipVerify: true})) // Operators present a token instead.
}
