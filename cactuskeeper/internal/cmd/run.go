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

// keeperProcess is a keeper with its listeners.
type keeperProcess struct {
	cfg       *config
	log       *events.Logger
	keeper    *keeper.Keeper
	pool      *link.Pool
	links     *link.Server
	peers     *process.Server
	operators *process.Server
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
	kp, err := newKeeperProcess(ctx, cfg, log)
	if err != nil {
		return err
	}
	for _, srv := range []*process.Server{kp.peers, kp.operators} {
		if err := srv.Start(); err != nil {
			return fmt.Errorf("run: %w", err)
		}
	}
	ran := make(chan struct{})
	go func() {
		kp.keeper.Run(ctx)
		close(ran)
	}()
	log.Write(events.ProcessStarted, logrus.Fields{"operators": cfg.OperatorAddress, "peers": cfg.PeerAddress})
	process.WaitForStop(ctx, func() { log.Write(events.ProcessCut, nil) })
	log.Write(events.ProcessStopping, nil)
	err = kp.stop()
	cancel()
	<-ran
	if err != nil {
		log.Write(events.ProcessCut, logrus.Fields{"error": err.Error()})
		return &process.ExitError{Code: process.ExitCut, Err: err}
	}
	log.Write(events.ProcessStopped, nil)
	return nil
}

// newKeeperProcess reads the files that the configuration names and opens the
// data folder.
func newKeeperProcess(ctx context.Context, cfg *config, log *events.Logger) (*keeperProcess, error) {
	fleet, operators, err := cfg.OpenTokens()
	if err != nil {
		return nil, err
	}
	tlsFiles, err := cfg.TLS()
	if err != nil {
		return nil, err
	}
	key, err := auth.LoadPrivateKey(cfg.SigningKey)
	if err != nil {
		return nil, err
	}
	disk, err := wal.OpenFolder(cfg.DataFolder)
	if err != nil {
		return nil, err
	}
	reg := metrics.NewRegistry()
	mux := link.NewMux()
	kp := &keeperProcess{cfg: cfg, log: log, pool: link.NewPool(cfg.ID, fleet, mux, link.WithTLS(tlsFiles.Client()))}
	opts := consensus.DefaultOptions()
	opts.Seed = uint64(time.Now().UnixNano())
	kp.keeper, err = keeper.Open(ctx, keeper.Options{
		Clock: clock.Real{}, Consensus: opts, Disk: disk, Log: log, Metrics: reg,
		Mux: mux, PeerAddress: cfg.PeerAddress, Pool: kp.pool, SigningKey: key,
	})
	if err != nil {
		return nil, err
	}
	kp.links = link.NewServer(mux, fleet, kp.refused)
	kp.peers = process.NewServer(cfg.PeerAddress, kp.links, tlsFiles.Server(true))
	kp.operators = process.NewServer(cfg.OperatorAddress, kp.operatorsHandler(operators, reg), tlsFiles.Server(false))
	return kp, nil
}

// refused logs a call without a right credential.
func (kp *keeperProcess) refused(req *http.Request) {
	kp.log.Write(events.CredentialsRefused, logrus.Fields{"from": req.RemoteAddr, "path": req.URL.Path})
}

// stop finishes the changes under way and answers what operators have asked.
func (kp *keeperProcess) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), kp.cfg.StopBound)
	defer cancel()
	kp.keeper.Stop(ctx)
	err := kp.operators.Shutdown(ctx)
	kp.links.Close()
	kp.peers.Close()
	kp.pool.Close()
	return err
}

func (kp *keeperProcess) operatorsHandler(tokens *auth.Tokens, reg *metrics.Registry) http.Handler {
	started := time.Now()
	status := func() *genprocess.StatusResult {
		res := &genprocess.StatusResult{Program: "cactuskeeper", ID: kp.keeper.ID(), Zone: kp.cfg.Zone, UptimeSeconds: int64(time.Since(started).Seconds())}
		kp.keeper.FillStatus(res)
		return res
	}
	ops := process.NewOperators(tokens, status, kp.keeper.Dump, reg)
	process.Mount(ops.Mux(), settingsserver.New, settingsserver.Mount, gensettings.NewEndpoints(keeper.NewSettingsService(kp.keeper)))
	process.Mount(ops.Mux(), keepersserver.New, keepersserver.Mount, genkeepers.NewEndpoints(keeper.NewMembersService(kp.keeper)))
	return ops.Handler(kp.refused)
}
