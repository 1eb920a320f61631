//go:build !linux

package gate

// ackedBytes returns false: what the upstream's side has acknowledged can't be told.
func (co *connection) ackedBytes() (acked uint64, isReset, ok bool) { return 0, false, false }

// isUnread returns false: it can't be told whether the upstream read the request.
func (co *connection) isUnread(uint64) bool { return false }
