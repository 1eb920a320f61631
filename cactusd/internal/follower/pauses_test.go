package follower

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPausesLeaveTimeForAChange fails a watch for a minute, as behind links that
// lose packets: however long it lasted, the next attempt must come early enough
// for a change that is accepted right after to be in force within two seconds.
func TestPausesLeaveTimeForAChange(t *testing.T) {
	const inForce = 2 * time.Second // The bound of the users' platform.
	is := is.New(t)
	var pau pauses
	longest, passed := time.Duration(0), time.Duration(0)
	for passed < time.Minute {
		pause := pau.next()
		passed += pause
		longest = max(longest, pause)
	}
	t.Logf("the longest pause is %s", longest)
	is.True(longest < inForce)
	pau.reset()
	is.True(pau.next() <= 2*minBackoff)
}
