package cmd

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"cactusstream.example/cactusd/daemon"
	"cactusstream.example/core/auth"
	"cactusstream.example/core/clock"
	"cactusstream.example/core/dialect"
	"cactusstream.example/core/events"
	"cactusstream.example/core/process"
)

func newRunCmd() *cobra.Command {
	var path string
	com := &cobra.Command{
		Use:     "run --config FILE",
		Short:   "Run the daemon until it receives SIGTERM or SIGINT",
		Long:    "Run serves until SIGTERM or SIGINT, then asks callers to use another daemon, completes requests in flight and exits.",
		Example: "  cactusd run --config d1.ini",
		Args:    cobra.NoArgs,
		RunE: func(com *cobra.Command, _ []string) error {
			process.CatchStop()
			cfg, err := loadConfig(path)
			if err != nil {
				return err
			}
			return run(com.Context(), cfg)
		},
	}
	addConfigFlag(com, &path)
	return com
}

func run(ctx context.Context, cfg *config) error {
	if ctx == nil {
		ctx = context.Background()
	}
	log, err := cfg.Logger(os.Stderr)
	if err != nil {
		return err
	}
	log = log.With(logrus.Fields{"program": "cactusd", "id": cfg.ID})
	opts, err := daemonOptions(cfg, log)
	if err != nil {
		return err
	}
	da, err := daemon.New(opts)
	if err != nil {
		return err
	}
	if err := da.Start(ctx); err != nil {
		return err
	}
	process.WaitForStop(ctx, func() { log.Write(events.ProcessCut, nil) })
	stopCtx, cancel := context.WithTimeout(context.Background(), cfg.StopTimeout)
	defer cancel()
	if err := errors.Join(da.Stop(stopCtx), da.Guard().Wait(stopCtx)); err != nil {
		log.Write(events.ProcessCut, logrus.Fields{"error": err.Error()})
		return &process.ExitError{Code: process.ExitForced, Err: err}
	}
	log.Write(events.ProcessStopped, nil)
	return nil
}

// daemonOptions converts a configuration to daemon options and reads the
// credential files that it names.
func daemonOptions(cfg *config, log *events.Logger) (daemon.Options, error) {
	opts := daemon.Options{
		Config: cfg.Config, CallerAddress: cfg.CallerAddress, Callers: dialect.DefaultCaller(), Upstreams: dialect.DefaultUpstream(), Claims: &cfg.Claims, Clock: clock.Real{}, Firm: cfg.Firm,
		Keepers: cfg.Keepers, Log: log, Place: cfg.Place, Seeds: func() []string { return cfg.Seeds },
	}
	var err error
	if opts.FleetTokens, opts.OperatorTokens, err = cfg.OpenTokens(); err != nil {
		return opts, err
	}
	if opts.ServiceTokens, err = auth.OpenTokens(cfg.ServiceTokens); err != nil {
		return opts, fmt.Errorf("service tokens: %w", err)
	}
	if opts.UpstreamTokens, err = auth.OpenTokens(cfg.UpstreamTokens); err != nil {
		return opts, fmt.Errorf("upstream tokens: %w", err)
	}
	keys, err := auth.OpenPublicKeys(cfg.SettingsKeys)
	if err != nil {
		return opts, fmt.Errorf("settings keys: %w", err)
	}
	opts.SettingsKeys = keys.Keys
	if opts.TLS, err = cfg.TLS(); err != nil {
		return opts, err
	}
	return opts, nil
}
