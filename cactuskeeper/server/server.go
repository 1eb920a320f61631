// Package server runs a keeper with its listeners: one for other keepers and
// daemons, and one for operators. It can also join the keeper to the fleet.
//
// Usage:
//
//	srv, err := server.New(ctx, options)
//	err = srv.Start(ctx)
//	err = srv.Stop(ctx)   // waits for pending changes
package server

import (
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	keepersserver "cactusstream.example/core/gen/http/keepers/server"
	settingsserver "cactusstream.example/core/gen/http/settings/server"
	genkeepers "cactusstream.example/core/gen/keepers"
	genprocess "cactusstream.example/core/gen/process"
	gensettings "cactusstream.example/core/gen/settings"

	"cactusstream.example/cactuskeeper/keeper"
	"cactusstream.example/core/auth"
	"cactusstream.example/core/clock"
	"cactusstream.example/core/consensus"
	"cactusstream.example/core/events"
	"cactusstream.example/core/fleet"
	"cactusstream.example/core/link"
	"cactusstream.example/core/member"
	"cactusstream.example/core/metrics"
	"cactusstream.example/core/process"
	"cactusstream.example/core/wal"
)

// Options configures a Server.
type Options struct {
	Config     process.Config
	DataFolder string
	// OpenDisk opens the data folder. The default is wal.OpenFolder.
	OpenDisk       func(folder string) (wal.Disk, error)
	FleetTokens    *auth.Tokens
	Group          *Group
	Log            *events.Logger
	OperatorTokens *auth.Tokens
	SigningKey     ed25519.PrivateKey
	TLS            *auth.TLS
}

// Group configures automatic discovery: the keeper finds the other keepers, and
// daemons find the keeper. Without it, operators configure the group.
type Group struct {
	// IsFirstStart reports whether the whole deployment starts for the first time. Only
	// then may a new group be bootstrapped. The data folder remembers it.
	IsFirstStart bool
	// PublicAddress is the address at which operators of the platform reach this
	// keeper. Other keepers redirect operators to it.
	PublicAddress string
	Seeds         func() []string
	Size          int
}

// Server is a keeper with its listeners.
type Server struct {
	opts           Options
	startedAt      time.Time
	metrics        *metrics.Registry
	keeper         *keeper.Keeper
	fleet          *fleet.Fleet
	pool           *link.Pool
	linkServer     *link.Server
	guard          *process.Guard
	peerServer     *process.Server
	operatorServer *process.Server
	cancel         context.CancelFunc
	done           chan struct{}
}

// New opens the data folder. Start must be called to listen and serve.
func New(ctx context.Context, opts Options) (*Server, error) {
	openDisk := opts.OpenDisk
	if openDisk == nil {
		openDisk = func(folder string) (wal.Disk, error) { return wal.OpenFolder(folder) }
	}
	disk, err := openDisk(opts.DataFolder)
	if err != nil {
		return nil, fmt.Errorf("keeper: %w", err)
	}
	mux := link.NewMux()
	se := &Server{
		opts: opts, startedAt: time.Now(), metrics: metrics.NewRegistry(), done: make(chan struct{}),
		pool: link.NewPool(opts.Config.ID, opts.FleetTokens, mux, link.WithTLS(opts.TLS.Client())),
	}
	mux.LogPanics(opts.Log, se.metrics)
	ctx, se.cancel = context.WithCancel(ctx)
	consensusOpts := consensus.DefaultOptions()
	consensusOpts.Seed = uint64(se.startedAt.UnixNano())
	keeperOpts := keeper.Options{
		Clock: clock.Real{}, Consensus: consensusOpts, Disk: disk, Log: opts.Log, Metrics: se.metrics, Mux: mux,
		PeerAddress: opts.Config.PeerAddress, OperatorAddress: opts.Config.OperatorAddress, Pool: se.pool, SigningKey: opts.SigningKey,
	}
	if opts.Group != nil {
		var firstSeeds []string
		if opts.Group.IsFirstStart {
			firstSeeds = opts.Group.Seeds()
		}
		if err := keeper.EnsureIdentity(disk, opts.Config.ID, firstSeeds); err != nil {
			return nil, err
		}
		keeperOpts.OperatorAddress = opts.Group.PublicAddress
		keeperOpts.Group = keeper.GroupOptions{
			Size: opts.Group.Size, Seeds: opts.Group.Seeds,
			KnownKeepers: func() []string { return se.fleet.View().KeeperAddresses() },
		}
	}
	if se.keeper, err = keeper.Open(ctx, keeperOpts); err != nil {
		return nil, err
	}
	if opts.Group != nil {
		if err := se.joinFleet(mux); err != nil {
			return nil, err
		}
	}
	se.linkServer = link.NewServer(mux, opts.FleetTokens, se.logRefusedCredentials)
	se.guard = process.NewGuard(opts.Config.Limits, opts.Log, se.metrics)
	se.peerServer = process.NewServer(opts.Config.PeerListenAddress(), se.linkServer, opts.TLS.Server(true)).Guard(se.guard, false)
	se.operatorServer = process.NewServer(opts.Config.OperatorAddress, se.operatorsHandler(), opts.TLS.Server(false)).Guard(se.guard, false)
	return se, nil
}

