//go:build !linux

package gate

// ackedBeforeWrite returns 0: what the upstream's side has acknowledged can't be told.
func (co *connection) ackedBeforeWrite() uint64 { return 0 }

// isUnread returns false: it can't be told whether the upstream read the request.
func (co *connection) isUnread(uint64) bool { return false }
