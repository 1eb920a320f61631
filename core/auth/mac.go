package auth

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
)

// macSize is the size of the truncated HMAC-SHA-256, in bytes.
const macSize = 16

// ErrInvalidMAC reports a datagram whose message authentication code matches none of
// the tokens.
var ErrInvalidMAC = errors.New("auth: invalid message authentication code")

// VerifyMAC verifies the message authentication code (MAC) at the end of a datagram
// and returns the data before it.
func (to *Tokens) VerifyMAC(datagram []byte) ([]byte, error) {
	if len(datagram) < macSize {
		return nil, ErrInvalidMAC
	}
	data, mac := datagram[:len(datagram)-macSize], datagram[len(datagram)-macSize:]
	for _, token := range to.current() {
		if hmac.Equal(mac, computeMAC(token, data)) {
			return data, nil
		}
	}
	return nil, ErrInvalidMAC
}

// AppendMAC appends a MAC, keyed with the first token, to the data of a datagram. It
// may write to the spare capacity of data.
func (to *Tokens) AppendMAC(data []byte) []byte {
	return append(data, computeMAC(to.current()[0], data)...)
}

func computeMAC(token string, data []byte) []byte {
	mac := hmac.New(sha256.New, []byte(token))
	mac.Write(data)
	return mac.Sum(nil)[:macSize]
}
