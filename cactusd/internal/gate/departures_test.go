package gate_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/cactusd/internal/gate"
	"cactusstream.example/core/bodybuffer"
	"cactusstream.example/core/clock"
	"cactusstream.example/core/dialect"
	"cactusstream.example/core/events"
	"cactusstream.example/core/member"
	"cactusstream.example/core/metrics"
	"cactusstream.example/core/settings"
)

// departureHarness is the gate of a daemon that restarts, in front of an upstream that
// starts, announces itself, leaves and starts again under the same ID. Messages to the
// daemon are delayed and overtake each other.
type departureHarness struct {
	clo *clock.Fake
	rng *rand.Rand
	ga  *gate.Gate
	// known holds the departures that the rest of the fleet knows.
	known []member.Departure
	// startedAt is the current start of the upstream, and left holds those whose leave
	// was acknowledged.
	startedAt time.Time
	sequence  uint64
	left      map[time.Time]bool
	inFlight  []delayedCall
}

type delayedCall struct {
	at      time.Time
	deliver func()
}

func (dh *departureHarness) restartDaemon() {
	policy := settings.NewResolver(settings.NewTree()).Policy(settings.Path{})
	dh.ga = gate.New(gate.Options{
		Bodies: bodybuffer.New(testBodyMemory), Clock: dh.clo, Dialect: dialect.DefaultUpstream(), Log: events.Discard(), Metrics: metrics.NewRegistry(),
		Policy:    func(string) *settings.Policy { return policy },
		OnChange:  func() { dh.known = member.MergeDepartures(dh.known, dh.ga.Departed()) },
		Inherited: func() ([]member.Departure, error) { return dh.known, nil },
	})
}

func (dh *departureHarness) startUpstream() {
	dh.startedAt = dh.clo.Now()
	dh.sequence = 0
}

func (dh *departureHarness) announcement() gate.Announcement {
	dh.sequence++
	return gate.Announcement{ID: "u", Service: "s", Address: "127.0.0.1:1", Slots: 1, Connections: 9, StartedAt: dh.startedAt, Sequence: dh.sequence}
}

// send delivers a call now or, with a probability of one in three, up to a minute late.
func (dh *departureHarness) send(deliver func()) {
	if dh.rng.IntN(3) > 0 {
		deliver()
		return
	}
	delay := time.Duration(dh.rng.IntN(60_000)) * time.Millisecond
	dh.inFlight = append(dh.inFlight, delayedCall{at: dh.clo.Now().Add(delay), deliver: deliver})
}

func (dh *departureHarness) announce() {
	ann := dh.announcement()
	dh.send(func() { _ = dh.ga.Announce(ann) })
}

// leave delivers a leave, twice at times, at once: the upstream sends it until it is
// acknowledged.
func (dh *departureHarness) leave() {
	for range 1 + dh.rng.IntN(2) {
		_, _ = dh.ga.LeaveInstance("u", dh.startedAt)
	}
	dh.left[dh.startedAt] = true
}

// step lets some time pass and delivers what is due.
func (dh *departureHarness) step() {
	dh.clo.Advance(time.Duration(1+dh.rng.IntN(1500)) * time.Millisecond)
	var later []delayedCall
	for _, call := range dh.inFlight {
		if call.at.After(dh.clo.Now()) {
			later = append(later, call)
		} else {
			call.deliver()
		}
	}
	dh.inFlight = later
	dh.ga.Tick()
}

// admits reports whether the gate admits requests to the upstream.
func (dh *departureHarness) admits() bool {
	for _, rec := range dh.ga.Records() {
		if rec.State != member.StateDraining {
			return true
		}
	}
	return false
}

