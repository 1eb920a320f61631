// Package auth manages the credentials of processes, operators and services: bearer
// tokens, message authentication codes for datagrams, signing keys and TLS
// certificates.
//
// Usage:
//
//	tokens, err := auth.OpenTokens("/etc/cactus/fleet.token")
//	handler = auth.Require(tokens, onUnauthorized, handler)
//
// A token file contains one token per line. The process sends the first token and
// accepts all of them. A token can therefore be rotated without downtime: add the new
// token, move it to the first line, and remove the old one. The file is reloaded when
// it changes.
package auth

import (
	"crypto/subtle"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	bearerPrefix = "Bearer "
	minTokenSize = 16 // Bytes.
	// reloadInterval is the minimum time between two checks of a file for changes.
	reloadInterval = time.Second
)

// Tokens holds the tokens of a token file. It is safe for concurrent use.
type Tokens struct {
	path string

	mu        sync.Mutex
	checkedAt time.Time
	modTime   time.Time
	tokens    []string
}

// OpenTokens reads a token file.
func OpenTokens(path string) (*Tokens, error) {
	to := &Tokens{path: path}
	if err := to.load(); err != nil {
		return nil, err
	}
	return to, nil
}

// NewTokens returns fixed tokens that do not come from a file. They are meant for a
// network that only the fleet can reach: they tell the fleet's connections from
// others but need not be secret.
func NewTokens(tokens ...string) *Tokens {
	return &Tokens{tokens: tokens}
}

// Accepts reports whether a request carries one of the tokens.
func (to *Tokens) Accepts(req *http.Request) bool {
	token, ok := strings.CutPrefix(req.Header.Get("Authorization"), bearerPrefix)
	if !ok {
		return false
	}
	accepted := false
	for _, known := range to.current() {
		if subtle.ConstantTimeCompare([]byte(token), []byte(known)) == 1 {
			accepted = true
		}
	}
	return accepted
}

// SetAuthorization sets the Authorization header to the first token, which is the one
// that this process sends.
func (to *Tokens) SetAuthorization(header http.Header) {
	header.Set("Authorization", bearerPrefix+to.current()[0])
}

// Require returns a handler that answers 401 to requests without one of the tokens,
// after it has called onUnauthorized, and passes the others to next.
func Require(tokens *Tokens, onUnauthorized func(*http.Request), next http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
		if !tokens.Accepts(req) {
			onUnauthorized(req)
			http.Error(wr, "missing or invalid credentials; send Authorization: Bearer TOKEN", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(wr, req)
	})
}

// current returns the tokens after it has reloaded the file if necessary.
func (to *Tokens) current() []string {
	to.mu.Lock()
	defer to.mu.Unlock()
	if now := time.Now(); now.Sub(to.checkedAt) > reloadInterval {
		to.checkedAt = now
		to.reloadIfChanged()
	}
	return to.tokens
}

func (to *Tokens) load() error {
	data, err := os.ReadFile(to.path)
	if err != nil {
		return fmt.Errorf("read tokens: %w", err)
	}
	tokens := strings.Fields(string(data))
	if len(tokens) == 0 {
		return fmt.Errorf("%s: contains no token", to.path)
	}
	for _, token := range tokens {
		if len(token) < minTokenSize {
			return fmt.Errorf("%s: a token is shorter than %d characters", to.path, minTokenSize)
		}
	}
	to.tokens = tokens
	return nil
}

// reloadIfChanged reloads the file if it has changed. If the file is unreadable or
// invalid, the current tokens stay in use.
func (to *Tokens) reloadIfChanged() {
	if to.path == "" {
		return
	}
	info, err := os.Stat(to.path)
	if err != nil || info.ModTime().Equal(to.modTime) {
		return
	}
	if to.load() == nil {
		to.modTime = info.ModTime()
	}
}
