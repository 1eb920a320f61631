package bodybuffer

import (
	"context"
	"slices"
	"time"

	"cactusstream.example/core/clock"
)

const (
	// connectionCost is the memory of a connection between requests, in bytes: the read
	// and write buffers of net/http, the stack of its goroutine and its entries.
	connectionCost = 16 << 10
	// smallAccount is what an account may hold, in bytes, to use the reserved part of the
	// budget. The head of an ordinary request is far below it.
	smallAccount = 96 << 10
	// minProgress is the number of bytes that count as progress, and progressFraction the
	// divisor that gives the least progress of an account that holds much. A peer that
	// sends or reads a byte at a time makes none.
	minProgress      = 1 << 10
	progressFraction = 256
	// minQuiet is the time without progress after which an account may be closed when the
	// budget runs short. Peers that are merely between two packets are not closed.
	minQuiet = 250 * time.Millisecond
	// passInterval limits how often the accounts are searched in vain, since a search costs
	// 0.2 ms with 2,000 of them. lowFraction and batchFraction are the divisors for the
	// parts of the memory and of the accounts that a search frees beyond what is missing.
	passInterval  = 10 * time.Millisecond
	lowFraction   = 16
	batchFraction = 64
	// reserveWait is how long Reserve waits for memory. It exceeds minQuiet, so that
	// accounts without progress give way first.
	reserveWait = time.Second
	// freeWait is how long a body waits for the memory of the accounts that were closed.
	freeWait = 200 * time.Millisecond
)

// Reason says why an account was closed.
type Reason string

// Reasons.
const (
	ReasonMemory      Reason = "memory"
	ReasonConnections Reason = "connections"
	ReasonStalled     Reason = "stalled"
)

// Limits configures a budget.
type Limits struct {
	// Bodies limits the memory of bodies.
	Bodies int
	// Total limits what all accounts hold together, with their bodies. 0 means no limit.
	Total int
	// Accounts limits the number of accounts.
	Accounts int
}

// Account is what a process holds for one connection of a peer.
type Account struct {
	buf   *Buffer
	close func(Reason)

	// The lock of the Buffer guards the fields below.
	held int
	// waitsSince is the start of the read or write in which the process waits for the
	// peer, or zero. An account whose request runs is never closed.
	waitsSince time.Time
	// unmoved is the time spent waiting without a byte, and quiet that without progress.
	unmoved, quiet time.Duration
	moved          int
	// inRequest is set between the head of a request and the end of its answer.
	inRequest bool
	closed    bool
}

// NewBudget returns a Buffer that also limits what accounts hold.
func NewBudget(lim Limits, clo clock.Clock) *Buffer {
	return &Buffer{limit: lim.Bodies, limits: lim, clock: clo, accounts: make(map[*Account]struct{})}
}

// Open opens an account for a new connection, or returns nil if there are too many and
// all others make progress. If one of the others has to give way, or the account itself
// later, its close function is called once with the reason.
func (bu *Buffer) Open(closeConn func(Reason)) *Account {
	ac, victims := bu.open(closeConn)
	closeAll(victims, ReasonConnections)
	return ac
}

// open is the part of Open that holds the lock. It also returns the accounts to close.
func (bu *Buffer) open(closeConn func(Reason)) (*Account, []*Account) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	limit := bu.limits.Accounts
	now := bu.clock.Now()
	var victims []*Account
	if limit > 0 && len(bu.accounts) >= limit && now.Sub(bu.lastRefusal) >= passInterval {
		victims = bu.takeVictims(nil, func() bool { return len(bu.accounts) < limit-limit/batchFraction })
	}
	ac := &Account{buf: bu, close: closeConn, held: connectionCost}
	isOpen := limit <= 0 || len(bu.accounts) < limit
	if !isOpen && len(victims) == 0 && now.Sub(bu.lastRefusal) >= passInterval {
		bu.lastRefusal = now
	}
	if !isOpen {
		return nil, victims
	}
	bu.accounts[ac] = struct{}{}
	bu.total += ac.held
	return ac, victims
}

// Accounts returns the number of accounts and what they hold.
func (bu *Buffer) Accounts() (count, held int) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	return len(bu.accounts), bu.total
}

// CloseStalled closes the accounts in the middle of a request or an answer whose peers
// have neither sent nor read a byte for the given time.
func (bu *Buffer) CloseStalled(after time.Duration) {
	closeAll(bu.takeStalled(after), ReasonStalled)
}

// takeStalled removes the accounts that CloseStalled closes.
func (bu *Buffer) takeStalled(after time.Duration) []*Account {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	now := bu.clock.Now()
	var victims []*Account
	for ac := range bu.accounts {
		if ac.inRequest && !ac.waitsSince.IsZero() && ac.unmoved+now.Sub(ac.waitsSince) > after {
			victims = append(victims, ac)
		}
	}
	for _, ac := range victims {
		bu.remove(ac)
	}
	return victims
}

// Close ends the account. What it holds no longer counts.
func (ac *Account) Close() {
	ac.buf.mu.Lock()
	defer ac.buf.mu.Unlock()
	ac.buf.remove(ac)
}

// Begin marks the start of a request, whose head has been read, and End the end of its
// answer.
func (ac *Account) Begin() {
	ac.buf.mu.Lock()
	defer ac.buf.mu.Unlock()
	ac.inRequest = true
	ac.unmoved, ac.quiet, ac.moved = 0, 0, 0
}

// End returns what was charged for the request.
func (ac *Account) End() {
	ac.buf.mu.Lock()
	defer ac.buf.mu.Unlock()
	ac.inRequest = false
	ac.unmoved, ac.quiet, ac.moved = 0, 0, 0
	ac.add(connectionCost - ac.held)
}

