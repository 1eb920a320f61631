package keeper

import (
	"context"
	"time"

	genprocess "cactusstream.example/core/gen/process"
)

const dumpTimeout = time.Second

// Dump returns the internal state of the keeper for debugging, by component.
func (ke *Keeper) Dump() map[string]any {
	ctx, cancel := context.WithTimeout(context.Background(), dumpTimeout)
	defer cancel()
	dump := map[string]any{"settings": map[string]any{"version": ke.CurrentSettings().Version, "digest": ke.CurrentSettings().Digest}}
	part := make(chan map[string]any, 1)
	err := ke.do(ctx, func(time.Time) {
		part <- map[string]any{
			"id": ke.ident.ID, "role": ke.node.Role().String(), "term": ke.node.Term(), "leader": ke.node.Leader(),
			"commitIndex": ke.node.Commit(), "appliedIndex": ke.node.Applied(), "logLength": ke.node.LogLength(),
			"members": ke.node.Config().Members, "waiting": len(ke.pending),
		}
	})
	if err != nil {
		dump["error"] = err.Error()
		return dump
	}
	dump["consensus"] = <-part
	dump["links"] = ke.opts.Pool.Statuses()
	return dump
}

// FillStatus sets the settings version, the digest and the state in a status.
func (ke *Keeper) FillStatus(status *genprocess.StatusResult) {
	status.SettingsVersion = ke.CurrentSettings().Version
	status.SettingsDigest = ke.CurrentSettings().Digest
	status.State = "serving"
	if ke.stopping.Load() {
		status.State = "stopping"
	}
}
