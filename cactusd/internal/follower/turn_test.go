package follower

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFailedKeeperIsLeftAtOnce polls the preferred keeper for longer than preferInterval
// until it fails. The next one must be polled at once, each failure must lead to another
// one, and the preferred one must get its turn again after preferInterval.
func TestFailedKeeperIsLeftAtOnce(t *testing.T) {
	is := is.New(t)
	var turn keeperTurn
	now := time.Unix(1000, 0)
	is.Equal(turn.current(now), 0)
	now = now.Add(2 * preferInterval)
	is.Equal(turn.current(now), 0)
	turn.advance(now)
	is.Equal(turn.current(now.Add(time.Second)), 1)
	turn.advance(now.Add(time.Second))
	is.Equal(turn.current(now.Add(preferInterval)), 2)
	is.Equal(turn.current(now.Add(preferInterval+time.Second)), 0)
}
