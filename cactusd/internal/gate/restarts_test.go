package gate_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/cactusd/internal/gate"
	"cactusstream.example/core/clock"
	"cactusstream.example/core/member"
	"cactusstream.example/core/outcome"
)

// heartbeatInterval is the time between two announcements of an upstream.
const heartbeatInterval = 1500 * time.Millisecond

// restartHarness is a gate in front of an upstream that crashes and starts again.
type restartHarness struct {
	clo *clock.Fake
	ga  *gate.Gate
}

func newRestartHarness() *restartHarness {
	clo := clock.NewFake(time.Unix(500_000, 0))
	return &restartHarness{clo: clo, ga: newGate(clo)}
}

func (rh *restartHarness) announce(startedAt time.Time, sequence uint64) error {
	return rh.ga.Announce(gate.Announcement{ID: "u", Service: "s", Address: "127.0.0.1:1", Slots: 1, Connections: 9, StartedAt: startedAt, Sequence: sequence})
}

// run announces a start repeatedly and returns its start time. The last announcement
// arrives just before run returns.
func (rh *restartHarness) run(t *testing.T, startedAt time.Time, count uint64) time.Time {
	t.Helper()
	for sequence := uint64(1); sequence <= count; sequence++ {
		if sequence > 1 {
			rh.clo.Advance(heartbeatInterval)
		}
		if err := rh.announce(startedAt, sequence); err != nil {
			t.Fatalf("announcement %d of the start at %s: %v", sequence, startedAt, err)
		}
		rh.ga.Tick()
	}
	return startedAt
}

func (rh *restartHarness) states() string {
	states := ""
	for _, rec := range rh.ga.Records() {
		states += rec.State.String()
	}
	return states
}

// TestEarlierStartAfterTheClockWentBack sets the clock of the VM back, by seconds and by
// hours, and starts the upstream again after a crash, several times. Each start must be
// used from its first announcement on. It would otherwise be ignored for 15 s or for good.
func TestEarlierStartAfterTheClockWentBack(t *testing.T) {
	for _, step := range []time.Duration{8 * time.Second, time.Minute, 5 * time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			is := is.New(t)
			rh := newRestartHarness()
			var starts []time.Time
			for range 4 {
				starts = append(starts, rh.run(t, rh.clo.Now(), 3))
				rh.clo.Advance(time.Second - step)
			}
			for number := range 2 { // The clock goes on, and the start times overlap those before.
				starts = append(starts, rh.run(t, rh.clo.Now(), 2))
				is.Equal(rh.states(), "ready")
				rh.clo.Advance(time.Duration(number+1) * time.Second)
			}
			for _, startedAt := range starts[:len(starts)-1] { // Late duplicates, and one that was never seen.
				is.True(rh.announce(startedAt, 3) != nil)
				is.True(rh.announce(startedAt, 4) != nil)
			}
			is.NoErr(rh.announce(starts[len(starts)-1], 3))
			is.Equal(rh.states(), "ready")
		})
	}
}

// TestClockGoesBackWhileAnUpstreamRuns sets the clock back by hours. The start time of the
// upstream is then far in the future, and the upstream must stay in use.
func TestClockGoesBackWhileAnUpstreamRuns(t *testing.T) {
	is := is.New(t)
	rh := newRestartHarness()
	startedAt := rh.run(t, rh.clo.Now(), 3)
	rh.clo.Advance(-5 * time.Hour)
	for sequence := range uint64(20) {
		is.NoErr(rh.announce(startedAt, 4+sequence))
		rh.clo.Advance(heartbeatInterval)
		rh.ga.Tick()
	}
	is.Equal(rh.states(), "ready")
}

