package ingress

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/fleet"
	"cactusstream.example/core/outcome"
	"cactusstream.example/core/placement"
	"cactusstream.example/core/quota"
	"cactusstream.example/core/settings"
)

// The errors of Where.
var (
	ErrNoSettings          = errors.New("ingress: this daemon has not received its settings yet")
	ErrNoRoute             = errors.New("ingress: no configured kind of request matches this method, host and path")
	ErrUnknownKey          = errors.New("ingress: no organisation has this key")
	ErrUnknownOrganisation = errors.New("ingress: no organisation has this name")
)

// WhereQuery describes a request that is not sent.
type WhereQuery struct {
	// Request names its route. An empty firm or place is that of the daemon. If requests
	// need keys, the firm is ignored as its header is.
	Request settings.Request
	// Organisation is the name of the organisation that sends the request, with one of its
	// keys; KeyDigest is the digest of the key that is sent. Without both, no key is sent.
	Organisation string
	KeyDigest    *settings.KeyDigest
	BodyBytes    int
	// Deadline is the one that the caller sets, or 0 for that of the kind.
	Deadline time.Duration
}

// Whereabouts tells where a request that arrives now would go.
type Whereabouts struct {
	Firm            string
	Path            settings.Path
	Rank            int
	SettingsVersion uint64
	Remaining       time.Duration
	ExpectedBytes   float64
	Admission       Admission
	// Verdict says what would happen to the request.
	Verdict    string
	Candidates []WhereCandidate
}

// Admission tells whether a request that arrives now is admitted.
type Admission struct {
	// Organisation is the one that sends the request, or nil. Quota is what the holders of
	// its quota have, if it has a limit.
	Organisation *settings.Organisation
	Quota        quota.Level
	// Rejection is the answer to a request that is not admitted, or nil. Status is its HTTP
	// status. Uncertain means that a holder that can't be asked might admit the request.
	Rejection *wire.RunAnswer
	Status    int
	Uncertain bool
	// Note says why no organisation is known, if the query names one.
	Note string
}

// WhereCandidate is an endpoint of the service of a request.
type WhereCandidate struct {
	Endpoint fleet.Endpoint
	// Group is preferred, suspected, unreachable or excluded.
	Group string
	// Asked means that the gate has given a wait estimate or a rejection. Wait, Duration,
	// Cost and InTime are those of the estimate.
	Asked          bool
	Wait, Duration time.Duration
	// Cost is what the endpoint must save for its zone and its state.
	Cost   time.Duration
	InTime bool
	Chosen bool
	Reason string
}

// Where tells where a request that arrives now would go, by the decision code of requests.
// It asks gates for wait estimates, and the holders of the quota what they have. It takes
// nothing and sends nothing to an upstream. Trial requests, which are chosen at random, are
// left out, and requests of internal kinds count as having the credentials.
func (in *Ingress) Where(ctx context.Context, query WhereQuery) (*Whereabouts, error) {
	current := in.opts.Replica.Current()
	if current.Version == 0 {
		return nil, ErrNoSettings
	}
	from, err := in.identifyQuery(current.Organisations, query)
	if err != nil {
		return nil, err
	}
	route := query.Request
	header := http.Header{}
	header.Set(outcome.HeaderFirm, route.Firm)
	route.Firm, route.Place = in.firmOf(from, header), orDefault(route.Place, in.opts.Place)
	path, found := current.Resolver.Routes().Find(route)
	if !found {
		return nil, fmt.Errorf("%w: %s %s%s", ErrNoRoute, route.Method, route.Host, route.Path)
	}
	req := &request{receivedAt: in.opts.Clock.Now(), bodyBytes: query.BodyBytes}
	in.applyRoute(req, current, path)
	limit := req.policy.Deadline
	if query.Deadline > 0 {
		limit = min(limit, query.Deadline)
	}
	req.deadline = req.receivedAt.Add(limit)
	req.runRequest = wire.RunRequest{Firm: route.Firm, CostClass: req.costClass(route.Path, query.BodyBytes)}
	where := &Whereabouts{Firm: route.Firm, Path: req.path, Rank: req.policy.Rank, SettingsVersion: current.Version, Remaining: limit, ExpectedBytes: in.expectedBytes(req)}
	if where.Admission, err = in.judge(ctx, req, from, query); err != nil {
		return nil, err
	}
	if where.Admission.Rejection != nil && !where.Admission.Uncertain {
		in.rejectWhere(req, where)
	} else {
		in.locate(ctx, req, where)
	}
	if where.Admission.Uncertain {
		where.Verdict = "if it is admitted: " + where.Verdict
	}
	if in.hasLimit(req) { // Last, as a request doesn't spend the time on it.
		where.Admission.Quota = in.opts.Quota.Levels(ctx, []*settings.Organisation{req.organisation})[0]
	}
	return where, nil
}

