package cmd

import (
	"fmt"

	"github.com/spf13/cobra"
)

func newSettingsExportCmd(ap *app) *cobra.Command {
	var version uint64
	com := &cobra.Command{
		Use:   "export",
		Short: "Print the tree as INI",
		Example: `  cactusctl settings export > tree.ini
  cactusctl settings export --version-number 3`,
		Args: cobra.NoArgs,
		RunE: func(com *cobra.Command, _ []string) error {
			cli, err := ap.client()
			if err != nil {
				return err
			}
			ctx, cancel := ap.context()
			defer cancel()
			res, err := cli.Tree(ctx, version)
			if err != nil {
				return err
			}
			if ap.output == "json" {
				return printJSON(com.OutOrStdout(), res)
			}
			fmt.Fprintf(com.OutOrStdout(), "; version %d, digest %s\n%s", res.Version, res.Digest, res.Ini)
			return nil
		},
	}
	com.Flags().Uint64Var(&version, "version-number", 0, "version to print; 0 for the newest")
	return com
}
