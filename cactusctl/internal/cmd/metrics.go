package cmd

import (
	"context"

	"github.com/spf13/cobra"

	"cactusstream.example/cactusctl/internal/client"
)

func newMetricsCmd(ap *app) *cobra.Command {
	return &cobra.Command{
		Use:     "metrics ADDRESS",
		Short:   "Print the metrics of a process as JSON",
		Long:    "Metrics asks a process by its operators' address. The path /metrics there serves the same as Prometheus text.",
		Example: "  cactusctl metrics 127.0.0.21:7101",
		Args:    cobra.ExactArgs(1),
		RunE: func(com *cobra.Command, args []string) error {
			return askAndPrint(ap, com, func(ctx context.Context, cli *client.Client) (map[string]any, error) {
				return cli.Metrics(ctx, args[0])
			})
		},
	}
}