// TestEarlierStartIsUsedWhenItRepeatsItself starts the upstream again with an earlier start
// time while the daemon's clock stays right. Its second announcement must be enough. Those
// of the start before that arrive late must change nothing then.
func TestEarlierStartIsUsedWhenItRepeatsItself(t *testing.T) {
	for _, step := range []time.Duration{5 * time.Second, 3 * time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			is := is.New(t)
			rh := newRestartHarness()
			before := rh.run(t, rh.clo.Now(), 5)
			rh.clo.Advance(time.Second)
			startedAt := before.Add(-step)
			is.Equal(rh.announce(startedAt, 1), gate.ErrSuperseded)
			is.Equal(rh.announce(startedAt, 1), gate.ErrSuperseded)
			rh.clo.Advance(heartbeatInterval)
			is.Equal(rh.announce(startedAt, 1), gate.ErrSuperseded) // A late duplicate shows nothing.
			is.NoErr(rh.announce(startedAt, 2))
			is.Equal(rh.states(), "ready")

			is.Equal(rh.announce(before, 5), gate.ErrSuperseded)
			is.Equal(rh.announce(before, 6), gate.ErrSuperseded)
			_, err := rh.ga.LeaveInstance("u", before.Add(-time.Millisecond)) // A start that was never seen.
			is.NoErr(err)
			is.NoErr(rh.announce(startedAt, 3))
			is.Equal(rh.states(), "ready")
			for sequence := range uint64(12) {
				rh.clo.Advance(heartbeatInterval)
				is.NoErr(rh.announce(startedAt, 4+sequence))
				rh.ga.Tick()
			}
			is.True(len(rh.ga.Departed()) == 2) // The start before, for the next start of the daemon.
			_, err = rh.ga.LeaveInstance("u", before)
			is.NoErr(err)
			is.Equal(rh.states(), "ready")

			_, err = rh.ga.LeaveInstance("u", startedAt)
			is.NoErr(err)
			is.Equal(rh.states(), "draining")
			is.Equal(rh.announce(startedAt, 99), gate.ErrRecentlyLeft)
			rh.clo.Advance(time.Minute)
			rh.ga.Tick()
			is.Equal(rh.announce(startedAt, 100), gate.ErrDeparted)
			is.Equal(rh.announce(before, 100), gate.ErrDeparted)
			is.Equal(rh.states(), "")
		})
	}
}

// TestEarlierStartIsUsedAfterRefusedConnections lets a request find that nothing listens at
// the address of the upstream. The next start must then be used from its first announcement
// on, whatever its start time.
func TestEarlierStartIsUsedAfterRefusedConnections(t *testing.T) {
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(lis.Close())
	ga := newGate(clock.Real{})
	ann := gate.Announcement{ID: "u", Service: "s", Address: lis.Addr().String(), Slots: 1, Connections: 9, StartedAt: time.Now(), Sequence: 1}
	is.NoErr(ga.Announce(ann))
	time.Sleep(time.Millisecond)
	is.Equal(ga.Run(context.Background(), request("1", true)).Outcome, outcome.NotRun)
	next := ann
	next.StartedAt = ann.StartedAt.Add(-time.Hour)
	is.NoErr(ga.Announce(next))
	is.True(errors.Is(ga.Announce(ann), gate.ErrSuperseded)) // A duplicate of the start before.
	is.Equal(ga.Records()[0].State, member.StateReady)
}

// TestLateAnnouncementsOfAnEarlierStart delivers announcements of a start from before the
// registered one, which the gate never saw: singly, in a burst, between those of the
// registered start, and with a leave. The registered start must stay in use.
func TestLateAnnouncementsOfAnEarlierStart(t *testing.T) {
	is := is.New(t)
	rh := newRestartHarness()
	current := rh.run(t, rh.clo.Now(), 2)
	old := current.Add(-20 * time.Second)
	sequence, oldSequence := uint64(2), uint64(0)
	for range 30 {
		for range 3 {
			oldSequence++
			is.Equal(rh.announce(old, oldSequence), gate.ErrSuperseded)
			rh.clo.Advance(10 * time.Millisecond)
		}
		_, err := rh.ga.LeaveInstance("u", old.Add(time.Duration(oldSequence)))
		is.NoErr(err)
		rh.clo.Advance(heartbeatInterval)
		sequence++
		is.NoErr(rh.announce(current, sequence))
		is.Equal(rh.states(), "ready")
	}
	_, err := rh.ga.LeaveInstance("u", old)
	is.NoErr(err)
	is.NoErr(rh.announce(current, sequence+1))
	is.Equal(rh.states(), "ready")
}

// TestWronglyDisplacedStartIsUsedAgain delivers several late announcements of an earlier
// start while those of the living one are lost. The living one must be used again when it
// announces itself, since no start that lives may be lost for good.
func TestWronglyDisplacedStartIsUsedAgain(t *testing.T) {
	is := is.New(t)
	rh := newRestartHarness()
	living := rh.run(t, rh.clo.Now(), 3)
	old := living.Add(-time.Minute)
	is.Equal(rh.announce(old, 7), gate.ErrSuperseded)
	rh.clo.Advance(time.Second)
	is.NoErr(rh.announce(old, 8))
	for sequence := range uint64(4) {
		is.Equal(rh.announce(living, 4+sequence), gate.ErrSuperseded)
		rh.clo.Advance(heartbeatInterval)
	}
	is.NoErr(rh.announce(living, 8))
	is.Equal(rh.announce(old, 9), gate.ErrSuperseded)
	is.Equal(rh.states(), "ready")
}