// identifyQuery returns the sender of the request that a query describes.
func (in *Ingress) identifyQuery(organisations *settings.Organisations, query WhereQuery) (caller, error) {
	sent := credential{isSent: query.Organisation != "" || query.KeyDigest != nil, find: func(organisations *settings.Organisations) *settings.Organisation {
		switch org := organisations.ByName(query.Organisation); {
		case query.KeyDigest != nil:
			return organisations.ByDigest(*query.KeyDigest)
		case org != nil && len(org.Digests) > 0:
			return org
		}
		return nil // No request can be sent with a key of an organisation that has none.
	}}
	if query.Organisation != "" && organisations.ByName(query.Organisation) == nil {
		return caller{}, fmt.Errorf("%w: %q", ErrUnknownOrganisation, query.Organisation)
	}
	return in.identify(organisations, sent), nil
}

// judge decides whether a request is admitted, as newRequest does but without taking from
// the quota.
func (in *Ingress) judge(ctx context.Context, req *request, from caller, query WhereQuery) (Admission, error) {
	rejection := in.judgeCaller(req, from)
	if rejection != nil && query.KeyDigest != nil {
		return Admission{}, fmt.Errorf("%w: the request would be rejected with %d %s: %s", ErrUnknownKey, in.status(*rejection), rejection.Reason, rejection.Detail)
	}
	if from.organisation == nil && query.KeyDigest != nil {
		return Admission{}, fmt.Errorf("%w, but this daemon checks no keys: the request would be admitted without an organisation", ErrUnknownKey)
	}
	if rejection == nil && in.outlastsShutdown(req) {
		rejection = req.rejectOutlasting()
	}
	adm := Admission{Organisation: from.organisation, Rejection: rejection}
	if query.Organisation != "" && from.organisation == nil {
		adm.Note = "the organisation has no key, so that no request can be known as its own"
	}
	if rejection == nil && in.hasLimit(req) {
		ctx, cancel := context.WithDeadline(ctx, req.deadline)
		defer cancel()
		preview := in.opts.Quota.Preview(ctx, req.organisation)
		adm.Rejection, adm.Uncertain = req.judgeQuota(preview.Verdict), preview.Uncertain
	}
	if adm.Rejection != nil {
		adm.Status = in.status(*adm.Rejection)
	}
	return adm, nil
}

// rejectWhere fills in the candidates and the verdict for a request that is not admitted.
// Its gates aren't asked.
func (in *Ingress) rejectWhere(req *request, where *Whereabouts) {
	rejection := where.Admission.Rejection
	where.Verdict = fmt.Sprintf("rejected with %d %s: %s", where.Admission.Status, rejection.Reason, rejection.Detail)
	pool := in.opts.View().Pools[req.path.Service]
	if pool == nil {
		return
	}
	in.listCandidates(req, pool, where)
	for i := range where.Candidates {
		if where.Candidates[i].Group == "preferred" {
			where.Candidates[i].Reason = "not asked: the request is not admitted"
		}
	}
}

// Levels returns what the holders of the quotas of some organisations have.
// Organisations without a limit, and those that don't exist, are left out.
func (in *Ingress) Levels(ctx context.Context, names []string) ([]quota.Level, error) {
	current := in.opts.Replica.Current()
	if current.Version == 0 {
		return nil, ErrNoSettings
	}
	var orgs []*settings.Organisation
	for _, name := range names {
		if org := current.Organisations.ByName(name); org != nil && org.Rate > 0 {
			orgs = append(orgs, org)
		}
	}
	if in.opts.Quota == nil || len(orgs) == 0 {
		return nil, nil
	}
	return in.opts.Quota.Levels(ctx, orgs), nil
}

func orDefault(name, fallback string) string {
	if name != "" {
		return name
	}
	if fallback != "" {
		return fallback
	}
	return defaultName
}

// locate fills in the candidates and the verdict.
func (in *Ingress) locate(ctx context.Context, req *request, where *Whereabouts) {
	pool := in.opts.View().Pools[req.path.Service]
	if pool == nil || len(pool.Endpoints) == 0 {
		where.Verdict = fmt.Sprintf("rejected: the service %s has no upstream", req.path.Service)
		return
	}
	in.listCandidates(req, pool, where)
	if req.poolPolicy.Quotes > 0 {
		in.locateByEstimate(ctx, req, pool, where)
		return
	}
	chosen, ok := in.choose(req, map[string]bool{}, false)
	if !ok {
		where.Verdict = "rejected, unless an upstream becomes available: none is usable now"
		return
	}
	where.choose(chosen.endpoint.Key, "chosen by the load that this daemon knows")
}

