package cmd

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"

	"github.com/spf13/cobra"

	genprocess "cactusstream.example/core/gen/process"

	"cactusstream.example/cactusctl/internal/client"
)

// processState is the state of one process of the fleet, or the error of the call.
type processState struct {
	Address string                   `json:"address"`
	ID      string                   `json:"id"`
	Status  *genprocess.StatusResult `json:"status,omitempty"`
	Error   string                   `json:"error,omitempty"`
}

func newStatusCmd(ap *app) *cobra.Command {
	return &cobra.Command{
		Use:     "status",
		Short:   "List the keepers and daemons with their settings versions",
		Long:    "Status lists the keepers and daemons given by flags, and all daemons that those daemons know.",
		Example: "  cactusctl status",
		Args:    cobra.NoArgs,
		RunE: func(com *cobra.Command, _ []string) error {
			cli, err := ap.client()
			if err != nil {
				return err
			}
			ctx, cancel := ap.context()
			defer cancel()
			states := fetchStates(ctx, cli, statusTargets(ctx, cli))
			var rows [][]string
			for _, state := range states {
				rows = append(rows, statusRow(state))
			}
			return ap.print(com.OutOrStdout(), states, []string{"program", "id", "zone", "state", "settings", "up", "address"}, rows)
		},
	}
}

// statusTargets returns the addresses of the processes to call, each with the name to
// show if it does not answer.
func statusTargets(ctx context.Context, cli *client.Client) map[string]string {
	targets := make(map[string]string)
	for _, address := range cli.Keepers() {
		targets[address] = ""
	}
	for _, address := range cli.Daemons() {
		targets[address] = ""
	}
	members, err := cli.Members(ctx)
	if err != nil {
		return targets
	}
	for _, mem := range members {
		targets[mem.OperatorAddress] = mem.ID + " (" + mem.Status + ")"
	}
	return targets
}

// fetchStates calls all targets, at most maxConcurrentCalls at a time.
func fetchStates(ctx context.Context, cli *client.Client, targets map[string]string) []processState {
	states := make([]processState, len(targets))
	var group sync.WaitGroup
	permits := make(chan struct{}, maxConcurrentCalls)
	for i, address := range slices.Sorted(maps.Keys(targets)) {
		permits <- struct{}{}
		group.Go(func() {
			defer func() { <-permits }()
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			state := processState{Address: address, ID: targets[address]}
			status, err := cli.Status(callCtx, address)
			if err != nil {
				state.Error = err.Error()
			} else {
				state.Status = status
				state.ID = status.ID
			}
			states[i] = state
		})
	}
	group.Wait()
	return states
}

func statusRow(state processState) []string {
	if state.Status == nil {
		return []string{"?", state.ID, "", "no answer", "", "", state.Address}
	}
	st := state.Status
	return []string{st.Program, st.ID, st.Zone, st.State, strconv.FormatUint(st.SettingsVersion, 10), strconv.FormatInt(st.UptimeSeconds, 10) + "s", state.Address}
}
