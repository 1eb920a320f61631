package codec_test

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/core/claim"
	"cactusstream.example/core/codec"
	"cactusstream.example/core/consensus"
	"cactusstream.example/core/member"
)

func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	rec := member.Record{ID: "d1", Version: member.Version{Incarnation: 7, Sequence: 9}, Upstreams: []member.Upstream{{ID: "u", Slots: 5, SinceMS: 12}}}
	data, err := codec.Marshal(rec)
	is.NoErr(err)
	decoded, err := codec.Unmarshal[member.Record](data)
	is.NoErr(err)
	is.Equal(decoded, rec)
}

func TestTimesKeepTheirInstant(t *testing.T) {
	is := is.New(t)
	ent := claim.Entry{Key: "k", At: time.Unix(1_700_000_000, 123_000_000).UTC()}
	data, err := codec.Marshal(ent)
	is.NoErr(err)
	decoded, err := codec.Unmarshal[claim.Entry](data)
	is.NoErr(err)
	is.True(decoded.At.Equal(ent.At))
}

func TestTrailingBytesAreRefused(t *testing.T) {
	is := is.New(t)
	data, err := codec.Marshal(7)
	is.NoErr(err)
	_, err = codec.Unmarshal[int](append(data, 0))
	is.True(errors.Is(err, codec.ErrTrailing))
}

func TestDeepNestingIsRefused(t *testing.T) {
	is := is.New(t)
	_, err := codec.Unmarshal[any](bytes.Repeat([]byte{0x81}, 100_000))
	is.True(err != nil)
}

// TestHugeLengthCostsLittle decodes an array whose header announces 2^63-1 elements.
// The decoder must not allocate memory for all of them.
func TestHugeLengthCostsLittle(t *testing.T) {
	is := is.New(t)
	allocated := testing.AllocsPerRun(1, func() {
		_, err := codec.Unmarshal[[]uint64]([]byte{0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
		is.True(err != nil)
	})
	is.True(allocated < 1000)
}

func FuzzMessages(f *testing.F) {
	seed, err := codec.Marshal(member.Message{Kind: member.Ping, From: "d1", Records: []member.Record{{ID: "d1"}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte{0xa1, 0x61, 0x6b, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		// No input may cause a panic, and a decoded message can be encoded again.
		if msg, err := codec.Unmarshal[member.Message](data); err == nil {
			if _, err := codec.Marshal(msg); err != nil {
				t.Fatal(err)
			}
		}
		_, _ = codec.Unmarshal[consensus.Message](data)
		_, _ = codec.Unmarshal[claim.Request](data)
	})
}
