package daemon_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/cactusd/daemon"
	"cactusstream.example/core/quota"
	"cactusstream.example/core/settings"
)

// TestDaemonsDivideAQuota starts two daemons, of which each is a holder, and sends all
// requests to one of them. It guards against a daemon that doesn't find the other holder
// through the member table, and against two that hold the whole quota each.
func TestDaemonsDivideAQuota(t *testing.T) {
	is := is.New(t)
	first := freeAddress(t)
	front := startDaemon(t, "d1", first, first, func(*daemon.Options) {})
	back := startDaemon(t, "d2", freeAddress(t), first, func(*daemon.Options) {})
	defer stopDaemon(t, front)
	defer stopDaemon(t, back)
	org := &settings.Organisation{Name: "acme", Rate: 20, Burst: 20}
	deadline := time.Now().Add(20 * time.Second)
	for _, da := range []*daemon.Daemon{front, back} {
		for da.Quota().Dump()["members"] != 2 || da.Quota().Dump()["joined"] != true {
			is.True(time.Now().Before(deadline))
			time.Sleep(20 * time.Millisecond)
		}
	}
	time.Sleep(5 * time.Second) // More than the buckets take to fill.
	started, admitted := time.Now(), 0
	for time.Since(started) < 2*time.Second {
		if front.Quota().Take(context.Background(), org).Outcome == quota.Admitted {
			admitted++
		}
		time.Sleep(time.Millisecond)
	}
	const depth = 38              // Requests that both buckets hold.
	is.True(admitted > depth*3/4) // One holder has half of them, and of the rate.
	is.True(float64(admitted) <= depth+org.Rate*time.Since(started).Seconds())
	for _, da := range []*daemon.Daemon{front, back} {
		uses := da.Dump()["quota"].(map[string]any)["organisations"].([]quota.Use)
		is.Equal(len(uses), 1)
		is.True(uses[0].Granted > uint64(depth/4))
	}
}
