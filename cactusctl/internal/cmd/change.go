package cmd

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	gensettings "cactusstream.example/core/gen/settings"

	"cactusstream.example/cactusctl/internal/client"
	"cactusstream.example/core/process"
	"cactusstream.example/core/settings"
)

// changeFlags are the flags of every command that changes settings.
type changeFlags struct {
	expect   uint64
	changeID string
	reason   string
	author   string
	wait     bool
	dryRun   bool
}

func (ch *changeFlags) add(com *cobra.Command) {
	flags := com.Flags()
	flags.Uint64Var(&ch.expect, "expect-version", 0, "version that the change is made against; another one in force refuses it")
	flags.StringVar(&ch.changeID, "change-id", "", "id of the change; sending it again gets the first answer")
	flags.StringVar(&ch.reason, "reason", "", "why the change is made")
	flags.StringVar(&ch.author, "author", defaultAuthor(), "who makes the change")
	flags.BoolVar(&ch.wait, "wait", false, "wait until the change is in force in every daemon")
	flags.BoolVar(&ch.dryRun, "dry-run", false, "show the difference and change nothing")
	_ = com.MarkFlagRequired("reason")
}

// apply shows the edits, makes the change and waits when asked to. expect is
// nil when the change may be made against any version.
func (ch *changeFlags) apply(ap *app, cli *client.Client, out io.Writer, tree *settings.Tree, edits []settings.Edit, expect *uint64) error {
	if len(edits) == 0 {
		fmt.Fprintln(out, "no difference")
		return nil
	}
	if ap.output != "json" || ch.dryRun {
		printDiff(out, tree, edits)
	}
	if ch.dryRun {
		return nil
	}
	if ch.changeID == "" {
		ch.changeID = uuid.Must(uuid.NewV7()).String()
	}
	ctx, cancel := ap.context()
	defer cancel()
	res, err := cli.Apply(ctx, &gensettings.ApplyPayload{ID: ch.changeID, ExpectVersion: expect, Author: ch.author, Reason: ch.reason, Edits: editsOf(edits)})
	if err != nil {
		return ch.failure(err)
	}
	if ap.output == "json" {
		if err := printJSON(out, res); err != nil {
			return err
		}
	} else {
		note := ""
		if res.Duplicate {
			note = " (this change id was accepted before)"
		}
		fmt.Fprintf(out, "accepted as version %d, change %s%s\n", res.Change.Version, res.Change.ID, note)
	}
	if ch.wait {
		return waitInForce(ap, cli, out, res.Change.Version)
	}
	return nil
}

// failure says what is known of a change that was not accepted.
func (ch *changeFlags) failure(err error) error {
	var conflict *gensettings.ConflictError
	var refused *gensettings.RefusedError
	switch {
	case errors.As(err, &conflict):
		return &process.ExitError{Code: exitLost, Err: err}
	case errors.As(err, &refused) && refused.Name == "invalid":
		return &process.ExitError{Code: process.ExitUsage, Err: err}
	}
	return fmt.Errorf("it is not known whether the change was accepted; send it again with --change-id %s: %w", ch.changeID, err)
}

// printDiff shows what edits do to a tree.
func printDiff(out io.Writer, tree *settings.Tree, edits []settings.Edit) {
	path := ""
	for _, edit := range edits {
		if edit.Path != path {
			path = edit.Path
			fmt.Fprintf(out, "[%s]\n", path)
		}
		if before, set := tree.Nodes[edit.Path][edit.Key]; set {
			fmt.Fprintf(out, "- %s = %s\n", edit.Key, before)
		}
		if !edit.Unset {
			fmt.Fprintf(out, "+ %s = %s\n", edit.Key, edit.Value)
		}
	}
}

func defaultAuthor() string {
	if name := os.Getenv("USER"); name != "" {
		return name
	}
	if who, err := user.Current(); err == nil {
		return who.Username
	}
	return "unknown"
}
