package follower

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"cactusstream.example/core/events"
)

const (
	// watchDuration is the duration of one long poll.
	watchDuration = 800 * time.Millisecond
	// responseTime is how long a keeper may take for a response before another one is
	// asked as well. With watchDuration, and with two silent keepers, it is well under
	// the 2 s that a platform allows for settings to be in force.
	responseTime = 200 * time.Millisecond
	// confirmWait is the wait of a poll that only asks whether there are newer settings.
	confirmWait = time.Millisecond
	// searchInterval is the average pause after a search that found no keeper, and
	// searchTimeout the time after which a keeper is no longer waited for.
	searchInterval        = 300 * time.Millisecond
	searchTimeout         = time.Second
	defaultPreferInterval = 30 * time.Second
)

// errSilent reports that a keeper hasn't responded within responseTime.
var errSilent = errors.New("no response in time")

// watchKeepers waits for newer settings at one keeper until the context ends, and at
// another one after a failure. It goes back to a keeper that it prefers only once that one
// has responded.
func (fo *Follower) watchKeepers(ctx context.Context) {
	keeper := ""
	var failure error
	for ctx.Err() == nil {
		next := fo.findKeeper(ctx, keeper)
		if next == "" {
			fo.sleep(ctx, searchInterval/2+rand.N(searchInterval))
			continue
		}
		if next != keeper || failure != nil {
			fo.logSource(next, keeper, failure)
		}
		keeper, failure = fo.watch(ctx, next)
	}
}

// findKeeper asks the keepers in order, the one that failed last, until one responds that
// knows that its settings are the newest. It asks the next one after a failure, and also
// when responseTime has passed, so that the delays of silent keepers don't add up. It
// returns "" if there is none.
func (fo *Follower) findKeeper(ctx context.Context, failed string) string {
	keepers := orderKeepers(fo.opts.Keepers(), failed)
	found := make(chan string, len(keepers))
	for _, keeper := range keepers {
		failed := make(chan struct{})
		go func() {
			if fo.pull(ctx, keeper, confirmWait, searchTimeout, wayPoll) != nil {
				close(failed)
				return
			}
			found <- keeper
		}()
		select {
		case responded := <-found:
			return responded
		case <-failed:
		case <-time.After(responseTime):
		case <-ctx.Done():
			return ""
		}
	}
	return ""
}

// orderKeepers returns the keepers without the failed one, and then that one.
func orderKeepers(keepers []string, failed string) []string {
	index := slices.Index(keepers, failed)
	if index < 0 {
		return keepers
	}
	return append(slices.Delete(slices.Clone(keepers), index, index+1), failed)
}

// watch waits at a keeper for newer settings, again and again, until that fails. It returns
// the keeper that failed: it moves to the preferred one if that responds.
func (fo *Follower) watch(ctx context.Context, keeper string) (string, error) {
	askedPreferredAt := time.Now()
	for {
		if err := fo.poll(ctx, keeper, watchDuration); err != nil {
			return keeper, err
		}
		if time.Since(askedPreferredAt) < fo.preferInterval {
			continue
		}
		askedPreferredAt = time.Now()
		if keepers := fo.opts.Keepers(); len(keepers) > 0 && keepers[0] != keeper && fo.poll(ctx, keepers[0], confirmWait) == nil {
			fo.logSource(keepers[0], keeper, nil)
			keeper = keepers[0]
		}
	}
}

// poll waits at a keeper for newer settings for up to wait. If no response comes within
// responseTime after that, poll returns errSilent; a later response is still applied, since
// large settings can take longer on a slow link.
func (fo *Follower) poll(ctx context.Context, keeper string, wait time.Duration) error {
	done := make(chan error, 1)
	go func() { done <- fo.pull(ctx, keeper, wait, wait+pullTimeout, wayPoll) }()
	select {
	case err := <-done:
		return err
	case <-time.After(wait + responseTime):
		return errSilent
	}
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
