package cmd

import (
	"strconv"

	"github.com/spf13/cobra"

	gensettings "cactusstream.example/core/gen/settings"
)

func newSettingsLogCmd(ap *app) *cobra.Command {
	pay := &gensettings.LogPayload{}
	com := &cobra.Command{
		Use:     "log",
		Short:   "List the accepted changes, newest first",
		Example: "  cactusctl settings log --limit 5",
		Args:    cobra.NoArgs,
		RunE: func(com *cobra.Command, _ []string) error {
			cli, err := ap.client()
			if err != nil {
				return err
			}
			ctx, cancel := ap.context()
			defer cancel()
			list, err := cli.Log(ctx, pay)
			if err != nil {
				return err
			}
			var rows [][]string
			for _, item := range list {
				rows = append(rows, []string{strconv.FormatUint(item.Version, 10), item.Time, item.Author, strconv.Itoa(len(item.Edits)), item.ID, item.Reason})
			}
			return ap.print(com.OutOrStdout(), list, []string{"version", "when", "who", "edits", "change", "why"}, rows)
		},
	}
	com.Flags().IntVar(&pay.Limit, "limit", 20, "maximum number of changes")
	com.Flags().Uint64Var(&pay.Before, "before", 0, "only changes before this version")
	return com
}
