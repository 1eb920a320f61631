package follower

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"cactusstream.example/core/events"
)

const (
	defaultPreferInterval = 30 * time.Second
	// confirmWait is the wait of a poll that only asks whether there are newer settings.
	confirmWait = time.Millisecond
	// confirmTimeout limits such a poll.
	confirmTimeout = 200 * time.Millisecond
)

// watchKeepers waits for newer settings at one keeper until the context ends, and at the
// next one of the list after a failure. It goes back to a keeper that it prefers only once
// that one has responded.
func (fo *Follower) watchKeepers(ctx context.Context) {
	keeper := ""
	var failure error
	backoff := minBackoff
	for ctx.Err() == nil {
		if next := nextKeeper(fo.opts.Keepers(), keeper); next != "" {
			if next != keeper {
				fo.logSource(next, keeper, failure)
			}
			before := fo.confirmedAt.Load()
			if keeper, failure = fo.watch(ctx, next); fo.confirmedAt.Load() != before {
				backoff = minBackoff
			}
		}
		fo.sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// nextKeeper returns the keeper to ask after one has failed: the next one of the list, or
// the first one if the failed one isn't in the list or is the last.
func nextKeeper(keepers []string, failed string) string {
	if len(keepers) == 0 {
		return ""
	}
	return keepers[(slices.Index(keepers, failed)+1)%len(keepers)]
}

// watch waits at a keeper for newer settings, again and again, until that fails. It returns
// the keeper that failed: it moves to the preferred one if that responds.
func (fo *Follower) watch(ctx context.Context, keeper string) (string, error) {
	askedPreferredAt := time.Now()
	for {
		if err := fo.pull(ctx, keeper, watchDuration, wayPoll); err != nil {
			return keeper, err
		}
		if time.Since(askedPreferredAt) < fo.preferInterval {
			continue
		}
		askedPreferredAt = time.Now()
		if preferred := nextKeeper(fo.opts.Keepers(), ""); preferred != "" && preferred != keeper && fo.confirms(ctx, preferred) {
			fo.logSource(preferred, keeper, nil)
			keeper = preferred
		}
	}
}

// confirms reports whether a keeper responds and knows that its settings are the newest.
func (fo *Follower) confirms(ctx context.Context, keeper string) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return fo.pull(ctx, keeper, confirmWait, wayPoll) == nil
}

// logSource logs that another keeper is polled than before, and the failure of the poll
// before, if that is the reason.
func (fo *Follower) logSource(keeper, before string, failure error) {
	fields := logrus.Fields{"keeper": keeper, "before": before}
	if failure != nil {
		fields["error"] = failure.Error()
	}
	fo.opts.Log.Write(events.SettingsSource, fields)
}
