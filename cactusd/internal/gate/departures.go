package gate

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"cactusstream.example/core/events"
	"cactusstream.example/core/member"
	"cactusstream.example/core/rankqueue"
)

// departures remembers which starts of upstreams have left for good, for longer than an
// announcement may be delayed on its way. An upstream without a start time can't be told
// from its next start, so it isn't remembered here.
//
// Lock order: no other lock is taken while departures.mu is held.
type departures struct {
	mu   sync.Mutex
	list []member.Departure
}

func (de *departures) add(id string, startedAt time.Time) {
	if startedAt.IsZero() {
		return
	}
	de.mu.Lock()
	defer de.mu.Unlock()
	de.list = member.MergeDepartures(de.list, []member.Departure{{ID: id, StartedMS: startedAt.UnixMilli()}})
}

// inherit adds departures from earlier starts of the daemon. They are older than all that
// it has seen itself.
func (de *departures) inherit(list []member.Departure) {
	de.mu.Lock()
	defer de.mu.Unlock()
	de.list = member.MergeDepartures(list, de.list)
}

func (de *departures) has(id string, startedAt time.Time) bool {
	return !startedAt.IsZero() && slices.Contains(de.all(), member.Departure{ID: id, StartedMS: startedAt.UnixMilli()})
}

// all returns the departures, the oldest first. The caller must not change them.
func (de *departures) all() []member.Departure {
	de.mu.Lock()
	defer de.mu.Unlock()
	return de.list
}

// leave stops admission and rejects queued requests. It returns the number of
// requests in flight.
func (gu *guard) leave(reason string) int {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	if !gu.leaving {
		gu.leaving = true
		gu.leftAt = gu.opts.Clock.Now()
		gu.queue.RejectAll(rankqueue.RejectFull)
		gu.opts.Log.Write(events.UpstreamLeft, logrus.Fields{"upstream": gu.ann.ID, "reason": reason})
	}
	return gu.queue.Running()
}

// depart is like leave, for an upstream that never comes back with the same start.
func (gu *guard) depart(reason string) int {
	gu.departed.add(gu.ann.ID, gu.ann.StartedAt)
	return gu.leave(reason)
}
