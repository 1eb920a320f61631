package quota

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// CallTimeout is how long a holder has to answer. Round trips take 1 to 2 ms in a
	// region, and three holders must be asked in the time that a request may wait.
	CallTimeout = 80 * time.Millisecond
	// maxAskTime is the age up to which a request may be sent to another holder, so
	// that no request waits for longer than maxAskTime and CallTimeout together.
	maxAskTime = 170 * time.Millisecond
	// maxAsked is the number of holders that are asked for one request.
	maxAsked = 5
	// nearAsked is the number of holders that are asked in the own zone first, before
	// the zone no longer matters.
	nearAsked = 2
	// Each request adds askCreditRequest to the calls that an organisation may cause,
	// and each granted token askCreditGrant, up to minAskCredit and the burst, which may
	// arrive at one daemon. Far above the limit, most calls are refused and cost more
	// than they find.
	askCreditRequest = 0.5
	askCreditGrant   = 4
	minAskCredit     = 10
	// returnedRetention is how long returned tokens are kept for the next call.
	returnedRetention = 500 * time.Millisecond
	// isolatedInterval is the time between two requests that an isolated daemon admits.
	// It exceeds a window, so that no window holds two.
	isolatedInterval = window + 100*time.Millisecond
	// retryUnreachable is the delay that a refused caller is told if no holder can be
	// reached.
	retryUnreachable = time.Second
	// idleRetention is how long what is known about an organisation is kept without
	// requests. It exceeds isolatedInterval.
	idleRetention = 30 * time.Second
	// maxOrganisations limits the organisations that are kept, whatever their age.
	maxOrganisations = 20_000
)

// Call is a call to send to a holder. Pass its answer to Node.Finish.
type Call struct {
	ID      uint64
	Holder  string
	Address string
	Ask     Ask
}

// Decision is the verdict on one request.
type Decision struct {
	Request uint64
	Verdict Verdict
	// Asked is the number of holders that were asked, and Isolated is set for the
	// isolated allowance.
	Asked    int
	Isolated bool
}

// Result is what a Node wants to be done: calls to be sent, and requests that have
// been decided.
type Result struct {
	Calls     []Call
	Decisions []Decision
}

// request is a request for one token that has not been decided.
type request struct {
	id      uint64
	org     *organisation
	ask     Ask
	started time.Time
	tried   []*peer
	// ownRetry is when the own bucket expects to have a token.
	ownRetry time.Duration
	// refused is set when a holder has refused the request.
	refused bool
	gone    bool
}

// account is what a daemon knows about the bucket of one holder.
type account struct {
	// level is the expected level at a time, without the tokens of calls in flight.
	// A negative level means that the holder told callers to come back later.
	level float64
	at    time.Time
	// answered is set if the last call was answered by a holder.
	answered bool
	call     *call
	// waiting requests are sent with the next call.
	waiting []*request
}

// call is a call in flight.
type call struct {
	id       uint64
	org      *organisation
	peer     *peer
	sent     time.Time
	requests []*request
}

// organisation is what a daemon that accepts an organisation's requests knows about
// its quota.
type organisation struct {
	name          string
	key           uint64
	limit         Limit
	version       uint64 // Of the settings that hold the limit.
	rosterVersion uint64
	share         share
	holders       []*peer
	accounts      map[*peer]*account
	credit        float64
	returned      int
	returnedAt    time.Time
	isolatedAt    time.Time
	usedAt        time.Time
	counts        [Unavailable + 1]uint64
}

// asker decides which holders are asked.
type asker struct {
	roster  *roster
	holder  *holder
	rng     *rand.Rand
	orgs    map[string]*organisation
	calls   map[uint64]*call
	pending map[uint64]*request
	lastID  uint64
	sweptAt time.Time
}

