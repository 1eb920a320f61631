package quota

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"cactusstream.example/core/events"
	"cactusstream.example/core/fleet"
	"cactusstream.example/core/link"
	"cactusstream.example/core/member"
	"cactusstream.example/core/quota"
)

// methodMembers is the link method that returns a daemon's member set.
const methodMembers = "quota.members"

const (
	// membersTimeout is how long a daemon has to return its member set.
	membersTimeout = 500 * time.Millisecond
	// aloneDelay is how long a daemon that knows no other one waits before it holds
	// whole quotas. The only seed of a fleet knows no daemon when it starts, until the
	// others compare their tables with it.
	aloneDelay = 3 * time.Second
	// checkInterval is the interval at which daemons that have been silent for long are
	// checked, checkTimeout the time to wait for one, and maxChecked their number.
	checkInterval = 5 * time.Second
	checkTimeout  = 300 * time.Millisecond
	maxChecked    = 8
)

type membersRequest struct{}

type membersAnswer struct {
	Members []quota.Past `codec:"m"`
}

// membership is the state of following the member table.
type membership struct {
	view *fleet.View
	// version is the version of the member set that was logged, at loggedAt.
	version  uint64
	loggedAt time.Time
	joined   bool
	fetching bool
	// knownAt is when the fleet was known.
	knownAt   time.Time
	checkedAt time.Time
}

// followMembers merges the member table if it has changed, joins the fleet, and checks
// daemons that have been silent for long.
func (qu *Quota) followMembers(now time.Time) {
	if fields := qu.mergeMembers(now, qu.opts.View(), qu.opts.HasJoined()); fields != nil {
		qu.opts.Log.Write(events.QuotaMembers, fields)
	}
}

// mergeMembers does the work of followMembers. It returns the fields of a log line if
// the member set has changed.
func (qu *Quota) mergeMembers(now time.Time, view *fleet.View, hasJoined bool) logrus.Fields {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	if view != qu.members.view {
		qu.members.view = view
		qu.node.SetMembers(now, membersOf(view))
	}
	if hasJoined && !qu.members.joined {
		qu.join(now)
	}
	if now.Sub(qu.members.checkedAt) >= checkInterval {
		qu.members.checkedAt = now
		if silent := qu.node.Silent(now); len(silent) > 0 && !qu.node.IsIdle() {
			go qu.check(silent)
		}
	}
	all, alive, version := qu.node.Members()
	if version == qu.members.version || now.Sub(qu.members.loggedAt) < reportInterval {
		return nil
	}
	qu.members.version, qu.members.loggedAt = version, now
	return logrus.Fields{"members": all, "alive": alive, "version": version}
}

// membersOf returns the daemons of a view.
func membersOf(view *fleet.View) []quota.Member {
	members := make([]quota.Member, 0, len(view.Members))
	for _, rec := range view.Members {
		if !rec.Keeper {
			members = append(members, quota.Member{ID: rec.ID, Zone: rec.Zone, Address: rec.PeerAddress, Alive: rec.Status == member.Alive, Left: rec.Status == member.Left})
		}
	}
	return members
}

// join makes the daemon a holder of quotas. First it asks another daemon for its member
// set: the member table of a daemon that has just started lacks those that are dead or
// cut off, and without them it would hold too much. The caller holds mu.
func (qu *Quota) join(now time.Time) {
	if qu.members.knownAt.IsZero() {
		qu.members.knownAt = now
	}
	addresses := qu.addressesToAsk()
	switch {
	case qu.members.fetching:
	case len(addresses) > 0:
		qu.members.fetching = true
		go qu.fetchMembers(addresses[rand.IntN(len(addresses))])
	case now.Sub(qu.members.knownAt) >= aloneDelay:
		qu.members.joined = true
		qu.node.Join(now)
	}
}

// addressesToAsk returns the addresses of the other daemons that are alive: those of the
// own zone, since a member set is large and bytes between zones are expensive, or all if
// there are none. The caller holds mu.
func (qu *Quota) addressesToAsk() []string {
	var near, all []string
	for _, rec := range qu.members.view.Members {
		if rec.Keeper || rec.Status != member.Alive || rec.ID == qu.opts.Self {
			continue
		}
		all = append(all, rec.PeerAddress)
		if rec.Zone == qu.opts.Zone {
			near = append(near, rec.PeerAddress)
		}
	}
	if len(near) > 0 {
		return near
	}
	return all
}

// fetchMembers joins with the member set of another daemon, which may be one of an older
// program that has none. After an error, the next Tick tries another daemon.
func (qu *Quota) fetchMembers(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), membersTimeout)
	defer cancel()
	ans, err := link.Call[membersRequest, membersAnswer](ctx, qu.opts.Pool, address, methodMembers, membersRequest{})
	qu.mu.Lock()
	defer qu.mu.Unlock()
	qu.members.fetching = false
	var remote *link.RemoteError
	if err != nil && (!errors.As(err, &remote) || remote.Code == link.CodePanicked) {
		return
	}
	now := qu.opts.Clock.Now()
	qu.node.Merge(now, ans.Members)
	qu.node.Join(now)
	qu.members.joined = true
}

func (qu *Quota) listMembers() membersAnswer {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	return membersAnswer{Members: qu.node.Past(qu.opts.Clock.Now())}
}

// check finds the silent daemons that have stopped. A VM that refuses a connection
// shows that no process listens there; one that is cut off or frozen doesn't.
func (qu *Quota) check(silent []quota.Member) {
	rand.Shuffle(len(silent), func(i, j int) { silent[i], silent[j] = silent[j], silent[i] })
	for _, mem := range silent[:min(len(silent), maxChecked)] {
		con, err := net.DialTimeout("tcp", mem.Address, checkTimeout)
		if err == nil {
			_ = con.Close()
			continue
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			qu.markStopped(mem.ID)
		}
	}
}

func (qu *Quota) markStopped(id string) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	qu.node.MarkStopped(qu.opts.Clock.Now(), id)
}
