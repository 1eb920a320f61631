package claim

import (
	"context"
	"time"
)

// Result is what a claim came to.
type Result uint8

// The results.
const (
	// Won says that the attempt may run. Nothing under the key ran before.
	Won Result = iota + 1
	// LostRunning says that another attempt may have run, or may run.
	LostRunning
	// LostFinished says that another attempt ran.
	LostFinished
	// LostClosed proves that nothing under the key ran or can run now.
	LostClosed
	// LostTooOld says that the key is too old to tell.
	LostTooOld
	// LostNoQuorum says that too few holders answered.
	LostNoQuorum
)

// Holders carries claims to holders; every method honours the context.
type Holders interface {
	Claim(ctx context.Context, holder string, req Request) (Answer, error)
	Finish(ctx context.Context, holder string, fin Finish) error
}

// Claimant claims keys for the requests that one daemon takes. It is safe for
// concurrent use.
type Claimant struct {
	holders Holders
}

// Grant is a claim that was decided.
type Grant struct {
	Result Result
	Record *Record

	key     string
	attempt string
	group   []string
}

const finishTimeout = 2 * time.Second

// NewClaimant returns a Claimant.
func NewClaimant(holders Holders) *Claimant {
	return &Claimant{holders: holders}
}

// Claim asks the holders of a key and decides as soon as it can.
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

// Finish records the answer of an attempt that ran. It returns when a majority
// knows it, or the context ends.
func (cl *Claimant) Finish(ctx context.Context, grant Grant, rec *Record) {
	cl.tell(ctx, grant, Finish{Key: grant.key, Attempt: grant.attempt, Record: rec})
}

// Release gives a key back whose attempt was not run. It returns whether a
// majority knows it.
func (cl *Claimant) Release(grant Grant) bool {
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	return cl.tell(ctx, grant, Finish{Key: grant.key, Attempt: grant.attempt, NotRun: true})
}

func (cl *Claimant) tell(ctx context.Context, grant Grant, fin Finish) bool {
	told := make(chan bool, len(grant.group))
	for _, holder := range grant.group {
		go func() {
			ownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
			defer cancel()
			told <- cl.holders.Finish(ownCtx, holder, fin) == nil
		}()
	}
	count := 0
	for range grant.group {
		select {
		case ok := <-told:
			if ok {
				count++
			}
			if count > len(grant.group)/2 {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// decide counts answers. A majority of grants wins. One Finished or Taken is
// enough to lose: another attempt may have a majority. A majority of Closed
// proves that nothing can run now.
func decide(ctx context.Context, answers <-chan Answer, holders int) (Result, *Record) {
	var counts [Full + 1]int
	majority := holders/2 + 1
	for range holders {
		select {
		case answer := <-answers:
			counts[min(answer.Verdict, Full)]++
			if answer.Verdict == Finished {
				return LostFinished, answer.Record
			}
		case <-ctx.Done():
			return lostBy(counts, majority), nil
		}
		if counts[Granted] >= majority {
			return Won, nil
		}
		if counts[Taken] >= majority {
			return LostRunning, nil
		}
	}
	return lostBy(counts, majority), nil
}

func lostBy(counts [Full + 1]int, majority int) Result {
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
