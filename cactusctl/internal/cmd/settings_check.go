package cmd

import (
	"fmt"

	"github.com/spf13/cobra"

	"cactusstream.example/core/settings"
)

func newSettingsCheckCmd() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Validate a settings file without contacting the fleet",
		Long:    "Check reports all faults in the file. Keys that are missing from the root have their default values.",
		Example: "  cactusctl settings check examples/quillota.ini",
		Args:    cobra.ExactArgs(1),
		RunE: func(com *cobra.Command, args []string) error {
			tree, err := readTree(args[0], settings.NewTree())
			if err != nil {
				return err
			}
			fmt.Fprintf(com.OutOrStdout(), "%s: valid, %d nodes, %d routes\n", args[0], len(tree.Nodes), settings.NewResolver(tree).Routes().Len())
			return nil
		},
	}
}
