// Package codec turns typed messages into CBOR and back.
//
// Usage:
//
//	data, err := codec.Marshal(message)
//	message, err := codec.Unmarshal[Message](data)
//
// Unmarshal reads untrusted bytes: depth and initial allocations are bounded,
// and bytes after the first item are an error. Field names are those of the
// `codec` tags. The library is ugorji/go/codec; see docs/design/codec.md.
package codec

import (
	"errors"
	"fmt"

	"github.com/ugorji/go/codec"
)

const (
	// MaxDepth bounds the nesting of a decoded item.
	MaxDepth  = 16
	usualSize = 256
	// maxInitialLength bounds the elements that a decoder allocates at once.
	maxInitialLength = 1024
)

// ErrTrailing reports bytes after the first item.
var ErrTrailing = errors.New("codec: bytes after the item")

var handle = newHandle()

// Marshal returns the CBOR form of a value.
func Marshal[T any](value T) ([]byte, error) {
	return MarshalSized(value, usualSize)
}

// MarshalSized returns the CBOR form of a value that is expected to take about
// size bytes, so that the buffer need not grow.
func MarshalSized[T any](value T, size int) ([]byte, error) {
	data := make([]byte, 0, size)
	if err := codec.NewEncoderBytes(&data, handle).Encode(value); err != nil {
		return nil, fmt.Errorf("codec: encode %T: %w", value, err)
	}
	return data, nil
}

// Unmarshal reads exactly one CBOR item into a T.
func Unmarshal[T any](data []byte) (T, error) {
	var value T
	dec := codec.NewDecoderBytes(data, handle)
	if err := dec.Decode(&value); err != nil {
		return value, fmt.Errorf("codec: decode %T: %w", value, err)
	}
	if dec.NumBytesRead() != len(data) {
		return value, ErrTrailing
	}
	return value, nil
}

func newHandle() *codec.CborHandle {
	han := &codec.CborHandle{}
	han.MaxDepth = MaxDepth
	han.MaxInitLen = maxInitialLength
	han.ErrorIfNoField = false
	han.TimeRFC3339 = false
	han.Canonical = true
	return han
}