// TestDepartedUpstreamStaysAway restarts a daemon and the upstream beside it while
// announcements are up to a minute late. An upstream whose leave was acknowledged must
// get no request until it has started again, and must get some at once when it has.
func TestDepartedUpstreamStaysAway(t *testing.T) {
	for seed := range uint64(500) {
		dh := &departureHarness{clo: clock.NewFake(time.Unix(5000, 0)), rng: rand.New(rand.NewPCG(seed, 7)), left: make(map[time.Time]bool)}
		dh.restartDaemon()
		dh.startUpstream()
		for number := range 120 {
			dh.step()
			action := ""
			switch {
			case dh.rng.IntN(12) == 0:
				action = "daemon restarts"
				dh.restartDaemon()
			case dh.left[dh.startedAt] && dh.rng.IntN(8) == 0:
				action = "upstream starts again"
				dh.startUpstream()
				if err := dh.ga.Announce(dh.announcement()); err != nil || !dh.admits() {
					t.Fatalf("seed %d, step %d: the upstream has started again and is not used: %v", seed, number, err)
				}
			case dh.left[dh.startedAt]:
			case dh.rng.IntN(15) == 0:
				action = "upstream leaves"
				dh.leave()
			default:
				dh.announce()
			}
			if dh.left[dh.startedAt] && dh.admits() {
				t.Fatalf("seed %d, step %d (%s): the gate admits requests to an upstream that has left", seed, number, action)
			}
		}
	}
}

// TestUnknownDeparturesDelayTheAnnouncement checks that a daemon that has just started
// registers no upstream before it knows which ones have left.
func TestUnknownDeparturesDelayTheAnnouncement(t *testing.T) {
	is := is.New(t)
	clo := clock.NewFake(time.Unix(5000, 0))
	policy := settings.NewResolver(settings.NewTree()).Policy(settings.Path{})
	unknown := errors.New("no response yet")
	ga := gate.New(gate.Options{
		Bodies: bodybuffer.New(testBodyMemory), Clock: clo, Dialect: dialect.DefaultUpstream(), Log: events.Discard(), Metrics: metrics.NewRegistry(),
		Policy: func(string) *settings.Policy { return policy }, OnChange: func() {}, Inherited: func() ([]member.Departure, error) { return nil, unknown },
	})
	ann := gate.Announcement{ID: "u", Service: "s", Address: "127.0.0.1:1", Slots: 1, Connections: 9, StartedAt: clo.Now()}
	is.True(errors.Is(ga.Announce(ann), gate.ErrNotReady))
	is.Equal(len(ga.Records()), 0)
	unknown = nil
	is.NoErr(ga.Announce(ann))
	ga.Inherit([]member.Departure{{ID: "u", StartedMS: clo.Now().UnixMilli()}}) // Another daemon responds later and knows more.
	is.Equal(ga.Records()[0].State, member.StateDraining)
}

// TestDeparturesAreBounded checks that the memory for departures has a limit, and that
// the newest ones are kept.
func TestDeparturesAreBounded(t *testing.T) {
	is := is.New(t)
	ga := newGate(clock.NewFake(time.Unix(5000, 0)))
	for number := range 1000 {
		_, err := ga.LeaveInstance(fmt.Sprint("u", number), time.Unix(1000, 0))
		is.True(errors.Is(err, gate.ErrUnknownUpstream))
	}
	is.Equal(len(ga.Departed()), member.MaxDepartures)
	is.Equal(ga.Departed()[member.MaxDepartures-1].ID, "u999")
}

// TestInheritedDeparturesDisplaceNoNewerOnes inherits a full list of departures, as a daemon
// does again and again, before and after an upstream leaves. The newer departure must be
// kept, and the list must not change when nothing new is inherited.
func TestInheritedDeparturesDisplaceNoNewerOnes(t *testing.T) {
	is := is.New(t)
	clo := clock.NewFake(time.Unix(5000, 0))
	ga := newGate(clo)
	var inherited []member.Departure
	for number := range member.MaxDepartures {
		inherited = append(inherited, member.Departure{ID: fmt.Sprint("old", number), StartedMS: 1})
	}
	ga.Inherit(inherited)
	ann := gate.Announcement{ID: "u", Service: "s", Address: "127.0.0.1:1", Slots: 1, Connections: 9, StartedAt: clo.Now()}
	is.NoErr(ga.Announce(ann))
	_, err := ga.LeaveInstance("u", ann.StartedAt)
	is.NoErr(err)
	before := ga.Departed()
	ga.Inherit(inherited)
	is.Equal(ga.Departed(), before)
	clo.Advance(time.Minute)
	ga.Tick()
	is.Equal(ga.Announce(ann), gate.ErrDeparted)
}
