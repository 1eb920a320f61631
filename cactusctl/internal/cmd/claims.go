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
		Short: "Manage the daemons that hold the claims of non-idempotent requests",
	}
	com.AddCommand(newClaimsAssignCmd(ap))
	return com
}

func newClaimsAssignCmd(ap *app) *cobra.Command {
	flags := &changeFlags{}
	var groups int
	com := &cobra.Command{
		Use:   "assign [DAEMON,DAEMON,DAEMON...] --reason TEXT",
		Short: "Assign the daemons that are claim holders",
		Long: `Assign sets the table of claim holders, a key of the root node. Each argument is a
group of three daemons. Without arguments it forms --groups groups of daemons that
are alive, distributes each over availability zones where possible, and keeps
current holders that are still alive.

A new table is rejected until a majority of each group of the former table has
moved to the table in force. If two tables were in use at the same time, both
could allow the same request to run.`,
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
			if err := checkMigrated(ap, cli, current); err != nil {
				return err
			}
			desired := make([][]string, 0, groups)
			for _, arg := range args {
				desired = append(desired, strings.Split(arg, ","))
			}
			if len(args) == 0 {
				ctx, cancel := ap.context()
				defer cancel()
				members, err := cli.Members(ctx)
				if err != nil {
					return err
				}
				if desired, err = assignHolders(members, current.Groups, groups); err != nil {
					return err
				}
			}
			if slices.EqualFunc(desired, current.Groups, slices.Equal[[]string]) {
				fmt.Fprintln(com.OutOrStdout(), "no difference")
				return nil
			}
			edit := settings.Edit{Path: settings.RootSection, Key: settings.KeyClaimHolders, Value: current.Next(desired).String()}
			return flags.apply(ap, cli, com.OutOrStdout(), tree, []settings.Edit{edit}, &version)
		},
	}
	flags.add(com)
	com.Flags().IntVar(&groups, "groups", 1, "number of groups to form")
	return com
}

// checkMigrated returns an error unless a majority of each former group has moved to
// the current table.
func checkMigrated(ap *app, cli *client.Client, current claim.Table) error {
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
			return fmt.Errorf("claims: %d of the former holders %v have moved to table %d; wait until a majority has, then retry", moved, group, current.Epoch)
		}
	}
	return nil
}

// hasMoved reports whether a daemon has confirmed the table of an epoch. A daemon that
// does not answer counts as not moved.
func hasMoved(ctx context.Context, cli *client.Client, address string, epoch uint64) bool {
	if address == "" {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	dump, err := cli.Dump(callCtx, address)
	if err != nil {
		return false
	}
	claims, _ := dump["claims"].(map[string]any)
	return claims["confirmed"] == true && claims["epoch"] == float64(epoch)
}

// assignHolders assigns daemons that are alive to groups. Current holders that are
// alive stay in their group. Vacancies are filled with daemons from zones that the
// group does not cover yet, if there are any.
func assignHolders(members []*genfleet.Member, current [][]string, count int) ([][]string, error) {
	zones := make(map[string]string)
	var unassigned []string
	for _, mem := range members {
		if mem.Status == "alive" {
			zones[mem.ID] = mem.Zone
			unassigned = append(unassigned, mem.ID)
		}
	}
	if len(unassigned) < count*claim.GroupSize {
		return nil, errors.New("claims: not enough daemons are alive; each group needs three")
	}
	slices.Sort(unassigned)
	groups := make([][]string, count)
	for i := range groups {
		if i < len(current) {
			groups[i] = slices.DeleteFunc(slices.Clone(current[i]), func(id string) bool { return zones[id] == "" })
		}
		for _, id := range groups[i] {
			unassigned = slices.DeleteFunc(unassigned, func(other string) bool { return other == id })
		}
	}
	for i := range groups {
		for len(groups[i]) < claim.GroupSize {
			at := selectDaemon(unassigned, groups[i], zones)
			groups[i] = append(groups[i], unassigned[at])
			unassigned = slices.Delete(unassigned, at, at+1)
		}
	}
	return groups, nil
}

// selectDaemon returns the index of the first unassigned daemon in a zone that the
// group does not cover, or 0 if there is none.
func selectDaemon(unassigned, group []string, zones map[string]string) int {
	for at, id := range unassigned {
		isCovered := slices.ContainsFunc(group, func(other string) bool { return zones[other] == zones[id] })
		if !isCovered {
			return at
		}
	}
	return 0
}
