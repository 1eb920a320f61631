package gate

import (
	"context"
	"net"
	"time"

	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/bodybuffer"
	"cactusstream.example/core/dialect"
)

// SendOnReused sends a request on a connection that counts as reused, without the check
// that precedes each reuse: the upstream may close a connection just after it.
func SendOnReused(ctx context.Context, ann Announcement, raw net.Conn, req wire.RunRequest) wire.RunAnswer {
	up := newUpstreamClient(ann, Options{Dialect: dialect.DefaultUpstream(), Bodies: bodybuffer.New(1 << 20)})
	con := newConnection(raw)
	con.isReused, con.idleSince = true, time.Now()
	answer, _ := up.sendOn(ctx, con, req)
	return answer
}
