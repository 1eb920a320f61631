package daemon

import "cactusstream.example/cactusd/internal/quota"

// Quota returns the quotas of a daemon.
func (da *Daemon) Quota() *quota.Quota { return da.quota }
