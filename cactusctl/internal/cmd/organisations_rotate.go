package cmd

import (
	"crypto/rand"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	gensettings "cactusstream.example/core/gen/settings"

	"cactusstream.example/cactusctl/internal/client"
	"cactusstream.example/core/process"
	"cactusstream.example/core/settings"
)

const (
	// keyBytes is the size of a new key, in random bytes.
	keyBytes = 32
	// maxChangeAttempts is how often a change is computed again because another one was
	// accepted first.
	maxChangeAttempts = 8
	// keyFileMode lets only the owner read a key.
	keyFileMode = 0o600
)

// rotation holds the arguments of organisations rotate.
type rotation struct {
	name       string
	old        string
	grace      time.Duration
	keyFile    string
	onlyRemove bool
	reason     string
	author     string
}

func newOrganisationsRotateCmd(ap *app) *cobra.Command {
	ro := &rotation{}
	com := &cobra.Command{
		Use:   "rotate NAME --reason TEXT",
		Short: "Replace a key of an organisation",
		Long: `Rotate adds a new random key in one change, waits until it is in force in every
daemon, and prints it, or writes it to --key-file. After --grace, in which callers
change to the new key, a second change removes the old one.

Only digests are sent to the keepers. If they hold the organisation's keys, they
drop them, since they can't be completed; with keys that a platform sets, change
its configuration instead.

If the command ends before the old key is removed, --only-remove does that later.`,
		Example: `  cactusctl organisations rotate acme --reason "yearly" --key-file acme.key --grace 1h
  cactusctl organisations rotate acme --reason "leaked" --only-remove --old 3q2xWb8k`,
		Args: cobra.ExactArgs(1),
		RunE: func(com *cobra.Command, args []string) error {
			ro.name = args[0]
			return ro.run(ap, com.OutOrStdout())
		},
	}
	flags := com.Flags()
	flags.StringVar(&ro.old, "old", "", "first characters of the digest of the key to remove; required if there are several keys")
	flags.DurationVar(&ro.grace, "grace", time.Minute, "time between the two changes, in which both keys are valid")
	flags.StringVar(&ro.keyFile, "key-file", "", "file to write the new key to")
	flags.BoolVar(&ro.onlyRemove, "only-remove", false, "add no key; remove the one that --old names")
	flags.StringVar(&ro.reason, "reason", "", "reason for the change")
	flags.StringVar(&ro.author, "author", defaultAuthor(), "author of the change")
	_ = com.MarkFlagRequired("reason")
	return com
}

func (ro *rotation) run(ap *app, out io.Writer) error {
	cli, err := ap.client()
	if err != nil {
		return err
	}
	tree, _, err := fetchTree(ap, cli, 0)
	if err != nil {
		return err
	}
	old, err := ro.findOld(tree)
	if err != nil {
		return &process.ExitError{Code: process.ExitUsage, Err: err}
	}
	if !ro.onlyRemove {
		if err := ro.add(ap, cli, out); err != nil {
			return err
		}
		time.Sleep(ro.grace)
	}
	version, err := ro.change(ap, cli, func(digests []settings.KeyDigest) []settings.KeyDigest {
		return slices.DeleteFunc(digests, func(digest settings.KeyDigest) bool { return digest == old })
	})
	if err != nil {
		return fmt.Errorf("the old key %s is still valid; remove it with --only-remove: %w", shortDigest(old), err)
	}
	fmt.Fprintf(out, "removed key %s in version %d\n", shortDigest(old), version)
	return waitInForce(ap, cli, out, version)
}

