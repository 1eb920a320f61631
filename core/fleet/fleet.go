// Package fleet keeps a daemon's member table in touch with the other daemons.
//
// Probes and news travel in sealed UDP datagrams; tables are compared and
// repaired over links now and then, so that lost datagrams, long cuts and
// restarts do no lasting harm.
//
// Usage:
//
//	fl, err := fleet.New(options)
//	go fl.Run(ctx)
//	view := fl.View()           // for routing; cheap
//	fl.SetUpstreams(records)    // what stands beside this daemon
//	fl.Leave()
//
// Lock order: Fleet.mu is a leaf; no message is sent while it is held.
package fleet

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"cactusstream.example/core/auth"
	"cactusstream.example/core/clock"
	"cactusstream.example/core/codec"
	"cactusstream.example/core/events"
	"cactusstream.example/core/link"
	"cactusstream.example/core/member"
	"cactusstream.example/core/metrics"
	"cactusstream.example/core/settings"
	"cactusstream.example/core/spread"
)

const (
	maxDatagram = 60 << 10
	methodSync  = "fleet.sync"
	syncEvery   = 10 * time.Second
	syncTimeout = 3 * time.Second
	tickEvery   = 50 * time.Millisecond
	joinEvery   = 200 * time.Millisecond
)

// Options are what a Fleet is made of.
type Options struct {
	Clock   clock.Clock
	Holder  *spread.Holder
	Log     *events.Logger
	Metrics *metrics.Registry
	Mux     *link.Mux
	Pool    *link.Pool
	Self    member.Record
	// Listen is the address of the socket; "" is the peer address of Self.
	Listen string
	// Seeds returns peer addresses where members of the fleet may be.
	Seeds    func() []string
	Tokens   *auth.Tokens
	Firm     string
	Place    string
	SyncSeed uint64
}

// Fleet is one daemon's part in the fleet. It is safe for concurrent use.
type Fleet struct {
	opts Options
	sock *net.UDPConn
	view atomic.Pointer[View]

	mu    sync.Mutex
	table *member.Table
	rng   *rand.Rand
}

// syncRequest compares two tables. Without summaries it asks whether the
// tables differ at all.
type syncRequest struct {
	Digest    uint64                    `codec:"d"`
	Summaries map[string]member.Summary `codec:"s"`
	Records   []member.Record           `codec:"r"`
}

type syncAnswer struct {
	Same      bool                      `codec:"e"`
	Summaries map[string]member.Summary `codec:"s"`
	Records   []member.Record           `codec:"r"`
}

// New opens the socket of a daemon that knows only itself.
func New(opts Options) (*Fleet, error) {
	address, err := net.ResolveUDPAddr("udp", cmp.Or(opts.Listen, opts.Self.PeerAddress))
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	sock, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	memberOpts := member.DefaultOptions()
	memberOpts.Seed = opts.SyncSeed
	fl := &Fleet{
		opts:  opts,
		sock:  sock,
		table: member.NewTable(opts.Self, memberOpts, opts.Clock.Now()),
		rng:   rand.New(rand.NewPCG(opts.SyncSeed, 3)),
	}
	fl.refreshView()
	link.Handle(opts.Mux, methodSync, fl.answerSync)
	return fl, nil
}

// Ahead returns the address of a daemon with newer settings than a version, or "".
func (fl *Fleet) Ahead(version uint64) string {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, rec := range fl.table.Records() {
		if rec.Status < member.Dead && fl.table.SettingsVersionOf(rec.ID) > version {
			return rec.PeerAddress
		}
	}
	return ""
}

// Close closes the socket.
func (fl *Fleet) Close() {
	_ = fl.sock.Close()
}

// Leave tells the others that this daemon leaves.
func (fl *Fleet) Leave() {
	fl.mu.Lock()
	out := fl.table.Leave(fl.opts.Clock.Now())
	fl.mu.Unlock()
	fl.sendAll(out)
	fl.refreshView()
}

