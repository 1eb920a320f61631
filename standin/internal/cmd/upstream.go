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

const stopBound = 20 * time.Second

func newUpstreamCmd() *cobra.Command {
	var cfg upstream.Config
	var tokenFile string
	com := &cobra.Command{
		Use:   "upstream",
		Short: "Play one upstream until told to stop",
		Long:  "Upstream announces itself to the daemon beside it and serves until SIGTERM; then it announces that it leaves, finishes its work and exits.",
		Example: `  standin upstream --id stock1 --service catalogo --address 127.0.0.21:9001 --control 127.0.0.21:9101 \
    --slots 5 --connections 350 --daemon 127.0.0.21:7101 --token-file upstream.token --latency 20ms`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if tokenFile != "" {
				data, err := os.ReadFile(tokenFile)
				if err != nil {
					return fmt.Errorf("upstream: %w", err)
				}
				cfg.Token = strings.Fields(string(data))[0]
			}
			return runUpstream(upstream.New(cfg))
		},
	}
	flags := com.Flags()
	flags.StringVar(&cfg.ID, "id", "", "name of the upstream")
	flags.StringVar(&cfg.Service, "service", "", "service that it belongs to")
	flags.StringVar(&cfg.Address, "address", "", "IP address and port that it serves on")
	flags.StringVar(&cfg.Control, "control", "", "IP address and port for faults and counts")
	flags.StringVar(&cfg.Daemon, "daemon", "", "operators' address of the daemon beside it")
	flags.StringVar(&tokenFile, "token-file", "", "file with the upstreams' token")
	flags.IntVar(&cfg.Slots, "slots", 5, "requests that it runs at once")
	flags.IntVar(&cfg.Connections, "connections", 350, "connections that it accepts")
	flags.DurationVar(&cfg.Cold, "cold", 0, "time until it is warm")
	flags.DurationVar(&cfg.Latency, "latency", 10*time.Millisecond, "mean time of an answer")
	flags.BoolVar(&cfg.Plain, "plain", false, "do not repeat the id of the attempt in answers")
	for _, name := range []string{"id", "service", "address"} {
		_ = com.MarkFlagRequired(name)
	}
	return com
}

func runUpstream(up *upstream.Upstream) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := up.Start(ctx); err != nil {
		return fmt.Errorf("upstream: %w", err)
	}
	process.WaitForStop(ctx, func() {})
	stopCtx, stopCancel := context.WithTimeout(context.Background(), stopBound)
	defer stopCancel()
	if err := up.Stop(stopCtx); err != nil {
		return &process.ExitError{Code: process.ExitForced, Err: err}
	}
	return nil
}