func newAsker(ro *roster, ho *holder, seed uint64) *asker {
	return &asker{
		roster: ro, holder: ho, rng: rand.New(rand.NewPCG(seed, 4)), orgs: make(map[string]*organisation),
		calls: make(map[uint64]*call), pending: make(map[uint64]*request),
	}
}

// take starts a request and returns its ID.
func (as *asker) take(now time.Time, ask Ask, res *Result) uint64 {
	as.lastID++
	req := &request{id: as.lastID, ask: ask, started: now, org: as.organisation(now, ask)}
	req.ask.Count, req.ask.Returned = 1, 0
	as.pending[req.id] = req
	req.org.addCredit(askCreditRequest)
	as.advance(now, req, res)
	return req.id
}

// organisation returns the state of an organisation for the present limit and member
// set.
func (as *asker) organisation(now time.Time, ask Ask) *organisation {
	as.sweep(now)
	org := as.orgs[ask.Organisation]
	if org == nil {
		org = &organisation{name: ask.Organisation, key: hashOf(ask.Organisation), credit: minAskCredit + ask.Burst, accounts: make(map[*peer]*account)}
		as.orgs[ask.Organisation] = org
	}
	org.usedAt, org.version = now, ask.Version
	as.refresh(org, Limit{PerSecond: ask.PerSecond, Burst: ask.Burst})
	return org
}

// refresh finds the holders of an organisation again if its limit or the member set has
// changed.
func (as *asker) refresh(org *organisation, limit Limit) {
	if org.holders != nil && org.limit == limit && org.rosterVersion == as.roster.version {
		return
	}
	org.limit, org.rosterVersion = limit, as.roster.version
	org.share = shareOf(limit, len(as.roster.peers))
	org.holders = as.roster.first(org.key, org.share.holders)
	for pe, acc := range org.accounts {
		if acc.call == nil && !slices.Contains(org.holders, pe) {
			delete(org.accounts, pe)
		}
	}
}

// advance decides a request, or asks the next holder. The own bucket comes first.
func (as *asker) advance(now time.Time, req *request, res *Result) {
	if len(req.tried) == 0 {
		ans, holds := as.holder.serve(now, req.ask)
		if ans.Granted > 0 {
			as.decide(req, Decision{Verdict: Verdict{Outcome: Admitted}}, res)
			return
		}
		req.ownRetry = time.Duration(math.MaxInt64)
		if holds {
			req.ownRetry, req.refused = ans.RetryAfter, true
		}
	}
	best, earliest, refused := as.choose(now, req)
	switch {
	case best != nil && req.mayAsk(now):
		as.send(now, req, best, res)
	case refused || req.org.credit < 1: // Only refusals use up the credit.
		if earliest == math.MaxInt64 {
			earliest = retryUnreachable
		}
		as.decide(req, Decision{Verdict: Verdict{Outcome: OverLimit, RetryAfter: max(earliest, seconds(1/req.org.limit.PerSecond))}}, res)
	default:
		as.decideIsolated(now, req, res)
	}
}

// mayAsk reports whether another holder may be asked for a request.
func (req *request) mayAsk(now time.Time) bool {
	return len(req.tried) < maxAsked && now.Sub(req.started) < maxAskTime && req.org.credit >= 1
}

func (org *organisation) addCredit(amount float64) {
	org.credit = math.Min(org.credit+amount, minAskCredit+org.limit.Burst)
}

