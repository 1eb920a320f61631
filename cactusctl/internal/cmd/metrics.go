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
		Long:    "Metrics prints the metrics of the process at an operator address. The path /metrics at that address serves them in the Prometheus text format.",
		Example: "  cactusctl metrics 127.0.0.21:7101",
		Args:    cobra.ExactArgs(1),
		RunE: func(com *cobra.Command, args []string) error {
			return fetchAndPrint(ap, com, func(ctx context.Context, cli *client.Client) (map[string]any, error) {
				return cli.Metrics(ctx, args[0])
			})
		},
	}
}
