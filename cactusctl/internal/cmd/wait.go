package cmd

import (
	"context"
	"fmt"
	"io"
	"sort"
	"strings"
	"sync"
	"time"

	"cactusstream.example/cactusctl/internal/client"
)

const (
	askAtOnce    = 32
	askTimeout   = 2 * time.Second
	waitPollTime = 100 * time.Millisecond
)

// waitInForce asks every daemon itself until all have a version in force.
func waitInForce(ap *app, cli *client.Client, out io.Writer, version uint64) error {
	ctx, cancel := ap.context()
	defer cancel()
	started := time.Now()
	shown := -1
	for {
		members, err := daemonAddresses(ctx, cli)
		if err != nil {
			return fmt.Errorf("wait: %w", err)
		}
		missing := missingVersion(ctx, cli, members, version)
		if done := len(members) - len(missing); done != shown {
			shown = done
			fmt.Fprintf(out, "in force in %d of %d daemons after %s\n", done, len(members), time.Since(started).Round(time.Millisecond))
		}
		if len(missing) == 0 {
			return nil
		}
		select {
		case <-time.After(waitPollTime):
		case <-ctx.Done():
			return fmt.Errorf("wait: version %d is not in force, or not known to be, in: %s", version, strings.Join(missing, "; "))
		}
	}
}

// daemonAddresses returns the operators' addresses of the daemons that have
// not left or been dead, by id.
func daemonAddresses(ctx context.Context, cli *client.Client) (map[string]string, error) {
	members, err := cli.Members(ctx)
	if err != nil {
		return nil, err
	}
	addresses := make(map[string]string)
	for _, mem := range members {
		if mem.Status == "alive" || mem.Status == "suspect" {
			addresses[mem.ID] = mem.OperatorAddress
		}
	}
	return addresses, nil
}

// missingVersion returns the daemons that do not have a version in force, or
// did not answer, and why.
func missingVersion(ctx context.Context, cli *client.Client, members map[string]string, version uint64) []string {
	var mu sync.Mutex
	var missing []string
	var group sync.WaitGroup
	slots := make(chan struct{}, askAtOnce)
	for id, address := range members {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			askCtx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			status, err := cli.Status(askCtx, address)
			why := ""
			switch {
			case err != nil:
				why = id + " does not answer"
			case status.SettingsVersion < version:
				why = fmt.Sprintf("%s has version %d", id, status.SettingsVersion)
			}
			if why != "" {
				mu.Lock()
				defer mu.Unlock()
				missing = append(missing, why)
			}
		})
	}
	group.Wait()
	sort.Strings(missing)
	return missing
}