// Members returns every record, with the settings version last heard of each.
func (fl *Fleet) Members() ([]member.Record, map[string]uint64) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	records := fl.table.Records()
	versions := make(map[string]uint64, len(records))
	for _, rec := range records {
		versions[rec.ID] = fl.table.SettingsVersionOf(rec.ID)
	}
	return records, versions
}

// PickPeer returns the address of another daemon at random, or "".
func (fl *Fleet) PickPeer() string {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.table.PickPeer()
}

// Run keeps the table until the context ends.
func (fl *Fleet) Run(ctx context.Context) {
	go fl.receive()
	go fl.syncLoop(ctx)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			fl.tick()
		case <-ctx.Done():
			return
		}
	}
}

// SetUpstreams changes what stands beside this daemon.
func (fl *Fleet) SetUpstreams(upstreams []member.Upstream) {
	fl.mu.Lock()
	out := fl.table.SetUpstreams(fl.opts.Clock.Now(), upstreams)
	fl.mu.Unlock()
	fl.sendAll(out)
	fl.refreshView()
}

// View returns what this daemon knows of the fleet.
func (fl *Fleet) View() *View {
	return fl.view.Load()
}

// PoolPolicy returns the settings of a service's pool, in this daemon's firm and place.
func (fl *Fleet) PoolPolicy(service string) *settings.Policy {
	return fl.opts.Holder.Current().Resolver.Policy(settings.Path{Firm: fl.opts.Firm, Place: fl.opts.Place, Service: service})
}

func (fl *Fleet) tick() {
	fl.mu.Lock()
	fl.table.SetSettingsVersion(fl.opts.Holder.Current().Version)
	out := fl.table.Tick(fl.opts.Clock.Now())
	changes := fl.table.TakeChanges()
	fl.mu.Unlock()
	fl.sendAll(out)
	for _, change := range changes {
		fl.opts.Log.Write(events.MemberChanged, logrus.Fields{"member": change.ID, "from": change.From.String(), "to": change.To.String(), "new": change.IsNew})
		if change.To >= member.Dead {
			fl.opts.Pool.Forget(change.Record.PeerAddress)
		}
	}
	fl.refreshView()
}

// refreshView works the view out anew when the table or the settings changed.
func (fl *Fleet) refreshView() {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	version := fl.opts.Holder.Current().Version
	old := fl.view.Load()
	if old != nil && old.revision == fl.table.Revision() && old.Settings == version {
		return
	}
	fl.view.Store(newView(fl.table.Records(), fl.table.Revision(), fl.PoolPolicy, version))
}

func (fl *Fleet) receive() {
	buf := make([]byte, maxDatagram)
	for {
		size, _, err := fl.sock.ReadFromUDP(buf)
		if err != nil {
			return
		}
		fl.opts.Metrics.Counter("fleet.bytesReceived").Inc(int64(size))
		data, err := fl.opts.Tokens.Open(buf[:size])
		if err != nil {
			fl.opts.Metrics.Counter("fleet.datagramsRefused").Inc(1)
			continue
		}
		msg, err := codec.Unmarshal[member.Message](data)
		if err != nil {
			fl.opts.Metrics.Counter("fleet.datagramsRefused").Inc(1)
			continue
		}
		fl.mu.Lock()
		out := fl.table.Handle(fl.opts.Clock.Now(), msg)
		fl.mu.Unlock()
		fl.sendAll(out)
	}
}

func (fl *Fleet) sendAll(list []member.Outgoing) {
	for _, out := range list {
		address, err := net.ResolveUDPAddr("udp", out.Address)
		if err != nil {
			continue
		}
		data, err := codec.Marshal(out.Message)
		if err != nil {
			continue
		}
		sealed := fl.opts.Tokens.Seal(data)
		if _, err := fl.sock.WriteToUDP(sealed, address); err == nil {
			fl.opts.Metrics.Counter("fleet.bytesSent").Inc(int64(len(sealed)))
		}
	}
}
