package claim

import (
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
)

// ErrBadKey is returned for a key that is not a UUID of version 7 in canonical form.
var ErrBadKey = errors.New("claim: the key is not a UUID of version 7")

const uuidVersion = 7

// NewKey returns a new key that contains the current time.
func NewKey() (string, error) {
	key, err := uuid.NewV7()
	if err != nil {
		return "", fmt.Errorf("claim: make key: %w", err)
	}
	return key.String(), nil
}

// KeyTime returns the creation time that a key contains.
func KeyTime(key string) (time.Time, error) {
	parsed, err := uuid.Parse(key)
	if err != nil || parsed.Version() != uuidVersion || parsed.String() != key {
		return time.Time{}, ErrBadKey
	}
	var millis int64
	for _, part := range parsed[:6] {
		millis = millis<<8 | int64(part)
	}
	return time.UnixMilli(millis), nil
}
