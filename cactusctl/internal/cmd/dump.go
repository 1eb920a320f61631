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
		Long:    "Dump prints the state of the daemon or keeper at an operator address: the settings version, members, upstreams with their health and its reason, queues, claims and links.",
		Example: "  cactusctl dump 127.0.0.21:7101",
		Args:    cobra.ExactArgs(1),
		RunE: func(com *cobra.Command, args []string) error {
			return fetchAndPrint(ap, com, func(ctx context.Context, cli *client.Client) (map[string]any, error) {
				return cli.Dump(ctx, args[0])
			})
		},
	}
}

// fetchAndPrint prints the result of a call to one process as JSON.
func fetchAndPrint(ap *app, com *cobra.Command, fetch func(context.Context, *client.Client) (map[string]any, error)) error {
	cli, err := ap.client()
	if err != nil {
		return err
	}
	ctx, cancel := ap.context()
	defer cancel()
	res, err := fetch(ctx, cli)
	if err != nil {
		return err
	}
	return printJSON(com.OutOrStdout(), res)
}
