package auth

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
)

const sealSize = 16

// ErrSeal reports a datagram that no known token sealed.
var ErrSeal = errors.New("auth: wrong seal")

// Open returns the data of a sealed datagram.
func (to *Tokens) Open(sealed []byte) ([]byte, error) {
	if len(sealed) < sealSize {
		return nil, ErrSeal
	}
	data, seal := sealed[:len(sealed)-sealSize], sealed[len(sealed)-sealSize:]
	for _, token := range to.current() {
		if hmac.Equal(seal, sealOf(token, data)) {
			return data, nil
		}
	}
	return nil, ErrSeal
}

// Seal adds a keyed checksum by the first token to a datagram.
func (to *Tokens) Seal(data []byte) []byte {
	return append(data, sealOf(to.current()[0], data)...)
}

func sealOf(token string, data []byte) []byte {
	mac := hmac.New(sha256.New, []byte(token))
	mac.Write(data)
	return mac.Sum(nil)[:sealSize]
}
