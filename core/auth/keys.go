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

// PublicKeys holds the Ed25519 public keys of a file with one key per line, in
// hexadecimal. The file is reloaded when it changes, so that keys can be rotated.
type PublicKeys struct {
	path string

	mu        sync.Mutex
	checkedAt time.Time
	modTime   time.Time
	keys      []ed25519.PublicKey
}

// LoadPrivateKey reads a file that contains an Ed25519 seed in hexadecimal.
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

// NewPrivateKey generates a key pair and returns its seed and its public key in
// hexadecimal.
func NewPrivateKey() (seed, public string, err error) {
	pub, priv, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return "", "", fmt.Errorf("generate signing key: %w", err)
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

// Keys returns the current keys, after it has reloaded the file if it changed. If the
// file is unreadable or invalid, the previous keys stay in use.
func (pk *PublicKeys) Keys() []ed25519.PublicKey {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	if now := time.Now(); now.Sub(pk.checkedAt) > reloadInterval {
		pk.checkedAt = now
		info, err := os.Stat(pk.path)
		if err == nil && !info.ModTime().Equal(pk.modTime) && pk.load() == nil {
			pk.modTime = info.ModTime()
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
		return fmt.Errorf("%s: contains no key", pk.path)
	}
	pk.keys = keys
	return nil
}
