package bodybuffer_test

import (
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/core/bodybuffer"
	"cactusstream.example/core/clock"
)

// peer is an account with the reason for which it was closed.
type peer struct {
	*bodybuffer.Account
	reason bodybuffer.Reason
}

// budget is a budget in virtual time.
type budget struct {
	*bodybuffer.Buffer
	clo *clock.Fake
}

func newBudget(lim bodybuffer.Limits) *budget {
	clo := clock.NewFake(time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC))
	return &budget{Buffer: bodybuffer.NewBudget(lim, clo), clo: clo}
}

// open opens an account whose peer has sent nothing yet, or returns nil.
func (bu *budget) open() *peer {
	pe := &peer{}
	pe.Account = bu.Open(func(reason bodybuffer.Reason) { pe.reason = reason })
	if pe.Account == nil {
		return nil
	}
	pe.Await()
	return pe
}

// hold makes a peer send bytes that are held, and the process wait for more.
func (pe *peer) hold(bytes int) bool {
	pe.Moved(bytes)
	defer pe.Await()
	return pe.Reserve(bytes)
}

// TestHolderWithoutProgressGivesWay guards against a crowd that keeps ordinary callers out
// because connections are closed by age alone.
func TestHolderWithoutProgressGivesWay(t *testing.T) {
	is := is.New(t)
	bu := newBudget(bodybuffer.Limits{Bodies: 1 << 20, Accounts: 3})
	idle, stalled, moving := bu.open(), bu.open(), bu.open()
	bu.clo.Advance(time.Second)
	is.True(stalled.hold(60_000))
	bu.clo.Advance(time.Second)
	is.True(moving.hold(200_000))
	bu.clo.Advance(50 * time.Millisecond)
	is.True(bu.open() != nil)
	is.Equal(stalled.reason, bodybuffer.ReasonConnections)
	is.True(bu.open() != nil)
	is.Equal(idle.reason, bodybuffer.ReasonConnections)
	is.Equal(moving.reason, bodybuffer.Reason(""))
}

// TestOldestIdleGivesWayFirst guards against the loss of a connection that a caller is
// about to use again.
func TestOldestIdleGivesWayFirst(t *testing.T) {
	is := is.New(t)
	bu := newBudget(bodybuffer.Limits{Accounts: 3})
	var peers []*peer
	for range 3 {
		peers = append(peers, bu.open())
		bu.clo.Advance(time.Second)
	}
	for _, pe := range peers {
		is.Equal(pe.reason, bodybuffer.Reason(""))
		is.True(bu.open() != nil)
		is.Equal(pe.reason, bodybuffer.ReasonConnections)
	}
}

// TestRunningRequestIsNotClosed guards against a request that is cut while an upstream
// works on it.
func TestRunningRequestIsNotClosed(t *testing.T) {
	is := is.New(t)
	bu := newBudget(bodybuffer.Limits{Accounts: 1, Total: 1 << 20})
	running := bu.open()
	is.True(running.hold(500_000))
	running.Moved(0)
	running.Begin()
	bu.clo.Advance(time.Hour)
	is.True(bu.open() == nil)
	bu.CloseStalled(time.Second)
	is.Equal(running.reason, bodybuffer.Reason(""))
	running.End()
	running.Await() // For the next request.
	bu.clo.Advance(time.Second)
	is.True(bu.open() != nil)
	is.Equal(running.reason, bodybuffer.ReasonConnections)
}

// TestTrickleIsNoProgress guards against peers that stay by sending a byte at a time.
func TestTrickleIsNoProgress(t *testing.T) {
	is := is.New(t)
	bu := newBudget(bodybuffer.Limits{Bodies: 1 << 20, Accounts: 2})
	trickle, upload := bu.open(), bu.open()
	for _, pe := range []*peer{trickle, upload} {
		is.True(pe.hold(100_000))
		pe.Begin()
	}
	for range 20 {
		bu.clo.Advance(100 * time.Millisecond)
		is.True(trickle.hold(1))
		is.True(upload.hold(10_000))
	}
	is.True(bu.open() != nil)
	is.Equal(trickle.reason, bodybuffer.ReasonConnections)
	is.Equal(upload.reason, bodybuffer.Reason(""))
}

// TestStalledRequestIsClosed guards against requests and answers that never end, and
// against a limit on those that make progress, however slow.
func TestStalledRequestIsClosed(t *testing.T) {
	is := is.New(t)
	bu := newBudget(bodybuffer.Limits{Accounts: 10})
	stalled, slow, idle := bu.open(), bu.open(), bu.open()
	stalled.Begin()
	slow.Begin()
	for range 30 {
		bu.clo.Advance(time.Second)
		is.True(slow.hold(1))
		bu.CloseStalled(20 * time.Second)
	}
	is.Equal(stalled.reason, bodybuffer.ReasonStalled)
	is.Equal(slow.reason, bodybuffer.Reason(""))
	is.Equal(idle.reason, bodybuffer.Reason("")) // The idle timeout of the server applies.
}

