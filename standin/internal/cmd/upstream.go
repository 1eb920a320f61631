package cmd

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"cactusstream.example/core/process"
	"cactusstream.example/standin/internal/upstream"
)

const stopTimeout = 20 * time.Second

func newUpstreamCmd() *cobra.Command {
	var cfg upstream.Config
	var tokenFile string
	com := &cobra.Command{
		Use:   "upstream",
		Short: "Simulate one upstream until SIGTERM",
		Long:  "Upstream registers with the daemon on the same VM and serves requests until SIGTERM. Then it announces its leave, finishes the running requests and exits.",
		Example: `  standin upstream --id stock1 --service catalogo --address 127.0.0.21:9001 --control 127.0.0.21:9101 \
    --slots 5 --connections 350 --daemon 127.0.0.21:7101 --token-file upstream.token --latency 20ms`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if tokenFile != "" {
				data, err := os.ReadFile(tokenFile)
				if err != nil {
					return fmt.Errorf("read upstream token: %w", err)
				}
				cfg.Token = strings.Fields(string(data))[0]
			}
			return runUpstream(upstream.New(cfg))
		},
	}
	flags := com.Flags()
	flags.StringVar(&cfg.ID, "id", "", "ID of the upstream")
	flags.StringVar(&cfg.Service, "service", "", "service of the upstream")
	flags.StringVar(&cfg.Address, "address", "", "IP address and port to serve requests on")
	flags.StringVar(&cfg.Control, "control", "", "IP address and port of the control listener for faults and counters")
	flags.StringVar(&cfg.Daemon, "daemon", "", "operator address of the daemon on the same VM")
	flags.StringVar(&tokenFile, "token-file", "", "file with the upstream token")
	flags.IntVar(&cfg.Slots, "slots", 5, "number of requests that run at once")
	flags.IntVar(&cfg.Connections, "connections", 350, "number of connections announced to the daemon")
	flags.DurationVar(&cfg.Cold, "cold", 0, "warm-up time announced to the daemon")
	flags.DurationVar(&cfg.Latency, "latency", 10*time.Millisecond, "mean time to respond")
	flags.BoolVar(&cfg.Plain, "plain", false, "omit the Cactus-Attempt header from responses")
	flags.BoolVar(&cfg.RecordRuns, "record-runs", false, "keep the start time and the headers of every request; the control listener returns them")
	for _, name := range []string{"id", "service", "address"} {
		_ = com.MarkFlagRequired(name)
	}
	return com
}

// runUpstream serves until a signal to stop and then stops gracefully.
func runUpstream(up *upstream.Upstream) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := up.Start(ctx); err != nil {
		return fmt.Errorf("upstream: %w", err)
	}
	process.WaitForStop(ctx, func() {})
	stopCtx, stopCancel := context.WithTimeout(context.Background(), stopTimeout)
	defer stopCancel()
	if err := up.Stop(stopCtx); err != nil {
		return &process.ExitError{Code: process.ExitForced, Err: err}
	}
	return nil
}
