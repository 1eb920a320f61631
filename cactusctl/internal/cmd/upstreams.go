package cmd

import (
	"strconv"

	"github.com/spf13/cobra"

	genfleet "cactusstream.example/core/gen/fleet"
)

func newUpstreamsCmd(ap *app) *cobra.Command {
	var service string
	com := &cobra.Command{
		Use:   "upstreams",
		Short: "List the upstreams with their state and its reason",
		Long: `Upstreams lists the upstreams as seen by one daemon: the reason and start of an
ejection, the time of the next trial, and the number of slots that can still be
ejected without going below the floor of the service. docs/operators.md explains
the states.`,
		Example: "  cactusctl upstreams --service corte",
		Args:    cobra.NoArgs,
		RunE: func(com *cobra.Command, _ []string) error {
			cli, err := ap.client()
			if err != nil {
				return err
			}
			ctx, cancel := ap.context()
			defer cancel()
			all, err := cli.Upstreams(ctx)
			if err != nil {
				return err
			}
			list := []*genfleet.Upstream{}
			var rows [][]string
			for _, up := range all {
				if service != "" && up.Service != service {
					continue
				}
				list = append(list, up)
				rows = append(rows, []string{up.Service, up.ID, up.Daemon, up.Zone, up.State, strconv.Itoa(up.Slots), strconv.Itoa(up.FloorSlots), strconv.Itoa(up.SpareSlots), up.Since, up.RetryAt, up.Reason})
			}
			return ap.print(com.OutOrStdout(), list, []string{"service", "upstream", "daemon", "zone", "state", "slots", "floor", "spare", "since", "tried again", "reason"}, rows)
		},
	}
	com.Flags().StringVar(&service, "service", "", "only this service")
	return com
}