// choose returns the best holder to ask next, or nil if none is expected to have a
// token. It also returns when the first holder expects one, and whether any holder has
// refused this request or is known to have no token. Holders of the own zone come first, then
// those without a call in flight, then those that are expected to have most.
func (as *asker) choose(now time.Time, req *request) (*peer, time.Duration, bool) {
	org, own := req.org, as.roster.byID[as.roster.self]
	var best *peer
	var bestRank float64
	earliest, refused := req.ownRetry, req.refused
	start := as.rng.IntN(len(org.holders))
	for i := range org.holders {
		pe := org.holders[(start+i)%len(org.holders)]
		if pe == own || !pe.canAsk(now) {
			continue
		}
		level, busy := org.expected(now, pe)
		if level < 1 {
			acc := org.accounts[pe]
			refused = refused || acc != nil && acc.answered
			earliest = min(earliest, seconds((1-level)/org.share.rate))
			continue
		}
		rank := math.Floor(min(level, org.share.depth)) / (org.share.depth + 1)
		if pe.Zone == own.Zone && len(req.tried) < nearAsked {
			rank += 2
		}
		if !busy {
			rank++
		}
		if rank > bestRank && !slices.Contains(req.tried, pe) {
			best, bestRank = pe, rank
		}
	}
	return best, earliest, refused
}

// expected returns the expected level of a holder's bucket, without the tokens of
// calls in flight and of waiting requests, and whether a call is in flight.
func (org *organisation) expected(now time.Time, pe *peer) (float64, bool) {
	acc := org.accounts[pe]
	if acc == nil {
		return org.share.depth, false
	}
	level := math.Min(acc.level+max(now.Sub(acc.at).Seconds(), 0)*org.share.rate, org.share.depth)
	if acc.call == nil {
		return level, false
	}
	return level - float64(len(acc.call.requests)+len(acc.waiting)), true
}

// send asks a holder for a request. If a call to the holder is in flight, the request
// waits for the next one.
func (as *asker) send(now time.Time, req *request, pe *peer, res *Result) {
	req.org.addCredit(-1)
	req.tried = append(req.tried, pe)
	acc := req.org.accounts[pe]
	if acc == nil {
		acc = &account{level: req.org.share.depth, at: now}
		req.org.accounts[pe] = acc
	}
	if acc.call != nil {
		acc.waiting = append(acc.waiting, req)
		return
	}
	as.call(now, req.org, pe, acc, []*request{req}, res)
}

// call starts a call for some requests of an organisation.
func (as *asker) call(now time.Time, org *organisation, pe *peer, acc *account, requests []*request, res *Result) {
	as.lastID++
	ca := &call{id: as.lastID, org: org, peer: pe, sent: now, requests: requests}
	acc.call = ca
	as.calls[ca.id] = ca
	ask := requests[len(requests)-1].ask
	ask.Count = len(requests)
	if now.Sub(org.returnedAt) < returnedRetention {
		ask.Returned = org.returned
	}
	org.returned = 0
	res.Calls = append(res.Calls, Call{ID: ca.id, Holder: pe.ID, Address: pe.Address, Ask: ask})
}

// finish processes the answer to a call; ok is false if there is none. An answer that
// arrives after the timeout of the call counts as none: this daemon may have been
// paused, and the tokens belong to a time that has passed.
func (as *asker) finish(now time.Time, id uint64, ans Answer, ok bool, res *Result) {
	ca := as.calls[id]
	if ca == nil {
		return
	}
	delete(as.calls, id)
	if now.Sub(ca.sent) > CallTimeout+maxAskTime {
		ok, ans = false, Answer{}
	}
	ca.peer.recordCall(now, ok)
	as.refresh(ca.org, ca.org.limit)
	acc := ca.org.accounts[ca.peer]
	acc.call, acc.answered = nil, ok && !ans.NotHolder
	if ok {
		acc.learn(now, ans, ca.org.share.rate)
	}
	if !acc.answered {
		ca.org.addCredit(float64(len(ca.requests)))
	}
	granted := min(ans.Granted, len(ca.requests))
	for _, req := range ca.requests {
		switch {
		case granted > 0 && req.gone:
			granted--
			as.giveBack(now, req.org)
		case granted > 0:
			granted--
			ca.org.addCredit(askCreditGrant)
			as.decide(req, Decision{Verdict: Verdict{Outcome: Admitted}}, res)
		case !req.gone:
			req.refused = req.refused || acc.answered
			as.advance(now, req, res)
		}
	}
	as.sendWaiting(now, ca, acc, res)
}

