package reconfig_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/core/consensus"
	"cactusstream.example/core/reconfig"
)

var now = time.Unix(1_700_000_000, 0)

func member(id, address string, voter bool) consensus.Member {
	return consensus.Member{ID: id, PeerAddress: address, Voter: voter}
}

func joinRequest(id, address string, hasNoState bool) reconfig.ReceivedJoinRequest {
	return reconfig.ReceivedJoinRequest{JoinRequest: reconfig.JoinRequest{Member: member(id, address, false), HasNoGroup: hasNoState, IsFirstStart: hasNoState}, ReceivedAt: now}
}

// restarted returns the join request of a keeper that joins with an empty disk, but not on
// the first start of the system.
func restarted(id string) reconfig.ReceivedJoinRequest {
	return reconfig.ReceivedJoinRequest{JoinRequest: reconfig.JoinRequest{Member: member(id, id, false), HasNoGroup: true}, ReceivedAt: now}
}

func TestOnlyOneKeeperBootstraps(t *testing.T) {
	seeds := []string{"10.0.0.2:1", "10.0.0.1:1", "10.0.0.3:1"}
	all := []reconfig.ReceivedJoinRequest{joinRequest("a", "10.0.0.1:1", true), joinRequest("b", "10.0.0.2:1", true), joinRequest("c", "10.0.0.3:1", true), joinRequest("d", "10.0.0.4:1", true), joinRequest("e", "10.0.0.5:1", true)}
	cases := []struct {
		name     string
		self     reconfig.JoinRequest
		requests []reconfig.ReceivedJoinRequest
		want     bool
	}{
		{"first seed with enough join requests", all[0].JoinRequest, all[1:], true},
		{"others have restarted", all[0].JoinRequest, []reconfig.ReceivedJoinRequest{restarted("b"), all[2], restarted("d"), all[4]}, true},
		{"first seed with too few join requests", all[0].JoinRequest, all[1:4], false},
		{"not the first seed", all[1].JoinRequest, all, false},
		{"not a seed", all[4].JoinRequest, all, false},
		{"keeper already knows a group", reconfig.JoinRequest{Member: all[0].Member, IsFirstStart: true}, all[1:], false},
		{"not the first start of the system", reconfig.JoinRequest{Member: all[0].Member, HasNoGroup: true}, all[1:], false},
		{"joining keeper already knows a group", all[0].JoinRequest, append([]reconfig.ReceivedJoinRequest{joinRequest("x", "10.0.0.9:1", false)}, all[1:]...), false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(reconfig.ShouldBootstrap(tc.self, seeds, tc.requests, 5), tc.want)
		})
	}
}

// TestKeeperWithNewDiskReplacesItsRequest receives the last join request of a keeper, and
// then one of its successor with a new disk, as when the group had no leader at its end. The
// leader must only replace the old ID. It used to remove the new one again and add the old
// one, in turn, until the old request expired.
func TestKeeperWithNewDiskReplacesItsRequest(t *testing.T) {
	is := is.New(t)
	requests := make(reconfig.JoinRequests)
	requests.Add(joinRequest("old", "1", false))
	successor := joinRequest("new", "1", false)
	successor.ReceivedAt = now.Add(500 * time.Millisecond)
	requests.Add(successor)
	config := consensus.Config{Members: []consensus.Member{member("old", "1", true), member("b", "2", true), member("c", "3", true), member("d", "4", true), member("e", "5", true)}}
	recent := reconfig.Contact{LastResponseAt: successor.ReceivedAt, IsCaughtUp: true}
	var steps []string
	for range 8 {
		step := reconfig.Next(reconfig.View{
			Now: successor.ReceivedAt, Self: "b", Config: config, JoinRequests: requests.List(), LeaderSince: now.Add(-time.Hour), Size: 5,
			Contacts: map[string]reconfig.Contact{"new": recent, "b": recent, "c": recent, "d": recent, "e": recent},
		})
		if step.Kind == reconfig.None {
			break
		}
		steps = append(steps, step.Kind.String()+" "+step.Member.ID)
		config.Members = slices.DeleteFunc(slices.Clone(config.Members), func(mem consensus.Member) bool { return mem.ID == step.Member.ID })
		if step.Kind != reconfig.Remove {
			step.Member.Voter = step.Kind == reconfig.Promote
			config.Members = append(config.Members, step.Member)
		}
	}
	is.Equal(steps, []string{"add new", "remove old", "promote new"})
}