// Await marks the start of a read or write that may wait for the peer.
func (ac *Account) Await() {
	ac.buf.mu.Lock()
	defer ac.buf.mu.Unlock()
	ac.waitsSince = ac.buf.clock.Now()
}

// Moved marks the end of that read or write, and how many bytes were moved.
func (ac *Account) Moved(bytes int) {
	ac.buf.mu.Lock()
	defer ac.buf.mu.Unlock()
	ac.settle(bytes)
	ac.waitsSince = time.Time{}
}

// Progress counts bytes that the peer has taken during a write that still waits.
func (ac *Account) Progress(bytes int) {
	ac.buf.mu.Lock()
	defer ac.buf.mu.Unlock()
	ac.settle(bytes)
}

// settle adds the time since waitsSince to what the account has waited, and counts bytes
// as progress.
func (ac *Account) settle(bytes int) {
	if !ac.waitsSince.IsZero() {
		now := ac.buf.clock.Now()
		ac.unmoved += now.Sub(ac.waitsSince)
		ac.quiet += now.Sub(ac.waitsSince)
		ac.waitsSince = now
	}
	if bytes > 0 {
		ac.unmoved = 0
	}
	ac.moved += bytes
	if ac.moved >= max(minProgress, ac.held/progressFraction) {
		ac.quiet, ac.moved = 0, 0
	}
}

// Reserve charges bytes to the account before they are held. If the budget is used up,
// accounts without progress are closed, and Reserve waits for their memory. It returns
// false if there is none; the connection has to be closed then.
func (ac *Account) Reserve(bytes int) bool {
	for range reserveWait / passInterval {
		done, victims := ac.buf.reserve(ac, bytes)
		closeAll(victims, ReasonMemory)
		if done {
			return true
		}
		time.Sleep(passInterval)
	}
	return false
}

// Return returns what was reserved.
func (ac *Account) Return(bytes int) {
	ac.buf.mu.Lock()
	defer ac.buf.mu.Unlock()
	ac.add(-min(bytes, ac.held-connectionCost))
}

func (bu *Buffer) reserve(ac *Account, bytes int) (done bool, victims []*Account) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if ac.closed {
		return true, nil // The next read or write fails.
	}
	ceiling := bu.ceiling(ac.held + bytes)
	if ceiling > 0 && bu.total+bytes > ceiling {
		now := bu.clock.Now()
		if now.Sub(bu.lastPass) < passInterval {
			return false, nil
		}
		bu.lastPass = now
		victims = bu.takeVictims(ac, func() bool { return bu.total+bytes <= ceiling-bu.limits.Total/lowFraction })
		if bu.total+bytes > ceiling {
			return false, victims
		}
	}
	ac.add(bytes)
	return true, victims
}

// ceiling returns the limit on the sum of all accounts for one that holds the given
// number of bytes. Small ones may use the reserved part.
func (bu *Buffer) ceiling(held int) int {
	if held <= smallAccount {
		return bu.limits.Total
	}
	return bu.limits.Total - bu.limits.Total/reservedFraction
}

// takeVictims removes accounts until isEnough returns true, those that hold most and have
// made no progress for longest first, and returns them. The caller closes them once it
// has released the lock.
func (bu *Buffer) takeVictims(except *Account, isEnough func() bool) []*Account {
	type candidate struct {
		account *Account
		weight  float64
	}
	var candidates []candidate
	now := bu.clock.Now()
	for ac := range bu.accounts {
		if ac == except || ac.waitsSince.IsZero() {
			continue
		}
		if quiet := ac.quiet + now.Sub(ac.waitsSince); quiet >= minQuiet {
			candidates = append(candidates, candidate{ac, float64(ac.held) * quiet.Seconds()})
		}
	}
	slices.SortFunc(candidates, func(one, two candidate) int {
		switch {
		case one.weight > two.weight:
			return -1
		case one.weight < two.weight:
			return 1
		}
		return 0
	})
	var victims []*Account
	for _, can := range candidates {
		if isEnough() {
			break
		}
		bu.remove(can.account)
		victims = append(victims, can.account)
	}
	return victims
}

// remove removes an account. The bodies that it holds stay counted until they are
// released.
func (bu *Buffer) remove(ac *Account) {
	if ac.closed {
		return
	}
	ac.closed = true
	bu.total -= ac.held
	delete(bu.accounts, ac)
}

func (ac *Account) add(bytes int) {
	if ac.closed {
		return
	}
	ac.held += bytes
	ac.buf.total += bytes
}

func closeAll(victims []*Account, reason Reason) {
	for _, ac := range victims {
		ac.close(reason)
	}
}

// freeBodies closes accounts without progress that hold bodies, until the given number of
// bytes is about to be free, and reports whether it closed any.
func (bu *Buffer) freeBodies(ac *Account, bytes int) bool {
	victims := bu.takeForBodies(ac, bytes)
	closeAll(victims, ReasonMemory)
	return len(victims) > 0
}

// takeForBodies removes the accounts that freeBodies closes.
func (bu *Buffer) takeForBodies(ac *Account, bytes int) []*Account {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	before := bu.total
	return bu.takeVictims(ac, func() bool { return before-bu.total >= bytes })
}

type accountKey struct{}

// WithAccount returns a context that carries the account of a connection.
func WithAccount(ctx context.Context, ac *Account) context.Context {
	return context.WithValue(ctx, accountKey{}, ac)
}

// AccountOf returns the account that a context carries, or nil.
func AccountOf(ctx context.Context) *Account {
	ac, _ := ctx.Value(accountKey{}).(*Account)
	return ac
}
