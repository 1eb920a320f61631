package keeper

import (
	"context"
	"time"

	genprocess "cactusstream.example/core/gen/process"
)

const dumpTimeout = time.Second

// Dump returns the state of the keeper, by part.
func (ke *Keeper) Dump() map[string]any {
	ctx, cancel := context.WithTimeout(context.Background(), dumpTimeout)
	defer cancel()
	dump := map[string]any{"settings": map[string]any{"version": ke.InForce().Version, "digest": ke.InForce().Digest}}
	part := make(chan map[string]any, 1)
	err := ke.do(ctx, func(time.Time) {
		part <- map[string]any{
			"id": ke.ident.ID, "role": ke.node.Role().String(), "term": ke.node.Term(), "leader": ke.node.Leader(),
			"commitIndex": ke.node.Commit(), "appliedIndex": ke.node.Applied(), "logLength": ke.node.LogLength(),
			"members": ke.node.Config().Members, "waiting": len(ke.waiting),
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

// FillStatus adds the settings of the keeper to a status.
func (ke *Keeper) FillStatus(status *genprocess.StatusResult) {
	status.SettingsVersion = ke.InForce().Version
	status.SettingsDigest = ke.InForce().Digest
	status.State = "serving"
	if ke.stopping.Load() {
		status.State = "stopping"
	}
}
