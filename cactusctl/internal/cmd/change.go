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

// changeFlags holds the flags shared by all commands that change settings.
type changeFlags struct {
	expect   uint64
	changeID string
	reason   string
	author   string
	wait     bool
	dryRun   bool
}

// add registers the flags with a command.
func (ch *changeFlags) add(com *cobra.Command) {
	flags := com.Flags()
	flags.Uint64Var(&ch.expect, "expect-version", 0, "version on which the change is based; the change is rejected if another one is in force")
	flags.StringVar(&ch.changeID, "change-id", "", "id of the change; a retry with the same id returns the first result")
	flags.StringVar(&ch.reason, "reason", "", "reason for the change")
	flags.StringVar(&ch.author, "author", defaultAuthor(), "author of the change")
	flags.BoolVar(&ch.wait, "wait", false, "wait until the change is in force in every daemon")
	flags.BoolVar(&ch.dryRun, "dry-run", false, "print the difference without making the change")
	_ = com.MarkFlagRequired("reason")
}

// apply prints the edits, makes the change, and waits for the daemons if requested. If
// expect is not nil, the change is made only while that version is in force.
func (ch *changeFlags) apply(ap *app, cli *client.Client, out io.Writer, tree *settings.Tree, edits []settings.Edit, expect *uint64) error {
	if len(edits) == 0 {
		fmt.Fprintln(out, "no difference")
		return nil
	}
	edits, err := completeOrganisationEdits(edits)
	if err != nil {
		return &process.ExitError{Code: process.ExitUsage, Err: err}
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
	res, err := cli.Apply(ctx, &gensettings.ApplyPayload{ID: ch.changeID, ExpectVersion: expect, Author: ch.author, Reason: ch.reason, Edits: toAPIEdits(edits)})
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

// failure adds the exit code or advice on how to retry to the error of a change that
// was not accepted.
func (ch *changeFlags) failure(err error) error {
	var conflict *gensettings.ConflictError
	var refused *gensettings.RefusedError
	switch {
	case errors.As(err, &conflict):
		return &process.ExitError{Code: exitConflict, Err: err}
	case errors.As(err, &refused) && refused.Name == "invalid":
		return &process.ExitError{Code: process.ExitUsage, Err: err}
	}
	return fmt.Errorf("it is not known whether the change was accepted; retry it with --change-id %s: %w", ch.changeID, err)
}

// printDiff prints edits of a tree in the form of a diff.
func printDiff(out io.Writer, tree *settings.Tree, edits []settings.Edit) {
	path := ""
	for _, edit := range edits {
		if edit.Path != path {
			path = edit.Path
			fmt.Fprintf(out, "[%s]\n", path)
		}
		edit = hideSecret(edit)
		if before, set := tree.Nodes[edit.Path][edit.Key]; set {
			fmt.Fprintf(out, "- %s = %s\n", edit.Key, before)
		}
		if !edit.Unset {
			fmt.Fprintf(out, "+ %s = %s\n", edit.Key, edit.Value)
		}
	}
}

// defaultAuthor returns the name of the current user.
func defaultAuthor() string {
	if name := os.Getenv("USER"); name != "" {
		return name
	}
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return "unknown"
}