// TestSmallRequestsKeepAPart guards against large requests that leave no memory for
// ordinary ones.
func TestSmallRequestsKeepAPart(t *testing.T) {
	is := is.New(t)
	bu := newBudget(bodybuffer.Limits{Total: 4 << 20})
	var large []*peer
	for range 10 {
		pe := bu.open()
		large = append(large, pe)
		if !pe.hold(500_000) {
			break
		}
		pe.Moved(0) // The request runs, so the account is never closed.
	}
	is.True(len(large) < 10)
	is.True(bu.open().hold(60_000))
}

// TestMemoryOfStalledAccountsIsFreed guards against accounts without progress that keep
// the budget used up.
func TestMemoryOfStalledAccountsIsFreed(t *testing.T) {
	is := is.New(t)
	bu := newBudget(bodybuffer.Limits{Total: 4 << 20})
	var stalled []*peer
	for range 6 {
		pe := bu.open()
		is.True(pe.hold(480_000))
		stalled = append(stalled, pe)
	}
	bu.clo.Advance(time.Second)
	is.True(bu.open().hold(480_000))
	closed := 0
	for _, pe := range stalled {
		if pe.reason == bodybuffer.ReasonMemory {
			closed++
		}
	}
	is.True(closed > 0 && closed < 6) // No more than are needed.
}

// TestBodyReplacesStalledBody guards against bodies that stop short and leave no memory
// for those of other callers.
func TestBodyReplacesStalledBody(t *testing.T) {
	is := is.New(t)
	bu := newBudget(bodybuffer.Limits{Bodies: 1 << 20})
	reader, writer := io.Pipe()
	stalled := bu.Open(func(bodybuffer.Reason) { _ = reader.CloseWithError(io.ErrClosedPipe) })
	ended := make(chan error)
	go func() {
		_, err := bu.ReadFor(stalled, reader, 1<<20)
		ended <- err
	}()
	_, err := writer.Write(make([]byte, 500_000)) // Returns once it has been read.
	is.NoErr(err)
	stalled.Await()
	bu.clo.Advance(time.Second)
	other := bu.open()
	body, err := bu.ReadFor(other.Account, io.LimitReader(&endless{}, 300_000), 1<<20)
	is.NoErr(err)
	is.Equal(len(body), 300_000)
	is.True(<-ended != nil)
	bu.Release(body)
	is.Equal(bu.Used(), 0)
}

// TestAccountsAddUp applies random operations and checks that the sum of all accounts
// stays under its limit, and that nothing is left once all are closed.
func TestAccountsAddUp(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		bu := newBudget(bodybuffer.Limits{Total: 8 << 20, Accounts: 50})
		var peers []*peer
		for range 2000 {
			bu.clo.Advance(time.Duration(rnd.IntN(100)) * time.Millisecond)
			if pe := bu.open(); pe != nil {
				peers = append(peers, pe)
			}
			pe := peers[rnd.IntN(len(peers))]
			switch rnd.IntN(4) {
			case 0:
				pe.Close()
			case 1:
				pe.End()
			default:
				bu.clo.Advance(time.Second) // Whoever waits may be closed.
				is.True(pe.hold(rnd.IntN(400_000)))
			}
			count, held := bu.Accounts()
			is.True(count <= 50)
			is.True(held <= 8<<20)
		}
		for _, pe := range peers {
			pe.Close()
		}
		count, held := bu.Accounts()
		is.Equal(count, 0)
		is.Equal(held, 0)
	}
}

// TestLegalConnectionsAreKept guards against limits that callers meet who keep to theirs:
// 1,500 open connections, with small requests now and then, on a VM of 184 MB.
func TestLegalConnectionsAreKept(t *testing.T) {
	is := is.New(t)
	bu := newBudget(bodybuffer.Limits{Bodies: 23_000_000, Total: 46_000_000, Accounts: 2000})
	var peers []*peer
	for range 1500 {
		peers = append(peers, bu.open())
	}
	bu.clo.Advance(14 * time.Second)
	for _, pe := range peers {
		is.True(pe.hold(4000))
		pe.Begin()
		pe.Moved(0)
		pe.End()
		pe.Await()
	}
	bu.CloseStalled(20 * time.Second)
	for _, pe := range peers {
		is.Equal(pe.reason, bodybuffer.Reason(""))
	}
}
