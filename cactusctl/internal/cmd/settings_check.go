package cmd

import (
	"fmt"

	"github.com/spf13/cobra"

	"cactusstream.example/core/settings"
)

func newSettingsCheckCmd() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Check a file of settings without any process",
		Long:    "Check names every fault at once. Keys that the root lacks count as the defaults.",
		Example: "  cactusctl settings check examples/quillota.ini",
		Args:    cobra.ExactArgs(1),
		RunE: func(com *cobra.Command, args []string) error {
			tree, err := readTree(args[0], settings.NewTree())
			if err != nil {
				return err
			}
			fmt.Fprintf(com.OutOrStdout(), "%s: good, %d nodes, %d routes\n", args[0], len(tree.Nodes), settings.NewResolver(tree).Routes().Len())
			return nil
		},
	}
}
