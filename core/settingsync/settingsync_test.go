package settingsync_test

import (
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/core/settings"
	"cactusstream.example/core/settingsync"
)

// fakeKeeper accepts changes and signs every version, as the keepers do.
type fakeKeeper struct {
	key   ed25519.PrivateKey
	store *settings.Store
}

func newFakeKeeper(t *testing.T) *fakeKeeper {
	t.Helper()
	keeper := &fakeKeeper{key: ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize)), store: settings.NewStore()}
	keeper.change(t, settings.Diff(&settings.Tree{}, settings.NewTree())...)
	return keeper
}

func (fa *fakeKeeper) change(t *testing.T, edits ...settings.Edit) {
	t.Helper()
	pro := settings.Proposal{ID: fmt.Sprint(fa.store.Version()), Expect: fa.store.Version(), Edits: edits}
	if _, _, err := fa.store.Apply(pro); err != nil {
		t.Fatal(err)
	}
}

func (fa *fakeKeeper) replica() *settingsync.Replica {
	public := fa.key.Public().(ed25519.PublicKey)
	return settingsync.NewReplica(func() []ed25519.PublicKey { return []ed25519.PublicKey{public} })
}

func (fa *fakeKeeper) update(have uint64) settingsync.Update {
	upd := settingsync.Update{Version: fa.store.Version(), Digest: fa.store.Digest(), Signature: settingsync.Sign(fa.key, fa.store.Version(), fa.store.Digest())}
	if have == 0 {
		upd.Tree = fa.store.Tree().Nodes
	} else {
		upd.Changes = fa.store.Since(have)
	}
	return upd
}

func rankEdit(value int) settings.Edit {
	return settings.Edit{Path: "acme", Key: "rank", Value: fmt.Sprint(value % 4)}
}

func TestApplyRejectsInvalidUpdates(t *testing.T) {
	keeper := newFakeKeeper(t)
	older := keeper.update(0)
	keeper.change(t, rankEdit(1))
	good := keeper.update(0)
	cases := []struct {
		name   string
		change func(upd *settingsync.Update)
		want   error
	}{
		{"another key's signature", func(upd *settingsync.Update) {
			other := ed25519.NewKeyFromSeed([]byte("another key of thirty-two bytes!"))
			upd.Signature = settingsync.Sign(other, upd.Version, upd.Digest)
		}, settingsync.ErrBadSignature},
		{"the signature of an older version", func(upd *settingsync.Update) { upd.Signature = older.Signature }, settingsync.ErrBadSignature},
		{"a changed tree", func(upd *settingsync.Update) {
			upd.Tree = (&settings.Tree{Nodes: upd.Tree}).Apply([]settings.Edit{rankEdit(3)}).Nodes
		}, settingsync.ErrDigestMismatch},
		{"a change is missing", func(upd *settingsync.Update) { upd.Tree, upd.Changes = nil, keeper.store.Since(1) }, settingsync.ErrMissingChanges},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			rep := keeper.replica()
			upd := good
			tc.change(&upd)
			_, err := rep.Apply(upd)
			is.True(errors.Is(err, tc.want))
			is.Equal(rep.Current().Version, uint64(0)) // The update was not applied.
		})
	}
}

// TestVersionsNeverDecreaseAndDigestsMatch lets replicas exchange random updates,
// some of them outdated or repeated. The version of a replica must never decrease,
// and its digest must be the one that the keeper recorded for the version.
func TestVersionsNeverDecreaseAndDigestsMatch(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 0))
		keeper := newFakeKeeper(t)
		digests := map[uint64]string{0: "", 1: keeper.store.Digest()}
		var older []settingsync.Update
		replicas := make([]*settingsync.Replica, 6)
		for i := range replicas {
			replicas[i] = keeper.replica()
		}
		for range 300 {
			if rng.IntN(4) == 0 {
				keeper.change(t, rankEdit(rng.IntN(100)))
				digests[keeper.store.Version()] = keeper.store.Digest()
				older = append(older, keeper.update(0), keeper.update(keeper.store.Version()-1))
			}
			rep := replicas[rng.IntN(len(replicas))]
			before := rep.Current().Version
			switch rng.IntN(3) {
			case 0:
				_, _ = rep.Apply(keeper.update(before))
			case 1:
				_, _ = rep.Apply(replicas[rng.IntN(len(replicas))].Since(before))
			case 2:
				if len(older) > 0 {
					_, _ = rep.Apply(older[rng.IntN(len(older))])
				}
			}
			now := rep.Current()
			if now.Version < before || now.Digest != digests[now.Version] {
				t.Fatalf("seed %d: version went from %d to %d, digest %s", seed, before, now.Version, now.Digest)
			}
		}
		for _, rep := range replicas {
			if _, err := rep.Apply(keeper.update(rep.Current().Version)); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			if rep.Current().Digest != keeper.store.Digest() {
				t.Fatalf("seed %d: a replica does not have the digest of the newest version", seed)
			}
		}
	}
}

func TestWaitReturnsWithTheNextVersion(t *testing.T) {
	is := is.New(t)
	keeper := newFakeKeeper(t)
	rep := keeper.replica()
	done := make(chan struct{})
	go func() {
		rep.Wait(context.Background(), 0)
		close(done)
	}()
	_, err := rep.Apply(keeper.update(0))
	is.NoErr(err)
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Wait did not return within 10 s of a newer version")
	}
}
