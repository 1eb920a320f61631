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
	maxConcurrentCalls = 32
	callTimeout        = 2 * time.Second
	waitPollInterval   = 100 * time.Millisecond
)

// waitInForce polls every daemon until all have a version in force.
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
		lagging := laggingDaemons(ctx, cli, members, version)
		if done := len(members) - len(lagging); done != shown {
			shown = done
			fmt.Fprintf(out, "in force in %d of %d daemons after %s\n", done, len(members), time.Since(started).Round(time.Millisecond))
		}
		if len(lagging) == 0 {
			return nil
		}
		select {
		case <-time.After(waitPollInterval):
		case <-ctx.Done():
			return fmt.Errorf("wait: version %d is not confirmed to be in force in: %s", version, strings.Join(lagging, "; "))
		}
	}
}

// daemonAddresses returns the operator addresses, keyed by id, of the daemons that are
// alive or suspected to be dead.
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

// laggingDaemons describes the daemons that have an older version in force or do not
// answer.
func laggingDaemons(ctx context.Context, cli *client.Client, members map[string]string, version uint64) []string {
	var mu sync.Mutex
	var lagging []string
	var group sync.WaitGroup
	permits := make(chan struct{}, maxConcurrentCalls)
	for id, address := range members {
		permits <- struct{}{}
		group.Go(func() {
			defer func() { <-permits }()
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			status, err := cli.Status(callCtx, address)
			reason := ""
			switch {
			case err != nil:
				reason = id + " does not answer"
			case status.SettingsVersion < version:
				reason = fmt.Sprintf("%s has version %d", id, status.SettingsVersion)
			}
			if reason != "" {
				mu.Lock()
				defer mu.Unlock()
				lagging = append(lagging, reason)
			}
		})
	}
	group.Wait()
	sort.Strings(lagging)
	return lagging
}
