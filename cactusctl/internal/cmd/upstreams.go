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
		Short: "List the upstreams with their state and why",
		Long: `Upstreams lists the upstreams as one daemon sees them: why one is out and since
when, when it is tried again, and how many slots the floor of its service would
still let go. docs/operators.md explains the states.`,
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
