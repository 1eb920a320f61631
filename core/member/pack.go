package member

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"cactusstream.example/core/codec"
)

const (
	// minDeflateSize is the encoded size, in bytes, from which a SyncResponse is
	// compressed: below it there is little to save for the processor time.
	minDeflateSize = 1 << 10
	// maxInflatedSize is the largest decompressed SyncResponse, in bytes. The table of
	// 730 daemons has less than 1 MB.
	maxInflatedSize = 16 << 20
)

// ErrTooLarge reports a SyncResponse that decompresses to more than maxInflatedSize.
var ErrTooLarge = errors.New("member: decompressed response is too large")

// Pack returns the response in the form in which it answers a request: compressed if the
// sender of the request accepts that and the response is large.
func (sy SyncResponse) Pack(req SyncRequest) (SyncResponse, error) {
	if !req.AcceptsDeflate {
		return sy, nil
	}
	plain, err := codec.Marshal(sy)
	if err != nil {
		return SyncResponse{}, fmt.Errorf("pack response: %w", err)
	}
	if len(plain) < minDeflateSize {
		return sy, nil
	}
	var buf bytes.Buffer
	wri, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return SyncResponse{}, fmt.Errorf("pack response: %w", err)
	}
	if _, err := wri.Write(plain); err != nil {
		return SyncResponse{}, fmt.Errorf("pack response: %w", err)
	}
	if err := wri.Close(); err != nil {
		return SyncResponse{}, fmt.Errorf("pack response: %w", err)
	}
	return SyncResponse{Deflated: buf.Bytes()}, nil
}

// Unpack reverses Pack.
func (sy SyncResponse) Unpack() (SyncResponse, error) {
	if len(sy.Deflated) == 0 {
		return sy, nil
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(sy.Deflated)), maxInflatedSize+1))
	if err != nil {
		return SyncResponse{}, fmt.Errorf("unpack response: %w", err)
	}
	if len(plain) > maxInflatedSize {
		return SyncResponse{}, ErrTooLarge
	}
	return codec.Unmarshal[SyncResponse](plain)
}
