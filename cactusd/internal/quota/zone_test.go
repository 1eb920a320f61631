package quota_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/cactusd/internal/quota"
	"cactusstream.example/core/auth"
	"cactusstream.example/core/clock"
	"cactusstream.example/core/codec"
	"cactusstream.example/core/events"
	"cactusstream.example/core/fleet"
	"cactusstream.example/core/link"
	"cactusstream.example/core/member"
	"cactusstream.example/core/metrics"
	corequota "cactusstream.example/core/quota"
)

// TestMemberSetComesFromOwnZone guards against daemons that start and fetch their member
// set from other zones although a daemon of their own zone has it.
func TestMemberSetComesFromOwnZone(t *testing.T) {
	type membersAnswer struct {
		Members []corequota.Past `codec:"m"`
	}
	const starts = 10
	is := is.New(t)
	tokens := auth.NewTokens("a-token-for-the-tests")
	var answer membersAnswer
	for i := range 87 {
		answer.Members = append(answer.Members, corequota.Past{ID: fmt.Sprintf("daemon-%03d", i), Zone: "zone-a"})
	}
	bytes := make(map[string]*atomic.Int64) // By zone.
	members := make(map[string]member.Record)
	for _, zone := range []string{"a", "b", "c", "d"} {
		var count atomic.Int64
		bytes[zone] = &count
		mux := link.NewMux()
		link.Handle(mux, "quota.members", func(context.Context, string, struct{}) (membersAnswer, error) {
			data, err := codec.Marshal(answer)
			count.Add(int64(len(data)))
			return answer, err
		})
		links := link.NewServer(mux, tokens, nil)
		server := httptest.NewServer(links)
		defer server.Close()
		defer links.Close()
		members[zone] = member.Record{ID: zone, Zone: zone, PeerAddress: strings.TrimPrefix(server.URL, "http://")}
	}
	for range starts {
		mux := link.NewMux()
		pool := link.NewPool("started", tokens, mux)
		defer pool.Close()
		started := quota.New(quota.Options{
			Clock: clock.Real{}, Log: events.Discard(), Metrics: metrics.NewRegistry(), Mux: mux, Pool: pool, Self: "started", Zone: "a",
			View: func() *fleet.View { return &fleet.View{Members: members} }, HasJoined: func() bool { return true }, SettingsVersion: func() uint64 { return 1 },
		})
		deadline := time.Now().Add(10 * time.Second)
		for started.Dump()["joined"] != true {
			is.True(time.Now().Before(deadline))
			started.Tick()
			time.Sleep(10 * time.Millisecond)
		}
	}
	t.Logf("%d bytes within the zone for each daemon", bytes["a"].Load()/starts)
	is.True(bytes["a"].Load() > 0)
	is.Equal(bytes["b"].Load()+bytes["c"].Load()+bytes["d"].Load(), int64(0))
}
