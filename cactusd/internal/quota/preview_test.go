package quota_test

import (
	"context"
	"math"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"cactusstream.example/cactusd/internal/quota"
	corequota "cactusstream.example/core/quota"
	"cactusstream.example/core/settings"
)

// TestOperatorsQueriesTakeNothing guards against an operator who uses up the quota of an
// organisation by looking at it, and against levels that aren't what requests get.
func TestOperatorsQueriesTakeNothing(t *testing.T) {
	is := is.New(t)
	fl := startFleet(t, 3, 0)
	// The rate adds less than a token during the test, so that the sums are exact.
	org := &settings.Organisation{Name: "acme", Rate: 0.001, Burst: 40}
	free := &settings.Organisation{Name: "free"}
	ctx := context.Background()
	before := fl.quotas[1].Levels(ctx, []*settings.Organisation{org, free})
	is.Equal(len(before), 2)
	is.Equal(len(before[1].Holders), 0)
	left, answered := before[0].Sum()
	is.Equal(answered, 3)
	is.True(left >= 4)
	for i := range 300 {
		qu := fl.quotas[i%3]
		is.Equal(qu.Preview(ctx, org).Verdict.Outcome, corequota.Admitted)
		if i%20 == 0 {
			qu.Levels(ctx, []*settings.Organisation{org, free})
		}
	}
	after, _ := fl.quotas[2].Levels(ctx, []*settings.Organisation{org})[0].Sum()
	is.True(math.Abs(after-left) < 0.1)
	for _, qu := range fl.quotas {
		is.Equal(len(qu.Dump()["organisations"].([]corequota.Use)), 0) // Nor does it create state.
	}
	admitted, _ := takeAll(fl, org, 200)
	wanted := 0 // Tokens are whole at each holder.
	for _, holder := range before[0].Holders {
		wanted += int(holder.Left)
	}
	is.Equal(int(admitted), wanted)
	for _, qu := range fl.quotas {
		preview := qu.Preview(ctx, org)
		is.Equal(preview.Verdict.Outcome, corequota.OverLimit)
		is.True(preview.Verdict.RetryAfter > 0)
		is.Equal(preview.Uncertain, false)
		is.Equal(qu.Preview(ctx, free).Verdict.Outcome, corequota.Admitted)
	}
	for _, holder := range fl.quotas[0].Levels(ctx, []*settings.Organisation{org})[0].Holders {
		is.True(holder.Answered)
		is.True(holder.Left < 1)
		is.True(holder.RetryAfter > 0)
	}
}

// TestHoldersThatCannotBeAsked checks that a holder of an older program, which may serve
// requests but doesn't know the query, and one that has stopped are shown as unknown, and
// the others are shown. It guards against a rejection that is shown as certain although the
// older holder may admit the request.
func TestHoldersThatCannotBeAsked(t *testing.T) {
	is := is.New(t)
	fl := startFleet(t, 3, 1)
	org := &settings.Organisation{Name: "acme", Rate: 0.001, Burst: 40}
	ctx := context.Background()
	unknown := func() map[string]string {
		notes := make(map[string]string)
		for _, holder := range fl.quotas[0].Levels(ctx, []*settings.Organisation{org})[0].Holders {
			if !holder.Answered {
				is.Equal(holder.Left, 0.0)
				notes[holder.Daemon] = holder.Note
			}
		}
		return notes
	}
	is.Equal(unknown(), map[string]string{"d2": "the daemon runs an older program"})
	is.Equal(fl.quotas[0].Preview(ctx, org).Verdict.Outcome, corequota.Admitted)
	asked := fl.quotas[1]
	for asked.Take(ctx, org).Outcome == corequota.Admitted { // Takes what both others have.
		continue
	}
	preview := fl.quotas[0].Preview(ctx, org)
	is.True(preview.Verdict.Outcome != corequota.Admitted)
	is.True(preview.Uncertain)
	fl.servers[1].Close()
	fl.links[1].Close()
	is.Equal(len(unknown()), 2)
}

// TestQueriesAreBounded guards against an operator's list that asks holders for more quotas
// than one call answers.
func TestQueriesAreBounded(t *testing.T) {
	is := is.New(t)
	fl := startFleet(t, 2, 0)
	orgs := make([]*settings.Organisation, quota.MaxLevels+5)
	for i := range orgs {
		orgs[i] = &settings.Organisation{Name: "org" + strconv.Itoa(i), Rate: 5, Burst: 5}
	}
	for i, level := range fl.quotas[0].Levels(context.Background(), orgs) {
		_, answered := level.Sum()
		is.Equal(level.Organisation, orgs[i].Name)
		is.Equal(answered == 2, i < quota.MaxLevels)
	}
	is.Equal(fl.metrics[0].Counter("quota.peeks").Count(), int64(1)) // One call to the other holder.
}
