package settingsync_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"cactusstream.example/core/settings"
	"cactusstream.example/core/settingsync"
)

// manyRoutes returns an update with one change that adds many routes, such as a
// large configuration applied at once.
func manyRoutes(count int) settingsync.Update {
	change := settings.Change{Version: 2}
	for i := range count {
		for _, key := range []string{"annotations", "deadline", "host", "idempotent", "method", "path", "rank", "retryAttempts", "target"} {
			edit := settings.Edit{Path: fmt.Sprintf("*/*/service%d/r-%d", i%210, i), Key: key, Value: fmt.Sprintf("/value/%d", i)}
			change.Edits = append(change.Edits, settings.AppliedEdit{Edit: edit})
		}
	}
	return settingsync.Update{Version: 2, Changes: []settings.Change{change}}
}

// TestLargeUpdateFitsSlowLink checks that a change with 3,900 routes, the number that
// must be supported, packs into 2 MiB: a link with 0.5 MB/s carries that in the 4 s
// within which a change must arrive.
func TestLargeUpdateFitsSlowLink(t *testing.T) {
	is := is.New(t)
	packed, err := settingsync.Pack(manyRoutes(3900))
	is.NoErr(err)
	is.True(len(packed.Plain)+len(packed.Deflated) <= 2<<20)
	t.Logf("%d bytes", len(packed.Plain)+len(packed.Deflated))
	unpacked, err := packed.Unpack()
	is.NoErr(err)
	is.Equal(unpacked, manyRoutes(3900))
}

func TestSmallUpdatesAreNotCompressed(t *testing.T) {
	is := is.New(t)
	packed, err := settingsync.Pack(settingsync.Update{Version: 7})
	is.NoErr(err)
	is.Equal(len(packed.Deflated), 0)
	unpacked, err := packed.Unpack()
	is.NoErr(err)
	is.Equal(unpacked.Version, uint64(7))
}

func TestCorruptUpdatesAreRejected(t *testing.T) {
	is := is.New(t)
	_, err := settingsync.EncodedUpdate{Deflated: []byte("no deflate")}.Unpack()
	is.True(err != nil)
	packed, err := settingsync.Pack(manyRoutes(300))
	is.NoErr(err)
	packed.Deflated = packed.Deflated[:len(packed.Deflated)/2]
	_, err = packed.Unpack()
	is.True(err != nil && !errors.Is(err, settingsync.ErrTooLarge))
}
