package e2e_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/standin/internal/caller"
)

// writeCertificate writes a self-signed certificate for the given addresses and
// its private key.
func writeCertificate(t *testing.T, fl *fleet, addresses ...string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fleet"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	for _, address := range addresses {
		template.IPAddresses = append(template.IPAddresses, net.ParseIP(address))
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	fl.writeFile("cert.pem", string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})))
	fl.writeFile("key.pem", string(pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})))
}

// addTLS appends a tls section to existing configuration files.
func addTLS(t *testing.T, fl *fleet, names ...string) {
	t.Helper()
	for _, name := range names {
		data, err := os.ReadFile(fl.path(name + ".ini"))
		if err != nil {
			t.Fatal(err)
		}
		fl.writeFile(name+".ini", string(data)+"[tls]\ncertificate = "+fl.path("cert.pem")+"\nkey = "+fl.path("key.pem")+"\nauthority = "+fl.path("cert.pem")+"\n")
	}
}

// TestFleetWithTLS restarts a fleet with TLS between processes and for operators.
// Clients without TLS must be rejected.
func TestFleetWithTLS(t *testing.T) {
	is := is.New(t)
	fl := newQuillotaFleet(t, 1, 5*time.Millisecond)
	names := []string{"k1", "k2", "k3", "d1", "d2", "d3"}
	var addresses []string
	for number := 1; number <= 3; number++ {
		addresses = append(addresses, fl.keeperIP(number), fl.daemonIP(number))
	}
	writeCertificate(t, fl, addresses...)
	for _, name := range names {
		fl.stop(name)
	}
	addTLS(t, fl, names...)
	for _, name := range names {
		fl.restart(name)
	}
	authority := []string{"--authority", fl.path("cert.pem")}
	fl.eventually(15*time.Second, "all processes are reachable over TLS", func() bool {
		out := fl.ctlOutput(append(authority, "status", "--output", "json")...)
		return strings.Count(out, `"Program": "cactusd"`) == 3 && strings.Count(out, `"Program": "cactuskeeper"`) == 3
	})
	fl.ctl(append(authority, "settings", "set", "root", "rank", "1", "--reason", "over TLS", "--wait")...)
	_, err := fl.run("cactusctl", "--timeout", "1s", "settings", "export")
	is.Equal(exitCode(err), 1) // A client without TLS must be rejected.
	fl.eventually(15*time.Second, "callers receive responses", func() bool {
		return fl.call(caller.Config{Path: "/catalogo/nothing", Count: 1}).Statuses["404"] == 1
	})
}
