package ingress_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/cactusd/internal/ingress"
	genplacement "cactusstream.example/core/gen/placement"
	"cactusstream.example/core/outcome"
	"cactusstream.example/core/quota"
	"cactusstream.example/core/settings"
)

// TestWhereAgreesWithTheDoor compares the admission that an operator is shown with the
// answer to the same request, for each credential, verdict of the quota and state of the
// settings. It guards against an admission that is decided by other rules, and against a
// query that takes from a quota, counts as a request or reaches an upstream.
func TestWhereAgreesWithTheDoor(t *testing.T) {
	over := quota.Verdict{Outcome: quota.OverLimit, RetryAfter: 1250 * time.Millisecond}
	unavailable := quota.Verdict{Outcome: quota.Unavailable, RetryAfter: time.Second}
	for _, verdict := range []quota.Verdict{{}, over, unavailable} {
		for _, isConfirmed := range []bool{true, false} {
			for _, path := range []string{"/look/1", "/open/1"} {
				for _, key := range []string{"", "acme-key", "other-key"} {
					t.Run(fmt.Sprintf("%s %v %s %q", verdict.Outcome, isConfirmed, path, key), func(t *testing.T) {
						is := is.New(t)
						runner := newCapturingRunner()
						taken := &fakeQuota{verdict: verdict}
						var confirmed atomic.Bool
						confirmed.Store(isConfirmed)
						in := newPlatformIngress(t, &runner.estimatingRunner, newReplica(t, newOrganisationSettings()), withOrganisationHeaders, func(opts *ingress.Options) {
							opts.Quota, opts.SettingsConfirmed = taken, confirmed.Load
						})
						query := whereQuery(path)
						if key != "" {
							digest := settings.NewKeyDigest(key)
							query.KeyDigest = &digest
						}
						where, err := in.Where(context.Background(), query)
						is.NoErr(err)
						byName := whereQuery(path)
						byName.Organisation = strings.TrimSuffix(key, "-key")
						named, err := in.Where(context.Background(), byName)
						is.NoErr(err)
						is.Equal(named.Admission, where.Admission)
						is.Equal(taken.taken, 0)
						is.Equal(in.Dump()["organisations"], nil) // Not counted.
						is.Equal(len(runner.endpointsSentTo()), 0)

						rec := httptest.NewRecorder()
						req := callerRequest(path)
						if key != "" {
							req = callerRequest(path, key)
						}
						in.ServeHTTP(rec, req)
						adm := where.Admission
						is.Equal(adm.Rejection == nil, rec.Code == 200)
						is.Equal(strings.HasPrefix(where.Verdict, "goes to"), rec.Code == 200)
						is.Equal(adm.Organisation != nil, key != "")
						if rec.Code == 200 {
							is.Equal(adm.Status, 0)
							return
						}
						is.Equal(adm.Status, rec.Code)
						is.True(strings.HasPrefix(rec.Body.String(), "notRun: "+string(adm.Rejection.Reason)+": "+adm.Rejection.Detail))
						is.True(strings.Contains(where.Verdict, adm.Rejection.Detail))
						if adm.Rejection.Reason == outcome.OverQuota {
							is.Equal(adm.Rejection.RetryAfter, over.RetryAfter)
						}
						is.Equal(len(where.Candidates), 4) // Shown, but not asked.
						for _, candidate := range where.Candidates {
							is.Equal(candidate.Asked || candidate.Chosen, false)
						}
					})
				}
			}
		}
	}
}

// TestWhereShowsTheQuota checks what is shown of an organisation, and that an admission that
// depends on a holder of an older program is shown as unknown.
func TestWhereShowsTheQuota(t *testing.T) {
	is := is.New(t)
	runner := newCapturingRunner()
	fake := &fakeQuota{verdict: quota.Verdict{Outcome: quota.OverLimit, RetryAfter: 300 * time.Millisecond}}
	in := newPlatformIngress(t, &runner.estimatingRunner, newReplica(t, newOrganisationSettings()), withOrganisationHeaders, func(opts *ingress.Options) { opts.Quota = fake })
	service := ingress.NewPlacementService(in)
	payload := &genplacement.WherePayload{Method: "POST", Host: "shop.example", Path: "/look/1", Organisation: "acme"}
	where, err := service.Where(context.Background(), payload)
	is.NoErr(err)
	adm := where.Admission
	is.Equal(where.Firm, "acme")
	is.Equal([]any{adm.Outcome, adm.Status, adm.Reason, adm.RetryAfterMs}, []any{"rejected", 429, "overQuota", int64(300)})
	is.Equal([]any{adm.Organisation, adm.Rank, adm.Rate, adm.Burst}, []any{"acme", 1, 10.0, 0.0})
	is.Equal([]any{adm.HolderRate, adm.HolderDepth, adm.Left, adm.Answered}, []any{5.0, 9.0, 2.5, 1})
	is.Equal(*adm.Holders[0], genplacement.WhereHolder{Daemon: "d0", Zone: "z", Answered: true, Left: 2.5})
	is.Equal(*adm.Holders[1], genplacement.WhereHolder{Daemon: "d1", Zone: "y", Note: "no answer in time"})
	fake.uncertain = true
	where, err = service.Where(context.Background(), payload)
	is.NoErr(err)
	is.Equal(where.Admission.Outcome, "unknown")
	is.Equal(where.Admission.Status, 429)
	is.True(strings.HasPrefix(where.Verdict, "if it is admitted: goes to"))
	levels, err := service.Quotas(context.Background(), &genplacement.QuotasPayload{Organisations: []string{"other", "nobody", "acme"}})
	is.NoErr(err)
	is.Equal(len(levels), 1) // The other one has no limit.
	is.Equal(*levels[0], genplacement.QuotaLevel{Organisation: "acme", Left: 2.5, Holders: 2, Answered: 1})
}

