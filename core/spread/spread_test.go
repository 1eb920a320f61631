package spread_test

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
	"cactusstream.example/core/spread"
)

// source is what a keeper does: it signs every version.
type source struct {
	key   ed25519.PrivateKey
	store *settings.Store
}

func newSource(t *testing.T) *source {
	t.Helper()
	so := &source{key: ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize)), store: settings.NewStore()}
	so.change(t, settings.Diff(&settings.Tree{}, settings.NewTree())...)
	return so
}

func (so *source) change(t *testing.T, edits ...settings.Edit) {
	t.Helper()
	pro := settings.Proposal{ID: fmt.Sprint(so.store.Version()), Expect: so.store.Version(), Edits: edits}
	if _, _, err := so.store.Apply(pro); err != nil {
		t.Fatal(err)
	}
}

func (so *source) holder() *spread.Holder {
	public := so.key.Public().(ed25519.PublicKey)
	return spread.NewHolder(func() []ed25519.PublicKey { return []ed25519.PublicKey{public} })
}

func (so *source) update(have uint64) spread.Update {
	upd := spread.Update{Version: so.store.Version(), Digest: so.store.Digest(), Signature: spread.Sign(so.key, so.store.Version(), so.store.Digest())}
	if have == 0 {
		upd.Tree = so.store.Tree().Nodes
	} else {
		upd.Changes = so.store.Since(have)
	}
	return upd
}

func rank(value int) settings.Edit {
	return settings.Edit{Path: "acme", Key: "rank", Value: fmt.Sprint(value % 4)}
}

func TestChecks(t *testing.T) {
	so := newSource(t)
	old := so.update(0)
	so.change(t, rank(1))
	good := so.update(0)
	cases := []struct {
		name   string
		change func(upd *spread.Update)
		want   error
	}{
		{"another key's signature", func(upd *spread.Update) {
			other := ed25519.NewKeyFromSeed([]byte("another key of thirty-two bytes!"))
			upd.Signature = spread.Sign(other, upd.Version, upd.Digest)
		}, spread.ErrBadSignature},
		{"an old signature under a new number", func(upd *spread.Update) { upd.Signature = old.Signature }, spread.ErrBadSignature},
		{"a changed tree", func(upd *spread.Update) {
			upd.Tree = (&settings.Tree{Nodes: upd.Tree}).Apply([]settings.Edit{rank(3)}).Nodes
		}, spread.ErrDrift},
		{"a change is missing", func(upd *spread.Update) { upd.Tree, upd.Changes = nil, so.store.Since(1) }, spread.ErrGap},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			hol := so.holder()
			upd := good
			tc.change(&upd)
			_, err := hol.Apply(upd)
			is.True(errors.Is(err, tc.want))
			is.Equal(hol.Current().Version, uint64(0)) // Nothing changed.
		})
	}
}

// TestNeverBackAndSameEverywhere lets holders exchange random updates, late
// and repeated, and checks versions and digests against the source.
func TestNeverBackAndSameEverywhere(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 0))
		so := newSource(t)
		digests := map[uint64]string{0: "", 1: so.store.Digest()}
		var old []spread.Update
		holders := make([]*spread.Holder, 6)
		for i := range holders {
			holders[i] = so.holder()
		}
		for range 300 {
			if rng.IntN(4) == 0 {
				so.change(t, rank(rng.IntN(100)))
				digests[so.store.Version()] = so.store.Digest()
				old = append(old, so.update(0), so.update(so.store.Version()-1))
			}
			hol := holders[rng.IntN(len(holders))]
			before := hol.Current().Version
			switch rng.IntN(3) {
			case 0:
				_, _ = hol.Apply(so.update(before))
			case 1:
				_, _ = hol.Apply(holders[rng.IntN(len(holders))].Since(before))
			case 2:
				if len(old) > 0 {
					_, _ = hol.Apply(old[rng.IntN(len(old))])
				}
			}
			now := hol.Current()
			if now.Version < before || now.Digest != digests[now.Version] {
				t.Fatalf("seed %d: from version %d to %d, digest %s", seed, before, now.Version, now.Digest)
			}
		}
		for _, hol := range holders {
			if _, err := hol.Apply(so.update(hol.Current().Version)); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			if hol.Current().Digest != so.store.Digest() {
				t.Fatalf("seed %d: holders differ", seed)
			}
		}
	}
}

func TestWaitReturnsWithTheNextVersion(t *testing.T) {
	is := is.New(t)
	so := newSource(t)
	hol := so.holder()
	done := make(chan struct{})
	go func() {
		hol.Wait(context.Background(), 0)
		close(done)
	}()
	_, err := hol.Apply(so.update(0))
	is.NoErr(err)
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("it still waits")
	}
}
