package gate_test

import (
	"context"
	"errors"
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/cactusd/internal/gate"
	"cactusstream.example/core/clock"
	"cactusstream.example/core/outcome"
)

// TestOddAnnouncementIsRejected sends announcements that can be decoded and can't be true.
// Each must be rejected and register nothing, also under the id of an upstream that is
// registered, which must stay in use and be able to renew its announcement.
func TestOddAnnouncementIsRejected(t *testing.T) {
	address := serveUpstream(t, func(wr http.ResponseWriter, req *http.Request) {
		wr.Header().Set(gate.HeaderAttempt, req.Header.Get(gate.HeaderAttempt))
	})
	started := time.Now()
	valid := gate.Announcement{ID: "u", Service: "s", Address: address, Slots: 4, Connections: 100, StartedAt: started, Sequence: 7}
	cases := []struct {
		name string
		edit func(*gate.Announcement)
	}{
		{"a port out of range", func(ann *gate.Announcement) { ann.Address = "127.0.0.1:70000" }},
		{"no port", func(ann *gate.Announcement) { ann.Address = "127.0.0.1" }},
		{"port 0", func(ann *gate.Announcement) { ann.Address = "127.0.0.1:0" }},
		{"a host that has to be looked up", func(ann *gate.Announcement) { ann.Address = "elsewhere.example:80" }},
		{"slots too large to add up", func(ann *gate.Announcement) { ann.Slots = math.MaxInt/2 + 1 }},
		{"no slots", func(ann *gate.Announcement) { ann.Slots = 0 }},
		{"a negative number of connections", func(ann *gate.Announcement) { ann.Connections = -1 }},
		{"a warm-up that never ends", func(ann *gate.Announcement) { ann.WarmUp = math.MaxInt64 }},
		{"a negative warm-up", func(ann *gate.Announcement) { ann.WarmUp = math.MinInt64 }},
		{"a start in the far future", func(ann *gate.Announcement) { ann.StartedAt = started.Add(100 * 365 * 24 * time.Hour) }},
		{"a sequence that no later one exceeds", func(ann *gate.Announcement) { ann.Sequence = math.MaxUint64 }},
		{"no service", func(ann *gate.Announcement) { ann.Service = "" }},
		{"no id", func(ann *gate.Announcement) { ann.ID = "" }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			odd := valid
			tc.edit(&odd)
			ga := newGate(clock.Real{})
			is.True(errors.Is(ga.Announce(odd), gate.ErrInvalid))
			is.Equal(len(ga.Records()), 0)
			is.NoErr(ga.Announce(valid))
			is.True(ga.Announce(odd) != nil)
			is.Equal(len(ga.Records()), 1)
			next := valid
			next.Sequence++
			is.NoErr(ga.Announce(next))
			is.Equal(ga.Run(context.Background(), request("1", true)).Outcome, outcome.Ran)
		})
	}
}
