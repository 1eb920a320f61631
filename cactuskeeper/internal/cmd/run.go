package cmd

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	keepersserver "cactusstream.example/core/gen/http/keepers/server"
	settingsserver "cactusstream.example/core/gen/http/settings/server"
	genkeepers "cactusstream.example/core/gen/keepers"
	genprocess "cactusstream.example/core/gen/process"
	gensettings "cactusstream.example/core/gen/settings"

	"cactusstream.example/cactuskeeper/internal/keeper"
	"cactusstream.example/core/auth"
	"cactusstream.example/core/clock"
	"cactusstream.example/core/consensus"
	"cactusstream.example/core/events"
	"cactusstream.example/core/link"
	"cactusstream.example/core/metrics"
	"cactusstream.example/core/process"
	"cactusstream.example/core/wal"
)

func newRunCmd() *cobra.Command {
	var path string
	com := &cobra.Command{
		Use:     "run --config FILE",
		Short:   "Run a keeper until it is told to stop",
		Long:    "Run serves until SIGTERM or SIGINT, then refuses new changes, finishes those under way and exits.",
		Example: "  cactuskeeper run --config keeper1.ini",
		Args:    cobra.NoArgs,
		RunE: func(com *cobra.Command, _ []string) error {
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
	fleet, operators, err := cfg.OpenTokens()
	if err != nil {
		return err
	}
	tlsFiles, err := cfg.TLS()
	if err != nil {
		return err
	}
	key, err := auth.LoadPrivateKey(cfg.SigningKey)
	if err != nil {
		return err
	}
	disk, err := wal.OpenFolder(cfg.DataFolder)
	if err != nil {
		return err
	}
	reg := metrics.NewRegistry()
	mux := link.NewMux()
	pool := link.NewPool(cfg.ID, fleet, mux, link.WithTLS(tlsFiles.Client()))
	defer pool.Close()
	opts := consensus.DefaultOptions()
	opts.Seed = uint64(time.Now().UnixNano())
	ke, err := keeper.Open(ctx, keeper.Options{
		Clock: clock.Real{}, Consensus: opts, Disk: disk, Log: log, Metrics: reg,
		Mux: mux, PeerAddress: cfg.PeerAddress, Pool: pool, SigningKey: key,
	})
	if err != nil {
		return err
	}
	refused := func(req *http.Request) {
		log.Write(events.CredentialsRefused, logrus.Fields{"from": req.RemoteAddr, "path": req.URL.Path})
	}
	links := link.NewServer(mux, fleet, refused)
	peers := process.NewServer(cfg.PeerAddress, links, tlsFiles.Server(true))
	ops := process.NewServer(cfg.OperatorAddress, operatorsHandler(cfg, ke, operators, reg, refused), tlsFiles.Server(false))
	for _, srv := range []*process.Server{peers, ops} {
		if err := srv.Start(); err != nil {
			return fmt.Errorf("run: %w", err)
		}
	}
	ran := make(chan struct{})
	go func() {
		ke.Run(ctx)
		close(ran)
	}()
	log.Write(events.ProcessStarted, logrus.Fields{"operators": cfg.OperatorAddress, "peers": cfg.PeerAddress})
	process.WaitForStop(ctx, func() { log.Write(events.ProcessCut, nil) })
	log.Write(events.ProcessStopping, nil)
	stopCtx, stopCancel := context.WithTimeout(context.Background(), cfg.StopBound)
	defer stopCancel()
	ke.Stop(stopCtx)
	err = ops.Shutdown(stopCtx)
	links.Close()
	peers.Close()
	cancel()
	<-ran
	if err != nil {
		log.Write(events.ProcessCut, logrus.Fields{"error": err.Error()})
		return &process.ExitError{Code: process.ExitCut, Err: err}
	}
	log.Write(events.ProcessStopped, nil)
	return nil
}

func operatorsHandler(cfg *config, ke *keeper.Keeper, tokens *auth.Tokens, reg *metrics.Registry, refused func(*http.Request)) http.Handler {
	started := time.Now()
	status := func() *genprocess.StatusResult {
		res := &genprocess.StatusResult{Program: "cactuskeeper", ID: ke.ID(), Zone: cfg.Zone, UptimeSeconds: int64(time.Since(started).Seconds())}
		ke.FillStatus(res)
		return res
	}
	ops := process.NewOperators(tokens, status, ke.Dump, reg)
	process.Mount(ops.Mux(), settingsserver.New, settingsserver.Mount, gensettings.NewEndpoints(keeper.NewSettingsService(ke)))
	process.Mount(ops.Mux(), keepersserver.New, keepersserver.Mount, genkeepers.NewEndpoints(keeper.NewMembersService(ke)))
	return ops.Handler(refused)
}
