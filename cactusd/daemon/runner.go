package daemon

import (
	"context"

	"cactusstream.example/cactusd/internal/gate"
	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/fleet"
	"cactusstream.example/core/link"
)

// runner runs attempts at the own gate, or over a link at another daemon's.
type runner struct {
	self string
	gate *gate.Gate
	pool *link.Pool
}

// Run runs one attempt at the daemon beside an endpoint.
func (ru *runner) Run(ctx context.Context, end fleet.Endpoint, req wire.RunRequest) (wire.RunAnswer, error) {
	if end.Daemon == ru.self {
		return ru.gate.Run(ctx, req), nil
	}
	return link.Call[wire.RunRequest, wire.RunAnswer](ctx, ru.pool, end.PeerAddress, wire.MethodRun, req)
}

// Quote asks the daemon beside an endpoint how long a request would wait.
func (ru *runner) Quote(ctx context.Context, end fleet.Endpoint, req wire.QuoteRequest) (wire.QuoteAnswer, error) {
	if end.Daemon == ru.self {
		return ru.gate.EstimateWait(req), nil
	}
	return link.Call[wire.QuoteRequest, wire.QuoteAnswer](ctx, ru.pool, end.PeerAddress, wire.MethodQuote, req)
}

// Withdraw takes back an attempt that still waits at a gate. A notice that is
// lost leaves the attempt as it is.
func (ru *runner) Withdraw(ctx context.Context, end fleet.Endpoint, wit wire.Withdrawal) {
	if end.Daemon == ru.self {
		ru.gate.Withdraw(wit)
		return
	}
	_ = link.Notify(ctx, ru.pool, end.PeerAddress, wire.MethodWithdraw, wit)
}
