package keeper

import (
	"errors"
	"fmt"
	"slices"

	"cactusstream.example/core/auth"
	"cactusstream.example/core/codec"
	"cactusstream.example/core/consensus"
	"cactusstream.example/core/wal"
)

const (
	identityName = "identity"
	peersName    = "peers"
)

// Identity is who a keeper is. The nonce is made with the data folder: a
// keeper that lost its disk can't come back under the old identity.
type Identity struct {
	ID      string           `codec:"id"`
	Nonce   string           `codec:"nonce"`
	Initial consensus.Config `codec:"initial"`
}

// ErrInitialised reports a data folder that already belongs to a keeper.
var ErrInitialised = errors.New("data folder: already initialised")

// ErrNotInitialised reports a data folder without an identity.
var ErrNotInitialised = errors.New("data folder: not initialised; run `cactuskeeper init` once, or `cactuskeeper init --join` when a disk was lost")

// Initialise gives a data folder its identity.
func Initialise(disk wal.Disk, id string, initial consensus.Config) (Identity, error) {
	names, err := disk.List()
	if err != nil {
		return Identity{}, fmt.Errorf("initialise: %w", err)
	}
	if len(names) > 0 {
		return Identity{}, ErrInitialised
	}
	ident := Identity{ID: id, Nonce: auth.NewToken(), Initial: initial}
	if err := storeIdentity(disk, ident); err != nil {
		return Identity{}, fmt.Errorf("initialise: %w", err)
	}
	return ident, nil
}

// EnsureIdentity gives an empty data folder an identity without a group, whose
// id is made of a name and of the folder's own nonce.
func EnsureIdentity(disk wal.Disk, name string) error {
	if _, err := ReadIdentity(disk); !errors.Is(err, ErrNotInitialised) {
		return err
	}
	ident := Identity{Nonce: auth.NewToken()}
	ident.ID = fmt.Sprintf("%s-%s", name, ident.Nonce[:nonceInID])
	return storeIdentity(disk, ident)
}

// nonceInID is how many characters of the nonce tell the disks of a VM apart.
const nonceInID = 8

func storeIdentity(disk wal.Disk, ident Identity) error {
	data, err := codec.Marshal(ident)
	if err != nil {
		return fmt.Errorf("store identity: %w", err)
	}
	if err := disk.Replace(identityName, data); err != nil {
		return fmt.Errorf("store identity: %w", err)
	}
	return nil
}

// ReadIdentity returns the identity of a data folder.
func ReadIdentity(disk wal.Disk) (Identity, error) {
	names, err := disk.List()
	if err != nil {
		return Identity{}, fmt.Errorf("read identity: %w", err)
	}
	if !slices.Contains(names, identityName) {
		return Identity{}, ErrNotInitialised
	}
	return readFile[Identity](disk, identityName)
}

func readFile[T any](disk wal.Disk, name string) (T, error) {
	var none T
	data, err := disk.Read(name)
	if err != nil {
		return none, fmt.Errorf("%s: %w", name, err)
	}
	value, err := codec.Unmarshal[T](data)
	if err != nil {
		return none, fmt.Errorf("%s: %w", name, err)
	}
	return value, nil
}