func TestNext(t *testing.T) {
	five := consensus.Config{Members: []consensus.Member{member("a", "1", true), member("b", "2", true), member("c", "3", true), member("d", "4", true), member("e", "5", true)}}
	with := func(more ...consensus.Member) consensus.Config {
		return consensus.Config{Members: append(append([]consensus.Member(nil), five.Members...), more...)}
	}
	recent := reconfig.Contact{LastResponseAt: now, IsCaughtUp: true}
	contacts := func(unresponsive ...string) map[string]reconfig.Contact {
		all := map[string]reconfig.Contact{"a": recent, "b": recent, "c": recent, "d": recent, "e": recent, "f": recent, "b2": recent}
		for _, id := range unresponsive {
			all[id] = reconfig.Contact{LastResponseAt: now.Add(-time.Minute)}
		}
		return all
	}
	cases := []struct {
		name        string
		config      consensus.Config
		requests    []reconfig.ReceivedJoinRequest
		contacts    map[string]reconfig.Contact
		leaderSince time.Time
		kind        reconfig.Kind
		id          string
		stopping    string
	}{
		{"no change needed", five, nil, contacts(), now.Add(-time.Hour), reconfig.None, "", ""},
		{"joining keeper is added as learner", five, []reconfig.ReceivedJoinRequest{joinRequest("f", "6", true)}, contacts(), now.Add(-time.Hour), reconfig.Add, "f", ""},
		{"learner that caught up is promoted", with(member("f", "6", false)), nil, contacts(), now.Add(-time.Hour), reconfig.Promote, "f", ""},
		{"member is removed once its successor with a new disk has joined", with(member("b2", "2", false)), []reconfig.ReceivedJoinRequest{joinRequest("b2", "2", false)}, contacts("b"), now.Add(-time.Hour), reconfig.Remove, "b", ""},
		{"unresponsive voter stays while too few remain", five, nil, contacts("b"), now.Add(-time.Hour), reconfig.None, "", ""},
		{"unresponsive voter is removed when enough remain", with(member("f", "6", true)), nil, contacts("b"), now.Add(-time.Hour), reconfig.Remove, "b", ""},
		{"new leader has not received responses yet", with(member("f", "6", true)), nil, contacts("b"), now, reconfig.None, "", ""},
		{"stopping voter stays while too few remain", five, nil, contacts(), now.Add(-time.Hour), reconfig.None, "", "b"},
		{"stopping voter is removed when enough remain", with(member("f", "6", true)), nil, contacts(), now.Add(-time.Hour), reconfig.Remove, "b", "b"},
		{"stopping leader removes itself", with(member("f", "6", true)), nil, contacts(), now.Add(-time.Hour), reconfig.Remove, "a", "a"},
		{"stopping learner is removed, not promoted", with(member("f", "6", false)), nil, contacts(), now.Add(-time.Hour), reconfig.Remove, "f", "f"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			step := reconfig.Next(reconfig.View{
				Now: now, Self: "a", Config: tc.config, JoinRequests: tc.requests, Contacts: tc.contacts, LeaderSince: tc.leaderSince, Size: 5,
				Stopping: map[string]time.Time{tc.stopping: now},
			})
			is.Equal(step.Kind, tc.kind)
			is.Equal(step.Member.ID, tc.id)
		})
	}
}
