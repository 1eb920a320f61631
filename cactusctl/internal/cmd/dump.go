package cmd

import (
	"context"

	"github.com/spf13/cobra"

	"cactusstream.example/cactusctl/internal/client"
)

func newDumpCmd(ap *app) *cobra.Command {
	return &cobra.Command{
		Use:     "dump ADDRESS",
		Short:   "Print the state of a process as JSON",
		Long:    "Dump asks a daemon or keeper, by its operators' address, for its state: settings version, members, upstreams with verdicts and reasons, queues, claims and links.",
		Example: "  cactusctl dump 127.0.0.21:7101",
		Args:    cobra.ExactArgs(1),
		RunE: func(com *cobra.Command, args []string) error {
			return askAndPrint(ap, com, func(ctx context.Context, cli *client.Client) (map[string]any, error) {
				return cli.Dump(ctx, args[0])
			})
		},
	}
}

// askAndPrint asks one process and prints its answer as JSON.
func askAndPrint(ap *app, com *cobra.Command, ask func(context.Context, *client.Client) (map[string]any, error)) error {
	cli, err := ap.client()
	if err != nil {
		return err
	}
	ctx, cancel := ap.context()
	defer cancel()
	res, err := ask(ctx, cli)
	if err != nil {
		return err
	}
	return printJSON(com.OutOrStdout(), res)
}
