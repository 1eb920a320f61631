package cmd

import (
	"context"
	"os"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"cactusstream.example/cactuskeeper/server"
	"cactusstream.example/core/auth"
	"cactusstream.example/core/events"
	"cactusstream.example/core/process"
)

func newRunCmd() *cobra.Command {
	var path string
	com := &cobra.Command{
		Use:     "run --config FILE",
		Short:   "Run a keeper until it receives SIGTERM or SIGINT",
		Long:    "Run serves until SIGTERM or SIGINT, then rejects new changes, waits for pending ones and exits.",
		Example: "  cactuskeeper run --config keeper1.ini",
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
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	log, err := cfg.Logger(os.Stderr)
	if err != nil {
		return err
	}
	log = log.With(logrus.Fields{"program": "cactuskeeper", "id": cfg.ID})
	opts, err := newServerOptions(cfg, log)
	if err != nil {
		return err
	}
	srv, err := server.New(ctx, opts)
	if err != nil {
		return err
	}
	if err := srv.Start(ctx); err != nil {
		return err
	}
	process.WaitForStop(ctx, func() { log.Write(events.ProcessCut, nil) })
	log.Write(events.ProcessStopping, nil)
	stopCtx, cancelStop := context.WithTimeout(context.Background(), cfg.StopTimeout)
	defer cancelStop()
	err = srv.Stop(stopCtx)
	cancel()
	srv.Wait()
	if err != nil {
		log.Write(events.ProcessCut, logrus.Fields{"error": err.Error()})
		return &process.ExitError{Code: process.ExitForced, Err: err}
	}
	log.Write(events.ProcessStopped, nil)
	return nil
}

// newServerOptions builds the options of the server and loads the tokens, the
// certificates and the signing key from the configured files.
func newServerOptions(cfg *config, log *events.Logger) (server.Options, error) {
	opts := server.Options{Config: cfg.Config, DataFolder: cfg.DataFolder, Log: log}
	var err error
	if opts.FleetTokens, opts.OperatorTokens, err = cfg.OpenTokens(); err != nil {
		return opts, err
	}
	if opts.TLS, err = cfg.TLS(); err != nil {
		return opts, err
	}
	opts.SigningKey, err = auth.LoadPrivateKey(cfg.SigningKey)
	return opts, err
}
