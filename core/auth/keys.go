package auth

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// PublicKeys is a file of Ed25519 public keys, one a line in hexadecimal. The
// file is read again when it changes, so that a key can be replaced.
type PublicKeys struct {
	path string

	mu      sync.Mutex
	checked time.Time
	changed time.Time
	keys    []ed25519.PublicKey
}

// LoadPrivateKey reads the file of an Ed25519 seed in hexadecimal.
func LoadPrivateKey(path string) (ed25519.PrivateKey, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read signing key: %w", err)
	}
	seed, err := hex.DecodeString(strings.TrimSpace(string(data)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, fmt.Errorf("%s: want %d bytes in hexadecimal", path, ed25519.SeedSize)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// NewPrivateKey returns the text of a new seed and of its public key.
func NewPrivateKey() (seed, public string, err error) {
	pub, priv, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return "", "", fmt.Errorf("make signing key: %w", err)
	}
	return hex.EncodeToString(priv.Seed()), hex.EncodeToString(pub), nil
}

// NewToken returns a new random token.
func NewToken() string {
	return rand.Text()
}

// OpenPublicKeys reads a file of public keys.
func OpenPublicKeys(path string) (*PublicKeys, error) {
	pk := &PublicKeys{path: path}
	if err := pk.load(); err != nil {
		return nil, err
	}
	return pk, nil
}

// Keys returns the keys that the file holds now.
func (pk *PublicKeys) Keys() []ed25519.PublicKey {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	if now := time.Now(); now.Sub(pk.checked) > reloadEvery {
		pk.checked = now
		info, err := os.Stat(pk.path)
		if err == nil && !info.ModTime().Equal(pk.changed) && pk.load() == nil {
			pk.changed = info.ModTime()
		}
	}
	return pk.keys
}

func (pk *PublicKeys) load() error {
	data, err := os.ReadFile(pk.path)
	if err != nil {
		return fmt.Errorf("read public keys: %w", err)
	}
	var keys []ed25519.PublicKey
	for line := range strings.FieldsSeq(string(data)) {
		key, err := hex.DecodeString(line)
		if err != nil || len(key) != ed25519.PublicKeySize {
			return fmt.Errorf("%s: want lines of %d bytes in hexadecimal", pk.path, ed25519.PublicKeySize)
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 {
		return fmt.Errorf("%s: holds no key", pk.path)
	}
	pk.keys = keys
	return nil
}
