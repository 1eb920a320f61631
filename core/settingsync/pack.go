package settingsync

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"sync"

	"cactusstream.example/core/codec"
)

const (
	// minCompressSize is the encoded size, in bytes, from which an Update is
	// compressed. Large updates compress well, since hundreds of routes repeat the
	// same names, and links of small VMs carry only 0.5 MB/s.
	minCompressSize = 2 << 10
	// maxUnpackedSize is the largest decompressed Update, in bytes.
	maxUnpackedSize = 64 << 20
)

// EncodedUpdate is an encoded Update, compressed or not: either Plain or Deflated is set.
type EncodedUpdate struct {
	Plain    []byte `codec:"p,omitempty"`
	Deflated []byte `codec:"d,omitempty"`
	// Confirmed means that the sender knows that its settings are the newest.
	Confirmed bool `codec:"f,omitempty"`
}

// ErrTooLarge reports an Update that decompresses to more than maxUnpackedSize.
var ErrTooLarge = errors.New("settingsync: decompressed update is too large")

// Pack encodes an Update and compresses it if it has at least minCompressSize
// bytes.
func Pack(upd Update) (EncodedUpdate, error) {
	plain, err := codec.Marshal(upd)
	if err != nil {
		return EncodedUpdate{}, fmt.Errorf("pack update: %w", err)
	}
	if len(plain) < minCompressSize {
		return EncodedUpdate{Plain: plain}, nil
	}
	var buf bytes.Buffer
	wri, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return EncodedUpdate{}, fmt.Errorf("pack update: %w", err)
	}
	if _, err := wri.Write(plain); err != nil {
		return EncodedUpdate{}, fmt.Errorf("pack update: %w", err)
	}
	if err := wri.Close(); err != nil {
		return EncodedUpdate{}, fmt.Errorf("pack update: %w", err)
	}
	return EncodedUpdate{Deflated: buf.Bytes()}, nil
}

// Unpack decompresses and decodes an Update.
func (en EncodedUpdate) Unpack() (Update, error) {
	plain := en.Plain
	if len(en.Deflated) > 0 {
		reader := flate.NewReader(bytes.NewReader(en.Deflated))
		var err error
		if plain, err = io.ReadAll(io.LimitReader(reader, maxUnpackedSize+1)); err != nil {
			return Update{}, fmt.Errorf("unpack update: %w", err)
		}
		if len(plain) > maxUnpackedSize {
			return Update{}, ErrTooLarge
		}
	}
	return codec.Unmarshal[Update](plain)
}

// encodedCache caches the packed updates to the newest version, so that the update
// from each older version is packed once, however many daemons request it.
//
// Lock order: encodedCache.mu is acquired before Replica.mu.
type encodedCache struct {
	mu      sync.Mutex
	version uint64
	packed  map[uint64]EncodedUpdate // By the version from which the update starts.
}

// since returns the packed result of Replica.Since.
func (en *encodedCache) since(rep *Replica, have uint64) (EncodedUpdate, error) {
	en.mu.Lock()
	defer en.mu.Unlock()
	upd := rep.Since(have)
	if upd.Version <= have {
		return Pack(upd)
	}
	if en.version != upd.Version {
		en.version, en.packed = upd.Version, make(map[uint64]EncodedUpdate)
	}
	if packed, known := en.packed[have]; known {
		return packed, nil
	}
	packed, err := Pack(upd)
	if err == nil {
		en.packed[have] = packed
	}
	return packed, err
}
