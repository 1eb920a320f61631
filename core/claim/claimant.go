package claim

import (
	"context"
	"time"
)

// Result is the outcome of a claim at a group of holders.
type Result uint8

// Results of a claim.
const (
	// Won means that the attempt may run. No attempt under the key ran before.
	Won Result = iota + 1
	// LostRunning means that another attempt may have run or may still run.
	LostRunning
	// LostFinished means that another attempt ran.
	LostFinished
	// LostClosed proves that no attempt under the key ran or can run now.
	LostClosed
	// LostTooOld means that holders may have expired the claims of the key.
	LostTooOld
	// LostNoQuorum means that no majority of holders granted the claim, and none of
	// the other results applies.
	LostNoQuorum
)

// Holders sends claims to holders. Every method returns when its context ends.
type Holders interface {
	Claim(ctx context.Context, holder string, req Request) (Answer, error)
	Finish(ctx context.Context, holder string, fin Finish) error
}

// Claimant claims keys for the requests that the ingress of one daemon receives. It
// is safe for concurrent use.
type Claimant struct {
	holders Holders
}

// Grant is a claim with its result, won or lost.
type Grant struct {
	Result Result
	// Record is the recorded answer if Result is LostFinished.
	Record *Record

	key     string
	attempt string
	group   []string
}

// finishTimeout is the time that a holder has to acknowledge a Finish.
const finishTimeout = 2 * time.Second

// NewClaimant returns a Claimant that sends its claims through holders.
func NewClaimant(holders Holders) *Claimant {
	return &Claimant{holders: holders}
}

// Claim sends a claim to all holders of a key and returns as soon as the result is
// certain. A lost claim is released in the background.
func (cl *Claimant) Claim(ctx context.Context, table Table, key, attempt string) Grant {
	grant := Grant{key: key, attempt: attempt, group: table.Group(key)}
	if len(grant.group) == 0 {
		grant.Result = LostNoQuorum
		return grant
	}
	req := Request{Key: key, Attempt: attempt, Epoch: table.Epoch}
	answers := make(chan Answer, len(grant.group))
	for _, holder := range grant.group {
		go func() {
			answer, err := cl.holders.Claim(ctx, holder, req)
			if err != nil {
				answer = Answer{}
			}
			answers <- answer
		}()
	}
	grant.Result, grant.Record = decide(ctx, answers, len(grant.group))
	if grant.Result != Won {
		go cl.Release(grant)
	}
	return grant
}

// Finish records the answer of an attempt that ran. It returns when a majority of
// holders has acknowledged it, all have been tried, or the context ends.
func (cl *Claimant) Finish(ctx context.Context, grant Grant, rec *Record) {
	cl.sendFinish(ctx, grant, Finish{Key: grant.key, Attempt: grant.attempt, Record: rec})
}

// Release releases the key of an attempt that did not run. It reports whether a
// majority of holders has acknowledged it.
func (cl *Claimant) Release(grant Grant) bool {
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	return cl.sendFinish(ctx, grant, Finish{Key: grant.key, Attempt: grant.attempt, NotRun: true})
}

// sendFinish sends fin to all holders of the grant and reports whether a majority
// acknowledged it. It doesn't wait for the remaining holders.
func (cl *Claimant) sendFinish(ctx context.Context, grant Grant, fin Finish) bool {
	acks := make(chan bool, len(grant.group))
	for _, holder := range grant.group {
		go func() {
			holderCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
			defer cancel()
			acks <- cl.holders.Finish(holderCtx, holder, fin) == nil
		}()
	}
	acked := 0
	for range grant.group {
		select {
		case ok := <-acks:
			if ok {
				acked++
			}
			if acked > len(grant.group)/2 {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// decide counts the answers of the holders. A majority of Granted wins. A single
// Finished ends the claim as lost. Without a majority of Granted, a single Taken
// loses, because another attempt may have a majority. A majority of Closed proves
// that no attempt can run now.
func decide(ctx context.Context, answers <-chan Answer, holders int) (Result, *Record) {
	var counts [Full + 1]int
	majority := holders/2 + 1
	for range holders {
		select {
		case answer := <-answers:
			counts[min(answer.Decision, Full)]++
			if answer.Decision == Finished {
				return LostFinished, answer.Record
			}
		case <-ctx.Done():
			return lostResult(counts, majority), nil
		}
		if counts[Granted] >= majority {
			return Won, nil
		}
		if counts[Taken] >= majority {
			return LostRunning, nil
		}
	}
	return lostResult(counts, majority), nil
}

// lostResult returns the result of a claim that no majority granted.
func lostResult(counts [Full + 1]int, majority int) Result {
	switch {
	case counts[Taken] > 0:
		return LostRunning
	case counts[Closed] >= majority:
		return LostClosed
	case counts[TooOld] > 0:
		return LostTooOld
	}
	return LostNoQuorum
}
