package cmd

import (
	"fmt"

	"github.com/spf13/cobra"

	"cactusstream.example/core/process"
	"cactusstream.example/core/settings"
)

func newSettingsSetCmd(ap *app) *cobra.Command {
	flags := &changeFlags{}
	com := &cobra.Command{
		Use:     "set PATH KEY VALUE --reason TEXT",
		Short:   "Set one key of one node",
		Example: `  cactusctl settings set quillota/cl-centro/corte floorPercent 70 --reason "spare rolls" --wait`,
		Args:    cobra.ExactArgs(3),
		RunE: func(com *cobra.Command, args []string) error {
			return applyEdit(ap, com, flags, settings.Edit{Path: args[0], Key: args[1], Value: args[2]})
		},
	}
	flags.add(com)
	return com
}

func newSettingsUnsetCmd(ap *app) *cobra.Command {
	flags := &changeFlags{}
	com := &cobra.Command{
		Use:     "unset PATH KEY --reason TEXT",
		Short:   "Unset one key of one node",
		Long:    "Unset removes a key from a node, which then inherits its value. This differs from setting the key to zero.",
		Example: `  cactusctl settings unset quillota/cl-centro/corte floorPercent --reason "as everywhere"`,
		Args:    cobra.ExactArgs(2),
		RunE: func(com *cobra.Command, args []string) error {
			return applyEdit(ap, com, flags, settings.Edit{Path: args[0], Key: args[1], Unset: true})
		},
	}
	flags.add(com)
	return com
}

// applyEdit makes a change of one key. The change may be based on any version unless
// --expect-version is given.
func applyEdit(ap *app, com *cobra.Command, flags *changeFlags, edit settings.Edit) error {
	path, err := settings.ParsePath(edit.Path)
	if err == nil {
		err = checkKey(path, edit)
	}
	if err != nil {
		return &process.ExitError{Code: process.ExitUsage, Err: err}
	}
	cli, err := ap.client()
	if err != nil {
		return err
	}
	tree, _, err := fetchTree(ap, cli, 0)
	if err != nil {
		return err
	}
	var expect *uint64
	if com.Flags().Changed("expect-version") {
		expect = &flags.expect
	}
	return flags.apply(ap, cli, com.OutOrStdout(), tree, []settings.Edit{edit}, expect)
}

// checkKey checks that an edit sets or unsets a known key with a valid value at a level
// that allows the key.
func checkKey(path settings.Path, edit settings.Edit) error {
	if edit.Key == settings.KeyClaimHolders {
		return fmt.Errorf("key %q: use `cactusctl claims assign` to set it", edit.Key)
	}
	key, known := settings.FindKey(edit.Key)
	if !known {
		return fmt.Errorf("key %q: no such key; `cactusctl settings keys` lists them", edit.Key)
	}
	if !key.IsAllowedAt(path.Level()) {
		return fmt.Errorf("key %q: not allowed at the level of a %s", edit.Key, path.Level())
	}
	if edit.Unset {
		return nil
	}
	return key.Check(edit.Value)
}
