package cmd

import (
	"fmt"

	"github.com/spf13/cobra"

	"cactusstream.example/core/process"
	"cactusstream.example/core/settings"
)

func newSettingsGetCmd(ap *app) *cobra.Command {
	return &cobra.Command{
		Use:   "get PATH [KEY]",
		Short: "Print all effective values of a node, or the value of one key",
		Example: `  cactusctl settings get quillota/cl-centro/corte/cutOrder
  cactusctl settings get quillota/cl-centro/corte/cutOrder deadline`,
		Args: cobra.RangeArgs(1, 2),
		RunE: func(com *cobra.Command, args []string) error {
			path, err := settings.ParsePath(args[0])
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
			sources := settings.NewResolver(tree).Explain(path)
			if len(args) == 2 {
				for _, src := range sources {
					if src.Key == args[1] {
						fmt.Fprintln(com.OutOrStdout(), src.Value)
						return nil
					}
				}
				return fmt.Errorf("%s %s: not set at any level", args[0], args[1])
			}
			var rows [][]string
			for _, src := range sources {
				rows = append(rows, []string{src.Key, src.Value, src.Level})
			}
			return ap.print(com.OutOrStdout(), sources, []string{"key", "value", "level"}, rows)
		},
	}
}
