package daemon

import (
	"context"
	"errors"

	"cactusstream.example/cactusd/internal/gate"
	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/fleet"
	"cactusstream.example/core/link"
)

// runner implements ingress.Runner. It calls this daemon's own gate directly
// and the gates of other daemons over links.
type runner struct {
	self string
	gate *gate.Gate
	pool *link.Pool
	// discard ends a body that the daemon at an address offers and that nobody reads. It is
	// nil if the daemon fetches no streams.
	discard func(address, token string)
}

// Run runs one attempt at the gate of an endpoint.
func (ru *runner) Run(ctx context.Context, endpoint fleet.Endpoint, req wire.RunRequest) (wire.RunAnswer, error) {
	if endpoint.Daemon == ru.self {
		return ru.gate.Run(ctx, req), nil
	}
	if req.BodyStream == nil && !req.AcceptsStream {
		return link.Call[wire.RunRequest, wire.RunAnswer](ctx, ru.pool, endpoint.PeerAddress, wire.MethodRun, req)
	}
	streamed := wire.StreamRunRequest{Run: req, Body: req.BodyStream, Accepts: req.AcceptsStream}
	answer, err := link.CallWithLate(ctx, ru.pool, endpoint.PeerAddress, wire.MethodRunStream, streamed, func(late wire.StreamRunAnswer) {
		if late.Body != nil && ru.discard != nil {
			ru.discard(endpoint.PeerAddress, late.Body.Token) // Its upstream's slot is taken until then.
		}
	})
	var remote *link.RemoteError
	if errors.As(err, &remote) && remote.Code == "noMethod" && req.BodyStream == nil {
		// An older version has replaced the daemon since its record was written.
		return link.Call[wire.RunRequest, wire.RunAnswer](ctx, ru.pool, endpoint.PeerAddress, wire.MethodRun, req)
	}
	answer.Run.BodyStream = answer.Body
	return answer.Run, err
}

// EstimateWait returns the wait estimate of an endpoint's gate for a request.
func (ru *runner) EstimateWait(ctx context.Context, endpoint fleet.Endpoint, req wire.WaitEstimateRequest) (wire.WaitEstimate, error) {
	if endpoint.Daemon == ru.self {
		return ru.gate.EstimateWait(req), nil
	}
	return link.Call[wire.WaitEstimateRequest, wire.WaitEstimate](ctx, ru.pool, endpoint.PeerAddress, wire.MethodEstimateWait, req)
}

// Withdraw withdraws an attempt that is still queued at a gate. If the message
// is lost, the attempt stays queued.
func (ru *runner) Withdraw(ctx context.Context, endpoint fleet.Endpoint, wit wire.Withdrawal) {
	if endpoint.Daemon == ru.self {
		ru.gate.Withdraw(wit)
		return
	}
	_ = link.Notify(ctx, ru.pool, endpoint.PeerAddress, wire.MethodWithdraw, wit)
}

// newRunner returns the runner of a daemon.
func (da *Daemon) newRunner() *runner {
	ru := &runner{self: da.opts.Config.ID, gate: da.gate, pool: da.pool}
	if da.streams != nil {
		ru.discard = da.streams.Discard
	}
	return ru
}