// TestSlowHoldersDoNotDelayTheDecision guards against a request that is shown as rejected, or as
// too late at all upstreams, because the holders of its quota took longer than its deadline
// to say what they have: a request doesn't wait for that.
func TestSlowHoldersDoNotDelayTheDecision(t *testing.T) {
	is := is.New(t)
	runner := newCapturingRunner()
	slow := &fakeQuota{slowness: 700 * time.Millisecond}
	in := newPlatformIngress(t, &runner.estimatingRunner, newReplica(t, newOrganisationSettings()), withOrganisationHeaders, func(opts *ingress.Options) { opts.Quota = slow })
	query := whereQuery("/cut/7")
	query.Organisation, query.Deadline = "acme", 600*time.Millisecond
	where, err := in.Where(context.Background(), query)
	is.NoErr(err)
	is.Equal(where.Admission.Rejection, nil)
	is.True(strings.HasPrefix(where.Verdict, "goes to"))
	is.Equal(len(where.Admission.Quota.Holders), 2)
}

// TestWhereNamesWhatIsWrongWithTheSender checks the errors for unknown organisations, keys
// and missing settings. It guards against a name or key that is ignored, and against an
// error that repeats a key that was sent in place of its digest.
func TestWhereNamesWhatIsWrongWithTheSender(t *testing.T) {
	is := is.New(t)
	runner := newCapturingRunner()
	var confirmed atomic.Bool
	confirmed.Store(true)
	newService := func(tree *settings.Tree) *ingress.PlacementService {
		return ingress.NewPlacementService(newPlatformIngress(t, &runner.estimatingRunner, newReplica(t, tree), withOrganisationHeaders, func(opts *ingress.Options) { opts.SettingsConfirmed = confirmed.Load }))
	}
	failure := func(service *ingress.PlacementService, organisation, digest string) string {
		_, err := service.Where(context.Background(), &genplacement.WherePayload{Method: "POST", Host: "shop.example", Path: "/look/1", Organisation: organisation, KeyDigest: digest})
		var named interface{ GoaErrorName() string }
		if !errors.As(err, &named) {
			return "no error"
		}
		return named.GoaErrorName() + ": " + err.Error()
	}
	service := newService(newOrganisationSettings())
	unknown := settings.NewKeyDigest("unknown-key").String()
	is.True(strings.HasPrefix(failure(service, "nobody", ""), "unknownOrganisation: "))
	is.True(strings.Contains(failure(service, "", unknown), "badKey: ingress: no organisation has this key: the request would be rejected with 401 credentials"))
	is.True(strings.HasPrefix(failure(service, "", "a-raw-key"), "badKey: "))
	is.True(!strings.Contains(failure(service, "", "a-raw-key"), "a-raw-key"))
	confirmed.Store(false)
	is.True(strings.Contains(failure(service, "", unknown), "rejected with 503 noSettings"))
	confirmed.Store(true)
	is.True(strings.Contains(failure(newService(newPlatformSettings()), "", unknown), "checks no keys"))
	without := newService(newPlatformSettings().Apply([]settings.Edit{{Path: "acme", Key: settings.KeyQuotaRate, Value: "1"}}))
	is.True(strings.Contains(failure(without, "", unknown), "rejected with 401 credentials"))
	is.Equal(failure(without, "acme", ""), "no error")
	empty := ingress.NewPlacementService(newPlatformIngress(t, &runner.estimatingRunner, newEmptyReplica(), withOrganisationHeaders))
	is.True(strings.HasPrefix(failure(empty, "acme", ""), "noSettings: "))
	_, err := empty.Quotas(context.Background(), &genplacement.QuotasPayload{Organisations: []string{"acme"}})
	is.True(err != nil)

	// An organisation that has no key can't send requests, whether or not others can.
	for _, tree := range []*settings.Tree{newOrganisationSettings(), newPlatformSettings()} {
		keyless := newService(tree.Apply([]settings.Edit{{Path: "keyless", Key: settings.KeyQuotaRate, Value: "1"}}))
		where, err := keyless.Where(context.Background(), &genplacement.WherePayload{Method: "POST", Host: "shop.example", Path: "/look/1", Organisation: "keyless"})
		is.NoErr(err)
		is.Equal(strconv.Itoa(where.Admission.Status)+" "+where.Admission.Outcome+" "+where.Admission.Organisation, "401 rejected ")
		is.True(strings.Contains(where.Admission.Note, "has no key"))
	}
}
