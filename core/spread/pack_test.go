package spread_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"cactusstream.example/core/settings"
	"cactusstream.example/core/spread"
)

// manyRoutes is one change that adds many routes, as an operator's big config does.
func manyRoutes(count int) spread.Update {
	change := settings.Change{Version: 2}
	for i := range count {
		for _, key := range []string{"annotations", "deadline", "host", "idempotent", "method", "path", "rank", "retryAttempts", "target"} {
			edit := settings.Edit{Path: fmt.Sprintf("*/*/service%d/r-%d", i%210, i), Key: key, Value: fmt.Sprintf("/value/%d", i)}
			change.Edits = append(change.Edits, settings.AppliedEdit{Edit: edit})
		}
	}
	return spread.Update{Version: 2, Changes: []settings.Change{change}}
}

// TestManyRoutesTravelSmall keeps the change of the letter's 3,900 routes within
// what a link of half a megabyte a second carries in the 4 s that a change has.
func TestManyRoutesTravelSmall(t *testing.T) {
	is := is.New(t)
	packed, err := spread.Pack(manyRoutes(3900))
	is.NoErr(err)
	is.True(len(packed.Plain)+len(packed.Deflated) <= 2<<20)
	t.Logf("%d bytes", len(packed.Plain)+len(packed.Deflated))
	again, err := packed.Unpack()
	is.NoErr(err)
	is.Equal(again, manyRoutes(3900))
}

func TestSmallUpdatesTravelPlain(t *testing.T) {
	is := is.New(t)
	packed, err := spread.Pack(spread.Update{Version: 7})
	is.NoErr(err)
	is.Equal(len(packed.Deflated), 0)
	again, err := packed.Unpack()
	is.NoErr(err)
	is.Equal(again.Version, uint64(7))
}

func TestDamagedUpdatesAreRefused(t *testing.T) {
	is := is.New(t)
	_, err := spread.Packed{Deflated: []byte("no deflate")}.Unpack()
	is.True(err != nil)
	packed, err := spread.Pack(manyRoutes(300))
	is.NoErr(err)
	packed.Deflated = packed.Deflated[:len(packed.Deflated)/2]
	_, err = packed.Unpack()
	is.True(err != nil && !errors.Is(err, spread.ErrTooLarge))
}