// learn notes the level that an answer tells. A call without an answer tells nothing: a
// holder whose answer is lost is soon asked again.
func (acc *account) learn(now time.Time, ans Answer, rate float64) {
	acc.at, acc.level = now, ans.Left
	if ans.RetryAfter > 0 {
		acc.level = 1 - ans.RetryAfter.Seconds()*rate
	}
}

// sendWaiting sends the requests that have waited for the end of a call. Those that
// are too old, or for which the holder has nothing left, advance.
func (as *asker) sendWaiting(now time.Time, ca *call, acc *account, res *Result) {
	waiting := acc.waiting
	acc.waiting = nil
	level, _ := ca.org.expected(now, ca.peer)
	var requests []*request
	for _, req := range waiting {
		switch {
		case req.gone:
		case now.Sub(req.started) < maxAskTime && ca.peer.canAsk(now) && level >= float64(len(requests)+1):
			requests = append(requests, req)
		default:
			as.advance(now, req, res)
		}
	}
	if len(requests) > 0 {
		as.call(now, ca.org, ca.peer, acc, requests, res)
	}
}

// decideIsolated decides a request if no holder can be reached.
func (as *asker) decideIsolated(now time.Time, req *request, res *Result) {
	org := req.org
	rank := as.roster.rank(org.key) - org.share.wanted
	settled := !as.holder.holdsFrom.IsZero() && now.Sub(as.holder.holdsFrom) >= isolatedInterval
	if settled && rank >= 0 && rank < org.limit.isolated() && now.Sub(org.isolatedAt) >= isolatedInterval {
		org.isolatedAt = now
		as.decide(req, Decision{Verdict: Verdict{Outcome: Admitted}, Isolated: true}, res)
		return
	}
	as.decide(req, Decision{Verdict: Verdict{Outcome: Unavailable, RetryAfter: retryUnreachable}}, res)
}

func (as *asker) decide(req *request, dec Decision, res *Result) {
	delete(as.pending, req.id)
	req.org.counts[dec.Verdict.Outcome]++
	dec.Request, dec.Asked = req.id, len(req.tried)
	res.Decisions = append(res.Decisions, dec)
}

// cancel forgets a request that nobody waits for. A token that it still gets is
// returned.
func (as *asker) cancel(id uint64) {
	if req := as.pending[id]; req != nil {
		req.gone = true
		delete(as.pending, id)
	}
}

// giveBack returns a token: to the own bucket, or with the next call to a holder.
func (as *asker) giveBack(now time.Time, org *organisation) {
	ask := Ask{Organisation: org.name, PerSecond: org.limit.PerSecond, Burst: org.limit.Burst, Returned: 1}
	if _, holds := as.holder.serve(now, ask); holds {
		return
	}
	if now.Sub(org.returnedAt) >= returnedRetention {
		org.returned = 0
	}
	org.returned++
	org.returnedAt = now
}

// sweep removes organisations without requests. If there are too many, it removes
// those that have no call in flight, whatever their age.
func (as *asker) sweep(now time.Time) {
	full := len(as.orgs) >= maxOrganisations
	if !full && now.Sub(as.sweptAt) < idleRetention/2 {
		return
	}
	as.sweptAt = now
	for name, org := range as.orgs {
		idle := now.Sub(org.usedAt) >= idleRetention
		if (idle || full && now.Sub(org.isolatedAt) >= isolatedInterval) && !org.isBusy() {
			delete(as.orgs, name)
		}
	}
}

// isBusy reports whether a call of the organisation is in flight.
func (org *organisation) isBusy() bool {
	for _, acc := range org.accounts {
		if acc.call != nil {
			return true
		}
	}
	return false
}

// seconds converts a number of seconds, up to an hour.
func seconds(count float64) time.Duration {
	return time.Duration(math.Min(count, time.Hour.Seconds()) * float64(time.Second))
}
