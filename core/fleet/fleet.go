// Package fleet connects a daemon's member table with the other daemons and derives
// the view that requests are routed by.
//
// Probes and updates are sent in authenticated UDP datagrams. Tables are
// periodically synchronized over links, so that they converge again after lost
// datagrams, long network partitions and restarts.
//
// Usage:
//
//	fl, err := fleet.New(options)
//	go fl.Run(ctx)
//	view := fl.View()           // for routing; cheap
//	fl.SetUpstreams(upstreams, departed)  // replaces this daemon's upstreams
//	fl.Leave()
//
// Lock order: while Fleet.mu is held, no message is sent and no lock is acquired but
// that of a settings.Resolver.
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
	"cactusstream.example/core/settingsync"
)

const (
	// maxDatagram is the size of the receive buffer, in bytes.
	maxDatagram = 60 << 10
	syncMethod  = "fleet.sync"
	// syncInterval is the average time between two rounds of synchronization.
	syncInterval = 10 * time.Second
	// syncTimeout limits the synchronization with one daemon.
	syncTimeout = 3 * time.Second
	// maxSyncRequests is the number of requests of one synchronization: digests, then
	// summaries. A daemon that asks for more is not followed.
	maxSyncRequests = 2
	// tickInterval is the time between two calls of Table.Tick, which needs several
	// per probe timeout.
	tickInterval = 50 * time.Millisecond
	// joinInterval is the time between two rounds while no peer is known.
	joinInterval = 200 * time.Millisecond
	// crossZoneRounds is the number of rounds of synchronization of which one leaves the
	// own zone. Gossip carries changes between zones; this only repairs what it lost.
	crossZoneRounds = 3
)

// Options holds the dependencies and parameters of a Fleet.
type Options struct {
	Clock   clock.Clock
	Replica *settingsync.Replica
	Log     *events.Logger
	Metrics *metrics.Registry
	Mux     *link.Mux
	Pool    *link.Pool
	Self    member.Record
	// Listen is the address of the UDP socket. It defaults to the peer address of
	// Self.
	Listen string
	// Seeds returns the peer addresses through which the fleet is joined.
	Seeds  func() []string
	Tokens *auth.Tokens
	// Firm and Place select the settings of the pools.
	Firm  string
	Place string
	// RandomSeed initializes the random number generators.
	RandomSeed uint64
}

// Fleet is one daemon's membership in the fleet. It is safe for concurrent use.
type Fleet struct {
	opts Options
	sock *net.UDPConn
	view atomic.Pointer[View]

	// synced is closed after the first exchange with another process.
	synced     chan struct{}
	syncedOnce sync.Once

	mu    sync.Mutex
	table *member.Table
	rng   *rand.Rand
}

// New opens the socket and returns a Fleet whose table contains only this daemon.
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
	memberOpts.Seed = opts.RandomSeed
	fl := &Fleet{
		opts:  opts,
		sock:  sock,
		table: member.NewTable(opts.Self, memberOpts, opts.Clock.Now()),
		rng:   rand.New(rand.NewPCG(opts.RandomSeed, 3)),

		synced: make(chan struct{}),
	}
	fl.refreshView()
	link.Handle(opts.Mux, syncMethod, fl.handleSync)
	return fl, nil
}

// PeerWithNewerSettings returns the address of a random member with newer settings than
// version, or "" when there is none.
func (fl *Fleet) PeerWithNewerSettings(version uint64) string {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.table.PickPeerWithNewerSettings(version)
}

// Inherited returns the departures of this daemon's earlier starts that other daemons
// have told. It waits for the first exchange with another process, if there is a seed
// to ask, until the context ends, and returns the error of the context then.
func (fl *Fleet) Inherited(ctx context.Context) ([]member.Departure, error) {
	if len(fl.otherSeeds()) > 0 {
		select {
		case <-fl.synced:
		case <-ctx.Done():
			return nil, fmt.Errorf("fleet: no other process has responded since the start: %w", ctx.Err())
		}
	}
	return fl.KnownInherited(), nil
}

// HasJoined reports whether another process has told this daemon about the fleet, or
// there is no seed to ask.
func (fl *Fleet) HasJoined() bool {
	select {
	case <-fl.synced:
		return true
	default:
		return len(fl.otherSeeds()) == 0
	}
}