// add adds a new key and hands it out once every daemon knows it.
func (ro *rotation) add(ap *app, cli *client.Client, out io.Writer) error {
	key, err := newKey()
	if err != nil {
		return err
	}
	added := settings.NewKeyDigest(key)
	version, err := ro.change(ap, cli, func(digests []settings.KeyDigest) []settings.KeyDigest { return append(digests, added) })
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "added key %s in version %d\n", shortDigest(added), version)
	if err := waitInForce(ap, cli, out, version); err != nil {
		return fmt.Errorf("the new key is not handed out; remove it with --only-remove --old %s: %w", shortDigest(added), err)
	}
	if ro.keyFile == "" {
		fmt.Fprintf(out, "new key: %s\n", key)
		return nil
	}
	if err := writeKeyFile(ro.keyFile, key); err != nil {
		return fmt.Errorf("the new key is not handed out; remove it with --only-remove --old %s: %w", shortDigest(added), err)
	}
	return nil
}

// findOld returns the digest of the key to remove.
func (ro *rotation) findOld(tree *settings.Tree) (settings.KeyDigest, error) {
	var old settings.KeyDigest
	org := settings.NewResolver(tree).Organisations().ByName(ro.name)
	if org == nil {
		return old, fmt.Errorf("no organisation has the name %q", ro.name)
	}
	if ro.old == "" && (ro.onlyRemove || len(org.Digests) > 1) {
		return old, fmt.Errorf("organisation %q has %d keys; name the one to remove with --old", ro.name, len(org.Digests))
	}
	matches := slices.DeleteFunc(slices.Clone(org.Digests), func(digest settings.KeyDigest) bool { return !strings.HasPrefix(digest.String(), ro.old) })
	if len(matches) != 1 {
		return old, fmt.Errorf("%d keys of organisation %q have digests that start with %q", len(matches), ro.name, ro.old)
	}
	return matches[0], nil
}

// change replaces the digests of the organisation. It is computed again if another change
// is accepted first.
func (ro *rotation) change(ap *app, cli *client.Client, edit func([]settings.KeyDigest) []settings.KeyDigest) (uint64, error) {
	var failure error
	for range maxChangeAttempts {
		version, err := ro.tryChange(ap, cli, edit)
		var conflict *gensettings.ConflictError
		if !errors.As(err, &conflict) {
			return version, err
		}
		failure = err
	}
	return 0, &process.ExitError{Code: exitConflict, Err: failure}
}

func (ro *rotation) tryChange(ap *app, cli *client.Client, edit func([]settings.KeyDigest) []settings.KeyDigest) (uint64, error) {
	tree, version, err := fetchTree(ap, cli, 0)
	if err != nil {
		return 0, err
	}
	org := settings.NewResolver(tree).Organisations().ByName(ro.name)
	if org == nil {
		return 0, fmt.Errorf("no organisation has the name %q", ro.name)
	}
	value := settings.FormatKeyDigests(edit(slices.Clone(org.Digests)))
	edits, err := completeOrganisationEdits([]settings.Edit{{Path: ro.name, Key: settings.KeyKeyDigests, Value: value}})
	if err != nil {
		return 0, err
	}
	ctx, cancel := ap.context()
	defer cancel()
	res, err := cli.Apply(ctx, &gensettings.ApplyPayload{ID: uuid.Must(uuid.NewV7()).String(), ExpectVersion: &version, Author: ro.author, Reason: ro.reason, Edits: toAPIEdits(edits)})
	if err != nil {
		return 0, err
	}
	return res.Change.Version, nil
}

// newKey returns a random key.
func newKey() (string, error) {
	data := make([]byte, keyBytes)
	if _, err := rand.Read(data); err != nil {
		return "", fmt.Errorf("new key: %w", err)
	}
	return base64.RawURLEncoding.EncodeToString(data), nil
}

// writeKeyFile replaces a file as a whole, so that no reader gets a part of a key.
func writeKeyFile(path, key string) error {
	temporary := path + ".new"
	if err := os.WriteFile(temporary, []byte(key+"\n"), keyFileMode); err != nil {
		return fmt.Errorf("write the key: %w", err)
	}
	if err := os.Rename(temporary, path); err != nil {
		return fmt.Errorf("write the key: %w", err)
	}
	return nil
}

func shortDigest(digest settings.KeyDigest) string { return digest.String()[:digestPrefixLength] }
