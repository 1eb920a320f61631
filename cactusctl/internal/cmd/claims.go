package cmd

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	genfleet "cactusstream.example/core/gen/fleet"

	"cactusstream.example/cactusctl/internal/client"
	"cactusstream.example/core/claim"
	"cactusstream.example/core/settings"
)

func newClaimsCmd(ap *app) *cobra.Command {
	com := &cobra.Command{
		Use:   "claims",
		Short: "Choose the daemons that hold the claims of non-idempotent requests",
	}
	com.AddCommand(newClaimsAssignCmd(ap))
	return com
}

func newClaimsAssignCmd(ap *app) *cobra.Command {
	flags := &changeFlags{}
	var groups int
	com := &cobra.Command{
		Use:   "assign [DAEMON,DAEMON,DAEMON...] --reason TEXT",
		Short: "Set the table of claim holders",
		Long: `Assign sets the table of claim holders, a key of the root. Each argument is a
group of three daemons. Without arguments it makes --groups groups out of the
daemons that are alive, each across availability zones where it can, and keeps
holders that still are alive.

It is refused until a majority of each former group has moved to the table in
force, since two tables in use at once could both let a request run.`,
		Example: `  cactusctl claims assign --reason "first holders" --wait
  cactusctl claims assign d1,d2,d4 --reason "d3 was lost"`,
		RunE: func(com *cobra.Command, args []string) error {
			cli, err := ap.client()
			if err != nil {
				return err
			}
			tree, version, err := fetchTree(ap, cli, 0)
			if err != nil {
				return err
			}
			current, err := claim.ParseTable(tree.Nodes[settings.RootSection][settings.KeyClaimHolders])
			if err != nil {
				return fmt.Errorf("claimHolders: %w", err)
			}
			if err := checkSettled(ap, cli, current); err != nil {
				return err
			}
			wanted := make([][]string, 0, groups)
			for _, arg := range args {
				wanted = append(wanted, strings.Split(arg, ","))
			}
			if len(args) == 0 {
				ctx, cancel := ap.context()
				defer cancel()
				members, err := cli.Members(ctx)
				if err != nil {
					return err
				}
				if wanted, err = chooseHolders(members, current.Groups, groups); err != nil {
					return err
				}
			}
			if slices.EqualFunc(wanted, current.Groups, slices.Equal[[]string]) {
				fmt.Fprintln(com.OutOrStdout(), "no difference")
				return nil
			}
			edit := settings.Edit{Path: settings.RootSection, Key: settings.KeyClaimHolders, Value: current.Next(wanted).String()}
			return flags.apply(ap, cli, com.OutOrStdout(), tree, []settings.Edit{edit}, &version)
		},
	}
	flags.add(com)
	com.Flags().IntVar(&groups, "groups", 1, "how many groups to make")
	return com
}

// checkSettled refuses a change of a table that the former holders have not
// moved to yet.
func checkSettled(ap *app, cli *client.Client, current claim.Table) error {
	if len(current.Former) == 0 {
		return nil
	}
	ctx, cancel := ap.context()
	defer cancel()
	addresses, err := daemonAddresses(ctx, cli)
	if err != nil {
		return err
	}
	for _, group := range current.Former {
		moved := 0
		for _, id := range group {
			if hasMoved(ctx, cli, addresses[id], current.Epoch) {
				moved++
			}
		}
		if moved <= len(group)/2 {
			return fmt.Errorf("claims: %d of the former holders %v have moved to table %d; wait until a majority has, then repeat", moved, group, current.Epoch)
		}
	}
	return nil
}

// hasMoved says whether a daemon is in a table for good.
func hasMoved(ctx context.Context, cli *client.Client, address string, epoch uint64) bool {
	if address == "" {
		return false
	}
	askCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	dump, err := cli.Dump(askCtx, address)
	if err != nil {
		return false
	}
	claims, _ := dump["claims"].(map[string]any)
	return claims["confirmed"] == true && claims["epoch"] == float64(epoch)
}

// chooseHolders fills groups with daemons that are alive. Holders that are
// alive keep their place; a free place goes to a daemon of a zone that its
// group does not have yet, if there is one.
func chooseHolders(members []*genfleet.Member, current [][]string, count int) ([][]string, error) {
	zones := make(map[string]string)
	var free []string
	for _, mem := range members {
		if mem.Status == "alive" {
			zones[mem.ID] = mem.Zone
			free = append(free, mem.ID)
		}
	}
	if len(free) < count*claim.GroupSize {
		return nil, errors.New("claims: too few daemons are alive")
	}
	slices.Sort(free)
	groups := make([][]string, count)
	for i := range groups {
		if i < len(current) {
			groups[i] = slices.DeleteFunc(slices.Clone(current[i]), func(id string) bool { return zones[id] == "" })
		}
		for _, id := range groups[i] {
			free = slices.DeleteFunc(free, func(other string) bool { return other == id })
		}
	}
	for i := range groups {
		for len(groups[i]) < claim.GroupSize {
			at := bestFree(free, groups[i], zones)
			groups[i] = append(groups[i], free[at])
			free = slices.Delete(free, at, at+1)
		}
	}
	return groups, nil
}

func bestFree(free, group []string, zones map[string]string) int {
	for at, id := range free {
		taken := slices.ContainsFunc(group, func(other string) bool { return zones[other] == zones[id] })
		if !taken {
			return at
		}
	}
	return 0
}