// Keeper returns the keeper, for the HTTP API of a platform.
func (se *Server) Keeper() *keeper.Keeper { return se.keeper }

// Guard returns what keeps the servers of the process within its limits, for further
// servers.
func (se *Server) Guard() *process.Guard { return se.guard }

// Start opens the listeners and runs the keeper until the context is cancelled.
func (se *Server) Start(ctx context.Context) error {
	for _, srv := range []*process.Server{se.peerServer, se.operatorServer} {
		if err := srv.Start(); err != nil {
			return fmt.Errorf("keeper: %w", err)
		}
	}
	if se.fleet != nil {
		go se.fleet.Run(ctx)
	}
	go func() {
		se.keeper.Run(ctx)
		close(se.done)
	}()
	se.opts.Log.Write(events.ProcessStarted, logrus.Fields{"keeper": se.keeper.ID(), "operators": se.opts.Config.OperatorAddress, "peers": se.opts.Config.PeerAddress})
	return nil
}

// Stop leaves the group if necessary, waits for pending changes and open operator
// requests, then closes all connections, and returns once operators have read their
// answers. The context of Start must be cancelled afterwards, not before.
func (se *Server) Stop(ctx context.Context) error {
	se.keeper.Leave(ctx)
	se.keeper.Stop(ctx)
	err := se.operatorServer.Shutdown(ctx)
	if se.fleet != nil {
		se.fleet.Leave()
	}
	se.cancel()
	se.linkServer.Close()
	se.peerServer.Close()
	se.pool.Close()
	if se.fleet != nil {
		se.fleet.Close()
	}
	return errors.Join(err, se.guard.Wait(ctx))
}

// Wait returns once the keeper has stopped and closed its log.
func (se *Server) Wait() { <-se.done }

// joinFleet sets up fleet membership for the keeper, without upstreams.
func (se *Server) joinFleet(mux *link.Mux) error {
	cfg := se.opts.Config
	var err error
	se.fleet, err = fleet.New(fleet.Options{
		Clock: clock.Real{}, Replica: se.keeper.Replica(), Log: se.opts.Log, Metrics: se.metrics, Mux: mux, Pool: se.pool,
		Self: member.Record{
			ID: cfg.ID, Zone: cfg.Zone, PeerAddress: cfg.PeerAddress, OperatorAddress: cfg.OperatorAddress, Keeper: true,
			Version: member.Version{Incarnation: uint64(se.startedAt.UnixNano())},
		},
		Listen: cfg.PeerListenAddress(), Seeds: se.opts.Group.Seeds, Tokens: se.opts.FleetTokens, RandomSeed: uint64(se.startedAt.UnixNano()),
	})
	if err != nil {
		return fmt.Errorf("keeper: %w", err)
	}
	return nil
}

// logRefusedCredentials logs a request without valid credentials.
func (se *Server) logRefusedCredentials(req *http.Request) {
	se.opts.Log.Write(events.CredentialsRefused, logrus.Fields{"from": req.RemoteAddr, "path": req.URL.Path})
}

func (se *Server) operatorsHandler() http.Handler {
	status := func() *genprocess.StatusResult {
		res := &genprocess.StatusResult{Program: "cactuskeeper", ID: se.keeper.ID(), Zone: se.opts.Config.Zone, UptimeSeconds: int64(time.Since(se.startedAt).Seconds())}
		se.keeper.FillStatus(res)
		return res
	}
	ops := process.NewOperatorAPI(se.opts.OperatorTokens, status, se.keeper.Dump, se.metrics)
	process.Mount(ops.Mux(), settingsserver.New, settingsserver.Mount, gensettings.NewEndpoints(keeper.NewSettingsService(se.keeper)))
	process.Mount(ops.Mux(), keepersserver.New, keepersserver.Mount, genkeepers.NewEndpoints(keeper.NewMembersService(se.keeper)))
	return ops.Handler(se.logRefusedCredentials)
}
