package cmd

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	genkeepers "cactusstream.example/core/gen/keepers"

	"cactusstream.example/cactusctl/internal/client"
)

const promoteRetryInterval = 300 * time.Millisecond

func newKeepersCmd(ap *app) *cobra.Command {
	com := &cobra.Command{
		Use:   "keepers",
		Short: "Show and change the group of keepers",
		Long:  "Keepers shows the group of keepers, and adds, removes or replaces one. Each step changes one member, and is rejected if the remaining group would have no reachable quorum.",
	}
	com.AddCommand(newKeepersAddCmd(ap), newKeepersRemoveCmd(ap), newKeepersReplaceCmd(ap), newKeepersStatusCmd(ap))
	return com
}

func newKeepersAddCmd(ap *app) *cobra.Command {
	return &cobra.Command{
		Use:   "add ID PEER-ADDRESS OPERATOR-ADDRESS",
		Short: "Add a keeper that was initialised with --join",
		Long: `Add adds the keeper as a learner, waits until it has caught up, and then promotes
it to a voter. If the command fails, it can be run again.`,
		Example: "  cactusctl keepers add k4-1b2c3d4e 127.0.0.14:7000 127.0.0.14:7001",
		Args:    cobra.ExactArgs(3),
		RunE: func(com *cobra.Command, args []string) error {
			cli, err := ap.client()
			if err != nil {
				return err
			}
			ctx, cancel := ap.context()
			defer cancel()
			if err := addKeeper(ctx, cli, args[0], args[1], args[2]); err != nil {
				return err
			}
			fmt.Fprintf(com.OutOrStdout(), "%s is now a voter\n", args[0])
			return nil
		},
	}
}

func newKeepersRemoveCmd(ap *app) *cobra.Command {
	return &cobra.Command{
		Use:     "remove ID",
		Short:   "Remove a keeper from the group",
		Example: "  cactusctl keepers remove k2",
		Args:    cobra.ExactArgs(1),
		RunE: func(com *cobra.Command, args []string) error {
			cli, err := ap.client()
			if err != nil {
				return err
			}
			ctx, cancel := ap.context()
			defer cancel()
			if _, err := cli.ChangeKeepers(ctx, &genkeepers.ChangePayload{Operation: "remove", ID: args[0]}); err != nil {
				return describeRefusal(err)
			}
			fmt.Fprintf(com.OutOrStdout(), "%s removed\n", args[0])
			return nil
		},
	}
}

func newKeepersReplaceCmd(ap *app) *cobra.Command {
	return &cobra.Command{
		Use:   "replace OLD-ID NEW-ID PEER-ADDRESS OPERATOR-ADDRESS",
		Short: "Replace a keeper, for example after the loss of its disk",
		Long: `Replace adds the new keeper, waits until it is a voter, and only then removes the
old one. The loss of a second VM during the replacement therefore loses no accepted
change. If the command fails, it can be run again.`,
		Example: "  cactusctl keepers replace k2 k2-1b2c3d4e 127.0.0.12:7000 127.0.0.12:7001",
		Args:    cobra.ExactArgs(4),
		RunE: func(com *cobra.Command, args []string) error {
			cli, err := ap.client()
			if err != nil {
				return err
			}
			ctx, cancel := ap.context()
			defer cancel()
			if err := addKeeper(ctx, cli, args[1], args[2], args[3]); err != nil {
				return err
			}
			_, err = cli.ChangeKeepers(ctx, &genkeepers.ChangePayload{Operation: "remove", ID: args[0]})
			if err != nil && !isRefusal(err, "consensus: no such member") {
				return describeRefusal(err)
			}
			fmt.Fprintf(com.OutOrStdout(), "%s replaced by %s\n", args[0], args[1])
			return nil
		},
	}
}

func newKeepersStatusCmd(ap *app) *cobra.Command {
	return &cobra.Command{
		Use:     "status",
		Short:   "Show the state of the group as seen by the leader",
		Long:    "Status shows the group as seen by the leader, or by the first keeper that answers if there is no leader. docs/operators.md explains the columns.",
		Example: "  cactusctl keepers status",
		Args:    cobra.NoArgs,
		RunE: func(com *cobra.Command, _ []string) error {
			cli, err := ap.client()
			if err != nil {
				return err
			}
			ctx, cancel := ap.context()
			defer cancel()
			status, err := leaderStatus(ctx, cli)
			if err != nil {
				return err
			}
			var rows [][]string
			for _, kee := range status.Keepers {
				contact := "unknown"
				if kee.LastContactMs >= 0 {
					contact = strconv.FormatInt(kee.LastContactMs, 10) + "ms"
				}
				rows = append(rows, []string{kee.ID, role(kee), strconv.FormatUint(kee.MatchIndex, 10), contact, kee.PeerAddress, kee.OperatorAddress})
			}
			if ap.output == "table" {
				fmt.Fprintf(com.OutOrStdout(), "as seen by %s: term %d, committed %d, settings version %d\n", status.Self, status.Term, status.CommitIndex, status.Version)
			}
			return ap.print(com.OutOrStdout(), status, []string{"id", "role", "stored", "last answer", "peers", "operators"}, rows)
		},
	}
}

// addKeeper adds a learner and promotes it once it has caught up.
func addKeeper(ctx context.Context, cli *client.Client, id, peer, operator string) error {
	_, err := cli.ChangeKeepers(ctx, &genkeepers.ChangePayload{Operation: "add", ID: id, PeerAddress: peer, OperatorAddress: operator})
	if err != nil && !isRefusal(err, "consensus: the member is already in the group") {
		return describeRefusal(err)
	}
	for {
		_, err = cli.ChangeKeepers(ctx, &genkeepers.ChangePayload{Operation: "promote", ID: id})
		if err == nil || isRefusal(err, "consensus: the member is already in the group") {
			return nil
		}
		select {
		case <-time.After(promoteRetryInterval):
		case <-ctx.Done():
			return fmt.Errorf("%s has not caught up; run the command again: %w", id, describeRefusal(err))
		}
	}
}

// leaderStatus returns the status reported by the leader, or by the first keeper that
// answers if none of them is the leader.
func leaderStatus(ctx context.Context, cli *client.Client) (*genkeepers.StatusResult, error) {
	var selected *genkeepers.StatusResult
	lastErr := client.ErrNoAnswer
	for _, address := range cli.Keepers() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		status, err := cli.KeeperStatus(callCtx, address)
		cancel()
		if err != nil {
			lastErr = err
			continue
		}
		if selected == nil || isLeader(status) {
			selected = status
		}
	}
	if selected == nil {
		return nil, lastErr
	}
	return selected, nil
}

// describeRefusal adds the outcome to the error of a rejected change.
func describeRefusal(err error) error {
	var refused *genkeepers.RefusedError
	if errors.As(err, &refused) {
		return fmt.Errorf("%s (%s)", refused.Message, refused.Outcome)
	}
	return err
}

// isRefusal reports whether a keeper rejected a change with a message.
func isRefusal(err error, message string) bool {
	var refused *genkeepers.RefusedError
	return errors.As(err, &refused) && refused.Message == message
}

// isLeader reports whether the keeper that returned a status is the leader.
func isLeader(status *genkeepers.StatusResult) bool {
	for _, kee := range status.Keepers {
		if kee.ID == status.Self {
			return kee.Leader
		}
	}
	return false
}

func role(kee *genkeepers.Keeper) string {
	switch {
	case kee.Leader:
		return "leader"
	case kee.Voter:
		return "voter"
	}
	return "learner"
}
