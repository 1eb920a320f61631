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
	identityFile = "identity"
	peersFile    = "peers"
)

// Identity identifies a keeper. The nonce is generated with the data folder, so
// a keeper that lost its disk can't rejoin under its old identity.
type Identity struct {
	ID      string           `codec:"id"`
	Nonce   string           `codec:"nonce"`
	Initial consensus.Config `codec:"initial"`
	// FirstSeeds holds the seeds of the first start of the whole deployment. It is empty
	// if the data folder was created later.
	FirstSeeds []string `codec:"firstSeeds,omitempty"`
	// Agrees reports that the keeper takes part in the agreement on the first members. It
	// is false if an older version created the data folder: the first seed may have
	// bootstrapped a group alone then.
	Agrees bool `codec:"agrees,omitempty"`
}

// ErrInitialised reports that a data folder is not empty.
var ErrInitialised = errors.New("data folder: already initialised")

// ErrNotInitialised reports that a data folder has no identity.
var ErrNotInitialised = errors.New("data folder: not initialised; run `cactuskeeper init`, or `cactuskeeper init --join` if the disk was lost")

// Initialise creates an identity in an empty data folder.
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

// EnsureIdentity creates an identity without an initial group unless the data
// folder already has one. The ID consists of the name and a part of the nonce.
func EnsureIdentity(disk wal.Disk, name string, firstSeeds []string) error {
	if _, err := ReadIdentity(disk); !errors.Is(err, ErrNotInitialised) {
		return err
	}
	ident := Identity{Nonce: auth.NewToken(), FirstSeeds: firstSeeds, Agrees: true}
	ident.ID = fmt.Sprintf("%s-%s", name, ident.Nonce[:nonceCharsInID])
	return storeIdentity(disk, ident)
}

// nonceCharsInID is the number of characters of the nonce in an ID. They tell
// successive disks of the same VM apart.
const nonceCharsInID = 8

func storeIdentity(disk wal.Disk, ident Identity) error {
	data, err := codec.Marshal(ident)
	if err != nil {
		return fmt.Errorf("store identity: %w", err)
	}
	if err := disk.Replace(identityFile, data); err != nil {
		return fmt.Errorf("store identity: %w", err)
	}
	return nil
}

// ReadIdentity returns the identity in a data folder, or ErrNotInitialised.
func ReadIdentity(disk wal.Disk) (Identity, error) {
	names, err := disk.List()
	if err != nil {
		return Identity{}, fmt.Errorf("read identity: %w", err)
	}
	if !slices.Contains(names, identityFile) {
		return Identity{}, ErrNotInitialised
	}
	return readFile[Identity](disk, identityFile)
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
