// Package codec encodes typed messages as CBOR and decodes them.
//
// Usage:
//
//	data, err := codec.Marshal(message)
//	message, err := codec.Unmarshal[Message](data)
//
// Unmarshal accepts untrusted input: it limits the nesting depth and the initial
// allocations, and returns an error for bytes after the first item. Field names come
// from `codec` tags. The library is ugorji/go/codec; see docs/design/codec.md.
package codec

import (
	"errors"
	"fmt"

	"github.com/ugorji/go/codec"
)

const (
	// MaxDepth is the maximum nesting depth of a decoded item.
	MaxDepth = 16
	// defaultBufferSize is the initial capacity, in bytes, of the buffer of Marshal.
	defaultBufferSize = 256
	// maxInitialLength limits the number of elements that the decoder allocates for a
	// container before it has read them, since the input states the length.
	maxInitialLength = 1024
)

// ErrTrailing is returned for input with bytes after the first item.
var ErrTrailing = errors.New("codec: trailing bytes after the item")

var handle = newHandle()

// Marshal returns the CBOR encoding of a value.
func Marshal[T any](value T) ([]byte, error) {
	return MarshalSized(value, defaultBufferSize)
}

// MarshalSized returns the CBOR encoding of a value. The buffer starts with size bytes
// of capacity, so that it need not grow if the caller knows the approximate size.
func MarshalSized[T any](value T, size int) ([]byte, error) {
	data := make([]byte, 0, size)
	if err := codec.NewEncoderBytes(&data, handle).Encode(value); err != nil {
		return nil, fmt.Errorf("codec: encode %T: %w", value, err)
	}
	return data, nil
}

// Unmarshal decodes data that holds exactly one CBOR item.
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