// KnownInherited is like Inherited, but does not wait.
func (fl *Fleet) KnownInherited() []member.Departure {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.table.Inherited()
}

// Close closes the socket, which also ends receiving.
func (fl *Fleet) Close() {
	_ = fl.sock.Close()
}

// Leave announces to the other daemons that this one leaves.
func (fl *Fleet) Leave() {
	fl.sendAll(fl.update(func(now time.Time) []member.Outgoing { return fl.table.Leave(now) }))
	fl.refreshView()
}

// Members returns all records and the settings version that each member last
// reported, by ID.
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

// PickPeer returns the address of a random other daemon, or "" when there is none.
func (fl *Fleet) PickPeer() string {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.table.PickPeer()
}

// Run exchanges messages and synchronizes tables until the context ends.
func (fl *Fleet) Run(ctx context.Context) {
	go fl.receive()
	go fl.syncLoop(ctx)
	ticker := time.NewTicker(tickInterval)
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

// SetUpstreams replaces the upstreams of this daemon and its departures, and announces
// them.
func (fl *Fleet) SetUpstreams(upstreams []member.Upstream, departed []member.Departure) {
	fl.sendAll(fl.update(func(now time.Time) []member.Outgoing { return fl.table.SetUpstreams(now, upstreams, departed) }))
	fl.refreshView()
}

// update changes the table and returns the messages to send. The lock is released also if
// the code of the table panics.
func (fl *Fleet) update(change func(now time.Time) []member.Outgoing) []member.Outgoing {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return change(fl.opts.Clock.Now())
}

// View returns the current view of the fleet.
func (fl *Fleet) View() *View {
	return fl.view.Load()
}

// PoolPolicy returns the settings of a service's pool for this daemon's firm and
// place.
func (fl *Fleet) PoolPolicy(service string) *settings.Policy {
	return fl.opts.Replica.Current().Resolver.Policy(settings.Path{Firm: fl.opts.Firm, Place: fl.opts.Place, Service: service})
}

func (fl *Fleet) tick() {
	var changes []member.Change
	out := fl.update(func(now time.Time) []member.Outgoing {
		fl.table.SetSettingsVersion(fl.opts.Replica.Current().Version)
		out := fl.table.Tick(now)
		changes = fl.table.TakeChanges()
		return out
	})
	fl.sendAll(out)
	for _, change := range changes {
		fl.opts.Log.Write(events.MemberChanged, logrus.Fields{"member": change.ID, "from": change.From.String(), "to": change.To.String(), "new": change.IsNew})
		if change.To >= member.Dead {
			fl.opts.Pool.Forget(change.Record.PeerAddress)
		}
	}
	fl.refreshView()
}

// refreshView rebuilds the view if the table or the settings changed.
func (fl *Fleet) refreshView() {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	version := fl.opts.Replica.Current().Version
	old := fl.view.Load()
	if old != nil && old.revision == fl.table.Revision() && old.SettingsVersion == version {
		return
	}
	fl.view.Store(newView(fl.table.Records(), fl.table.Revision(), fl.PoolPolicy, version))
}

// receive processes datagrams until the socket is closed.
func (fl *Fleet) receive() {
	buf := make([]byte, maxDatagram)
	for {
		size, _, err := fl.sock.ReadFromUDP(buf)
		if err != nil {
			return
		}
		fl.opts.Metrics.Counter("fleet.bytesReceived").Inc(int64(size))
		data, err := fl.opts.Tokens.VerifyMAC(buf[:size])
		if err != nil {
			fl.opts.Metrics.Counter("fleet.datagramsRefused").Inc(1)
			continue
		}
		msg, err := codec.Unmarshal[member.Message](data)
		if err != nil {
			fl.opts.Metrics.Counter("fleet.datagramsRefused").Inc(1)
			continue
		}
		fl.sendAll(fl.update(func(now time.Time) []member.Outgoing { return fl.table.Handle(now, msg) }))
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
		datagram := fl.opts.Tokens.AppendMAC(data)
		if _, err := fl.sock.WriteToUDP(datagram, address); err == nil {
			fl.opts.Metrics.Counter("fleet.bytesSent").Inc(int64(len(datagram)))
		}
	}
}
