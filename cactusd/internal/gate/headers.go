package gate

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// lowerKeyHeader is how the key travels to an upstream. HTTP names ignore case,
// but net/http repeats requests that carry the name in its usual case.
const lowerKeyHeader = "idempotency-key"

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", HeaderAttempt}

// traceWrites notes that a connection was given to the request, after which
// its bytes may have been written.
func traceWrites(ctx context.Context, wrote *atomic.Bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { wrote.Store(true) },
	})
}
