package gate

import (
	"bufio"
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
	head := &headLimit{source: raw}
	con := &connection{Conn: raw, reader: bufio.NewReaderSize(head, readBufferSize), head: head, isReused: true, idleSince: time.Now(), idleTimeout: defaultKeepAlive}
	answer, _ := up.sendOn(ctx, con, req)
	return answer
}
