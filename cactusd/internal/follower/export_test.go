package follower

import "time"

// SetPreferInterval shortens the interval in which the preferred keeper is asked.
func (fo *Follower) SetPreferInterval(interval time.Duration) { fo.preferInterval = interval }
