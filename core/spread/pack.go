package spread

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
	// packFrom is the size, in bytes, from which an Update travels compressed:
	// hundreds of routes repeat the same names, and the links of small VMs carry
	// half a megabyte a second.
	packFrom = 2 << 10
	// maxUnpacked bounds what an Update may unpack to, in bytes.
	maxUnpacked = 64 << 20
)

// Packed is an Update on its way.
type Packed struct {
	Plain    []byte `codec:"p,omitempty"`
	Deflated []byte `codec:"d,omitempty"`
}

// ErrTooLarge reports an Update that unpacks to more than is allowed.
var ErrTooLarge = errors.New("spread: the update unpacks to too many bytes")

// Pack encodes an Update, compressed where that pays.
func Pack(upd Update) (Packed, error) {
	plain, err := codec.Marshal(upd)
	if err != nil {
		return Packed{}, fmt.Errorf("pack update: %w", err)
	}
	if len(plain) < packFrom {
		return Packed{Plain: plain}, nil
	}
	var buf bytes.Buffer
	wri, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return Packed{}, fmt.Errorf("pack update: %w", err)
	}
	if _, err := wri.Write(plain); err != nil {
		return Packed{}, fmt.Errorf("pack update: %w", err)
	}
	if err := wri.Close(); err != nil {
		return Packed{}, fmt.Errorf("pack update: %w", err)
	}
	return Packed{Deflated: buf.Bytes()}, nil
}

// Unpack decodes an Update.
func (pa Packed) Unpack() (Update, error) {
	plain := pa.Plain
	if len(pa.Deflated) > 0 {
		reader := flate.NewReader(bytes.NewReader(pa.Deflated))
		var err error
		if plain, err = io.ReadAll(io.LimitReader(reader, maxUnpacked+1)); err != nil {
			return Update{}, fmt.Errorf("unpack update: %w", err)
		}
		if len(plain) > maxUnpacked {
			return Update{}, ErrTooLarge
		}
	}
	return codec.Unmarshal[Update](plain)
}

// packer packs each step from one version to the newest once, however many
// daemons ask for it at the same time.
//
// Lock order: packer.mu, then Holder.mu.
type packer struct {
	mu      sync.Mutex
	version uint64
	packed  map[uint64]Packed
}

// since returns the packed form of what brings a peer from a version to the newest.
func (pa *packer) since(hol *Holder, have uint64) (Packed, error) {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	upd := hol.Since(have)
	if upd.Version <= have {
		return Pack(upd)
	}
	if pa.version != upd.Version {
		pa.version, pa.packed = upd.Version, make(map[uint64]Packed)
	}
	if packed, known := pa.packed[have]; known {
		return packed, nil
	}
	packed, err := Pack(upd)
	if err == nil {
		pa.packed[have] = packed
	}
	return packed, err
}
