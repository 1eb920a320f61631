package cmd

import (
	"strconv"

	"github.com/spf13/cobra"
)

func newSettingsExplainCmd(ap *app) *cobra.Command {
	return &cobra.Command{
		Use:     "explain PATH",
		Short:   "Show the origin of each effective value of a node",
		Long:    "Explain lists the effective values of a node, each with the level that sets it and the version, time, author and reason of the change.",
		Example: "  cactusctl settings explain quillota/cl-centro/corte/cutOrder",
		Args:    cobra.ExactArgs(1),
		RunE: func(com *cobra.Command, args []string) error {
			cli, err := ap.client()
			if err != nil {
				return err
			}
			ctx, cancel := ap.context()
			defer cancel()
			list, err := cli.Explain(ctx, args[0])
			if err != nil {
				return err
			}
			var rows [][]string
			for _, item := range list {
				rows = append(rows, []string{item.Key, item.Value, item.Level, strconv.FormatUint(item.Version, 10), item.Time, item.Author, item.Reason})
			}
			return ap.print(com.OutOrStdout(), list, []string{"key", "value", "level", "version", "when", "who", "why"}, rows)
		},
	}
}
