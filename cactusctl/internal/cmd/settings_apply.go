package cmd

import (
	"github.com/spf13/cobra"

	"cactusstream.example/core/settings"
)

func newSettingsApplyCmd(ap *app) *cobra.Command {
	flags := &changeFlags{}
	com := &cobra.Command{
		Use:   "apply FILE --reason TEXT",
		Short: "Make the tree equal to a file",
		Long: `Apply prints the difference between the newest tree and the file, and applies it as
one change. Nodes and keys that are missing from the file are unset, except for the
keys of the root, which keep their values. The change is based on the version that
was compared, or on --expect-version. If another version is in force, the command
changes nothing, names the conflicting change and exits with 4.`,
		Example: `  cactusctl settings apply examples/quillota.ini --reason "first settings" --wait
  cactusctl settings apply tree.ini --reason "more stock lookups" --expect-version 7`,
		Args: cobra.ExactArgs(1),
		RunE: func(com *cobra.Command, args []string) error {
			cli, err := ap.client()
			if err != nil {
				return err
			}
			current, version, err := fetchTree(ap, cli, 0)
			if err != nil {
				return err
			}
			desired, err := readTree(args[0], current)
			if err != nil {
				return err
			}
			if com.Flags().Changed("expect-version") {
				version = flags.expect
			}
			return flags.apply(ap, cli, com.OutOrStdout(), current, settings.Diff(current, desired), &version)
		},
	}
	flags.add(com)
	return com
}