// TestLeaveOfAnEarlierStart lets an upstream leave that started again with an earlier start
// time and isn't registered yet. The gate must stop using the address: the requests that it
// sends there would be lost when the upstream exits.
func TestLeaveOfAnEarlierStart(t *testing.T) {
	is := is.New(t)
	rh := newRestartHarness()
	before := rh.run(t, rh.clo.Now(), 3)
	startedAt := before.Add(-time.Minute)
	is.Equal(rh.announce(startedAt, 1), gate.ErrSuperseded)
	rh.clo.Advance(time.Second)
	_, err := rh.ga.LeaveInstance("u", startedAt)
	is.NoErr(err)
	is.Equal(rh.states(), "draining")
	is.Equal(rh.announce(startedAt, 2), gate.ErrSuperseded)
	rh.clo.Advance(time.Minute)
	rh.ga.Tick()
	is.Equal(rh.announce(startedAt, 3), gate.ErrDeparted)
}

// TestRandomRestartsWithClockSteps lets an upstream crash, leave and start again at random,
// with clocks that go back by up to an hour, while announcements are up to a minute late and
// repeated. A start whose leave was acknowledged must never be registered again. A start that
// has announced itself for 5 s, without an announcement of another one in between, must
// be in use.
func TestRandomRestartsWithClockSteps(t *testing.T) {
	for seed := range uint64(300) {
		requireLivingStartIsUsed(t, seed)
	}
}

func requireLivingStartIsUsed(t *testing.T, seed uint64) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 11))
	rh := newRestartHarness()
	left := make(map[time.Time]bool)
	inFlight := []delayedCall{}
	elapsed := time.Duration(0) // The daemon's clock may go back, this one doesn't.
	offset := time.Duration(0)  // Of the upstream's clock.
	var startedAt time.Time
	sequence, undisturbed, starts := uint64(0), 0, 0
	deliver := func(start time.Time, number uint64) error {
		err := rh.announce(start, number)
		if err == nil && left[start] {
			t.Fatalf("seed %d: the start at %s has left and is used again", seed, start)
		}
		return err
	}
	restart := func() {
		if rng.IntN(3) == 0 {
			back := time.Duration(rng.Int64N(int64(time.Hour)))
			if rng.IntN(2) == 0 {
				back = time.Duration(rng.Int64N(int64(10 * time.Second)))
			}
			if rng.IntN(2) == 0 {
				rh.clo.Advance(-back)
			} else {
				offset -= back
			}
		}
		startedAt = rh.clo.Now().Add(offset).Truncate(time.Millisecond)
		sequence, undisturbed = 0, 0
		starts++
	}
	restart()
	for range 150 {
		step := time.Duration(1000+rng.IntN(1000)) * time.Millisecond
		elapsed += step
		rh.clo.Advance(step)
		rh.ga.Tick()
		later := inFlight[:0:0]
		for _, call := range inFlight {
			if call.at.After(time.Unix(0, 0).Add(elapsed)) {
				later = append(later, call)
				continue
			}
			call.deliver()
			undisturbed = 0
		}
		inFlight = later
		switch action := rng.IntN(24); {
		case starts == member.MaxDepartures: // More are not remembered.
		case action == 0:
			restart()
		case action == 1:
			if _, err := rh.ga.LeaveInstance("u", startedAt); err != nil && !errors.Is(err, gate.ErrUnknownUpstream) {
				t.Fatal(err)
			}
			left[startedAt] = true
			restart()
			for left[startedAt] { // Two starts have different start times.
				startedAt = startedAt.Add(time.Millisecond)
			}
		}
		sequence++
		start, number := startedAt, sequence
		if rng.IntN(4) == 0 {
			late := delayedCall{at: time.Unix(0, 0).Add(elapsed + time.Duration(rng.IntN(60_000))*time.Millisecond), deliver: func() { _ = deliver(start, number) }}
			inFlight = append(inFlight, late)
			if rng.IntN(2) == 0 {
				continue // It is only delayed. Otherwise the delayed one is a duplicate.
			}
		}
		undisturbed++
		err := deliver(start, number)
		if undisturbed >= 6 && err != nil {
			t.Fatalf("seed %d: the start at %s has announced itself %d times: %v", seed, startedAt, undisturbed, err)
		}
	}
	for range 6 {
		rh.clo.Advance(heartbeatInterval)
		sequence++
		_ = deliver(startedAt, sequence)
	}
	if states := rh.states(); states != "ready" {
		t.Fatalf("seed %d: the upstream is %q after it has announced itself for some time", seed, states)
	}
}