// listCandidates adds all endpoints of a pool with their groups.
func (in *Ingress) listCandidates(req *request, pool *fleet.Pool, where *Whereabouts) {
	groups := in.groupEndpoints(req, in.opts.Clock.Now(), pool, nil)
	groupOf := make(map[string]string)
	for name, list := range map[string][]fleet.Endpoint{"preferred": groups.preferred, "suspected": groups.suspected, "unreachable": groups.unreachable} {
		for _, endpoint := range list {
			groupOf[endpoint.Key] = name
		}
	}
	reasons := map[string]string{
		"preferred": "not asked: others were asked or sufficed", "suspected": "suspected of a failure burst",
		"unreachable": "its daemon or the path to it failed lately",
	}
	for _, endpoint := range pool.Endpoints {
		candidate := WhereCandidate{Endpoint: endpoint, Group: groupOf[endpoint.Key]}
		candidate.Reason = reasons[candidate.Group]
		if candidate.Group == "" {
			candidate.Group, candidate.Reason = "excluded", fmt.Sprintf("state %s, or it leaves", endpoint.State)
		}
		where.Candidates = append(where.Candidates, candidate)
	}
}

// locateByEstimate asks gates as a request does, in up to maxLateRounds rounds.
func (in *Ingress) locateByEstimate(ctx context.Context, req *request, pool *fleet.Pool, where *Whereabouts) {
	excluded := make(map[string]bool)
	for range maxLateRounds {
		preferred := in.groupEndpoints(req, in.opts.Clock.Now(), pool, excluded).preferred
		if len(preferred) == 0 {
			break
		}
		ev := in.evaluate(ctx, req, preferred)
		if ev.only >= 0 {
			where.choose(preferred[ev.only].Key, "the only candidate, not asked")
			return
		}
		where.addAnswers(ev, preferred)
		if ev.decision.At < 0 {
			where.Verdict = "rejected, unless an upstream becomes available: no gate that was asked accepts the request"
			return
		}
		best := preferred[ev.asked.indexes[ev.decision.At]]
		if ev.decision.InTime {
			where.choose(best.Key, "lowest wait plus cost of those in time")
			return
		}
		excluded[best.Key] = true
	}
	if len(excluded) > 0 {
		where.Verdict = "rejected: it can't end before its deadline at any upstream that was asked"
		return
	}
	where.Verdict = "rejected, unless an upstream becomes available: none is preferred now"
}

// choose marks a candidate as chosen.
func (wh *Whereabouts) choose(key, reason string) {
	for i := range wh.Candidates {
		if candidate := &wh.Candidates[i]; candidate.Endpoint.Key == key {
			candidate.Chosen, candidate.Reason = true, reason
		}
	}
	wh.Verdict = "goes to " + key
}

// addAnswers adds the answers of the gates that were asked.
func (wh *Whereabouts) addAnswers(ev evaluation, endpoints []fleet.Endpoint) {
	inTime := make(map[int]bool)
	for i, est := range ev.asked.estimates {
		inTime[ev.asked.indexes[i]] = placement.Best([]placement.Estimate{est}, wh.Remaining, ev.policy).InTime
	}
	for _, est := range ev.asked.answers {
		candidate := wh.find(endpoints[est.index].Key)
		if candidate == nil {
			continue
		}
		estimated := placement.Estimate{Candidate: ev.asked.candidates[est.index], Wait: est.answer.Wait, ExpectedDuration: est.answer.ExpectedDuration}
		candidate.Asked, candidate.Wait, candidate.Duration = true, est.answer.Wait, est.answer.ExpectedDuration
		candidate.Cost = ev.policy.Cost(estimated) - est.answer.Wait
		candidate.InTime = inTime[est.index]
		candidate.Reason = reasonOf(est.answer, candidate.InTime)
	}
}

func (wh *Whereabouts) find(key string) *WhereCandidate {
	for i := range wh.Candidates {
		if wh.Candidates[i].Endpoint.Key == key {
			return &wh.Candidates[i]
		}
	}
	return nil
}

// reasonOf returns why an endpoint with the given answer is not chosen.
func reasonOf(answer wire.WaitEstimate, inTime bool) string {
	switch {
	case answer.Rejected == outcome.RetryBudgetExhausted:
		return "its gate has no retry left"
	case answer.Rejected != "":
		return fmt.Sprintf("its gate rejects the request: %s", answer.Rejected)
	case answer.Load.Suspected:
		return "suspected of a failure burst; accepts a trial request"
	case !inTime:
		return "the request can't end in time there"
	}
	return "another has a lower wait plus cost"
}
