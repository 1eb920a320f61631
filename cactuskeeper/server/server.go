// Package server is a keeper with its listeners and its part in the fleet.
//
// Usage:
//
//	srv, err := server.New(ctx, options)
//	err = srv.Start(ctx)
//	err = srv.Stop(ctx)   // finishes the changes under way
package server

import (
	"context"
	"crypto/ed25519"
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

// Options are what a Server is made of.
type Options struct {
	Config         process.Config
	DataFolder     string
	FleetTokens    *auth.Tokens
	Group          *Group
	Log            *events.Logger
	OperatorTokens *auth.Tokens
	SigningKey     ed25519.PrivateKey
	TLS            *auth.TLS
}

// Group makes the keeper find the other keepers by itself, and daemons find the
// keeper. Without it, operators say who the keepers are.
type Group struct {
	IsFirstStart bool
	// PublicAddress is where operators of the platform reach this keeper.
	PublicAddress string
	Seeds         func() []string
	Size          int
}

// Server is one keeper with its listeners.
type Server struct {
	opts      Options
	started   time.Time
	metrics   *metrics.Registry
	keeper    *keeper.Keeper
	fleet     *fleet.Fleet
	pool      *link.Pool
	links     *link.Server
	peers     *process.Server
	operators *process.Server
	cancel    context.CancelFunc
	ran       chan struct{}
}

// New opens the data folder; nothing is served yet.
func New(ctx context.Context, opts Options) (*Server, error) {
	disk, err := wal.OpenFolder(opts.DataFolder)
	if err != nil {
		return nil, fmt.Errorf("keeper: %w", err)
	}
	mux := link.NewMux()
	se := &Server{
		opts: opts, started: time.Now(), metrics: metrics.NewRegistry(), ran: make(chan struct{}),
		pool: link.NewPool(opts.Config.ID, opts.FleetTokens, mux, link.WithTLS(opts.TLS.Client())),
	}
	ctx, se.cancel = context.WithCancel(ctx)
	consensusOpts := consensus.DefaultOptions()
	consensusOpts.Seed = uint64(se.started.UnixNano())
	keeperOpts := keeper.Options{
		Clock: clock.Real{}, Consensus: consensusOpts, Disk: disk, Log: opts.Log, Metrics: se.metrics, Mux: mux,
		PeerAddress: opts.Config.PeerAddress, OperatorAddress: opts.Config.OperatorAddress, Pool: se.pool, SigningKey: opts.SigningKey,
	}
	if opts.Group != nil {
		if err := keeper.EnsureIdentity(disk, opts.Config.ID); err != nil {
			return nil, err
		}
		keeperOpts.OperatorAddress = opts.Group.PublicAddress
		keeperOpts.Group = keeper.GroupOptions{
			Size: opts.Group.Size, IsFirstStart: opts.Group.IsFirstStart, Seeds: opts.Group.Seeds,
			Known: func() []string { return se.fleet.View().Keepers },
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
	se.links = link.NewServer(mux, opts.FleetTokens, se.refused)
	se.peers = process.NewServer(opts.Config.PeerListener(), se.links, opts.TLS.Server(true))
	se.operators = process.NewServer(opts.Config.OperatorAddress, se.operatorsHandler(), opts.TLS.Server(false))
	return se, nil
}

// Keeper returns the keeper, for doors of a platform.
func (se *Server) Keeper() *keeper.Keeper { return se.keeper }

// Start listens and takes part in the agreement.
func (se *Server) Start(ctx context.Context) error {
	for _, srv := range []*process.Server{se.peers, se.operators} {
		if err := srv.Start(); err != nil {
			return fmt.Errorf("keeper: %w", err)
		}
	}
	if se.fleet != nil {
		go se.fleet.Run(ctx)
	}
	go func() {
		se.keeper.Run(ctx)
		close(se.ran)
	}()
	se.opts.Log.Write(events.ProcessStarted, logrus.Fields{"keeper": se.keeper.ID(), "operators": se.opts.Config.OperatorAddress, "peers": se.opts.Config.PeerAddress})
	return nil
}

// Stop finishes the changes under way and answers what operators have asked.
// The context of Start must end after it.
func (se *Server) Stop(ctx context.Context) error {
	se.keeper.Stop(ctx)
	err := se.operators.Shutdown(ctx)
	if se.fleet != nil {
		se.fleet.Leave()
	}
	se.cancel()
	se.links.Close()
	se.peers.Close()
	se.pool.Close()
	if se.fleet != nil {
		se.fleet.Close()
	}
	return err
}

// Wait returns when the keeper has closed its disk.
func (se *Server) Wait() { <-se.ran }

// joinFleet makes the keeper a member of the fleet, without upstreams.
func (se *Server) joinFleet(mux *link.Mux) error {
	cfg := se.opts.Config
	var err error
	se.fleet, err = fleet.New(fleet.Options{
		Clock: clock.Real{}, Holder: se.keeper.Holder(), Log: se.opts.Log, Metrics: se.metrics, Mux: mux, Pool: se.pool,
		Self: member.Record{
			ID: cfg.ID, Zone: cfg.Zone, PeerAddress: cfg.PeerAddress, OperatorAddress: cfg.OperatorAddress, Keeper: true,
			Version: member.Version{Incarnation: uint64(se.started.UnixNano())},
		},
		Listen: cfg.PeerListener(), Seeds: se.opts.Group.Seeds, Tokens: se.opts.FleetTokens, SyncSeed: uint64(se.started.UnixNano()),
	})
	if err != nil {
		return fmt.Errorf("keeper: %w", err)
	}
	return nil
}

// refused logs a call without a right credential.
func (se *Server) refused(req *http.Request) {
	se.opts.Log.Write(events.CredentialsRefused, logrus.Fields{"from": req.RemoteAddr, "path": req.URL.Path})
}

func (se *Server) operatorsHandler() http.Handler {
	status := func() *genprocess.StatusResult {
		res := &genprocess.StatusResult{Program: "cactuskeeper", ID: se.keeper.ID(), Zone: se.opts.Config.Zone, UptimeSeconds: int64(time.Since(se.started).Seconds())}
		se.keeper.FillStatus(res)
		return res
	}
	ops := process.NewOperators(se.opts.OperatorTokens, status, se.keeper.Dump, se.metrics)
	process.Mount(ops.Mux(), settingsserver.New, settingsserver.Mount, gensettings.NewEndpoints(keeper.NewSettingsService(se.keeper)))
	process.Mount(ops.Mux(), keepersserver.New, keepersserver.Mount, genkeepers.NewEndpoints(keeper.NewMembersService(se.keeper)))
	return ops.Handler(se.refused)
}
