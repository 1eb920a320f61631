package cmd

import (
	"github.com/spf13/cobra"

	"cactusstream.example/core/settings"
)

func newSettingsApplyCmd(ap *app) *cobra.Command {
	flags := &changeFlags{}
	com := &cobra.Command{
		Use:   "apply FILE --reason TEXT",
		Short: "Make the tree equal to a file, after showing the difference",
		Long: `Apply shows the difference between the newest tree and the file, and makes it in
one change. Nodes and keys that the file lacks are unset, but for keys of the
root, which stay. The change is made against the version that was compared, or
against --expect-version; when another one is in force it changes nothing, says
what it lost to, and exits with 4.`,
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
			wanted, err := readTree(args[0], current)
			if err != nil {
				return err
			}
			if com.Flags().Changed("expect-version") {
				version = flags.expect
			}
			return flags.apply(ap, cli, com.OutOrStdout(), current, settings.Diff(current, wanted), &version)
		},
	}
	flags.add(com)
	return com
}
