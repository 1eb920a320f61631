package quota

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"cactusstream.example/core/link"
	"cactusstream.example/core/quota"
	"cactusstream.example/core/settings"
)

// MethodPeek is the link method that asks a holder what it would answer to MethodTake,
// without taking anything. Daemons of older programs don't know it.
const MethodPeek = "quota.peek"

const (
	// MaxLevels is the number of organisations whose levels are asked for at once. It
	// bounds the call to one holder.
	MaxLevels = 100
	// maxPeeks is the number of holders that are asked concurrently for one operator, and
	// levelsTimeout limits the time to wait for one: operators can wait for longer than
	// requests, and a holder that answers late has an answer to show.
	maxPeeks      = 32
	levelsTimeout = 500 * time.Millisecond
	// allLevelsTimeout limits the time to wait for all holders. It is shorter than the 8 s
	// that operators' clients wait for an answer.
	allLevelsTimeout = 4 * time.Second
)

type peekRequest struct {
	Asks []quota.Ask `codec:"a"`
}

type peekAnswer struct {
	// Answers has an answer for each ask, in the same order.
	Answers []quota.Answer `codec:"a"`
}

// Preview returns the verdict that Take would give now. It takes nothing.
func (qu *Quota) Preview(ctx context.Context, org *settings.Organisation) quota.Preview {
	if !(org.Rate > 0) {
		return quota.Preview{Verdict: quota.Verdict{Outcome: quota.Admitted}}
	}
	qu.awaitSettled(ctx)
	now := qu.opts.Clock.Now()
	qu.mu.Lock()
	fork := qu.node.Fork(now, org.Name, rand.Uint64())
	qu.mu.Unlock()
	isOlder := false
	_, res := fork.Take(now, qu.ask(org))
	for len(res.Decisions) == 0 && len(res.Calls) == 1 && ctx.Err() == nil {
		call := res.Calls[0] // A single request has one call in flight.
		answers, err := qu.peek(ctx, quota.CallTimeout, call.Address, []quota.Ask{call.Ask})
		isOlder = isOlder || isUnknownMethod(err)
		var ans quota.Answer
		if err == nil {
			ans = answers[0]
		}
		res = fork.Finish(qu.opts.Clock.Now(), call.ID, ans, err == nil)
	}
	preview := quota.Preview{Verdict: quota.Verdict{Outcome: quota.Unavailable}} // As for a request whose deadline has passed.
	if len(res.Decisions) > 0 {
		preview.Verdict = res.Decisions[0].Verdict
	}
	preview.Uncertain = isOlder && preview.Verdict.Outcome != quota.Admitted
	return preview
}

// Levels returns what the holders of some quotas have, in the same order. It takes
// nothing. Organisations without a limit have no holders, nor do those after MaxLevels.
func (qu *Quota) Levels(ctx context.Context, orgs []*settings.Organisation) []quota.Level {
	ctx, cancel := context.WithTimeout(ctx, allLevelsTimeout)
	defer cancel()
	levels := make([]quota.Level, len(orgs))
	batches := make(map[string]*batch)
	for i, org := range orgs {
		levels[i].Organisation = org.Name
		if org.Rate > 0 && i < MaxLevels {
			qu.addToBatches(batches, &levels[i], qu.ask(org))
		}
	}
	var group sync.WaitGroup
	permits := make(chan struct{}, maxPeeks)
	for _, ba := range batches {
		permits <- struct{}{}
		group.Go(func() {
			defer func() { <-permits }()
			ba.fill(qu.peekMember(ctx, ba.member, ba.asks))
		})
	}
	group.Wait()
	return levels
}

// batch is what one holder is asked for.
type batch struct {
	member quota.Member
	asks   []quota.Ask
	// levels are the levels that the answers are for.
	levels []*quota.HolderLevel
}

// addToBatches adds the holders of a quota to its level and to the batches, by daemon.
func (qu *Quota) addToBatches(batches map[string]*batch, level *quota.Level, ask quota.Ask) {
	qu.mu.Lock()
	members, perSecond, depth := qu.node.Holders(ask)
	qu.mu.Unlock()
	level.PerSecond, level.Depth, level.Holders = perSecond, depth, make([]quota.HolderLevel, len(members))
	ask.Count = 1
	for i, mem := range members {
		level.Holders[i] = quota.HolderLevel{Daemon: mem.ID, Zone: mem.Zone}
		ba := batches[mem.ID]
		if ba == nil {
			ba = &batch{member: mem}
			batches[mem.ID] = ba
		}
		ba.asks, ba.levels = append(ba.asks, ask), append(ba.levels, &level.Holders[i])
	}
}

// fill fills in the answers of a holder.
func (ba *batch) fill(answers []quota.Answer, err error) {
	for i, level := range ba.levels {
		if err != nil {
			level.Note = describeFailure(err)
			continue
		}
		ans := answers[i]
		level.Answered, level.Left = true, ans.Left+float64(ans.Granted)
		if ans.Granted == 0 {
			level.RetryAfter = ans.RetryAfter
		}
		if ans.NotHolder {
			level.Note = "the daemon holds nothing of the quota now"
		}
	}
}

var errSilent = errors.New("the daemon doesn't answer probes")

// peekMember asks one holder, which may be this daemon.
func (qu *Quota) peekMember(ctx context.Context, mem quota.Member, asks []quota.Ask) ([]quota.Answer, error) {
	if mem.ID == qu.opts.Self {
		return qu.answerPeek(asks), nil
	}
	if !mem.Alive || mem.Address == "" {
		return nil, errSilent
	}
	return qu.peek(ctx, levelsTimeout, mem.Address, asks)
}

// peek asks the daemon at an address.
func (qu *Quota) peek(ctx context.Context, timeout time.Duration, address string, asks []quota.Ask) ([]quota.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	qu.opts.Metrics.Counter("quota.peeks").Inc(1)
	ans, err := link.Call[peekRequest, peekAnswer](ctx, qu.opts.Pool, address, MethodPeek, peekRequest{Asks: asks})
	if err != nil {
		return nil, fmt.Errorf("ask the holder at %s: %w", address, err)
	}
	if len(ans.Answers) != len(asks) {
		return nil, fmt.Errorf("the holder at %s gave %d answers to %d questions", address, len(ans.Answers), len(asks))
	}
	return ans.Answers, nil
}

// servePeek answers MethodPeek.
func (qu *Quota) servePeek(_ context.Context, _ string, req peekRequest) (peekAnswer, error) {
	if len(req.Asks) > MaxLevels {
		return peekAnswer{}, fmt.Errorf("quota: %d questions; at most %d are answered", len(req.Asks), MaxLevels)
	}
	return peekAnswer{Answers: qu.answerPeek(req.Asks)}, nil
}

func (qu *Quota) answerPeek(asks []quota.Ask) []quota.Answer {
	now := qu.opts.Clock.Now()
	answers := make([]quota.Answer, len(asks))
	for i, ask := range asks {
		qu.mu.Lock() // For each ask, so that requests don't wait for all of them.
		answers[i] = qu.node.Peek(now, ask)
		qu.mu.Unlock()
	}
	return answers
}

// isUnknownMethod reports whether a call failed because the daemon runs an older program.
func isUnknownMethod(err error) bool {
	var remote *link.RemoteError
	return errors.As(err, &remote) && remote.Code == "noMethod"
}

func describeFailure(err error) string {
	switch {
	case isUnknownMethod(err):
		return "the daemon runs an older program"
	case errors.Is(err, context.DeadlineExceeded):
		return "no answer in time"
	}
	return err.Error()
}
