// Package auth holds the credentials of processes, operators and services.
//
// Usage:
//
//	tokens, err := auth.OpenTokens("/etc/cactus/fleet.token")
//	handler = auth.Require(tokens, handler)
//
// A token file holds one token a line. The first is the one that this process
// sends; all of them are accepted, so that a new token can be added, moved to
// the first line and the old one removed while every process goes on. The file
// is read again when it changes.
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
	minTokenSize = 16
	reloadEvery  = time.Second
)

// Tokens is the content of a token file.
type Tokens struct {
	path string

	mu      sync.Mutex
	checked time.Time
	changed time.Time
	tokens  []string
}

// OpenTokens reads a token file.
func OpenTokens(path string) (*Tokens, error) {
	to := &Tokens{path: path}
	if err := to.load(); err != nil {
		return nil, err
	}
	return to, nil
}

// NewTokens returns tokens that no file holds, for a network that only the fleet
// can reach: they keep strangers' connections apart and are no secret.
func NewTokens(tokens ...string) *Tokens {
	return &Tokens{tokens: tokens}
}

// Accepts says whether a request carries one of the tokens.
func (to *Tokens) Accepts(req *http.Request) bool {
	given, ok := strings.CutPrefix(req.Header.Get("Authorization"), bearerPrefix)
	if !ok {
		return false
	}
	accepted := false
	for _, token := range to.current() {
		if subtle.ConstantTimeCompare([]byte(given), []byte(token)) == 1 {
			accepted = true
		}
	}
	return accepted
}

// Sign adds the first token to a request's header.
func (to *Tokens) Sign(header http.Header) {
	header.Set("Authorization", bearerPrefix+to.current()[0])
}

// Require answers 401 to requests that carry none of the tokens.
func Require(tokens *Tokens, refused func(*http.Request), next http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
		if !tokens.Accepts(req) {
			refused(req)
			http.Error(wr, "credentials: none or wrong; send Authorization: Bearer TOKEN", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(wr, req)
	})
}

func (to *Tokens) current() []string {
	to.mu.Lock()
	defer to.mu.Unlock()
	if now := time.Now(); now.Sub(to.checked) > reloadEvery {
		to.checked = now
		to.reload()
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
		return fmt.Errorf("%s: holds no token", to.path)
	}
	for _, token := range tokens {
		if len(token) < minTokenSize {
			return fmt.Errorf("%s: a token is shorter than %d characters", to.path, minTokenSize)
		}
	}
	to.tokens = tokens
	return nil
}

// reload reads the file when it changed; a file that can't be read leaves the
// tokens as they are.
func (to *Tokens) reload() {
	if to.path == "" {
		return
	}
	info, err := os.Stat(to.path)
	if err != nil || info.ModTime().Equal(to.changed) {
		return
	}
	if to.load() == nil {
		to.changed = info.ModTime()
	}
}
